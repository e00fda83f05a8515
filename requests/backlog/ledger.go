// Package backlog keeps the outstanding work of the engines of a service, as one entry
// knows it: that of its own requests, and that which other entries reported. From it, the
// package predicts when an engine would send the first event of another request, when the
// answer would end, and how much context the engine would hold. It has no clock and does
// no I/O.
package backlog

import (
	"math"
	"sync"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/cost"
)

const (
	// idleTTL is how long the state of a server without requests of this entry is kept
	// after the last report.
	idleTTL = 10 * time.Second
	// minAnswerFraction is the part of the estimated answer that counts as still to be
	// generated when the answer is as long as estimated and goes on.
	minAnswerFraction = 0.15
	// minUnreadFraction is the part of a prompt that counts as unread until its first event,
	// however long ago the request was sent.
	minUnreadFraction = 0.6
	// maxWorkTokens and maxRunning bound what other entries report.
	maxWorkTokens = 1 << 26
	maxRunning    = 1 << 16
)

// Work is the outstanding work of one entry or of all others at a server.
type Work = fleet.Work

// Ledger holds the outstanding work of the servers of one service. It is safe for
// concurrent use.
type Ledger struct {
	mu      sync.Mutex
	servers map[core.InstanceID]*serverState
	// typical is the mean of the work that all other entries reported for a server.
	typical typicalWork
}

// serverState is the work at one server.
type serverState struct {
	incarnation core.Incarnation
	// requests and streaming count this entry's requests and those of them that have had an
	// event and are being read.
	requests, streaming int
	// own is their work; UnreadTokens includes what the engine has read of a prompt since
	// it was sent. unreadSince is since when the engine has been reading what is counted.
	own         Work
	unreadSince time.Time
	// peers is the work of all other entries as of peersAt; peersAt is zero without a
	// report.
	peers   Work
	peersAt time.Time
	pace    pace
	// updatedAt is when a request of this entry or a report last changed the state.
	updatedAt time.Time
}

// Item is a request of this entry at a server. A nil Item ignores all calls. Its methods
// may be called from one goroutine at a time.
type Item struct {
	ledger *Ledger
	state  *serverState
	// prompt and answer are the estimated numbers of tokens, and written is the number
	// that the server has sent.
	prompt, answer, written float64
	sentAt, lastEvent       time.Time
	hasEvent, isClosed      bool
	// isSuspended is set while the answer is not read.
	isSuspended bool
}

// New returns a Ledger without servers.
func New() *Ledger { return &Ledger{servers: map[core.InstanceID]*serverState{}} }

// Sent records that a request is sent to a process of a server.
func (l *Ledger) Sent(now time.Time, server core.InstanceID, incarnation core.Incarnation, e cost.Estimate) *Item {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.server(now, server, incarnation)
	i := &Item{ledger: l, state: s, prompt: finite(e.PromptTokens), answer: finite(e.AnswerTokens), sentAt: now}
	if s.own.UnreadTokens <= 0 {
		s.unreadSince = now
	}
	s.requests++
	s.own.Running++
	s.own.UnreadTokens += i.prompt
	s.own.AnswerTokens += i.answer
	s.own.HeldTokens += i.prompt
	return i
}

// FirstEvent records the first event of the answer, and its number of tokens. Later calls
// do nothing.
func (i *Item) FirstEvent(now time.Time, tokens float64) {
	if i == nil {
		return
	}
	i.ledger.mu.Lock()
	defer i.ledger.mu.Unlock()
	if i.hasEvent || i.isClosed {
		return
	}
	i.hasEvent, i.lastEvent = true, now
	i.state.streaming++
	i.state.own.UnreadTokens = max(i.state.own.UnreadTokens-i.prompt, 0)
	i.state.unreadSince = now
	i.write(finite(tokens))
	i.state.pace.recordEvent(now)
	i.state.updatedAt = now
}

