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

// Heal ends a fault. The Heal of a change or of a fault that ends on its own does
// nothing.
type Heal func(ctx context.Context) error

// Fault is one kind of fault or change. Begin picks the target with rng.
type Fault struct {
	Name  string
	Begin func(ctx context.Context, e *Experiment, rng *rand.Rand) (Heal, error)
}

const (
	slowFactor              = 8.0
	storeDelayMillis        = 800
	storeLostAnswerFraction = 0.3
	lateAnswerMillis        = 1500
	faultyAnswerCount       = 3
	originFaultEveryNth     = 3
	restartDelay            = 500 * time.Millisecond
)

func noHeal(context.Context) error { return nil }

// Faults returns all faults in a fixed order.
func Faults() []Fault {
	return []Fault{
		{"burst", beginRollout},
		{"edit", beginEdit},
		{"data-centre-out", beginDataCentreOut},
		{"entry-kill", restartInstance(entryIDs, false)},
		{"entry-stop", restartInstance(entryIDs, true)},
		{"agent-kill", restartInstance(agentIDs, false)},
		{"agent-stop", restartInstance(agentIDs, true)},
		{"engine-crash", beginEngineCrash},
		{"backend-restart", backendFault(anyKind, backend.Faults{RestartEmpty: true})},
		{"backend-cold", backendFault(anyKind, backend.Faults{TurnCold: true})},
		{"answers-late", backendFault(anyKind, backend.Faults{LateAnswers: faultyAnswerCount, LateMillis: lateAnswerMillis})},
		{"answers-crossed", backendFault(anyKind, backend.Faults{CrossedAnswers: faultyAnswerCount})},
		{"answers-doubled", backendFault(tables.PoolService, backend.Faults{DoubledAnswers: faultyAnswerCount})},
		{"answers-cut", backendFault(anyKind, backend.Faults{CutAnswers: faultyAnswerCount})},
		{"answers-unframed", backendFault(anyKind, backend.Faults{UnframedAnswers: faultyAnswerCount})},
		{"answers-broken-event", backendFault(tables.PoolEngine, backend.Faults{BrokenEvents: faultyAnswerCount})},
		{"answers-endless-head", backendFault(anyKind, backend.Faults{EndlessHeads: faultyAnswerCount})},
		{"answers-endless-body", backendFault(anyKind, backend.Faults{EndlessBodies: faultyAnswerCount})},
		{"chunks-corrupt", backendFault(tables.PoolEngine, backend.Faults{CorruptChunks: 1})},
		{"backend-slow", beginBackendSlow},
		{"store-down", storeFault(store.Faults{Down: true})},
		{"store-slow", storeFault(store.Faults{SlowMillis: storeDelayMillis})},
		{"store-lost", storeFault(store.Faults{LoseAnswers: storeLostAnswerFraction})},
		{"store-old", storeFault(store.Faults{StaleReads: true})},
		{"list-down", storeFault(store.Faults{ListDown: true})},
		{"origin-corrupt", originFault(origin.Faults{Fault: origin.FaultCorrupt, Every: originFaultEveryNth})},
		{"origin-throttle", originFault(origin.Faults{Fault: origin.FaultThrottle, Every: originFaultEveryNth})},
		{"region-cut", beginRegionCut},
		{"instance-isolated", beginInstanceIsolated},
	}
}

// FaultByName returns the fault with the given name.
func FaultByName(name string) (Fault, error) {
	var names []string
	for _, fault := range Faults() {
		if fault.Name == name {
			return fault, nil
		}
		names = append(names, fault.Name)
	}
	return Fault{}, fmt.Errorf("fault %q: want one of %v", name, names)
}

// FaultNames returns the names of the given faults.
func FaultNames(faults []Fault) []string {
	names := make([]string, 0, len(faults))
	for _, fault := range faults {
		names = append(names, fault.Name)
	}
	return names
}

func pickRandom[T any](rng *rand.Rand, items []T) T { return items[rng.IntN(len(items))] }

func beginRollout(ctx context.Context, e *Experiment, _ *rand.Rand) (Heal, error) {
	return noHeal, e.RollOut(ctx, "")
}

func beginEdit(ctx context.Context, e *Experiment, _ *rand.Rand) (Heal, error) {
	return noHeal, e.MeasureEdit(ctx)
}

func beginDataCentreOut(ctx context.Context, e *Experiment, rng *rand.Rand) (Heal, error) {
	name := pickRandom(rng, e.cfg.Layout.DataCentreNames())
	if err := e.TakeDataCentreOut(ctx, name); err != nil {
		return nil, err
	}
	return func(ctx context.Context) error { return e.BringDataCentreIn(ctx, name) }, nil
}

