// Package convert converts between the generated types of the HTTP API and the
// rows of the configuration tables, and between errors and API problems.
package convert

import (
	"fmt"

	"currantusher.dev/api/oas"
	"currantusher.dev/core"
	"currantusher.dev/tables"
)

// TablesToAPI converts all rows to their API types.
func TablesToAPI(rows tables.Rows) *oas.Tables {
	return &oas.Tables{
		Revision:    int64(rows.Revision),
		Routes:      mapSlice(rows.Routes, RouteToAPI),
		Pools:       mapSlice(rows.Pools, PoolToAPI),
		DataCentres: mapSlice(rows.DataCentres, DataCentreToAPI),
		Teams:       mapSlice(rows.Teams, TeamToAPI),
	}
}

// RouteToAPI converts the row of a route to its API type.
func RouteToAPI(r tables.Route) oas.RouteRow {
	return oas.RouteRow{
		Name:            string(r.Name),
		Pool:            string(r.Pool),
		AtMostOnce:      oas.NewOptBool(r.AtMostOnce),
		Path:            optString(r.Path),
		DeadlineMillis:  optInt64(r.DeadlineMillis),
		ObjectiveMillis: optInt64(r.ObjectiveMillis),
		ObjectiveRatio:  optFloat(r.ObjectiveRatio),
	}
}

// PoolToAPI converts the row of a pool to its API type.
func PoolToAPI(p tables.Pool) oas.Pool {
	weights := ""
	if !p.Weights.IsZero() {
		weights = p.Weights.String()
	}
	return oas.Pool{
		Name:    string(p.Name),
		Group:   string(p.Group),
		Kind:    oas.PoolKind(p.Kind),
		Weights: optString(weights),
		Limits: oas.Limits{
			ColdRequests: p.Limits.ColdRequests,
			WarmRequests: p.Limits.WarmRequests,
			WarmTokens:   optInt(p.Limits.WarmTokens),
		},
		MaxUnavailable: optInt(p.MaxUnavailable),
	}
}

// DataCentreToAPI converts the row of a data centre to its API type.
func DataCentreToAPI(d tables.DataCentreRow) oas.DataCentre {
	return oas.DataCentre{
		Name:   string(d.Name),
		Region: string(d.Region),
		State:  oas.DataCentreState(d.State),
	}
}

// TeamToAPI converts the row of a team to its API type.
func TeamToAPI(t tables.TeamRow) oas.Team {
	return oas.Team{Name: string(t.Name), Weight: t.Weight}
}

// RowsFromAPI returns the rows that an API edit sets. The error names the field
// and its value.
func RowsFromAPI(edit *oas.Edit) (tables.Rows, error) {
	pools := make([]tables.Pool, 0, len(edit.SetPools))
	for _, pool := range edit.SetPools {
		row, err := PoolFromAPI(pool)
		if err != nil {
			return tables.Rows{}, err
		}
		pools = append(pools, row)
	}
	return tables.Rows{
		Routes:      mapSlice(edit.SetRoutes, RouteFromAPI),
		Pools:       pools,
		DataCentres: mapSlice(edit.SetDataCentres, DataCentreFromAPI),
		Teams:       mapSlice(edit.SetTeams, TeamFromAPI),
	}, nil
}

// RouteFromAPI converts a route of the API to its row.
func RouteFromAPI(r oas.RouteRow) tables.Route {
	return tables.Route{
		Name:            core.RouteName(r.Name),
		Pool:            core.PoolName(r.Pool),
		AtMostOnce:      r.AtMostOnce.Or(false),
		Path:            r.Path.Or(""),
		DeadlineMillis:  r.DeadlineMillis.Or(0),
		ObjectiveMillis: r.ObjectiveMillis.Or(0),
		ObjectiveRatio:  r.ObjectiveRatio.Or(0),
	}
}

// PoolFromAPI converts a pool of the API to its row.
func PoolFromAPI(p oas.Pool) (tables.Pool, error) {
	weights, err := core.ParseDigest(p.Weights.Or(""))
	if err != nil {
		return tables.Pool{}, core.NewRefusal(core.CodeInvalidRow, 0, "pool %q: weights: %v", p.Name, err)
	}
	return tables.Pool{
		Name:    core.PoolName(p.Name),
		Group:   core.Group(p.Group),
		Kind:    tables.PoolKind(p.Kind),
		Weights: weights,
		Limits: tables.Limits{
			ColdRequests: p.Limits.ColdRequests,
			WarmRequests: p.Limits.WarmRequests,
			WarmTokens:   p.Limits.WarmTokens.Or(0),
		},
		MaxUnavailable: p.MaxUnavailable.Or(0),
	}, nil
}

// DataCentreFromAPI converts a data centre of the API to its row.
func DataCentreFromAPI(d oas.DataCentre) tables.DataCentreRow {
	return tables.DataCentreRow{
		Name:   core.DataCentre(d.Name),
		Region: core.Region(d.Region),
		State:  tables.DataCentreState(d.State),
	}
}

// TeamFromAPI converts a team of the API to its row.
func TeamFromAPI(t oas.Team) tables.TeamRow {
	return tables.TeamRow{Name: core.Team(t.Name), Weight: t.Weight}
}

// ProblemFromError returns the problem response for an error. requestID may be
// empty.
func ProblemFromError(err error, requestID string) *oas.ProblemStatusCodeWithHeaders {
	code := core.CodeOf(err)
	info := code.Info()
	problem := oas.Problem{
		Code:      int(code),
		Name:      info.Name,
		Work:      oas.ProblemWork(core.ExecutionOf(err).String()),
		Detail:    core.DetailWithCausesOf(err),
		RequestID: optString(requestID),
	}
	result := &oas.ProblemStatusCodeWithHeaders{StatusCode: info.HTTPStatus, Response: problem}
	if retryAfter := core.RetryAfterOf(err); retryAfter > 0 {
		result.Response.RetryAfterMillis = oas.NewOptInt64(retryAfter.Milliseconds())
		result.RetryAfter = oas.NewOptInt(RetryAfterSeconds(retryAfter.Milliseconds()))
	}
	return result
}

// ErrorFromProblem returns an error with the code, name, execution and detail of a
// problem response.
func ErrorFromProblem(problem *oas.ProblemStatusCodeWithHeaders) error {
	return fmt.Errorf("%d %s (%s): %s", problem.Response.Code, problem.Response.Name, problem.Response.Work, problem.Response.Detail)
}

const millisPerSecond = 1000

// RetryAfterSeconds rounds milliseconds up to whole seconds for the header
// Retry-After.
func RetryAfterSeconds(millis int64) int {
	return int((millis + millisPerSecond - 1) / millisPerSecond)
}

func mapSlice[From, To any](from []From, convert func(From) To) []To {
	to := make([]To, 0, len(from))
	for _, item := range from {
		to = append(to, convert(item))
	}
	return to
}

func optString(value string) oas.OptString {
	return oas.OptString{Value: value, Set: value != ""}
}

func optInt(value int) oas.OptInt {
	return oas.OptInt{Value: value, Set: value != 0}
}

func optInt64(value int64) oas.OptInt64 {
	return oas.OptInt64{Value: value, Set: value != 0}
}

func optFloat(value float64) oas.OptFloat64 {
	return oas.OptFloat64{Value: value, Set: value != 0}
}
