// Package edit accepts changes of the configuration tables. Each edit is one
// transaction of the table service that replaces the head row if that has not
// changed (compare and swap). An edit is therefore atomic, and takes effect
// exactly once even if the reply of the table service is lost.
//
// For each table that automation may write directly (tables.Names) there is a
// second table with the accepted rows, which only this package writes. An edit
// writes to both. After a direct edit the two tables differ, until
// AcceptDirectEdits accepts the edit as a revision of its own. A row that
// cannot be accepted leaves the accepted row unchanged.
package edit

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"currantusher.dev/core"
	"currantusher.dev/platform"
	"currantusher.dev/tables"
)

const (
	defaultRetention   = 2000
	defaultMaxChanges  = 256
	defaultMaxAttempts = 12
	initialBackoff     = 20 * time.Millisecond
	maxBackoff         = 500 * time.Millisecond

	maxIDLength     = 64
	maxAuthorLength = 64
	// directEditPrefix is the prefix of the edit ids of direct edits.
	directEditPrefix = "direct-"
	directEditAuthor = "direct"
)

// Config holds the settings of an Editor.
type Config struct {
	Tables platform.Tables
	// Now is the clock for the times in the history; nil means time.Now.
	Now func() time.Time
	// Retention is the number of revisions kept in the history. Only kept
	// revisions can be the target of a rollback, and only their edit ids are
	// recognised as repeated.
	Retention core.Revision
	// MaxChanges bounds the number of rows that one revision changes.
	MaxChanges int
	// MaxAttempts bounds the attempts of one Apply.
	MaxAttempts int
	// Log is the logger; nil discards all entries.
	Log *logrus.Entry
}

func (c *Config) applyDefaults() {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Retention == 0 {
		c.Retention = defaultRetention
	}
	if c.MaxChanges == 0 {
		c.MaxChanges = defaultMaxChanges
	}
	if c.MaxAttempts == 0 {
		c.MaxAttempts = defaultMaxAttempts
	}
	if c.Log == nil {
		logger := logrus.New()
		logger.SetLevel(logrus.PanicLevel)
		c.Log = logrus.NewEntry(logger)
	}
}

// Request is one edit.
type Request struct {
	// ID is the idempotency key: a repeated edit returns the first result.
	ID     string
	Author string
	// IfRevision is the revision on which the edit is based. The edit is
	// rejected if another revision has been accepted since. 0 applies the edit,
	// row by row, to whichever revision is accepted.
	IfRevision core.Revision
	// DryRun returns the changes without applying them.
	DryRun bool
	// RollbackTo restores the rows of an earlier revision as a new revision. It
	// cannot be combined with the fields below.
	RollbackTo core.Revision
	// Set holds the rows to add or replace; its Revision is ignored.
	Set               tables.Rows
	DeleteRoutes      []core.RouteName
	DeletePools       []core.PoolName
	DeleteDataCentres []core.DataCentre
	DeleteTeams       []core.Team
}

func (r Request) validate() error {
	switch {
	case r.ID == "" || len(r.ID) > maxIDLength:
		return core.NewRefusal(core.CodeInvalidField, 0, "edit_id %q must be 1 to %d characters", r.ID, maxIDLength)
	case strings.HasPrefix(r.ID, directEditPrefix):
		return core.NewRefusal(core.CodeInvalidField, 0, "edit_id %q must not start with %q", r.ID, directEditPrefix)
	case len(r.Author) > maxAuthorLength:
		return core.NewRefusal(core.CodeInvalidField, 0, "author must be at most %d characters", maxAuthorLength)
	case r.RollbackTo != 0 && (len(r.Set.All()) > 0 || len(r.deletes()) > 0):
		return core.NewRefusal(core.CodeInvalidField, 0, "rollback_to must not be combined with other changes")
	}
	return nil
}

func (r Request) deletes() []platform.RowKey {
	var keys []platform.RowKey
	for _, name := range r.DeleteRoutes {
		keys = append(keys, tables.Route{Name: name}.Key())
	}
	for _, name := range r.DeletePools {
		keys = append(keys, tables.Pool{Name: name}.Key())
	}
	for _, name := range r.DeleteDataCentres {
		keys = append(keys, tables.DataCentreRow{Name: name}.Key())
	}
	for _, name := range r.DeleteTeams {
		keys = append(keys, tables.TeamRow{Name: name}.Key())
	}
	return keys
}

// Result is the outcome of an accepted edit or of a dry run.
type Result struct {
	// Revision is the accepted revision. For a dry run it is the revision to
	// which the changes would apply.
	Revision core.Revision
	Changes  []string
	// Rows is the configuration at Revision. It is empty for a dry run and for
	// a repeated edit.
	Rows tables.Rows
}

// prober is a client of the table service that can bypass its circuit breaker.
type prober interface {
	Probe() platform.Tables
}

// Editor accepts edits. It is stateless and safe for concurrent use.
type Editor struct {
	config Config
	log    *logrus.Entry
	// headReader reads the head row without the circuit breaker. Each read must
	// reach the table service, because a failure is used to detect an outage.
	headReader platform.Tables
}

// New returns an Editor.
func New(config Config) *Editor {
	config.applyDefaults()
	e := &Editor{config: config, log: config.Log.WithField("part", "edit"), headReader: config.Tables}
	if service, ok := config.Tables.(prober); ok {
		e.headReader = service.Probe()
	}
	return e
}

