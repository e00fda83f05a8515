package scenario

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"currantusher.dev/bench/fleet"
	"currantusher.dev/bench/measure"
	"currantusher.dev/core"
	"currantusher.dev/standin/backend"
	"currantusher.dev/standin/origin"
	"currantusher.dev/standin/store"
	"currantusher.dev/tables"
)

// Heal ends a fault.
type Heal func(ctx context.Context) error

// Fault is one kind of fault or change. Begin picks its target with rng.
type Fault struct {
	Name  string
	Begin func(ctx context.Context, e *Experiment, rng *rand.Rand) (Heal, error)
}

const (
	slowFactor      = 8.0
	storeSlowMillis = 800
	loseAnswers     = 0.3
	lateMillis      = 1500
	faultyAnswers   = 3
	originEvery     = 3
	restartGap      = 500 * time.Millisecond
)

func healed(context.Context) error { return nil }

// Faults returns the catalogue in a fixed order.
func Faults() []Fault {
	return []Fault{
		{"burst", beginBurst},
		{"edit", beginEdit},
		{"data-centre-out", beginOut},
		{"entry-kill", restart(entryIDs, false)},
		{"entry-stop", restart(entryIDs, true)},
		{"agent-kill", restart(agentIDs, false)},
		{"agent-stop", restart(agentIDs, true)},
		{"engine-crash", beginCrash},
		{"backend-restart", onBackend(anyKind, backend.Faults{RestartEmpty: true})},
		{"backend-cold", onBackend(anyKind, backend.Faults{TurnCold: true})},
		{"answers-late", onBackend(anyKind, backend.Faults{LateAnswers: faultyAnswers, LateMillis: lateMillis})},
		{"answers-crossed", onBackend(anyKind, backend.Faults{CrossedAnswers: faultyAnswers})},
		{"answers-doubled", onBackend(tables.PoolService, backend.Faults{DoubledAnswers: faultyAnswers})},
		{"answers-cut", onBackend(anyKind, backend.Faults{CutAnswers: faultyAnswers})},
		{"chunks-corrupt", onBackend(tables.PoolEngine, backend.Faults{CorruptChunks: 1})},
		{"backend-slow", beginSlow},
		{"store-down", onStore(store.Faults{Down: true})},
		{"store-slow", onStore(store.Faults{SlowMillis: storeSlowMillis})},
		{"store-lost", onStore(store.Faults{LoseAnswers: loseAnswers})},
		{"store-old", onStore(store.Faults{StaleReads: true})},
		{"list-down", onStore(store.Faults{ListDown: true})},
		{"origin-corrupt", onOrigin(origin.Faults{Fault: origin.FaultCorrupt, Every: originEvery})},
		{"origin-throttle", onOrigin(origin.Faults{Fault: origin.FaultThrottle, Every: originEvery})},
		{"region-cut", beginCut},
		{"instance-isolated", beginIsolated},
	}
}

// FaultNamed returns one fault of the catalogue.
func FaultNamed(name string) (Fault, error) {
	var names []string
	for _, fault := range Faults() {
		if fault.Name == name {
			return fault, nil
		}
		names = append(names, fault.Name)
	}
	return Fault{}, fmt.Errorf("fault %q: want one of %v", name, names)
}

// FaultNames returns the names of faults.
func FaultNames(faults []Fault) []string {
	names := make([]string, 0, len(faults))
	for _, fault := range faults {
		names = append(names, fault.Name)
	}
	return names
}

func choose[T any](rng *rand.Rand, from []T) T { return from[rng.IntN(len(from))] }

func beginBurst(ctx context.Context, e *Experiment, _ *rand.Rand) (Heal, error) {
	return healed, e.Burst(ctx, "")
}

func beginEdit(ctx context.Context, e *Experiment, _ *rand.Rand) (Heal, error) {
	return healed, e.Edit(ctx)
}

func beginOut(ctx context.Context, e *Experiment, rng *rand.Rand) (Heal, error) {
	name := choose(rng, e.cfg.Layout.DataCentreNames())
	if err := e.Out(ctx, name); err != nil {
		return nil, err
	}
	return func(ctx context.Context) error { return e.In(ctx, name) }, nil
}

func entryIDs(s *fleet.Site) []core.InstanceID { return s.EntryIDs() }

