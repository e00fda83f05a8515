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

// poolSet holds the queue and the placer of each pool, created at the first use.
// It is safe for concurrent use.
type poolSet struct {
	entry *Entry

	mu            sync.Mutex
	pools         map[core.PoolName]*poolState
	ctx           context.Context
	runningQueues sync.WaitGroup
}

type poolState struct {
	queue  *fair.Queue
	placer *placement.Placer
}

func newPoolSet(entry *Entry) *poolSet {
	return &poolSet{
		entry: entry,
		pools: map[core.PoolName]*poolState{},
		ctx:   context.Background(),
	}
}

// run runs the queues of all pools, also of those created later, until ctx ends.
func (s *poolSet) run(ctx context.Context) error {
	s.mu.Lock()
	s.ctx = ctx
	for _, pool := range s.pools {
		s.startQueue(pool)
	}
	s.mu.Unlock()
	<-ctx.Done()
	s.runningQueues.Wait()
	return nil
}

func (s *poolSet) startQueue(pool *poolState) {
	ctx := s.ctx
	if ctx.Done() == nil {
		return
	}
	s.runningQueues.Go(func() { _ = pool.queue.Run(ctx) })
}

func (s *poolSet) getOrCreate(name core.PoolName) *poolState {
	s.mu.Lock()
	defer s.mu.Unlock()
	if pool := s.pools[name]; pool != nil {
		return pool
	}
	config := s.entry.config
	pool := &poolState{placer: placement.New(placement.Config{
		Entry:      config.Instance,
		DataCentre: config.DataCentre,
		Region:     config.Region,
		Seed:       uint64(s.entry.incarnation),
	})}
	pool.queue = fair.New(fair.Config{
		Weights:  s.entry.teamWeight,
		Capacity: func() int { return s.entry.capacity(name, pool.placer) },
		MaxQueue: config.QueueLength,
		Seed:     uint64(s.entry.incarnation),
	})
	s.pools[name] = pool
	s.startQueue(pool)
	return pool
}

func (s *poolSet) queue(name core.PoolName) *fair.Queue { return s.getOrCreate(name).queue }

func (s *poolSet) placer(name core.PoolName) *placement.Placer { return s.getOrCreate(name).placer }

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
	counted := map[core.Digest]bool{}
	capacity := 0
	for _, candidate := range candidates {
		if counted[candidate.Weights] {
			continue
		}
		counted[candidate.Weights] = true
		capacity += placer.Capacity(time.Now(), candidate.Weights, candidates)
	}
	return capacity
}

// candidates returns the agents of a pool with the state last reported to this
// entry.
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
			Weights:       e.observedWeights.currentWeights(agent, now),
			DataCentreOut: current.IsOut(agent.DataCentre),
			Leaving:       agent.State == members.StateLeaving || agent.State == members.StateGone,
		})
	}
	return result
}
