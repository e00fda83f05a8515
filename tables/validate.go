package tables

import (
	"errors"
	"fmt"
	"strings"

	"currantusher.dev/core"
)

const (
	maxTeamWeight     = 1000
	maxDeadlineMillis = 10 * 60 * 1000
)

// validateRows returns an error that joins all faults of individual rows, all
// duplicate names and all groups that belong to several pools.
func validateRows(rows Rows) error {
	var faults []error
	seen := map[string]bool{}
	collect := func(kind, name string, err error) {
		if err != nil {
			faults = append(faults, err)
		}
		key := kind + " " + name
		if seen[key] {
			faults = append(faults, fmt.Errorf("%s %q: defined more than once", kind, name))
		}
		seen[key] = true
	}
	for _, route := range rows.Routes {
		collect("route", string(route.Name), route.Validate())
	}
	for _, pool := range rows.Pools {
		collect("pool", string(pool.Name), pool.Validate())
		collect("pool group", string(pool.Group), nil)
	}
	for _, dc := range rows.DataCentres {
		collect("data centre", string(dc.Name), dc.Validate())
	}
	for _, team := range rows.Teams {
		collect("team", string(team.Name), team.Validate())
	}
	return errors.Join(faults...)
}

// Validate implements Row. It does not check that the pool exists.
func (r Route) Validate() error {
	if err := core.CheckName("route name", string(r.Name)); err != nil {
		return err
	}
	if err := core.CheckName("route pool", string(r.Pool)); err != nil {
		return err
	}
	if r.Path != "" && !strings.HasPrefix(r.Path, "/") {
		return fmt.Errorf("route %q: path %q must start with /", r.Name, r.Path)
	}
	if r.DeadlineMillis < 0 || r.DeadlineMillis > maxDeadlineMillis {
		return fmt.Errorf("route %q: deadline_millis %d must be 0 to %d", r.Name, r.DeadlineMillis, maxDeadlineMillis)
	}
	if r.ObjectiveMillis < 0 {
		return fmt.Errorf("route %q: objective_millis %d must not be negative", r.Name, r.ObjectiveMillis)
	}
	if r.ObjectiveRatio < 0 || r.ObjectiveRatio >= 1 {
		return fmt.Errorf("route %q: objective_ratio %v must be at least 0 and below 1", r.Name, r.ObjectiveRatio)
	}
	return nil
}

// Validate implements Row. It does not check that the group is unique.
func (p Pool) Validate() error {
	if err := core.CheckName("pool name", string(p.Name)); err != nil {
		return err
	}
	if err := core.CheckName("pool group", string(p.Group)); err != nil {
		return err
	}
	if p.Kind != PoolEngine && p.Kind != PoolService {
		return fmt.Errorf("pool %q: kind %q must be %q or %q", p.Name, p.Kind, PoolEngine, PoolService)
	}
	if p.Kind == PoolService && !p.Weights.IsZero() {
		return fmt.Errorf("pool %q: a service pool must not have weights", p.Name)
	}
	if p.MaxUnavailable < 0 {
		return fmt.Errorf("pool %q: max_unavailable %d must not be negative", p.Name, p.MaxUnavailable)
	}
	return p.Limits.validate(p.Name)
}

func (l Limits) validate(pool core.PoolName) error {
	if l.ColdRequests < 1 {
		return fmt.Errorf("pool %q: cold_requests %d must be at least 1", pool, l.ColdRequests)
	}
	if l.WarmRequests < l.ColdRequests {
		return fmt.Errorf("pool %q: warm_requests %d must be at least cold_requests %d", pool, l.WarmRequests, l.ColdRequests)
	}
	if l.WarmTokens < 0 {
		return fmt.Errorf("pool %q: warm_tokens %d must not be negative", pool, l.WarmTokens)
	}
	return nil
}

// Validate implements Row.
func (d DataCentreRow) Validate() error {
	if err := core.CheckName("data centre name", string(d.Name)); err != nil {
		return err
	}
	if err := core.CheckName("data centre region", string(d.Region)); err != nil {
		return err
	}
	if d.State != DataCentreIn && d.State != DataCentreOut {
		return fmt.Errorf("data centre %q: state %q must be %q or %q", d.Name, d.State, DataCentreIn, DataCentreOut)
	}
	return nil
}

// Validate implements Row.
func (t TeamRow) Validate() error {
	if err := core.CheckName("team name", string(t.Name)); err != nil {
		return err
	}
	if t.Weight < 1 || t.Weight > maxTeamWeight {
		return fmt.Errorf("team %q: weight %d must be 1 to %d", t.Name, t.Weight, maxTeamWeight)
	}
	return nil
}
