package entry

import (
	"context"
	"crypto/subtle"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-faster/jx"
	"github.com/ogen-go/ogen/ogenerrors"

	"currantusher.dev/api/oas"
	"currantusher.dev/core"
	"currantusher.dev/core/invariant"
	"currantusher.dev/core/netlimit"
	"currantusher.dev/daemon/convert"
	"currantusher.dev/platform"
	"currantusher.dev/tables"
	"currantusher.dev/tables/edit"
)

// transferRetryAfter is the pause after a refusal for lack of transfer memory.
const transferRetryAfter = time.Second

// api implements the HTTP API for callers and operators on top of an Entry.
type api struct {
	entry *Entry
}

// ListEntries implements oas.Handler.
func (a *api) ListEntries(_ context.Context, params oas.ListEntriesParams) (*oas.EntryList, error) {
	e := a.entry
	dataCentre := core.DataCentre(params.DataCentre.Or(string(e.config.DataCentre)))
	// A new random salt for each response distributes the callers over the
	// entries. Each caller caches its response for the TTL.
	addresses := e.directory.AddressesWithSalt(dataCentre, e.isDataCentreOut, rand.Uint64())
	list := &oas.EntryList{TTLSeconds: int(e.config.AddressTTL.Seconds())}
	for _, address := range addresses {
		list.Entries = append(list.Entries, oas.EntryAddress{
			Address:    e.scheme() + address.HTTPAddr,
			DataCentre: string(address.DataCentre),
		})
	}
	return list, nil
}

// GetTables implements oas.Handler.
func (a *api) GetTables(context.Context) (*oas.Tables, error) {
	current := a.entry.spread.Current()
	if current == nil {
		return nil, newNotReadyError()
	}
	return convert.TablesToAPI(current.Rows()), nil
}

func newNotReadyError() error {
	return core.NewRefusal(core.CodeNotReady, notReadyRetryAfter, "this entry has not received a configuration yet")
}

// ApplyEdit implements oas.Handler.
func (a *api) ApplyEdit(ctx context.Context, request *oas.Edit) (*oas.EditResult, error) {
	rows, err := convert.RowsFromAPI(request)
	if err != nil {
		return nil, err
	}
	result, err := a.entry.editor.Apply(ctx, edit.Request{
		ID:                request.EditID,
		Author:            request.Author.Or(""),
		IfRevision:        core.Revision(request.IfRevision.Or(0)),
		DryRun:            request.DryRun.Or(false),
		RollbackTo:        core.Revision(request.RollbackTo.Or(0)),
		Set:               rows,
		DeleteRoutes:      toNames[core.RouteName](request.DeleteRoutes),
		DeletePools:       toNames[core.PoolName](request.DeletePools),
		DeleteDataCentres: toNames[core.DataCentre](request.DeleteDataCentres),
		DeleteTeams:       toNames[core.Team](request.DeleteTeams),
	})
	if err != nil {
		a.entry.log.edit.WithError(err).WithField("edit", request.EditID).Info("Edit refused.")
		return nil, err
	}
	a.entry.spread.PublishEdit(ctx, result.Rows)
	a.entry.log.edit.WithField("revision", result.Revision).WithField("edit", request.EditID).Info("Edit accepted.")
	return &oas.EditResult{Revision: int64(result.Revision), Changes: emptyIfNil(result.Changes)}, nil
}

func toNames[Name ~string](texts []string) []Name {
	result := make([]Name, 0, len(texts))
	for _, text := range texts {
		result = append(result, Name(text))
	}
	return result
}

func emptyIfNil[Item any](items []Item) []Item {
	if items == nil {
		return []Item{}
	}
	return items
}

// ListRevisions implements oas.Handler.
func (a *api) ListRevisions(ctx context.Context, params oas.ListRevisionsParams) ([]oas.RevisionRecord, error) {
	records, err := a.entry.editor.History(ctx, params.Limit.Or(defaultRevisionLimit))
	if err != nil {
		return nil, err
	}
	result := make([]oas.RevisionRecord, 0, len(records))
	for _, record := range records {
		result = append(result, oas.RevisionRecord{
			Revision:   int64(record.Revision),
			EditID:     record.EditID,
			Author:     oas.NewOptString(record.Author),
			AcceptedAt: oas.NewOptDateTime(record.AcceptedAt),
			Changes:    changeStrings(record.Changes),
		})
	}
	return result, nil
}

// DiffRevisions implements oas.Handler.
func (a *api) DiffRevisions(ctx context.Context, params oas.DiffRevisionsParams) ([]string, error) {
	changes, err := a.entry.editor.Diff(ctx, core.Revision(params.From), core.Revision(params.To))
	return emptyIfNil(changes), err
}