// Apply makes an edit. Its errors carry CodeInvalidField, CodeInvalidRow,
// CodeDanglingJoin, CodeUnknownEntity, CodeRevisionConflict, CodeKeyReused or a
// code of the table service if this call changed nothing. With CodeEditUnknown the
// outcome is unknown, and the caller must repeat the edit with the same id until
// the answer is final (see IsFinal).
func (e *Editor) Apply(ctx context.Context, request Request) (Result, error) {
	if err := request.validate(); err != nil {
		return Result{}, err
	}
	a := applyOperation{editor: e, request: request}
	for attemptNumber := range e.config.MaxAttempts {
		if err := waitBackoff(ctx, attemptNumber); err != nil {
			return Result{}, a.finalError(err)
		}
		result, err := a.attempt(ctx)
		if err == nil {
			return result, nil
		}
		if !a.isRetryable(err) {
			return Result{}, a.finalError(err)
		}
		a.lastErr = err
	}
	return a.lookUpAfterConflicts(ctx)
}

// IsFinal reports whether an answer with this code to a repeated edit also settles
// the earlier calls with the same id. Other codes, as in an outage of the table
// service, only say what their own call did: a commit of an earlier call may still
// take effect.
func IsFinal(code core.Code) bool {
	switch code {
	case core.CodeOK, core.CodeInvalidField, core.CodeInvalidRow, core.CodeDanglingJoin,
		core.CodeUnknownEntity, core.CodeRevisionConflict, core.CodeKeyReused:
		return true
	default:
		return false
	}
}

// waitBackoff waits for an exponential backoff with full jitter. It does not
// wait before the first attempt.
func waitBackoff(ctx context.Context, attemptNumber int) error {
	if attemptNumber == 0 {
		return ctx.Err()
	}
	limit := min(initialBackoff<<min(attemptNumber, 8), maxBackoff)
	timer := time.NewTimer(rand.N(limit))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// applyOperation is one call of Apply.
type applyOperation struct {
	editor  *Editor
	request Request
	// outcomeUnknown is set while a commit whose reply was lost may still take
	// effect. It can do so only while the head row has the version
	// unknownHeadVersion.
	outcomeUnknown     bool
	unknownHeadVersion uint64
	lastErr            error
}

var errDirectEditsAccepted = errors.New("direct edits were accepted before this edit, which must be retried")

func (a *applyOperation) attempt(ctx context.Context) (Result, error) {
	v, err := a.editor.scanForEdit(ctx, a.request.ID)
	if err != nil {
		return Result{}, err
	}
	if v.firstRecord != nil {
		a.outcomeUnknown = false
		return a.firstResult(v)
	}
	if a.outcomeUnknown && v.headVersion != a.unknownHeadVersion {
		a.outcomeUnknown = false
	}
	if !a.request.DryRun && v.hasDirectEdits() {
		if err := a.editor.commitDirectEdits(ctx, v); err != nil && core.CodeOf(err) != core.CodeStoreConflict {
			return Result{}, err
		}
		return Result{}, errDirectEditsAccepted
	}
	planned, err := a.editor.plan(ctx, v, a.request)
	if err != nil || a.request.DryRun {
		return planned.result, err
	}
	err = a.editor.config.Tables.Commit(ctx, planned.txn)
	if core.CodeOf(err) == core.CodeStoreOutcomeLost {
		a.outcomeUnknown = true
		a.unknownHeadVersion = v.headVersion
	}
	if err != nil {
		return Result{}, err
	}
	return planned.result, nil
}

// lookUpAfterConflicts returns the outcome of an operation that has used all its
// attempts. The last conflict may come from a late commit of an earlier call with
// the same id.
func (a *applyOperation) lookUpAfterConflicts(ctx context.Context) (Result, error) {
	v, err := a.editor.scanForEdit(ctx, a.request.ID)
	switch {
	case err != nil && a.outcomeUnknown:
		return Result{}, a.finalError(a.lastErr)
	case err != nil:
		return Result{}, a.finalError(err)
	case v.firstRecord != nil:
		a.outcomeUnknown = false
		return a.firstResult(v)
	}
	a.outcomeUnknown = a.outcomeUnknown && v.headVersion == a.unknownHeadVersion
	return Result{}, a.finalError(a.lastErr)
}

// firstResult returns the result of the earlier edit with the same id.
func (a *applyOperation) firstResult(v view) (Result, error) {
	digest, err := a.request.digest()
	if err != nil {
		return Result{}, err
	}
	if v.firstRecord.RequestDigest != digest {
		return Result{}, core.NewRefusal(core.CodeKeyReused, 0, "edit_id %q was already used for a different edit, accepted as revision %d", a.request.ID, v.firstRecord.Revision)
	}
	return Result{Revision: v.firstRecord.Revision, Changes: tables.Describe(v.firstRecord.Changes)}, nil
}

func (a *applyOperation) isRetryable(err error) bool {
	if errors.Is(err, errDirectEditsAccepted) {
		return true
	}
	switch core.CodeOf(err) {
	case core.CodeStoreConflict, core.CodeStoreOutcomeLost:
		return true
	case core.CodeStoreUnavailable, core.CodeStoreThrottled:
		return a.outcomeUnknown
	default:
		return false
	}
}

// finalError returns the error of an edit that was not accepted or whose outcome
// is unknown.
func (a *applyOperation) finalError(err error) error {
	if a.outcomeUnknown {
		return core.Wrap(err, core.CodeEditUnknown, core.ExecutionUnknown, "edit %q", a.request.ID)
	}
	if core.CodeOf(err) == core.CodeStoreConflict || errors.Is(err, errDirectEditsAccepted) {
		return core.Wrap(err, core.CodeRevisionConflict, core.ExecutionNotRun, "edit %q conflicts with concurrent edits", a.request.ID)
	}
	if core.ExecutionOf(err) != core.ExecutionNotRun {
		return core.Wrap(err, core.CodeStoreUnavailable, core.ExecutionNotRun, "edit %q", a.request.ID)
	}
	return err
}
