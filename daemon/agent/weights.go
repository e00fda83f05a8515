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

func (a *Agent) initWeights() error {
	if a.config.OriginURL == "" && a.config.WeightStoreURL == "" {
		return nil
	}
	sources, err := a.weightSources()
	if err != nil {
		return err
	}
	slots, err := rollout.NewClient(rollout.ClientConfig{
		Peer:        a.peer,
		Pool:        a.poolName,
		Instance:    a.config.Instance,
		Incarnation: a.incarnation,
		ServerAddrs: func() []string { return peers.RankedEntryAddrs(a.reporter.Entries(), []byte(a.poolName())) },
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
		Staging:          coldLimitStaging{Staging: engine.New(a.config.BackendURL, nil), agent: a},
		Sources:          sources,
		OriginGrants:     budget.NewGrantStore(a.platform),
		TrackerAddrs:     func(root core.Digest) []string { return peers.RankedEntryAddrs(a.reporter.Entries(), root[:]) },
		ActivationSlots:  slots,
		EngineLease:      engineLease{lease: a.lease, ignoresFencing: a.config.EngineIgnoresFence},
		BandwidthLimiter: a.config.BandwidthLimiter,
		Log:              a.log.weights,
	})
	return err
}

func (a *Agent) weightSources() (swarm.Sources, error) {
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

// poolName returns the name of the pool that has this agent's group, or "".
func (a *Agent) poolName() core.PoolName {
	current := a.spread.Current()
	if current == nil {
		return ""
	}
	pool, _ := current.PoolOf(a.config.Group)
	return pool.Name
}

// engineLease implements swarm.EngineLease: it sends commands to the engine while
// the agent holds the lease.
type engineLease struct {
	lease          *lease.Lease
	ignoresFencing bool
}

// Do implements swarm.EngineLease. For an engine that ignores fencing tokens it
// first waits until every earlier holder's lease has certainly expired.
func (l engineLease) Do(ctx context.Context, command func(context.Context, core.FencingToken) error) error {
	return l.lease.Do(ctx, l.ignoresFencing, command)
}

// coldLimitStaging is a swarm.Staging that applies the cold start limit during
// activations, because an activation puts the engine into cold start.
type coldLimitStaging struct {
	swarm.Staging
	agent *Agent
}

// Activate implements swarm.Staging. The cold start limit applies from before the
// command until the engine's state has been read again.
func (s coldLimitStaging) Activate(ctx context.Context, root core.Digest, fence core.FencingToken) error {
	a := s.agent
	a.pendingActivations.Add(1)
	defer a.pendingActivations.Add(-1)
	a.gate.EngineRestarted()
	err := s.Staging.Activate(ctx, root, fence)
	a.gate.EngineRestarted()
	a.readEngineState(context.WithoutCancel(ctx))
	return err
}
