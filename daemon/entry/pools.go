package entry

import (
	"context"
	"sync"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/daemon/peers"
	"currantusher.dev/members"
	"currantusher.dev/requests/fair"
	"currantusher.dev/requests/placement"
)

// poolSet holds the queue and the placer of each pool.
type poolSet struct {
	entry *Entry

	mu      sync.Mutex
	pools   map[core.PoolName]*poolParts
	ctx     context.Context
	started sync.WaitGroup
}

type poolParts struct {
	queue  *fair.Queue
	placer *placement.Placer
}

func newPoolSet(entry *Entry) *poolSet {
	return &poolSet{
		entry: entry,
		pools: map[core.PoolName]*poolParts{},
		ctx:   context.Background(),
	}
}

// run gives the queues their context until ctx ends.
func (s *poolSet) run(ctx context.Context) error {
	s.mu.Lock()
	s.ctx = ctx
	for _, parts := range s.pools {
		s.start(parts)
	}
	s.mu.Unlock()
	<-ctx.Done()
	s.started.Wait()
	return nil
}

func (s *poolSet) start(parts *poolParts) {
	ctx := s.ctx
	if ctx.Done() == nil {
		return
	}
	s.started.Go(func() { _ = parts.queue.Run(ctx) })
}

func (s *poolSet) get(name core.PoolName) *poolParts {
	s.mu.Lock()
	defer s.mu.Unlock()
	if parts := s.pools[name]; parts != nil {
		return parts
	}
	config := s.entry.config
	parts := &poolParts{placer: placement.New(placement.Config{
		Entry:      config.Instance,
		DataCentre: config.DataCentre,
		Region:     config.Region,
		Seed:       uint64(s.entry.incarnation),
	})}
	parts.queue = fair.New(fair.Config{
		Weights:  s.entry.teamWeight,
		Capacity: func() int { return s.entry.capacity(name, parts.placer) },
		MaxQueue: config.QueueLength,
		Seed:     uint64(s.entry.incarnation),
	})
	s.pools[name] = parts
	s.start(parts)
	return parts
}

func (s *poolSet) queue(name core.PoolName) *fair.Queue { return s.get(name).queue }

func (s *poolSet) placer(name core.PoolName) *placement.Placer { return s.get(name).placer }

func (e *Entry) teamWeight(name core.Team) int {
	current := e.spread.Current()
	if current == nil {
		return 1
	}
	team, _ := current.Team(name)
	return max(1, team.Weight)
}

func (e *Entry) capacity(name core.PoolName, placer *placement.Placer) int {
	candidates := e.candidates(name)
	byWeights := map[core.Digest]bool{}
	capacity := 0
	for _, candidate := range candidates {
		if byWeights[candidate.Weights] {
			continue
		}
		byWeights[candidate.Weights] = true
		capacity += placer.Capacity(time.Now(), candidate.Weights, candidates)
	}
	return capacity
}

// candidates returns the agents of a pool as this entry knows them.
func (e *Entry) candidates(name core.PoolName) []placement.Candidate {
	current := e.spread.Current()
	if current == nil {
		return nil
	}
	pool, ok := current.Pool(name)
	if !ok {
		return nil
	}
	now := time.Now()
	agents := e.directory.Agents(pool.Group)
	result := make([]placement.Candidate, 0, len(agents))
	for _, agent := range agents {
		if agent.Incarnation == 0 {
			continue
		}
		result = append(result, placement.Candidate{
			ID:            agent.Instance,
			Addr:          agent.PeerAddr,
			DataCentre:    agent.DataCentre,
			Region:        peers.RegionOf(current, agent.DataCentre),
			Incarnation:   agent.Incarnation,
			Running:       agent.Running,
			Limit:         agent.Limit,
			ReportedAt:    now.Add(-agent.Age),
			Weights:       e.versions.of(agent, now),
			DataCentreOut: current.IsOut(agent.DataCentre),
			Leaving:       agent.State == members.StateLeaving || agent.State == members.StateGone,
		})
	}
	return result
}
