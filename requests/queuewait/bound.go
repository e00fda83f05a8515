package queuewait

import (
	"math"
	"time"

	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/latency"
)

const (
	// overfillFraction is the part of its slots by which the entries together may
	// overfill a server.
	overfillFraction = 0.25
	// usualDropFraction is the part of the slots whose requests may end between two
	// exchanges of loads. More reported requests disappear only when entries leave.
	usualDropFraction = 0.375
	// leaveOverfill multiplies the requests of entries that leave: while the others
	// learn of it at different times, two of them may claim the same slot.
	leaveOverfill = 2
	// promptTail is the length of a long prompt in mean lengths.
	promptTail = 3
	// quantileSpread is the number of standard deviations by which the ends of answers
	// may be late. The engine also reads prompts while it answers, which the time to
	// the first token covers a second time.
	quantileSpread = 1.5
	// waitGrowth multiplies a wait that was observed recently: the queue may have grown
	// since.
	waitGrowth = 1.5
	// networkTime covers the way of the request to the server.
	networkTime = 100 * time.Millisecond
)

// UnknownBound is the bound for an engine whose timing is not known.
const UnknownBound = 3 * time.Second

// bound returns the upper bound for a request sent now. The caller holds e.mu.
func (e *Estimator) bound(now time.Time, s *serverState, load Load) time.Duration {
	if !load.Timing.IsKnown() || load.Slots <= 0 {
		return max(UnknownBound, s.observedBound(now))
	}
	pace := max(e.pace(now, s, load.Timing, load.Slots), load.PeerPace)
	return networkTime + max(time.Duration(pace*float64(s.usualBound(now, load))), s.observedBound(now))
}

// usualBound returns the bound for an engine at its usual pace.
func (s *serverState) usualBound(now time.Time, load Load) time.Duration {
	return s.firstTokenTime(now, load) + completionTime(s.position(now, load), load.Slots, usualAnswerTime(load.Timing, load.Slots))
}

// position returns how many requests must end at the server before a new one is
// admitted, if the other entries use all slots that they consider free.
func (s *serverState) position(now time.Time, load Load) int {
	known := len(s.requests) + load.Peers + 1
	return max(known-load.Slots, 0) + s.unreported(now, load) + max(overfill(load), s.claimedTwice(now, load))
}

// unreported returns the number of requests of entries that stopped reporting them.
// They hold their slots until they end, although the entries consider them free.
func (s *serverState) unreported(now time.Time, load Load) int {
	drop := s.drops.value(now)
	if drop <= usualDropFraction*float64(load.Slots) {
		return 0
	}
	return int(leaveOverfill * drop)
}

// unreadPrompts returns how many prompts the engine may have to read before a new one:
// those of this entry's requests without an event, those that other entries sent
// between the last exchanges, and those for all slots that they consider free.
func (s *serverState) unreadPrompts(now time.Time, load Load) int {
	pending := 0
	for r := range s.requests {
		if r.events == 0 {
			pending++
		}
	}
	free := max(load.Slots-load.Peers-len(s.requests), 0)
	return min(pending+int(s.rises.value(now))+free+overfill(load), load.Slots)
}

// overfill returns the number of requests beyond the slots that the entries together
// may send, because each knows the others' sends only from their last exchange.
func overfill(load Load) int { return int(overfillFraction * float64(load.Slots)) }

// claimedTwice returns the number of free slots that two entries may use because they
// divide the slots among different numbers of entries.
func (s *serverState) claimedTwice(now time.Time, load Load) int {
	return min(int(s.division.excess(now)*s.free.value(now)), load.Slots)
}

// firstTokenTime returns the time to the first token of a long prompt at the usual
// pace of a full engine, after the prompts that are not read yet.
func (s *serverState) firstTokenTime(now time.Time, load Load) time.Duration {
	mean := load.Timing.MeanPromptTokens
	unread := float64(s.unreadPrompts(now, load)) * mean
	work := latency.Load{ActiveAnswers: load.Slots, MeanContextTokens: mean, PendingPromptTokens: unread}
	return latency.TimeToFirstToken(load.Timing, work, promptTail*mean)
}

// observedBound follows from the waits of this entry's requests: those that ended and
// those that still last.
func (s *serverState) observedBound(now time.Time) time.Duration {
	longest := time.Duration(s.waits.value(now) * float64(time.Second))
	for r := range s.requests {
		if r.events == 0 {
			longest = max(longest, now.Sub(r.sentAt))
		}
	}
	return time.Duration(waitGrowth * float64(longest))
}

// pace returns by how much the server is slower than usual as observed by this entry:
// in the time between the events of its answers, and in waits beyond the bound.
func (e *Estimator) pace(now time.Time, s *serverState, timing fleet.EngineTiming, slots int) float64 {
	pace := max(1, s.paces.value(now))
	for r := range s.requests {
		if r.events == 0 && r.usualBound > 0 {
			pace = max(pace, float64(now.Sub(r.sentAt))/float64(r.usualBound))
		}
	}
	quiet := s.silence(now)
	if e.eventsPerAnswer == 0 || s.gap == 0 || quiet == 0 && now.Sub(s.lastEvent) > gapTTL {
		return pace
	}
	answerTime := e.eventsPerAnswer * float64(max(s.gap, quiet))
	return max(pace, answerTime/float64(usualAnswerTime(timing, slots)))
}

// silence returns the time since the last event of the server if it has answers to
// this entry in progress.
func (s *serverState) silence(now time.Time) time.Duration {
	for r := range s.requests {
		if r.events > 0 {
			return now.Sub(s.lastEvent)
		}
	}
	return 0
}

func usualAnswerTime(timing fleet.EngineTiming, slots int) time.Duration {
	full := latency.Load{ActiveAnswers: slots, MeanContextTokens: timing.MeanPromptTokens}
	return time.Duration(max(timing.MeanAnswerTokens, 1) * float64(latency.TimePerToken(timing, full)))
}

// completionTime returns the time within which the given number of answers end, if the
// ends of the answers of a full engine are a Poisson process.
func completionTime(answers, slots int, answerTime time.Duration) time.Duration {
	if answers <= 0 {
		return 0
	}
	n := float64(answers)
	late := n + quantileSpread*math.Sqrt(n)
	return time.Duration(late / float64(slots) * float64(answerTime))
}
