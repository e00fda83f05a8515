package backlog

import (
	"math"
	"time"

	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/latency"
)

const (
	// typicalGain is the weight of a report for one server in the mean over all servers.
	typicalGain = 0.002
	// typicalTTL is how long the typical work counts after the last report.
	typicalTTL = 3 * time.Second
	// fallbackTurnover is how long requests run at an engine whose timing does not tell.
	fallbackTurnover = time.Second
)

// typicalWork is the moving average of the work that other entries report for a server.
type typicalWork struct {
	count                          float64
	running, unread, answers, held float64
	updatedAt                      time.Time
}

func (t *typicalWork) observe(now time.Time, w Work) {
	if now.Sub(t.updatedAt) > typicalTTL {
		*t = typicalWork{}
	}
	t.updatedAt = now
	t.count++
	gain := max(typicalGain, 1/t.count)
	t.running += gain * (float64(w.Running) - t.running)
	t.unread += gain * (w.UnreadTokens - t.unread)
	t.answers += gain * (w.AnswerTokens - t.answers)
	t.held += gain * (w.HeldTokens - t.held)
}

// amount is Work with a fractional number of requests.
type amount struct {
	running, unread, answers, held float64
}

func amountOf(w Work) amount {
	return amount{running: float64(w.Running), unread: w.UnreadTokens, answers: w.AnswerTokens, held: w.HeldTokens}
}

func (a amount) add(b amount) amount {
	return amount{running: a.running + b.running, unread: a.unread + b.unread, answers: a.answers + b.answers, held: a.held + b.held}
}

// agedOwn returns this entry's work less the prompt tokens that the engine has read since
// the last first event.
func (s *serverState) agedOwn(now time.Time, speed speed) Work {
	w := s.own
	if w.UnreadTokens <= 0 {
		w.UnreadTokens = 0
		return w
	}
	share := w.UnreadTokens / (w.UnreadTokens + s.peers.UnreadTokens)
	read := share * speed.read * max(now.Sub(s.unreadSince), 0).Seconds()
	w.UnreadTokens = max(w.UnreadTokens-read, minUnreadFraction*w.UnreadTokens)
	return w
}

// speed is how fast an engine works with its present load.
type speed struct {
	pace float64
	// read is the number of prompt tokens that the engine reads in a second while it decodes
	// answers between the passes; 0 if unknown.
	read float64
	// turnover is the time in which most requests are replaced by others.
	turnover time.Duration
}

func (s *serverState) speed(now time.Time, timing *fleet.EngineTiming) speed {
	v := speed{pace: s.pace.value(now, s.streaming > 0), turnover: fallbackTurnover}
	if timing == nil || !timing.IsKnown() {
		return v
	}
	answers := s.own.Running + s.peers.Running
	load := latency.Load{ActiveAnswers: answers, MeanContextTokens: timing.MeanPromptTokens}
	step := latency.DecodeStepTime(*timing, load)
	v.read = timing.PrefillTokensPerSecond / v.pace
	if chunk := float64(timing.PrefillChunkTokens); chunk > 0 {
		decode := time.Duration(max(timing.StepsPerPass, 1)) * step
		v.read = chunk / (latency.PrefillTime(*timing, chunk) + decode).Seconds() / v.pace
	}
	if timing.MeanAnswerTokens > 0 {
		usual := timing.MeanAnswerTokens * float64(latency.TimePerToken(*timing, load))
		v.turnover = max(time.Duration(usual*v.pace), time.Millisecond)
	}
	return v
}

// agedPeers returns what the other entries' work is likely to be now. The engine reads and
// answers what was reported, and requests that were sent since bring the work back to what
// is typical for a server. Without a report for typicalTTL, all of it is typical.
func (l *Ledger) agedPeers(now time.Time, s *serverState, speed speed, timing *fleet.EngineTiming) amount {
	typical := l.typicalAmount(now)
	if s == nil || s.peersAt.IsZero() {
		return typical
	}
	reported := amountOf(s.peers)
	age := max(now.Sub(s.peersAt), 0)
	kept := math.Exp(-float64(age) / float64(speed.turnover))
	aged := amount{
		running: typical.running + kept*(reported.running-typical.running),
		answers: typical.answers + kept*(reported.answers-typical.answers),
		held:    typical.held + kept*(reported.held-typical.held),
	}
	rate := speed.read
	if rate <= 0 {
		aged.unread = typical.unread + kept*(reported.unread-typical.unread)
		return aged
	}
	// Prompts stay unread for about the time in which a usual one is read.
	read := 0.0
	if reported.unread > 0 {
		read = rate * age.Seconds() * reported.unread / (reported.unread + s.own.UnreadTokens)
	}
	unreadTime := max(timing.MeanPromptTokens, 1) / rate
	aged.unread = max(reported.unread-read, 0) + typical.unread*(1-math.Exp(-age.Seconds()/unreadTime))
	return aged
}

// typicalAmount returns the typical work of other entries at a server. It vanishes when no
// entry reports any more.
func (l *Ledger) typicalAmount(now time.Time) amount {
	t := &l.typical
	if t.count == 0 || now.Sub(t.updatedAt) > typicalTTL {
		return amount{}
	}
	return amount{running: t.running, unread: t.unread, answers: t.answers, held: t.held}
}

// total returns the load of a server's engine for the expected time between events.
func (s *serverState) total(timing *fleet.EngineTiming) latency.Load {
	running := max(s.own.Running+s.peers.Running, 1)
	load := latency.Load{ActiveAnswers: running}
	if timing != nil {
		load.MeanContextTokens = max(timing.MeanPromptTokens, (s.own.HeldTokens+s.peers.HeldTokens)/float64(running))
	}
	return load
}
