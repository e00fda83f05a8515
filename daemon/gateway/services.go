package gateway

import (
	"context"
	"sync"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/coldlimit"
	"currantusher.dev/requests/fair"
	"currantusher.dev/requests/pace"
	"currantusher.dev/requests/placement"
	"currantusher.dev/tables/watch"
)

const (
	// ejectAfter is the number of failures in a row that put a server aside
	// for a second. Each failure of a silent server costs its caller more than
	// a second. A server that fails one request in seven is put aside by
	// chance after one pair in fifty.
	ejectAfter = 2
	// queueTick is the period in which capacity and deadlines are looked at.
	queueTick = 50 * time.Millisecond
	// rampTime is how long a returning data centre takes to its full share;
	// servers warm up in about three seconds.
	rampTime = 3 * time.Second
	// budgetPart is the part of the shared retry budget that the entries use
	// together; the rest covers entries that take longer to learn of each other.
	// A new process starts without savings.
	budgetPart = 0.8
	// shareUnknown is how long a new entry that could not learn of the others
	// uses none of what all share, and assumedSenders how many it then takes
	// them to be.
	shareUnknown   = 3 * time.Second
	assumedSenders = 16
	// sharePeriod is how often the shares are adapted to the living entries.
	sharePeriod = 500 * time.Millisecond
	// versionMargin is how long before a new version must be in force no
	// request is sent to older weights: a request may wait in a server's queue.
	versionMargin = 1200 * time.Millisecond
	// maxRetryAfter bounds what refused callers are told; servers that refuse
	// because they load weights are back in about two seconds.
	maxRetryAfter = time.Second
	// loadOutage is how long requests wait while all servers refuse; one that
	// loads weights is back after its running requests, in about two seconds.
	loadOutage = 1500 * time.Millisecond
	// firstStarts is how many prompts an engine may get at once when a pause is
	// over: read one after the other, the last one keeps the usual objective.
	firstStarts = 4
	// plainSlots is the limit of a server that names none.
	plainSlots = 8
)

// serviceSet holds the queue and the placer of each service. A service is a
// pool of backend servers.
type serviceSet struct {
	gateway *Gateway

	mu    sync.Mutex
	parts map[core.PoolName]*serviceParts
	ctx   context.Context
	wait  sync.WaitGroup
}

type serviceParts struct {
	queue  *fair.Queue
	placer *placement.Placer
}

func newServiceSet(g *Gateway) *serviceSet {
	return &serviceSet{gateway: g, parts: map[core.PoolName]*serviceParts{}, ctx: context.Background()}
}

func (s *serviceSet) run(ctx context.Context) error {
	s.mu.Lock()
	s.ctx = ctx
	for _, parts := range s.parts {
		s.start(parts)
	}
	s.mu.Unlock()
	<-ctx.Done()
	s.wait.Wait()
	return nil
}

func (s *serviceSet) start(parts *serviceParts) {
	ctx := s.ctx
	if ctx.Done() == nil {
		return
	}
	s.wait.Go(func() { _ = parts.queue.Run(ctx) })
}

func (s *serviceSet) get(name core.PoolName) *serviceParts {
	s.mu.Lock()
	defer s.mu.Unlock()
	if parts := s.parts[name]; parts != nil {
		return parts
	}
	g := s.gateway
	node := g.node.Load()
	bounds := node.Bounds
	parts := &serviceParts{placer: placement.New(placement.Config{
		Entry:              node.Instance,
		DataCentre:         node.DataCentre,
		Region:             node.Region,
		RampDuration:       rampTime,
		EjectAfterFailures: ejectAfter,
		RetryRatio:         budgetPart * bounds.RetryRatio,
		RetryBurst:         1,
		Seed:               uint64(g.incarnation),
	})}
	parts.queue = fair.New(fair.Config{
		Capacity:      func() int { return g.capacity(fleet.ServiceName(name), parts.placer) },
		MaxQueue:      g.config.QueueLength,
		MaxRetryAfter: maxRetryAfter,
		OutageWait:    loadOutage,
		UpdatePeriod:  queueTick,
		Seed:          uint64(g.incarnation),
	})
	parts.placer.SetRetryBurst(s.retryShare())
	s.parts[name] = parts
	s.start(parts)
	return parts
}

