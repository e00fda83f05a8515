package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/members/gossip"
	"currantusher.dev/requests/direct"
	"currantusher.dev/requests/queuewait"
	"currantusher.dev/tables/watch"
)

// minSlowPace is the pace from which the other entries learn that a server is slower
// than usual.
const minSlowPace = 1.5

// queueWaits holds the estimator of the waits at the engines of each service, and the
// requests that no engine has begun. Its times are those of the gateway's clock.
type queueWaits struct {
	gateway *Gateway

	mu         sync.Mutex
	estimators map[fleet.ServiceName]*queuewait.Estimator
	pending    map[*trackedWait]bool
	// exchanges holds the time of the last exchange of loads that was observed.
	exchanges map[fleet.ServiceName]time.Time
}

// trackedWait is an attempt at an engine. A nil trackedWait ignores all calls.
type trackedWait struct {
	waits   *queueWaits
	request *queuewait.Request
	service fleet.ServiceName
	server  core.InstanceID
	model   fleet.Model
	traits  []fleet.Trait
	sentAt  time.Time
	// recall is nil if the request stays at the server in any case.
	recall direct.Recall
	// listed is the server as listed when the request was sent. Its row may lapse while the
	// request waits.
	listed *watch.Server
	// hasHead is set once the head of the answer was received.
	hasHead bool
	// cost records the attempt's part of the server's work.
	cost *trackedCost
}

func newQueueWaits(g *Gateway) *queueWaits {
	return &queueWaits{
		gateway: g, estimators: map[fleet.ServiceName]*queuewait.Estimator{},
		pending: map[*trackedWait]bool{}, exchanges: map[fleet.ServiceName]time.Time{},
	}
}

func (q *queueWaits) estimator(name fleet.ServiceName) *queuewait.Estimator {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.estimators[name]
	if e == nil {
		e = queuewait.NewEstimator()
		q.estimators[name] = e
	}
	return e
}

// queueLoad returns what is known of a server's work apart from this entry's requests.
func queueLoad(service *fleet.Service, slots int, server core.InstanceID, loads gossip.Loads) queuewait.Load {
	if slots <= 0 {
		slots = defaultSlots
	}
	return queuewait.Load{Slots: slots, Peers: loads.Peers[server], PeerPace: loads.PeerPaces[server], Timing: service.Engine.Timing}
}

// bound returns the longest time until a request begins that is sent to a server now.
func (q *queueWaits) bound(now time.Time, service *fleet.Service, server *watch.Server, loads gossip.Loads) time.Duration {
	return q.estimator(service.Name).Bound(now, server.ID, queueLoad(service, server.Slots, server.ID, loads))
}

// observeExchange records the other entries' loads at the servers of a service, and among
// how many entries the free slots are divided, once for each exchange.
func (q *queueWaits) observeExchange(now time.Time, service *fleet.Service, servers []*watch.Server, loads gossip.Loads) {
	if service.Engine == nil || !q.isNewExchange(service.Name, loads.At) {
		return
	}
	estimator := q.estimator(service.Name)
	division, regions := q.gateway.slotDivision.Load(), q.gateway.node.Load().Regions
	for _, server := range servers {
		estimator.ObservePeers(now, server.ID, loads.Peers[server.ID])
		free := slotsOf(server) - loads.Own[server.ID] - loads.Peers[server.ID]
		estimator.ObserveDivision(now, server.ID, division.entries(regions[server.DataCentre]), free)
	}
}

func (q *queueWaits) isNewExchange(name fleet.ServiceName, at time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	isNew := q.exchanges[name] != at
	q.exchanges[name] = at
	return isNew
}

