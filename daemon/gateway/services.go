package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/members/gossip"
	"currantusher.dev/requests/fair"
	"currantusher.dev/requests/latency"
	"currantusher.dev/requests/notices"
	"currantusher.dev/requests/placement"
	"currantusher.dev/requests/sharedlimit"
	"currantusher.dev/requests/slotshare"
	"currantusher.dev/tables/watch"
)

const (
	// ejectAfterFailures is the number of consecutive failures after which a
	// server is ejected for a second. Each failure of an unresponsive server
	// costs its caller more than a second. A server that fails one request in
	// seven is ejected by chance after about one of fifty pairs of requests.
	ejectAfterFailures = 2
	// queueCheckPeriod is how often queues recheck capacity and deadlines.
	queueCheckPeriod = 50 * time.Millisecond
	// rampTime is how long a returning data centre takes to get its full share;
	// servers warm up in about three seconds.
	rampTime = 3 * time.Second
	// retryBudgetFraction is the fraction of the shared retry budget that the
	// entries use together; the remainder covers entries that have not discovered
	// each other yet. A new process starts without accumulated retries.
	retryBudgetFraction = 0.8
	// discoveryTime is how long a new entry that cannot read the other entries'
	// rows uses none of the shared limits. After that it assumes that at least
	// assumedSenders entries share them.
	discoveryTime  = 3 * time.Second
	assumedSenders = 16
	// retryAdjustPeriod is how often the retry budgets are adjusted to the number
	// of entries.
	retryAdjustPeriod = 500 * time.Millisecond
	// maxRetryAfter bounds the Retry-After of refusals; servers that refuse
	// because they load weights are available again in about two seconds.
	maxRetryAfter = time.Second
	// maxWaitFraction is the fraction of the time that they have left for which callers
	// wait before they send a refused request again. The platform's protocol defines
	// it.
	maxWaitFraction = 1.0 / 3
	// maxOutageWait is how long requests wait while all servers refuse. A server
	// that loads weights is available again once its running requests have ended,
	// in about two seconds.
	maxOutageWait = 1500 * time.Millisecond
	// maxStartsAtPauseEnd is how many prompts an engine may get at once when a pause
	// ends: if it reads them one after the other, the last one still meets the
	// usual objective.
	maxStartsAtPauseEnd = 4
	// defaultSlots is the concurrency limit of a server whose row has none.
	defaultSlots = 8
)

// serviceSet holds the queue and the placer of each service, which is a pool of
// backend servers. It creates them on first use.
type serviceSet struct {
	gateway *Gateway

	mu        sync.Mutex
	states    map[core.PoolName]*serviceState
	ctx       context.Context
	queueRuns sync.WaitGroup
}

// serviceState is the queue and the placer of one service.
type serviceState struct {
	queue  *fair.Queue
	placer *placement.Placer
}

func newServiceSet(g *Gateway) *serviceSet {
	return &serviceSet{gateway: g, states: map[core.PoolName]*serviceState{}, ctx: context.Background()}
}

func (s *serviceSet) run(ctx context.Context) error {
	s.mu.Lock()
	s.ctx = ctx
	for _, state := range s.states {
		s.start(state)
	}
	s.mu.Unlock()
	<-ctx.Done()
	s.queueRuns.Wait()
	return nil
}

func (s *serviceSet) start(state *serviceState) {
	ctx := s.ctx
	if ctx.Done() == nil {
		return
	}
	s.queueRuns.Go(func() { _ = state.queue.Run(ctx) })
}

