// Package convert translates between the API's generated types and the
// configuration tables' rows.
package convert

import (
	"fmt"

	"currantusher.dev/api/oas"
	"currantusher.dev/core"
	"currantusher.dev/tables"
)

// TablesToAPI returns the API's form of all rows.
func TablesToAPI(rows tables.Rows) *oas.Tables {
	return &oas.Tables{
		Revision:    int64(rows.Revision),
		Routes:      each(rows.Routes, RouteToAPI),
		Pools:       each(rows.Pools, PoolToAPI),
		DataCentres: each(rows.DataCentres, DataCentreToAPI),
		Teams:       each(rows.Teams, TeamToAPI),
	}
}

// RouteToAPI returns the API's form of a route.
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

// PoolToAPI returns the API's form of a pool.
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

// DataCentreToAPI returns the API's form of a data centre.
func DataCentreToAPI(d tables.DataCentreRow) oas.DataCentre {
	return oas.DataCentre{
		Name:   string(d.Name),
		Region: string(d.Region),
		State:  oas.DataCentreState(d.State),
	}
}

// TeamToAPI returns the API's form of a team.
func TeamToAPI(t tables.TeamRow) oas.Team {
	return oas.Team{Name: string(t.Name), Weight: t.Weight}
}

// RowsFromAPI returns the rows that an API edit sets. The error names the
// field and the value.
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
		Routes:      each(edit.SetRoutes, RouteFromAPI),
		Pools:       pools,
		DataCentres: each(edit.SetDataCentres, DataCentreFromAPI),
		Teams:       each(edit.SetTeams, TeamFromAPI),
	}, nil
}

// RouteFromAPI returns the row of a route.
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

// PoolFromAPI returns the row of a pool.
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

// DataCentreFromAPI returns the row of a data centre.
func DataCentreFromAPI(d oas.DataCentre) tables.DataCentreRow {
	return tables.DataCentreRow{
		Name:   core.DataCentre(d.Name),
		Region: core.Region(d.Region),
		State:  tables.DataCentreState(d.State),
	}
}

// TeamFromAPI returns the row of a team.
func TeamFromAPI(t oas.Team) tables.TeamRow {
	return tables.TeamRow{Name: core.Team(t.Name), Weight: t.Weight}
}

// Problem returns the API's form of an error.
func Problem(err error, requestID string) *oas.ProblemStatusCodeWithHeaders {
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
	if after := core.RetryAfterOf(err); after > 0 {
		result.Response.RetryAfterMillis = oas.NewOptInt64(after.Milliseconds())
		result.RetryAfter = oas.NewOptInt(RetrySeconds(after.Milliseconds()))
	}
	return result
}

// ErrorFromProblem returns the error that a problem reply describes.
func ErrorFromProblem(problem *oas.ProblemStatusCodeWithHeaders) error {
	return fmt.Errorf("%d %s (%s): %s", problem.Response.Code, problem.Response.Name, problem.Response.Work, problem.Response.Detail)
}

const millisPerSecond = 1000

// RetrySeconds rounds milliseconds up to whole seconds for Retry-After.
func RetrySeconds(millis int64) int {
	return int((millis + millisPerSecond - 1) / millisPerSecond)
}

func each[From, To any](from []From, convert func(From) To) []To {
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
