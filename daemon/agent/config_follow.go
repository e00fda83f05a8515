package agent

import (
	"context"
	"time"

	"currantusher.dev/daemon/peers"
	"currantusher.dev/platform"
	"currantusher.dev/tables"
	"currantusher.dev/tables/spread"
	"currantusher.dev/wire"
)

func (a *Agent) initSpread() error {
	config := spread.Config{
		Self: spread.Neighbour{
			ID:         a.config.Instance,
			Role:       platform.RoleAgent,
			DataCentre: a.config.DataCentre,
			Region:     a.config.Region,
			Addr:       a.PeerAddr(),
		},
		Peer:       a.peer,
		Neighbours: a.neighbours,
		MaxAge:     a.config.ConfigMaxAge,
		OnStale:    a.config.StalePolicy,
		Log:        a.log.config,
		Metrics:    a.registry,
	}
	if err := config.Validate(); err != nil {
		return err
	}
	a.spread = spread.New(config)
	return nil
}

func (a *Agent) neighbours() []spread.Neighbour {
	return peers.Neighbours(a.reporter.Entries(), a.spread.Current())
}

// followConfig applies each new configuration to the admission gate and the
// weights manager until ctx ends.
func (a *Agent) followConfig(ctx context.Context) error {
	changes := make(chan *tables.Config, 1)
	a.spread.Subscribe(func(current *tables.Config) {
		select {
		case changes <- current:
		case <-ctx.Done():
		}
	})
	for {
		select {
		case <-ctx.Done():
			return nil
		case current := <-changes:
			a.applyConfig(current)
		}
	}
}

func (a *Agent) applyConfig(current *tables.Config) {
	a.log.config.WithField("revision", current.Revision()).Info("Using a new configuration revision.")
	a.reporter.ReportNow()
	pool, ok := current.PoolOf(a.config.Group)
	if !ok {
		a.log.config.WithField("group", a.config.Group).Warn("No pool has this agent's group; keeping the earlier limits and weights.")
		return
	}
	a.gate.SetLimits(pool.Limits)
	if a.swarm != nil && pool.Kind == tables.PoolEngine {
		a.swarm.SetTarget(pool.Weights)
	}
}

// buildHeartbeat returns the agent's state for its heartbeats.
func (a *Agent) buildHeartbeat() wire.Heartbeat {
	load := a.gate.Load(time.Now())
	engine := a.engineStatus.Load()
	status := &wire.Status{
		Weights:     engine.state.Weights,
		Limit:       load.Limit,
		Temperature: wire.Temperature(load.Temperature),
		EngineFence: engine.state.Fence,
	}
	if !engine.serving {
		status.Limit = 0
	}
	if current := a.spread.Current(); current != nil {
		status.Revision = current.Revision()
	}
	if a.swarm != nil {
		progress := a.swarm.Status()
		status.Target = progress.Target
		status.ChunksDone = progress.ChunksDone
		status.ChunksTotal = progress.ChunksTotal
	}
	return wire.Heartbeat{
		Running:         load.Running,
		ConfigAgeMillis: a.spread.Age().Milliseconds(),
		Status:          status,
	}
}
