package gateway

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/members/gossip"
	"currantusher.dev/requests/backlog"
	"currantusher.dev/requests/cost"
	"currantusher.dev/requests/placement"
	"currantusher.dev/tables/watch"
)

// minEventGap is the shortest time between two events of an engine. What arrives sooner is
// the rest of an event, or the end of the answer.
const minEventGap = time.Millisecond

// requestCosts holds the cost model and the outstanding work of each service. Its times are
// those of the gateway's clock.
type requestCosts struct {
	gateway *Gateway

	mu       sync.Mutex
	services map[fleet.ServiceName]*serviceCost
	// table is the configuration for which enabled, timing and memory of the services were
	// determined.
	table *fleet.Table
}

// serviceCost is the state of one service.
type serviceCost struct {
	name   fleet.ServiceName
	model  *cost.Model
	ledger *backlog.Ledger
	// settings are those of the latest configuration.
	settings atomic.Pointer[costSettings]
	// observed is the latest of the peers' reports that the ledger has.
	observed atomic.Pointer[gossip.PeerWork]
}

// costSettings are what a configuration says of a service.
type costSettings struct {
	// enabled tells whether requests to the service are placed by their cost.
	enabled bool
	// engine and timing are nil for services without engines.
	engine *fleet.Engine
	timing *fleet.EngineTiming
	memory float64
}

// requestCost is the cost of one call. A nil requestCost means that the call is not placed
// by its cost.
type requestCost struct {
	service  *serviceCost
	engine   *fleet.Engine
	features cost.Features
	estimate cost.Estimate
	// objectiveAt and deadline are times of time.Now; objectiveAt is zero without an
	// objective.
	objectiveAt, deadline time.Time
	// isStream is set if the answer is a stream of events.
	isStream bool
	attempts atomic.Int32
}

// trackedCost is an attempt at an engine. A nil trackedCost ignores all calls.
type trackedCost struct {
	gateway   *Gateway
	request   *requestCost
	item      *backlog.Item
	predicted backlog.Prediction
	sentAt    time.Time
	lastEvent time.Time
	events    int
	// isWhole is set if the attempt's answer is not the rest of one that another server began.
	isWhole bool
}

func newRequestCosts(g *Gateway) *requestCosts {
	return &requestCosts{gateway: g, services: map[fleet.ServiceName]*serviceCost{}}
}

// get returns the state of a service, with the settings of a configuration.
func (c *requestCosts) get(table *fleet.Table, name fleet.ServiceName) *serviceCost {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table != table {
		c.table = table
		for _, s := range c.services {
			s.configure(table)
		}
	}
	s := c.services[name]
	if s == nil {
		s = &serviceCost{name: name, model: cost.NewModel(cost.Usual{}), ledger: backlog.New()}
		s.configure(table)
		c.services[name] = s
	}
	return s
}

func (s *serviceCost) configure(table *fleet.Table) {
	settings := &costSettings{}
	if service := table.Service(s.name); service != nil && service.Engine != nil {
		engine := service.Engine
		settings.enabled = cost.Enabled(service, table.Config.Routes)
		settings.engine, settings.timing, settings.memory = engine, &engine.Timing, float64(engine.KVCapacityTokens)
		s.model.SetUsual(cost.Usual{PromptTokens: engine.Timing.MeanPromptTokens, AnswerTokens: engine.Timing.MeanAnswerTokens})
	}
	s.settings.Store(settings)
}

// enabled returns the services whose requests are placed by their cost.
func (c *requestCosts) enabled() []*serviceCost {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*serviceCost
	for _, s := range c.services {
		if s.settings.Load().enabled {
			list = append(list, s)
		}
	}
	return list
}

// costOf returns the cost of a call, or nil if the call is not placed by it. It is determined
// once for each call.
func (g *Gateway) costOf(c *call, r *http.Request) *requestCost {
	// The configuration in force, not that of the call: calls with different ones would
	// change the settings to and fro.
	table := g.follower.View().Table
	if c.cost != nil || table == nil {
		return c.cost
	}
	c.cost = g.newRequestCost(c, r, g.costs.get(table, c.service))
	return c.cost
}

// newRequestCost returns the cost of a call to a service, or nil if the call is not placed by
// it.
func (g *Gateway) newRequestCost(c *call, r *http.Request, service *serviceCost) *requestCost {
	settings := service.settings.Load()
	if !settings.enabled {
		return nil
	}
	request := &requestCost{
		service: service, engine: settings.engine, deadline: c.deadline, isStream: c.route.Kind == fleet.RouteStreaming,
		features: cost.Features{
			Route:        c.route.Name,
			PromptTokens: cost.ParsePromptTokens(r.Header.Get(g.config.Headers.TokenCounts)),
			HintTokens:   cost.ParseTokens(r.Header.Get(g.config.Headers.LengthHint)),
		},
	}
	if c.team != nil {
		request.features.Team = c.team.Name
	}
	if c.route.LatencyObjective > 0 {
		request.objectiveAt = c.startedAt.Add(c.route.LatencyObjective)
	}
	request.estimate = service.model.Estimate(request.features)
	return request
}

// addPredictions sets the predictions of the candidates for a request.
func (r *requestCost) addPredictions(g *Gateway, servers []reachableServer, list []placement.Candidate) {
	if r == nil {
		return
	}
	now, clockNow, loads := time.Now(), g.clock.Now(), g.gossip.Loads()
	r.service.observePeers(g, clockNow)
	settings := r.service.settings.Load()
	objectiveIn := time.Duration(0)
	if !r.objectiveAt.IsZero() {
		// A late request is to begin as soon as possible.
		objectiveIn = max(r.objectiveAt.Sub(now), 1)
	}
	for i, s := range servers {
		list[i].Prediction = placement.Prediction{
			Prediction:  r.service.ledger.Predict(clockNow, s.ID, settings.load(s.server, loads), r.estimate),
			ObjectiveIn: objectiveIn, DeadlineIn: max(r.deadline.Sub(now), 1),
		}
	}
}