// retryShare is this entry's part of the retries that all entries may save up.
func (s *serviceSet) retryShare() int {
	senders := s.gateway.senders()
	if senders == 0 {
		return 0
	}
	return int(budgetPart * s.gateway.node.Load().Bounds.RetrySlack / float64(senders))
}

// share adapts the retry budgets to the living entries.
func (s *serviceSet) share(ctx context.Context) error {
	return every(ctx, sharePeriod, func() {
		burst := s.retryShare()
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, parts := range s.parts {
			parts.placer.SetRetryBurst(burst)
		}
	})
}

// senders is how many entries share the limits of backend servers, or 0 while
// a new entry does not know the others.
func (g *Gateway) senders() int {
	if g.knowsEntries.Load() {
		return g.gossip.Senders()
	}
	if time.Since(g.started) < shareUnknown {
		return 0
	}
	return max(assumedSenders, g.gossip.Senders())
}

func (s *serviceSet) queue(name core.PoolName) *fair.Queue { return s.get(name).queue }

func (s *serviceSet) placer(name core.PoolName) *placement.Placer { return s.get(name).placer }

// loads returns this entry's requests in flight by server.
func (s *serviceSet) loads() map[core.InstanceID]int {
	view := s.gateway.follower.View()
	loads := map[core.InstanceID]int{}
	for name, servers := range view.Servers {
		placer := s.placer(core.PoolName(name))
		for _, server := range servers {
			if n := placer.InFlight(server.ID); n > 0 {
				loads[server.ID] = n
			}
		}
	}
	return loads
}

// eject leaves a server out for a while.
func (s *serviceSet) eject(now time.Time, id core.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, parts := range s.parts {
		parts.placer.Eject(now, id)
	}
}

// demand is what a request needs of its backend server.
type demand struct {
	service fleet.ServiceName
	model   fleet.Model
	// regions are the only ones that may serve; nil means all.
	regions [][]core.Region
}

// capacity is how many requests this entry may have in flight at a service.
func (g *Gateway) capacity(name fleet.ServiceName, placer *placement.Placer) int {
	view := g.follower.View()
	var models []fleet.Model
	if view.Table != nil {
		if service := view.Table.Service(name); service != nil && service.Engine != nil {
			models = service.Engine.Models
		}
	}
	if len(models) == 0 {
		return placer.Capacity(time.Now(), core.Digest{}, g.candidates(placer, demand{service: name}))
	}
	capacity := 0
	for _, model := range models {
		candidates := g.candidates(placer, demand{service: name, model: model})
		capacity = max(capacity, placer.Capacity(time.Now(), core.Digest{}, candidates))
	}
	return capacity
}

// candidates returns the servers of a service that may get a request now.
func (g *Gateway) candidates(placer *placement.Placer, d demand) []placement.Candidate {
	view := g.follower.View()
	if view.Table == nil {
		return nil
	}
	service := view.Table.Service(d.service)
	if service == nil {
		return nil
	}
	now := time.Now()
	node := g.node.Load()
	share := g.coldShare(service)
	loads := g.gossip.Loads()
	sharers := newSharers(g.gossip.Alive(), node.Regions, node.Instance)
	wanted := g.requiredVersion(now, view, d.model)
	list := make([]placement.Candidate, 0, len(view.Servers[d.service]))
	for _, server := range view.Servers[d.service] {
		region := node.Regions[server.DataCentre]
		if !mayServe(d.regions, region) || !g.hasWeights(server, d.model, wanted) {
			continue
		}
		closes := g.closesAt(now, server, d.model)
		if !closes.IsZero() && !now.Before(closes) {
			continue
		}
		if service.ColdPerSecond > 0 && now.Before(g.coldUntil(server)) && !g.cold.HasCapacity(now, server.ID, share) {
			continue
		}
		limit := g.limit(now, service, server)
		own := placer.InFlight(server.ID)
		free := limit - loads.Own[server.ID] - loads.Others[server.ID]
		list = append(list, placement.Candidate{
			ID:            server.ID,
			Addr:          server.Addr,
			DataCentre:    server.DataCentre,
			Region:        region,
			Incarnation:   core.Incarnation(max(server.StartedAt.UnixMilli(), 0)),
			Running:       loads.Others[server.ID] + own,
			Limit:         limit,
			ReportedAt:    loads.At,
			Direct:        true,
			PauseStart:    closes,
			FreeSlots:     room(sharers.share(server.ID, region, free), free, own, loads.Own[server.ID], service.Engine != nil),
			DataCentreOut: view.Out[server.DataCentre],
			Leaving:       server.Leaving,
		})
	}
	return list
}