func (s *serviceSet) get(name core.PoolName) *serviceState {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state := s.states[name]; state != nil {
		return state
	}
	g := s.gateway
	node := g.node.Load()
	bounds := node.Bounds
	state := &serviceState{placer: placement.New(placement.Config{
		Entry:              node.Instance,
		DataCentre:         node.DataCentre,
		Region:             node.Region,
		RampDuration:       rampTime,
		EjectAfterFailures: ejectAfterFailures,
		RetryRatio:         retryBudgetFraction * bounds.RetryRatio,
		RetryBurst:         1,
		Seed:               uint64(g.incarnation),
	})}
	state.queue = fair.New(fair.Config{
		Capacity:        func() int { return g.capacity(fleet.ServiceName(name), state.placer) },
		MaxQueue:        g.config.QueueLength,
		MaxRetryAfter:   maxRetryAfter,
		OutageWait:      maxOutageWait,
		MaxWaitFraction: maxWaitFraction,
		ShedsLoad:       func() bool { return g.isLoadShedding(fleet.ServiceName(name)) },
		UsualCost:       usualCost,
		UpdatePeriod:    queueCheckPeriod,
		Closure:         func() *fair.Closure { return g.closure(requirements{service: fleet.ServiceName(name)}) },
		Seed:            uint64(g.incarnation),
	})
	state.placer.SetRetryBurst(s.retryDivision().share(name))
	s.states[name] = state
	s.start(state)
	return state
}

// retryDivision divides the retries that all entries together may accumulate at a service,
// as of one moment. The zero value gives this entry no share.
type retryDivision struct {
	sharing limitSharing
	entries int
	retries int
}

func (s *serviceSet) retryDivision() retryDivision {
	senders, sharing := s.gateway.senders(), s.gateway.sharing()
	if sharing.settling != nil {
		sharing.Sharers = *sharing.settling
		senders = s.gateway.gossip.Known()
	}
	if senders.Count == 0 {
		return retryDivision{}
	}
	return retryDivision{
		sharing: sharing, entries: senders.Count,
		retries: int(retryBudgetFraction * s.gateway.node.Load().Bounds.RetrySlack),
	}
}

// share returns this entry's retries at a service. If there are fewer retries than entries,
// some entries get one each.
func (d retryDivision) share(name core.PoolName) int {
	if d.entries == 0 {
		return 0
	}
	limit := sharedlimit.Limit{Requests: d.retries}
	if d.retries < d.entries {
		limit.LeftOver = d.retries
	}
	return d.sharing.Part(core.InstanceID(name), limit).Requests
}

// adjustRetryBudgets keeps the retry budgets adjusted to the number of entries, and the
// metrics of the queues up to date.
func (s *serviceSet) adjustRetryBudgets(ctx context.Context) error {
	retryShare := metrics.GetOrRegisterGauge("limits.retry_share", s.gateway.registry)
	return runPeriodically(ctx, retryAdjustPeriod, func() { retryShare.Update(int64(s.divideRetries())) })
}

// divideRetries gives all services their shares of the retries, and returns the largest one.
func (s *serviceSet) divideRetries() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	division := s.retryDivision()
	largest := division.share("")
	for name, state := range s.states {
		share := division.share(name)
		state.placer.SetRetryBurst(share)
		largest = max(largest, share)
		recordQueue(s.gateway.registry, name, state.queue.Stats())
	}
	return largest
}

// senders describes the entries that share the limits of backend servers. Its Count
// is 0 if this entry has no share: it is on standby, or has not discovered the others
// yet.
func (g *Gateway) senders() gossip.Senders {
	switch {
	case !g.holdsShares():
		return gossip.Senders{}
	case g.entriesLoaded.Load():
		return g.gossip.Senders()
	case time.Since(g.started) < discoveryTime:
		return gossip.Senders{}
	}
	senders := g.gossip.Senders()
	senders.Count = max(assumedSenders, senders.Count)
	return senders
}

func (s *serviceSet) queue(name core.PoolName) *fair.Queue { return s.get(name).queue }

func (s *serviceSet) placer(name core.PoolName) *placement.Placer { return s.get(name).placer }

// loads returns this entry's number of requests in flight by server.
func (s *serviceSet) loads() map[core.InstanceID]int {
	view := s.gateway.follower.View()
	loads := map[core.InstanceID]int{}
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, servers := range view.Servers {
		state := s.states[core.PoolName(name)]
		if state == nil {
			// No request has needed the service yet.
			continue
		}
		for _, server := range servers {
			if n := state.placer.InFlight(server.ID); n > 0 {
				loads[server.ID] = n
			}
		}
	}
	return loads
}