func agentIDs(s *fleet.Site) []core.InstanceID { return s.AgentIDs() }

func restart(from func(*fleet.Site) []core.InstanceID, graceful bool) func(context.Context, *Experiment, *rand.Rand) (Heal, error) {
	return func(ctx context.Context, e *Experiment, rng *rand.Rand) (Heal, error) {
		id := choose(rng, from(e.Site))
		e.cfg.Log("replacing %s, gracefully: %t", id, graceful)
		err := e.Site.Restart(ctx, id, graceful, restartGap)
		if errors.Is(err, fleet.ErrChanging) {
			err = nil
		}
		return healed, err
	}
}

// anyKind selects all backend servers.
const anyKind tables.PoolKind = ""

func pickBackend(e *Experiment, rng *rand.Rand, kind tables.PoolKind) measure.Backend {
	all := slices.DeleteFunc(slices.Clone(e.Site.Backends.All), func(one measure.Backend) bool {
		return kind != anyKind && one.Kind != kind
	})
	return choose(rng, all)
}

func onBackend(kind tables.PoolKind, faults backend.Faults) func(context.Context, *Experiment, *rand.Rand) (Heal, error) {
	return func(ctx context.Context, e *Experiment, rng *rand.Rand) (Heal, error) {
		one := pickBackend(e, rng, kind)
		e.cfg.Log("faults at %s", one.ID)
		return healed, e.Site.Backends.InjectFaults(ctx, one, faults)
	}
}

func beginCrash(ctx context.Context, e *Experiment, rng *rand.Rand) (Heal, error) {
	one := pickBackend(e, rng, tables.PoolEngine)
	if err := e.Site.Backends.InjectFaults(ctx, one, backend.Faults{Crash: true}); err != nil {
		return nil, err
	}
	return func(ctx context.Context) error {
		return e.Site.Backends.InjectFaults(ctx, one, backend.Faults{RestartEmpty: true})
	}, nil
}

func beginSlow(ctx context.Context, e *Experiment, rng *rand.Rand) (Heal, error) {
	one := pickBackend(e, rng, anyKind)
	slow, usual := slowFactor, 1.0
	if err := e.Site.Backends.InjectFaults(ctx, one, backend.Faults{SlowFactor: &slow}); err != nil {
		return nil, err
	}
	return func(ctx context.Context) error {
		return e.Site.Backends.InjectFaults(ctx, one, backend.Faults{SlowFactor: &usual})
	}, nil
}

func onStore(faults store.Faults) func(context.Context, *Experiment, *rand.Rand) (Heal, error) {
	return func(_ context.Context, e *Experiment, _ *rand.Rand) (Heal, error) {
		e.Site.Store.SetFaults(faults)
		return func(context.Context) error {
			e.Site.Store.SetFaults(store.Faults{})
			return nil
		}, nil
	}
}

func onOrigin(faults origin.Faults) func(context.Context, *Experiment, *rand.Rand) (Heal, error) {
	return func(_ context.Context, e *Experiment, _ *rand.Rand) (Heal, error) {
		e.Site.Origin.SetFaults(faults)
		return func(context.Context) error {
			e.Site.Origin.SetFaults(origin.Faults{})
			return nil
		}, nil
	}
}

func beginCut(_ context.Context, e *Experiment, rng *rand.Rand) (Heal, error) {
	names := e.cfg.Layout.DataCentreNames()
	if len(names) < 2 {
		return healed, nil
	}
	first := rng.IntN(len(names))
	a, b := names[first], names[(first+1)%len(names)]
	e.cfg.Log("cut between %s and %s", a, b)
	e.Site.Network.SetPartitioned(a, b, true)
	return func(context.Context) error {
		e.Site.Network.SetPartitioned(a, b, false)
		return nil
	}, nil
}

func beginIsolated(_ context.Context, e *Experiment, rng *rand.Rand) (Heal, error) {
	id := choose(rng, append(e.Site.EntryIDs(), e.Site.AgentIDs()...))
	e.cfg.Log("%s is isolated", id)
	e.Site.Network.SetIsolated(id, true)
	return func(context.Context) error {
		e.Site.Network.SetIsolated(id, false)
		return nil
	}, nil
}