// track starts to observe an attempt at a server. It returns nil for services without
// engines.
func (q *queueWaits) track(now time.Time, o observer, attempt direct.Attempt) *trackedWait {
	view := q.gateway.follower.View()
	if view.Table == nil {
		return nil
	}
	service := view.Table.Service(o.service)
	if service == nil || service.Engine == nil {
		return nil
	}
	server := view.Server(o.service, attempt.Server.Server)
	if server == nil {
		// The row lapsed after the request was placed. A server that accepts the request has
		// the expected version, if there is one.
		server = &watch.Server{Server: fleet.Server{
			ID: attempt.Server.Server, StartedAt: time.UnixMilli(int64(attempt.Server.Incarnation)),
			Weights: map[fleet.Model]fleet.WeightsVersion{o.model: attempt.ExpectedVersion},
		}}
	}
	load := queueLoad(service, server.Slots, server.ID, q.gateway.gossip.Loads())
	t := &trackedWait{
		waits: q, request: q.estimator(o.service).Sent(now, server.ID, load),
		service: o.service, server: server.ID, model: o.model, traits: o.traits, sentAt: now, recall: attempt.Recall, listed: server,
		cost: o.cost.sent(q.gateway, now, server),
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pending[t] = true
	return t
}

// dataReceived records a part of the answer. An engine sends the first part of the body
// with the first token; the head may precede it.
func (t *trackedWait) dataReceived() {
	if t == nil {
		return
	}
	now := t.waits.gateway.clock.Now()
	if !t.hasHead {
		t.hasHead = true
		return
	}
	t.cost.dataReceived(now)
	wait, bound, first := t.request.Event(now)
	if !first {
		return
	}
	t.waits.remove(t)
	t.waits.gateway.reportOutdatedBegin(now, t)
	registry := t.waits.gateway.registry
	t.waits.gateway.histogram("queue_wait.bound_excess_millis." + string(t.service)).Update((bound - wait).Milliseconds())
	if wait > bound {
		metrics.GetOrRegisterCounter("queue_wait.bound_exceeded."+string(t.service), registry).Inc(1)
	}
}

// suspended records that the answer is not read until dataReceived.
func (t *trackedWait) suspended() {
	if t != nil {
		t.cost.suspended()
	}
}

func (t *trackedWait) close(complete bool) {
	if t == nil {
		return
	}
	t.request.Close(complete)
	t.cost.close(t.waits.gateway.clock.Now(), complete)
	t.waits.remove(t)
}

func (q *queueWaits) remove(t *trackedWait) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.pending, t)
}

// recallPending recalls the attempts that no engine has begun and that match, and returns
// them. One that stays at its server may be recalled later for another reason.
func (q *queueWaits) recallPending(reason direct.RecallReason, match func(*trackedWait) bool) []*trackedWait {
	matching := q.matchingPending(match)
	return slices.DeleteFunc(matching, func(t *trackedWait) bool {
		recalled := t.recall(reason)
		if recalled {
			q.remove(t)
		}
		return !recalled
	})
}

// matchingPending returns the attempts that no engine has begun, that can be recalled and
// that match.
func (q *queueWaits) matchingPending(match func(*trackedWait) bool) []*trackedWait {
	q.mu.Lock()
	defer q.mu.Unlock()
	var matching []*trackedWait
	for t := range q.pending {
		if t.recall != nil && match(t) {
			matching = append(matching, t)
		}
	}
	return matching
}

// paces returns the servers that this entry observes to be slower than usual.
func (q *queueWaits) paces() map[core.InstanceID]float64 {
	view := q.gateway.follower.View()
	if view.Table == nil {
		return nil
	}
	now := q.gateway.clock.Now()
	var slow map[core.InstanceID]float64
	for name, servers := range view.Servers {
		service := view.Table.Service(name)
		if service == nil || service.Engine == nil {
			continue
		}
		estimator := q.estimator(name)
		for _, server := range servers {
			pace := estimator.Pace(now, server.ID, queueLoad(service, server.Slots, server.ID, gossip.Loads{}))
			if pace < minSlowPace {
				continue
			}
			if slow == nil {
				slow = map[core.InstanceID]float64{}
			}
			slow[server.ID] = pace
		}
	}
	return slow
}

func (q *queueWaits) sweep(now time.Time) {
	q.mu.Lock()
	estimators := make([]*queuewait.Estimator, 0, len(q.estimators))
	for _, e := range q.estimators {
		estimators = append(estimators, e)
	}
	q.mu.Unlock()
	for _, e := range estimators {
		e.Sweep(now)
	}
}