// room is how many more requests this entry may start at a server of whose free
// slots it may take its share. own are its requests there now, and ownThen those
// at the last exchange. Requests of plain services end long before the next
// exchange, so that an entry may always have one where slots were free: many
// entries and few slots would leave most entries none.
func room(share, free, own, ownThen int, isEngine bool) int {
	left := share - (own - ownThen)
	if !isEngine && free > 0 && own == 0 {
		return max(left, 1)
	}
	return left
}

// limit is how many requests a server may run at once. An engine that comes
// back from a pause is empty: as many prompts as it has slots would all wait for
// each other, so that it takes them at the pace at which it reads.
func (g *Gateway) limit(now time.Time, service *fleet.Service, server *watch.Server) int {
	limit := server.Slots
	if limit <= 0 {
		limit = plainSlots
	}
	if service.Engine == nil || !service.Engine.Timing.IsKnown() {
		return limit
	}
	opened := g.pauses.LastPauseEnd(server.Addr)
	if opened.IsZero() {
		return limit
	}
	rate := pace.MaxRequestsPerSecond(service.Engine.Timing, limit)
	return min(limit, firstStarts+int(rate*now.Sub(opened).Seconds()))
}

func (g *Gateway) coldShare(service *fleet.Service) int {
	bounds := g.node.Load().Bounds
	limit := coldlimit.Limit{PerSecond: service.ColdPerSecond, Overshoot: bounds.ColdOvershoot, Slack: bounds.ColdSlack}
	senders := g.senders()
	if senders == 0 {
		return 0
	}
	return limit.PerEntry(senders)
}

func (g *Gateway) coldUntil(server *watch.Server) time.Time {
	if observed := g.observed.coldUntil(server.ID); observed.After(server.ColdUntil) {
		return observed
	}
	return server.ColdUntil
}

func mayServe(allowed [][]core.Region, region core.Region) bool {
	for _, list := range allowed {
		if !contains(list, region) {
			return false
		}
	}
	return true
}

// contains reports whether a list of allowed regions, of which an empty one
// allows all, has the region.
func contains(list []core.Region, region core.Region) bool {
	for _, allowed := range list {
		if allowed == region {
			return true
		}
	}
	return len(list) == 0
}

// requiredVersion returns the oldest version that a request may start on now,
// or 0 for any.
func (g *Gateway) requiredVersion(now time.Time, view *watch.View, model fleet.Model) fleet.WeightsVersion {
	if model == "" {
		return 0
	}
	return view.Required(now, model, g.node.Load().Bounds.VersionInForce-versionMargin)
}

// expectedVersion returns the only version of the weights with which a server
// may take a request, or 0 for any. It is the one that the server is known to
// have, so that a server that turns out to have an older one refuses.
func (g *Gateway) expectedVersion(service fleet.ServiceName, id core.InstanceID, model fleet.Model) fleet.WeightsVersion {
	view := g.follower.View()
	required := g.requiredVersion(time.Now(), view, model)
	if required == 0 {
		return 0
	}
	server := view.Server(service, id)
	if server == nil {
		return required
	}
	return max(required, g.knownVersion(server, model))
}

// knownVersion returns the newest version that the list, an answer or the agent
// beside the server named.
func (g *Gateway) knownVersion(server *watch.Server, model fleet.Model) fleet.WeightsVersion {
	return max(server.Weights[model], g.observed.version(server, model), g.pauses.LoadedVersion(server.Addr, model))
}

// closesAt returns when a server takes no more requests because it loads
// weights, or the zero time.
func (g *Gateway) closesAt(now time.Time, server *watch.Server, model fleet.Model) time.Time {
	if model == "" {
		return time.Time{}
	}
	return g.pauses.PauseStart(now, server.Addr, g.knownVersion(server, model))
}

// hasWeights reports whether a server has the model loaded, in the wanted
// version if there is one.
func (g *Gateway) hasWeights(server *watch.Server, model fleet.Model, wanted fleet.WeightsVersion) bool {
	if model == "" {
		return true
	}
	version := g.knownVersion(server, model)
	return version > 0 && version >= wanted
}