// GetInForce implements oas.Handler.
func (a *api) GetInForce(_ context.Context, params oas.GetInForceParams) (*oas.InForce, error) {
	inForce, missing := a.entry.directory.InForce(core.Revision(params.Revision))
	result := &oas.InForce{Revision: params.Revision, InForce: inForce, Missing: []string{}}
	for _, id := range missing {
		result.Missing = append(result.Missing, string(id))
	}
	return result, nil
}

// GetBurn implements oas.Handler.
func (a *api) GetBurn(context.Context) (*oas.BurnReport, error) {
	return burnToAPI(a.entry.burnReport()), nil
}

// NewError implements oas.Handler.
func (a *api) NewError(_ context.Context, err error) *oas.ProblemStatusCodeWithHeaders {
	return convert.ProblemFromError(classifyRequestError(err), "")
}

// classifyRequestError returns errors of the generated server with a result code
// and other errors unchanged.
func classifyRequestError(err error) error {
	if errors.Is(err, ogenerrors.ErrSecurityRequirementIsNotSatisfied) {
		return core.NewRefusal(core.CodeUnauthorized, 0, "the operator's bearer token is required")
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return core.NewRefusal(core.CodeBodyTooLarge, 0, "request body exceeds the limit of %d bytes", tooLarge.Limit)
	}
	if errors.Is(err, netlimit.ErrTransfers) {
		return core.NewRefusal(core.CodeTransferLimit, transferRetryAfter, "%v", netlimit.ErrTransfers)
	}
	var decodeRequest *ogenerrors.DecodeRequestError
	var decodeParams *ogenerrors.DecodeParamsError
	if errors.As(err, &decodeRequest) || errors.As(err, &decodeParams) {
		return core.NewRefusal(core.CodeInvalidField, 0, "%v", err)
	}
	return err
}

// HandleOperator implements oas.SecurityHandler.
func (a *api) HandleOperator(ctx context.Context, _ oas.OperationName, token oas.Operator) (context.Context, error) {
	operatorToken := []byte(a.entry.config.OperatorToken)
	if subtle.ConstantTimeCompare([]byte(token.Token), operatorToken) != 1 {
		return nil, core.NewRefusal(core.CodeUnauthorized, 0, "the bearer token is not the operator's token")
	}
	return ctx, nil
}

// GetStatus implements oas.Handler.
func (a *api) GetStatus(context.Context) (*oas.Status, error) {
	e := a.entry
	status := &oas.Status{
		Violations: int64(invariant.TotalViolations()),
		Daemons:    []oas.Daemon{},
		RowFaults:  rowFaultsToAPI(e.spread.RowFaults()),
	}
	if current := e.spread.Current(); current != nil {
		status.Revision = int64(current.Revision())
	}
	for _, daemon := range e.directory.Entries() {
		status.Daemons = append(status.Daemons, oas.Daemon{
			Instance:        string(daemon.Instance),
			Role:            string(platform.RoleEntry),
			DataCentre:      string(daemon.DataCentre),
			State:           daemon.State.String(),
			Address:         oas.NewOptString(daemon.HTTPAddr),
			Incarnation:     oas.NewOptInt64(int64(daemon.Incarnation)),
			Revision:        int64(daemon.Revision),
			ConfigAgeMillis: oas.NewOptInt64(daemon.ConfigAge.Milliseconds()),
		})
	}
	for _, group := range e.poolGroups() {
		for _, agent := range e.directory.Agents(group) {
			status.Daemons = append(status.Daemons, agentToAPI(group, agent))
		}
	}
	return status, nil
}

func digestString(d core.Digest) string {
	if d.IsZero() {
		return ""
	}
	return d.String()
}

func (e *Entry) poolGroups() []core.Group {
	current := e.spread.Current()
	if current == nil {
		return nil
	}
	var groups []core.Group
	for _, pool := range current.Rows().Pools {
		groups = append(groups, pool.Group)
	}
	return groups
}

func (e *Entry) isDataCentreOut(name core.DataCentre) bool {
	current := e.spread.Current()
	return current != nil && current.IsOut(name)
}

// SendRequest implements oas.RawHandler.
func (a *api) SendRequest(ctx context.Context, body jx.Raw, params oas.SendRequestParams, w http.ResponseWriter) error {
	return a.entry.serveRequest(ctx, []byte(body), params, w)
}

func changeStrings(changes []tables.Change) []string {
	texts := make([]string, 0, len(changes))
	for _, change := range changes {
		texts = append(texts, change.String())
	}
	return texts
}
