// Package edit accepts changes of the configuration tables. An edit is one
// transaction of the table service that compares and sets the head row, so it
// takes effect whole or not at all, and exactly once also when the answer of
// the table service is lost.
//
// The tables that automation may write directly (tables.Names) stand beside
// accepted copies that only this package writes. An edit writes both. A direct
// edit differs from the accepted copy until Absorb accepts it as a revision of
// its own; rows that cannot be accepted keep their accepted copy in force.
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
	defaultRetention  = 2000
	defaultMaxChanges = 256
	defaultTries      = 12
	backoffStart      = 20 * time.Millisecond
	backoffLimit      = 500 * time.Millisecond

	maxIDLength     = 64
	maxAuthorLength = 64
	// directPrefix starts the edit ids of absorbed direct edits.
	directPrefix = "direct-"
	directAuthor = "direct"
)

// Config holds the settings of an Editor.
type Config struct {
	Tables platform.Tables
	// Now replaces the clock that dates accepted revisions.
	Now func() time.Time
	// Retention is the number of revisions kept in the history. An edit id is
	// recognised, and a revision can be rolled back to, while it is kept.
	Retention core.Revision
	// MaxChanges bounds the rows that one edit changes.
	MaxChanges int
	// Tries bounds the transactions of one Apply.
	Tries int
	// Log receives reports. nil discards them.
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
	if c.Tries == 0 {
		c.Tries = defaultTries
	}
	if c.Log == nil {
		logger := logrus.New()
		logger.SetLevel(logrus.PanicLevel)
		c.Log = logrus.NewEntry(logger)
	}
}

// Request is one edit.
type Request struct {
	// ID makes the edit idempotent: a repeat returns the first result.
	ID     string
	Author string
	// IfRevision is the revision that the edit was based on. 0 merges the edit
	// row by row into whatever is accepted.
	IfRevision core.Revision
	// DryRun returns the changes without making them.
	DryRun bool
	// RollbackTo makes the rows of an earlier revision a new revision. It
	// excludes the fields below.
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
	case strings.HasPrefix(r.ID, directPrefix):
		return core.NewRefusal(core.CodeInvalidField, 0, "edit_id %q must not start with %q", r.ID, directPrefix)
	case len(r.Author) > maxAuthorLength:
		return core.NewRefusal(core.CodeInvalidField, 0, "author must be at most %d characters", maxAuthorLength)
	case r.RollbackTo != 0 && (len(r.Set.All()) > 0 || len(r.deletes()) > 0):
		return core.NewRefusal(core.CodeInvalidField, 0, "rollback_to excludes other changes")
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
	// Revision is the accepted revision; for a dry run the one that the
	// changes are relative to.
	Revision core.Revision
	Changes  []string
	// Rows is the configuration at Revision, for spreading it at once. It is
	// empty for a dry run and for a repeat of an earlier edit.
	Rows tables.Rows
}

// prober is a table service that can be asked past its breaker.
type prober interface {
	Probe() platform.Tables
}

// Editor accepts edits. It keeps no state and is safe for concurrent use.
type Editor struct {
	config Config
	log    *logrus.Entry
	// heads reads the head row. Each read must ask the table service, because
	// a failure counts as a sign of an outage.
	heads platform.Tables
}

// New returns an Editor.
func New(config Config) *Editor {
	config.applyDefaults()
	e := &Editor{config: config, log: config.Log.WithField("part", "edit"), heads: config.Tables}
	if service, ok := config.Tables.(prober); ok {
		e.heads = service.Probe()
	}
	return e
}

// Apply makes an edit. Codes of its errors: CodeInvalidField, CodeInvalidRow,
// CodeDanglingJoin, CodeUnknownEntity, CodeRevisionConflict and CodeKeyReused
// say that nothing was changed, as do the store's codes; CodeEditUnknown says
// that it is not known, and that the same edit id must be used to ask again.
func (e *Editor) Apply(ctx context.Context, request Request) (Result, error) {
	if err := request.validate(); err != nil {
		return Result{}, err
	}
	a := application{editor: e, request: request}
	for try := range e.config.Tries {
		if err := pause(ctx, try); err != nil {
			return Result{}, a.gaveUp(err)
		}
		result, err := a.attempt(ctx)
		if err == nil {
			return result, nil
		}
		if !a.mayRetry(err) {
			return Result{}, a.gaveUp(err)
		}
		a.last = err
	}
	return Result{}, a.gaveUp(a.last)
}

// pause waits a jittered time that grows with the number of tries.
func pause(ctx context.Context, try int) error {
	if try == 0 {
		return ctx.Err()
	}
	limit := min(backoffStart<<min(try, 8), backoffLimit)
	timer := time.NewTimer(rand.N(limit))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// application is one Apply in progress.
type application struct {
	editor  *Editor
	request Request
	// pending is set while a commit whose answer was lost may still take
	// effect; it needs the head row at pendingHead.
	pending     bool
	pendingHead uint64
	last        error
}

var errAbsorbed = errors.New("direct edits were accepted first")

func (a *application) attempt(ctx context.Context) (Result, error) {
	view, err := a.editor.read(ctx, a.request.ID)
	if err != nil {
		return Result{}, err
	}
	if view.first != nil {
		a.pending = false
		return a.repeat(view)
	}
	if a.pending && view.headVersion != a.pendingHead {
		a.pending = false
	}
	if !a.request.DryRun && view.dirty() {
		if err := a.editor.absorb(ctx, view); err != nil && core.CodeOf(err) != core.CodeStoreConflict {
			return Result{}, err
		}
		return Result{}, errAbsorbed
	}
	planned, err := a.editor.plan(ctx, view, a.request)
	if err != nil || a.request.DryRun {
		return planned.result, err
	}
	err = a.editor.config.Tables.Commit(ctx, planned.txn)
	if core.CodeOf(err) == core.CodeStoreOutcomeLost {
		a.pending = true
		a.pendingHead = view.headVersion
	}
	if err != nil {
		return Result{}, err
	}
	return planned.result, nil
}

// repeat returns the result of the first edit with this id.
func (a *application) repeat(view view) (Result, error) {
	digest, err := a.request.digest()
	if err != nil {
		return Result{}, err
	}
	if view.first.Request != digest {
		return Result{}, core.NewRefusal(core.CodeKeyReused, 0, "edit_id %q was used by revision %d for another edit", a.request.ID, view.first.Revision)
	}
	return Result{Revision: view.first.Revision, Changes: tables.Describe(view.first.Changes)}, nil
}

func (a *application) mayRetry(err error) bool {
	if errors.Is(err, errAbsorbed) {
		return true
	}
	switch core.CodeOf(err) {
	case core.CodeStoreConflict, core.CodeStoreOutcomeLost:
		return true
	case core.CodeStoreUnavailable, core.CodeStoreThrottled:
		return a.pending
	default:
		return false
	}
}

// gaveUp returns the error of an edit that was not accepted as far as is known.
func (a *application) gaveUp(err error) error {
	if a.pending {
		return core.Wrap(err, core.CodeEditUnknown, core.ExecutionUnknown, "edit %q", a.request.ID)
	}
	if core.CodeOf(err) == core.CodeStoreConflict || errors.Is(err, errAbsorbed) {
		return core.Wrap(err, core.CodeRevisionConflict, core.ExecutionNotRun, "edit %q lost to other edits", a.request.ID)
	}
	if core.ExecutionOf(err) != core.ExecutionNotRun {
		return core.Wrap(err, core.CodeStoreUnavailable, core.ExecutionNotRun, "edit %q", a.request.ID)
	}
	return err
}