// eject temporarily excludes a server from placement. It returns the placer of its
// service, or nil if no request was sent to it.
func (s *serviceSet) eject(now time.Time, id core.InstanceID) *placement.Placer {
	s.mu.Lock()
	defer s.mu.Unlock()
	var placer *placement.Placer
	for _, state := range s.states {
		if state.placer.Knows(id) {
			state.placer.Eject(now, id)
			placer = state.placer
		}
	}
	return placer
}

// restore ends the exclusion of a server by eject.
func (s *serviceSet) restore(id core.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, state := range s.states {
		state.placer.Restore(id)
	}
}

// capacity returns how many requests this entry may have in flight at a service.
func (g *Gateway) capacity(name fleet.ServiceName, placer *placement.Placer) int {
	view := g.follower.View()
	var models []fleet.Model
	if view.Table != nil {
		if service := view.Table.Service(name); service != nil && service.Engine != nil {
			models = service.Engine.Models
		}
	}
	if len(models) == 0 {
		return placer.Capacity(time.Now(), core.Digest{}, g.candidates(placer, requirements{service: name}))
	}
	capacity := 0
	for _, model := range models {
		candidates := g.candidates(placer, requirements{service: name, model: model, recallable: true})
		capacity = max(capacity, placer.Capacity(time.Now(), core.Digest{}, candidates))
	}
	return capacity
}

// availableSlots returns how many more requests this entry may start at a server; see
// slotshare.Available.
func availableSlots(share, free, inFlight, inFlightAtExchange int, isEngine bool) int {
	return slotshare.Available(share, free, inFlight, inFlightAtExchange, isEngine)
}

// concurrencyLimit returns how many requests a server may run at once. It grows
// gradually after a pause. An engine is empty then: if all of its slots were filled at
// once, the prompts would delay each other. So its limit grows at the rate at which it
// can complete requests.
func (g *Gateway) concurrencyLimit(now time.Time, service *fleet.Service, server *watch.Server) int {
	limit := slotsOf(server)
	askedPauseEnd := g.notices.PauseEnd(lifetimeOf(server))
	if service.Engine == nil || !service.Engine.Timing.IsKnown() {
		return notices.RampLimit(now, askedPauseEnd, limit)
	}
	pauseEnd := g.pauses.LastPauseEnd(server.Addr)
	if askedPauseEnd.After(pauseEnd) {
		pauseEnd = askedPauseEnd
	}
	if pauseEnd.IsZero() {
		return limit
	}
	startsPerSecond := latency.MaxRequestsPerSecond(service.Engine.Timing, limit)
	return min(limit, maxStartsAtPauseEnd+int(startsPerSecond*now.Sub(pauseEnd).Seconds()))
}

// coldUntil returns when a server stops being cold, a time of g.clock, according to the
// platform's list or to its responses.
func (g *Gateway) coldUntil(server *watch.Server) time.Time {
	if observed := g.observations.coldUntil(server.ID); observed.After(server.ColdUntil) {
		return observed
	}
	return server.ColdUntil
}

// isAllowedByAll reports whether every list of allowed regions allows the region.
func isAllowedByAll(allowed [][]core.Region, region core.Region) bool {
	for _, list := range allowed {
		if !isRegionAllowed(list, region) {
			return false
		}
	}
	return true
}

// isRegionAllowed reports whether a list of allowed regions contains the region.
// An empty list allows all.
func isRegionAllowed(list []core.Region, region core.Region) bool {
	for _, allowed := range list {
		if allowed == region {
			return true
		}
	}
	return len(list) == 0
}

// knownVersion returns the newest version that the server has loaded according to
// the platform's list, its responses or its agent.
func (g *Gateway) knownVersion(server *watch.Server, model fleet.Model) fleet.WeightsVersion {
	return max(server.Weights[model], g.observations.version(g.clock.Now(), lifetimeOf(server), model), g.pauses.LoadedVersion(server.Addr, model, server.StartedAt))
}

// pauseStart returns when a server pauses in order to load weights, or the zero
// time when no pause is announced or in progress.
func (g *Gateway) pauseStart(now time.Time, server *watch.Server, model fleet.Model) time.Time {
	if model == "" {
		return time.Time{}
	}
	return g.pauses.PauseStart(now, server.Addr, g.knownVersion(server, model))
}