// load returns what is known of a server besides its outstanding work.
func (s *costSettings) load(server *watch.Server, loads gossip.Loads) backlog.ServerLoad {
	return backlog.ServerLoad{
		Incarnation: incarnationOf(server), Slots: slotsOf(server), Peers: loads.Peers[server.ID], PeerPace: loads.PeerPaces[server.ID],
		MemoryTokens: s.memory, Timing: s.timing,
	}
}

func incarnationOf(server *watch.Server) core.Incarnation {
	return core.Incarnation(max(server.StartedAt.UnixMilli(), 0))
}

// observePeers records the work that other entries reported, once for each sum of reports.
func (s *serviceCost) observePeers(g *Gateway, now time.Time) {
	work := g.gossip.Work()
	if previous := s.observed.Load(); previous == work || !s.observed.CompareAndSwap(previous, work) {
		return
	}
	age := work.Age + max(time.Since(work.At), 0)
	for _, server := range g.follower.View().Servers[s.name] {
		s.ledger.ObservePeers(now, server.ID, incarnationOf(server), work.ByKey[fleet.WorkKey(server.ID)], age)
	}
}

// sent records that a call is sent to a server.
func (r *requestCost) sent(g *Gateway, now time.Time, server *watch.Server) *trackedCost {
	if r == nil {
		return nil
	}
	load := r.service.settings.Load().load(server, g.gossip.Loads())
	return &trackedCost{
		gateway: g, request: r, sentAt: now, isWhole: r.attempts.Add(1) == 1,
		predicted: r.service.ledger.Predict(now, server.ID, load, r.estimate),
		item:      r.service.ledger.Sent(now, server.ID, load.Incarnation, r.estimate),
	}
}

// dataReceived records a part of the body of the answer.
func (t *trackedCost) dataReceived(now time.Time) {
	if t == nil || t.events > 0 && now.Sub(t.lastEvent) < minEventGap {
		return
	}
	service := t.request.service
	tokens := service.model.TokensPerEvent()
	t.events++
	t.lastEvent = now
	if t.events > 1 {
		t.item.Event(now, tokens, service.settings.Load().timing)
		return
	}
	t.item.FirstEvent(now, tokens)
	if t.predicted.Known && t.request.isStream {
		wait := now.Sub(t.sentAt)
		t.gateway.histogram("cost.first_event_error_millis." + string(service.name)).Update((t.predicted.FirstEvent - wait).Milliseconds())
	}
}

// suspended records that the answer is not read until more of it arrives.
func (t *trackedCost) suspended() {
	if t != nil {
		t.item.Suspend()
	}
}

// close records the end of the attempt. complete reports whether the answer was read to its
// end.
func (t *trackedCost) close(now time.Time, complete bool) {
	if t == nil {
		return
	}
	t.item.Close(now)
	if complete && t.isWhole && t.request.isStream {
		t.request.service.model.Observe(t.request.features, cost.Actual{Events: float64(t.events), ServiceTime: now.Sub(t.sentAt)})
	}
}

// observeServiceTime learns from an answer of a service without engines.
func (g *Gateway) observeServiceTime(c *call, duration time.Duration) {
	table := g.follower.View().Table
	if service := table.Service(c.service); service == nil || service.Engine != nil {
		return
	}
	features := cost.Features{Route: c.route.Name}
	if c.team != nil {
		features.Team = c.team.Name
	}
	g.costs.get(table, c.service).model.Observe(features, cost.Actual{ServiceTime: duration})
}

// work returns the work of this entry's requests by server, for the other entries.
func (c *requestCosts) work() map[core.InstanceID]fleet.Work {
	var work map[core.InstanceID]fleet.Work
	now := c.gateway.clock.Now()
	for _, s := range c.enabled() {
		own := s.ledger.Own(now, s.settings.Load().timing)
		if work == nil {
			work = own
			continue
		}
		for id, w := range own {
			work[id] = w
		}
	}
	return work
}

// sweep drops what is not needed any more and updates the gauges.
func (c *requestCosts) sweep(now time.Time) {
	for _, s := range c.enabled() {
		s.ledger.Sweep(now)
		median, p95 := s.model.Errors()
		registry := c.gateway.registry
		metrics.GetOrRegisterGaugeFloat64("cost.answer_error_median."+string(s.name), registry).Update(median)
		metrics.GetOrRegisterGaugeFloat64("cost.answer_error_p95."+string(s.name), registry).Update(p95)
		metrics.GetOrRegisterGaugeFloat64("cost.tokens_per_event."+string(s.name), registry).Update(s.model.TokensPerEvent())
	}
}

// addTo adds the inputs of the placement to the fields of its log line.
func (r *requestCost) addTo(fields logrus.Fields, prediction placement.Prediction) {
	if r == nil || !prediction.Known {
		return
	}
	fields["prompt_tokens"], fields["answer_tokens"] = int(r.estimate.PromptTokens), int(r.estimate.AnswerTokens)
	fields["first_event_in_ms"], fields["end_in_ms"] = prediction.FirstEvent.Milliseconds(), prediction.End.Milliseconds()
	fields["unread_own"], fields["unread_peers"] = int(prediction.OwnUnread), int(prediction.PeerUnread)
	fields["held_tokens"], fields["pace"] = int(prediction.HeldTokens), prediction.Pace
	fields["work_age_ms"] = prediction.ReportAge.Milliseconds()
}
