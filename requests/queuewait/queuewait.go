// Package queuewait bounds the time from sending a request to an engine until the
// engine begins to run it, which is its first token. The bound follows from the
// requests that are known to be at the engine, the engine's published timing, and
// the pace of its answers to this entry. The package has no clock and does no I/O.
package queuewait

import (
	"sync"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
)

const (
	// gapGain is the weight of a new gap in the moving average of the time between
	// the events of a server.
	gapGain = 0.3
	// lengthGain is the weight of a new answer in the moving average of the number of
	// events of an answer.
	lengthGain = 0.02
	// recentTime is how long peaks count at least. It exceeds the time of a usual
	// answer, so that the requests of an entry that left count while they run.
	recentTime = 2 * time.Second
	// gapTTL is how long the gap between events counts after the last event.
	gapTTL = 4 * time.Second
	// idleTTL is how long the state of a server without requests is kept.
	idleTTL = 10 * time.Second
)

// Load is what an entry knows of the work at one server besides its own requests.
type Load struct {
	Slots int
	// Peers is the number of requests of other entries as of the last exchange.
	Peers int
	// PeerPace is the largest pace that other entries observed; see Pace.
	PeerPace float64
	Timing   fleet.EngineTiming
}

// Estimator observes the requests of one entry at the engines of one service. It is
// safe for concurrent use.
type Estimator struct {
	mu      sync.Mutex
	servers map[core.InstanceID]*serverState
	// eventsPerAnswer is the moving average over all servers; 0 until an answer ended.
	eventsPerAnswer float64
}

type serverState struct {
	requests map[*Request]bool
	// gap is the moving average of the time between the events of an answer.
	gap       time.Duration
	lastEvent time.Time
	// waits and paces hold the peaks of the observed waits, as such and as multiples
	// of the bound for an engine at its usual pace.
	waits, paces recentPeak
	// rises and drops hold the peaks of the changes of the others' load between two
	// exchanges.
	rises, drops recentPeak
	lastPeers    int
	// free holds the peak of the slots that this entry considered free.
	free      recentPeak
	division  division
	updatedAt time.Time
}

// Request is a request at a server. Its methods may be called from one goroutine at
// a time.
type Request struct {
	estimator *Estimator
	server    core.InstanceID
	sentAt    time.Time
	// bound is the bound on the wait as of sentAt, and usualBound the one for an
	// engine at its usual pace, or 0 if unknown.
	bound, usualBound time.Duration
	lastEvent         time.Time
	events            int
}

// NewEstimator returns an Estimator without observations.
func NewEstimator() *Estimator {
	return &Estimator{servers: map[core.InstanceID]*serverState{}}
}

// ObservePeers records the load of other entries at a server.
func (e *Estimator) ObservePeers(now time.Time, id core.InstanceID, peers int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.server(now, id)
	s.rises.observe(now, float64(peers-s.lastPeers))
	s.drops.observe(now, float64(s.lastPeers-peers))
	s.lastPeers = peers
}

// ObserveDivision records that this entry divides the free slots of a server among a
// number of entries, as of an exchange of loads.
func (e *Estimator) ObserveDivision(now time.Time, id core.InstanceID, entries, free int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.server(now, id)
	s.division.observe(now, entries)
	s.free.observe(now, float64(free))
}

// Sent records that a request is sent to a server.
func (e *Estimator) Sent(now time.Time, id core.InstanceID, load Load) *Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.server(now, id)
	r := &Request{estimator: e, server: id, sentAt: now, bound: e.bound(now, s, load)}
	if load.Timing.IsKnown() {
		r.usualBound = s.usualBound(now, load)
	}
	s.requests[r] = true
	return r
}

// Bound returns an upper bound on the time from now until a request that is sent now
// begins at a server.
func (e *Estimator) Bound(now time.Time, id core.InstanceID, load Load) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.bound(now, e.server(now, id), load)
}

// Pace returns by how much the answers of a server are slower than usual at a full
// engine, as observed by this entry; 1 without recent events.
func (e *Estimator) Pace(now time.Time, id core.InstanceID, load Load) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.servers[id]
	if s == nil || !load.Timing.IsKnown() {
		return 1
	}
	return e.pace(now, s, load.Timing, load.Slots)
}

// Sweep drops the servers without recent observations.
func (e *Estimator) Sweep(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, s := range e.servers {
		if len(s.requests) == 0 && now.Sub(s.updatedAt) > idleTTL {
			delete(e.servers, id)
		}
	}
}

func (e *Estimator) server(now time.Time, id core.InstanceID) *serverState {
	s := e.servers[id]
	if s == nil {
		s = &serverState{requests: map[*Request]bool{}}
		e.servers[id] = s
	}
	s.updatedAt = now
	return s
}

// Event records that a part of the answer arrived. For the first one it returns the
// wait and the bound on it as of the time of the send; first is false for later ones.
func (r *Request) Event(now time.Time) (wait, bound time.Duration, first bool) {
	r.estimator.mu.Lock()
	defer r.estimator.mu.Unlock()
	s := r.estimator.servers[r.server]
	if s == nil || !s.requests[r] {
		return 0, 0, false
	}
	r.events++
	s.lastEvent = now
	if r.events == 1 {
		r.lastEvent = now
		s.waits.observe(now, now.Sub(r.sentAt).Seconds())
		if r.usualBound > 0 {
			s.paces.observe(now, float64(now.Sub(r.sentAt))/float64(r.usualBound))
		}
		return now.Sub(r.sentAt), r.bound, true
	}
	s.observeGap(now.Sub(r.lastEvent))
	r.lastEvent = now
	return 0, 0, false
}

// Close records the end of the request. complete reports whether its answer was read
// to the end. Later calls do nothing.
func (r *Request) Close(complete bool) {
	e := r.estimator
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.servers[r.server]
	if s == nil || !s.requests[r] {
		return
	}
	delete(s.requests, r)
	switch {
	case !complete || r.events == 0:
	case e.eventsPerAnswer == 0:
		e.eventsPerAnswer = float64(r.events)
	default:
		e.eventsPerAnswer += lengthGain * (float64(r.events) - e.eventsPerAnswer)
	}
}

func (s *serverState) observeGap(gap time.Duration) {
	if s.gap == 0 {
		s.gap = gap
		return
	}
	s.gap += time.Duration(gapGain * float64(gap-s.gap))
}

// recentPeak is the maximum of the values of the last recentTime to 2*recentTime.
type recentPeak struct {
	current, previous float64
	startedAt         time.Time
}

func (p *recentPeak) observe(now time.Time, value float64) {
	p.rotate(now)
	p.current = max(p.current, value)
}

func (p *recentPeak) value(now time.Time) float64 {
	p.rotate(now)
	return max(p.current, p.previous)
}

func (p *recentPeak) rotate(now time.Time) {
	switch age := now.Sub(p.startedAt); {
	case age >= 2*recentTime:
		*p = recentPeak{startedAt: now}
	case age >= recentTime:
		*p = recentPeak{previous: p.current, startedAt: now}
	}
}