// Event records a later event of the answer, and its number of tokens. timing is that of
// the server's engine.
func (i *Item) Event(now time.Time, tokens float64, timing *fleet.EngineTiming) {
	if i == nil {
		return
	}
	i.ledger.mu.Lock()
	defer i.ledger.mu.Unlock()
	if !i.hasEvent || i.isClosed {
		return
	}
	tokens = finite(tokens)
	if i.isSuspended {
		i.isSuspended = false
		i.state.streaming++
		i.state.pace.recordEvent(now)
	} else {
		i.state.pace.observeGap(now, now.Sub(i.lastEvent), usualGap(timing, i.state.total(timing), tokens))
	}
	i.lastEvent = now
	i.write(tokens)
	i.state.updatedAt = now
}

// Suspend records that the answer is not read until its next event. The gap until then tells
// nothing of the server.
func (i *Item) Suspend() {
	if i == nil {
		return
	}
	i.ledger.mu.Lock()
	defer i.ledger.mu.Unlock()
	if i.hasEvent && !i.isClosed && !i.isSuspended {
		i.isSuspended = true
		i.state.streaming--
	}
}

// write moves tokens of the answer from the work to do to the context held.
func (i *Item) write(tokens float64) {
	before := i.left()
	i.written += tokens
	i.state.own.AnswerTokens = max(i.state.own.AnswerTokens+i.left()-before, 0)
	i.state.own.HeldTokens += tokens
}

// left returns the expected number of answer tokens that are still to be generated.
func (i *Item) left() float64 { return max(i.answer-i.written, minAnswerFraction*i.answer) }

// Close records the end of the request. Later calls do nothing.
func (i *Item) Close(now time.Time) {
	if i == nil {
		return
	}
	i.ledger.mu.Lock()
	defer i.ledger.mu.Unlock()
	if i.isClosed {
		return
	}
	i.isClosed = true
	s := i.state
	s.requests--
	if i.hasEvent && !i.isSuspended {
		s.streaming--
	}
	s.updatedAt = now
	if s.requests == 0 {
		// Sums of floating-point numbers would not return to exactly 0.
		s.own = Work{}
		return
	}
	s.own.Running--
	if !i.hasEvent {
		s.own.UnreadTokens = max(s.own.UnreadTokens-i.prompt, 0)
	}
	s.own.AnswerTokens = max(s.own.AnswerTokens-i.left(), 0)
	s.own.HeldTokens = max(s.own.HeldTokens-i.prompt-i.written, 0)
}

// ObservePeers records the work of all other entries at a server as of age ago. Invalid
// numbers count as 0.
func (l *Ledger) ObservePeers(now time.Time, server core.InstanceID, incarnation core.Incarnation, work Work, age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.server(now, server, incarnation)
	work = Work{
		Running: min(max(work.Running, 0), maxRunning), UnreadTokens: finite(work.UnreadTokens),
		AnswerTokens: finite(work.AnswerTokens), HeldTokens: finite(work.HeldTokens),
	}
	at := now.Add(-max(age, 0))
	if at.Before(s.peersAt) {
		return
	}
	s.peers, s.peersAt = work, at
	l.typical.observe(now, work)
}

// Own returns this entry's work by server, without servers that have none. Prompts are
// counted less what the engine has read of them since.
func (l *Ledger) Own(now time.Time, timing *fleet.EngineTiming) map[core.InstanceID]Work {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := map[core.InstanceID]Work{}
	for id, s := range l.servers {
		if s.own.Running > 0 {
			list[id] = s.agedOwn(now, s.speed(now, timing))
		}
	}
	return list
}

// Sweep drops the servers without requests of this entry and without recent reports.
func (l *Ledger) Sweep(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, s := range l.servers {
		if s.requests == 0 && now.Sub(s.updatedAt) > idleTTL {
			delete(l.servers, id)
		}
	}
}

// server returns the state of a server. That of an earlier process is dropped: its requests
// ended with it.
func (l *Ledger) server(now time.Time, id core.InstanceID, incarnation core.Incarnation) *serverState {
	s := l.servers[id]
	if s == nil || incarnation > s.incarnation {
		s = &serverState{incarnation: incarnation}
		l.servers[id] = s
	}
	s.updatedAt = now
	return s
}

// finite returns a number of tokens if it is positive and finite, limited to
// maxWorkTokens, else 0.
func finite(number float64) float64 {
	if !(number > 0) || math.IsInf(number, 0) {
		return 0
	}
	return min(number, maxWorkTokens)
}