func entryIDs(d *fleet.Deployment) []core.InstanceID { return d.EntryIDs() }

func agentIDs(d *fleet.Deployment) []core.InstanceID { return d.AgentIDs() }

func restartInstance(instances func(*fleet.Deployment) []core.InstanceID, graceful bool) func(context.Context, *Experiment, *rand.Rand) (Heal, error) {
	return func(ctx context.Context, e *Experiment, rng *rand.Rand) (Heal, error) {
		id := pickRandom(rng, instances(e.Deployment))
		e.cfg.Log("restarting the daemon of %s, graceful: %t", id, graceful)
		err := e.Deployment.Restart(ctx, id, graceful, restartDelay)
		if errors.Is(err, fleet.ErrReplacing) {
			err = nil
		}
		return noHeal, err
	}
}

// anyKind selects backend servers of all kinds.
const anyKind tables.PoolKind = ""

func pickBackend(e *Experiment, rng *rand.Rand, kind tables.PoolKind) measure.Backend {
	candidates := slices.DeleteFunc(slices.Clone(e.Deployment.Backends.All), func(target measure.Backend) bool {
		return kind != anyKind && target.Kind != kind
	})
	return pickRandom(rng, candidates)
}

func backendFault(kind tables.PoolKind, faults backend.Faults) func(context.Context, *Experiment, *rand.Rand) (Heal, error) {
	return func(ctx context.Context, e *Experiment, rng *rand.Rand) (Heal, error) {
		target := pickBackend(e, rng, kind)
		e.cfg.Log("setting faults of backend server %s", target.ID)
		return noHeal, e.Deployment.Backends.InjectFaults(ctx, target, faults)
	}
}

func beginEngineCrash(ctx context.Context, e *Experiment, rng *rand.Rand) (Heal, error) {
	target := pickBackend(e, rng, tables.PoolEngine)
	if err := e.Deployment.Backends.InjectFaults(ctx, target, backend.Faults{Crash: true}); err != nil {
		return nil, err
	}
	return func(ctx context.Context) error {
		return e.Deployment.Backends.InjectFaults(ctx, target, backend.Faults{RestartEmpty: true})
	}, nil
}

func beginBackendSlow(ctx context.Context, e *Experiment, rng *rand.Rand) (Heal, error) {
	target := pickBackend(e, rng, anyKind)
	slow, normal := slowFactor, 1.0
	if err := e.Deployment.Backends.InjectFaults(ctx, target, backend.Faults{SlowFactor: &slow}); err != nil {
		return nil, err
	}
	return func(ctx context.Context) error {
		return e.Deployment.Backends.InjectFaults(ctx, target, backend.Faults{SlowFactor: &normal})
	}, nil
}

func storeFault(faults store.Faults) func(context.Context, *Experiment, *rand.Rand) (Heal, error) {
	return func(_ context.Context, e *Experiment, _ *rand.Rand) (Heal, error) {
		e.Deployment.Store.SetFaults(faults)
		return func(context.Context) error {
			e.Deployment.Store.SetFaults(store.Faults{})
			return nil
		}, nil
	}
}

func originFault(faults origin.Faults) func(context.Context, *Experiment, *rand.Rand) (Heal, error) {
	return func(_ context.Context, e *Experiment, _ *rand.Rand) (Heal, error) {
		e.Deployment.Origin.SetFaults(faults)
		return func(context.Context) error {
			e.Deployment.Origin.SetFaults(origin.Faults{})
			return nil
		}, nil
	}
}

func beginRegionCut(_ context.Context, e *Experiment, rng *rand.Rand) (Heal, error) {
	names := e.cfg.Layout.DataCentreNames()
	if len(names) < 2 {
		return noHeal, nil
	}
	first := rng.IntN(len(names))
	a, b := names[first], names[(first+1)%len(names)]
	e.cfg.Log("cutting the network between data centres %s and %s", a, b)
	e.Deployment.Network.SetPartitioned(a, b, true)
	return func(context.Context) error {
		e.Deployment.Network.SetPartitioned(a, b, false)
		return nil
	}, nil
}

func beginInstanceIsolated(_ context.Context, e *Experiment, rng *rand.Rand) (Heal, error) {
	id := pickRandom(rng, append(e.Deployment.EntryIDs(), e.Deployment.AgentIDs()...))
	e.cfg.Log("isolating instance %s from the network", id)
	e.Deployment.Network.SetIsolated(id, true)
	return func(context.Context) error {
		e.Deployment.Network.SetIsolated(id, false)
		return nil
	}, nil
}
