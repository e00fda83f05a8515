package agent

import (
	"context"

	"currantusher.dev/core"
	"currantusher.dev/daemon/peers"
	"currantusher.dev/members/lease"
	"currantusher.dev/weights/budget"
	"currantusher.dev/weights/engine"
	"currantusher.dev/weights/rollout"
	"currantusher.dev/weights/source"
	"currantusher.dev/weights/swarm"
)

func (a *Agent) wireWeights() error {
	if a.config.OriginURL == "" && a.config.WeightStoreURL == "" {
		return nil
	}
	sources, err := a.sources()
	if err != nil {
		return err
	}
	slots, err := rollout.NewClient(rollout.ClientConfig{
		Peer:        a.peer,
		Pool:        a.pool,
		Instance:    a.config.Instance,
		Incarnation: a.incarnation,
		ServerAddrs: func() []string { return peers.RankedEntryAddrs(a.reporter.Entries(), []byte(a.pool())) },
	})
	if err != nil {
		return err
	}
	a.swarm, err = swarm.New(swarm.Config{
		Self:             a.config.Instance,
		DataCentre:       a.config.DataCentre,
		Region:           a.config.Region,
		Incarnation:      a.incarnation,
		Peer:             a.peer,
		AdvertiseAddr:    a.PeerAddr(),
		Staging:          stagedEngine{Staging: engine.New(a.config.BackendURL, nil), agent: a},
		Sources:          sources,
		OriginGrants:     budget.NewGrantStore(a.platform),
		TrackerAddrs:     func(root core.Digest) []string { return peers.RankedEntryAddrs(a.reporter.Entries(), root[:]) },
		ActivationSlots:  slots,
		EngineLease:      orderLease{lease: a.lease, ignoresFence: a.config.EngineIgnoresFence},
		BandwidthLimiter: a.config.BandwidthLimiter,
		Log:              a.log.weights,
	})
	return err
}

func (a *Agent) sources() (swarm.Sources, error) {
	var sources swarm.Sources
	if a.config.OriginURL != "" {
		origin, err := source.New(source.Config{URL: a.config.OriginURL, DataCentre: a.config.DataCentre})
		if err != nil {
			return sources, err
		}
		sources.Origin = origin
	}
	if a.config.WeightStoreURL != "" {
		store, err := source.New(source.Config{URL: a.config.WeightStoreURL, DataCentre: a.config.DataCentre})
		if err != nil {
			return sources, err
		}
		sources.WeightStore = store
	}
	return sources, nil
}

// pool returns the pool that selects this agent's group, or "".
func (a *Agent) pool() core.PoolName {
	current := a.spread.Current()
	if current == nil {
		return ""
	}
	pool, _ := current.PoolOf(a.config.Group)
	return pool.Name
}

// orderLease gives orders under the agent's order lease.
type orderLease struct {
	lease        *lease.Lease
	ignoresFence bool
}

// Do implements swarm.Fence. For an engine that ignores fencing tokens it waits
// until every earlier holder's lease surely ended.
func (l orderLease) Do(ctx context.Context, order func(context.Context, core.FencingToken) error) error {
	return l.lease.Do(ctx, l.ignoresFence, order)
}

// stagedEngine tells the gate of activations, which put the engine into cold
// start.
type stagedEngine struct {
	swarm.Staging
	agent *Agent
}

// Activate implements swarm.Staging. From before the order until the engine's
// state was read again the gate holds the limit of cold start.
func (s stagedEngine) Activate(ctx context.Context, root core.Digest, fence core.FencingToken) error {
	a := s.agent
	a.activating.Add(1)
	defer a.activating.Add(-1)
	a.gate.EngineRestarted()
	err := s.Staging.Activate(ctx, root, fence)
	a.gate.EngineRestarted()
	a.readEngine(context.WithoutCancel(ctx))
	return err
}
