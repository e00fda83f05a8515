package backlog

import (
	"math"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/cost"
	"currantusher.dev/requests/latency"
)

// safeMemoryFraction is the part of its memory up to which an engine gets requests. The rest
// is for answers longer than estimated and for requests that other entries sent since.
const safeMemoryFraction = 0.85

// ServerLoad is what is known of a server besides the work in the ledger.
type ServerLoad struct {
	Incarnation core.Incarnation
	Slots       int
	// Peers is the number of requests of other entries as of the last exchange of numbers.
	// It counts if it exceeds what they report as work, which may be lost or incomplete.
	Peers int
	// PeerPace is the largest pace that other entries observed, 0 if none is unusual.
	PeerPace float64
	// MemoryTokens is how many context tokens the engine can hold, 0 if unknown.
	MemoryTokens float64
	Timing       *fleet.EngineTiming
}

// Prediction is the expected course of a request at a server.
type Prediction struct {
	// Known is unset if the engine's timing or the cost of the request is not known.
	Known bool
	// FirstEvent and End are the times from now to the first event and to the end of the
	// answer.
	FirstEvent, End time.Duration
	// HeldTokens is the context that all requests at the server are expected to hold at
	// their ends, including the request. ExceedsMemory reports that this is too much.
	HeldTokens    float64
	ExceedsMemory bool
	// OwnUnread and PeerUnread are the prompt tokens that the engine reads first.
	OwnUnread, PeerUnread float64
	// ReportAge is the age of the other entries' report, or negative without one.
	ReportAge time.Duration
	// Pace is by how much the server is slower than its published timing.
	Pace float64
}

// Predict returns the expected course of a request that is sent to a server now.
func (l *Ledger) Predict(now time.Time, server core.InstanceID, load ServerLoad, e cost.Estimate) Prediction {
	if load.Timing == nil || !load.Timing.IsKnown() || !e.Known {
		return Prediction{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.servers[server]
	if s != nil && load.Incarnation > s.incarnation {
		// The server was replaced: nothing is known of the new process.
		s = nil
	}
	p := Prediction{Known: true, ReportAge: -1, Pace: 1}
	var own amount
	var speed speed
	if s != nil {
		speed = s.speed(now, load.Timing)
		own = amountOf(s.agedOwn(now, speed))
		p.Pace = speed.pace
		if !s.peersAt.IsZero() {
			p.ReportAge = max(now.Sub(s.peersAt), 0)
		}
	}
	if s == nil || now.Sub(s.pace.lastEvent) > paceTTL {
		p.Pace = max(p.Pace, min(load.PeerPace, maxPace))
	}
	peers := l.likelyPeers(now, s, speed, load)
	p.OwnUnread, p.PeerUnread = own.unread, peers.unread
	p.course(own.add(peers), load, e)
	return p
}

// likelyPeers returns the likely work of other entries at a server. Requests that only the
// exchange of numbers shows are taken to be usual ones in the middle of their answers.
func (l *Ledger) likelyPeers(now time.Time, s *serverState, speed speed, load ServerLoad) amount {
	peers := l.agedPeers(now, s, speed, load.Timing)
	if missing := float64(load.Peers) - peers.running; missing >= 1 && (s == nil || s.peersAt.IsZero() || now.Sub(s.peersAt) > typicalTTL) {
		peers.running += missing
		peers.answers += missing * load.Timing.MeanAnswerTokens / 2
		peers.held += missing * (load.Timing.MeanPromptTokens + load.Timing.MeanAnswerTokens/2)
	}
	return peers
}

// course sets the times and the memory of a request at an engine with some work.
func (p *Prediction) course(work amount, load ServerLoad, e cost.Estimate) {
	active := work.running
	if load.Slots > 0 {
		active = min(active, float64(load.Slots))
	}
	engine := latency.Load{ActiveAnswers: int(math.Round(active)), PendingPromptTokens: work.unread, MeanContextTokens: load.Timing.MeanPromptTokens}
	if work.running > 0 {
		engine.MeanContextTokens = work.held / work.running
	}
	first := latency.TimeToFirstToken(*load.Timing, engine, e.PromptTokens) + slotWait(work, load, engine)
	engine.ActiveAnswers++
	if load.Slots > 0 {
		engine.ActiveAnswers = min(engine.ActiveAnswers, load.Slots)
	}
	p.FirstEvent = time.Duration(p.Pace * float64(first))
	p.End = p.FirstEvent + time.Duration(p.Pace*e.AnswerTokens*float64(latency.TimePerToken(*load.Timing, engine)))
	p.HeldTokens = work.held + work.answers + e.PromptTokens + e.AnswerTokens
	p.ExceedsMemory = load.MemoryTokens > 0 && p.HeldTokens > safeMemoryFraction*load.MemoryTokens
}

// slotWait returns the time until an engine without a free slot has one for a new request,
// if the ends of its answers are a Poisson process.
func slotWait(work amount, load ServerLoad, engine latency.Load) time.Duration {
	if load.Slots <= 0 || work.running < float64(load.Slots) {
		return 0
	}
	before := work.running - float64(load.Slots) + 1
	left := max(work.answers/work.running, 1)
	return time.Duration(before / float64(load.Slots) * left * float64(latency.TimePerToken(*load.Timing, engine)))
}
