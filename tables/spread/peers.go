package spread

import (
	"sort"
	"time"

	"currantusher.dev/wire"
)

// Pulled takes a peer's reply.
func (s *State) Pulled(now time.Time, event Pulled) []Action {
	if !event.Parent {
		delete(s.sidePulls, event.From.ID)
	}
	actions := s.surveyAnswered(now, event)
	if event.Err == nil {
		actions = append(actions, s.learn(now, event)...)
	} else {
		delete(s.witnesses, event.From.ID)
	}
	if event.Parent {
		s.scheduleParent(now, s.useful(event))
	}
	return append(actions, s.confirmByWitnesses()...)
}

// scheduleParent goes on with a useful parent; it leaves one that failed or
// knows less, and asks the next one for an answer at once.
func (s *State) scheduleParent(now time.Time, useful bool) {
	s.parentSent = time.Time{}
	s.parentDue = now.Add(s.settings.Timing.Pace)
	if useful {
		s.useless = 0
		return
	}
	s.parent++
	s.useless++
	s.askNow = true
	if s.useless > quickParents {
		s.parentDue = now.Add(s.settings.Timing.Retry)
	}
}

// askHedged asks the parents in turn beside the parent loop while the
// configuration is about to go stale, so that several dead parents cost no more
// than one. A daemon that is stale for long asks less often.
func (s *State) askHedged(now time.Time) []Action {
	old := s.Age(now)
	parents := s.topology.parents
	if old < s.settings.MaxAge/2 || s.confirmed.IsZero() || len(parents) == 0 || now.Before(s.hedgeDue) {
		return nil
	}
	s.hedgeDue = now.Add(s.settings.Timing.Retry)
	if old > longStale*s.settings.MaxAge {
		s.hedgeDue = now.Add(longStale * s.settings.Timing.Retry)
	}
	s.hedge++
	return s.sidePull(now, parents[s.hedge%len(parents)])
}

// useful reports whether a parent's reply keeps this daemon fresh.
func (s *State) useful(event Pulled) bool {
	reply := event.Reply
	return event.Err == nil && reply.Confirmed && reply.Revision >= s.Revision() && millis(reply.AgeMillis) < s.settings.MaxAge/2
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// learn adopts a higher revision and takes over the peer's confirmation. The
// reply was made after the pull was sent, so its ages count from then.
func (s *State) learn(now time.Time, event Pulled) []Action {
	reply := event.Reply
	if contains(s.topology.witnesses, event.From.ID) {
		s.witnesses[event.From.ID] = witness{
			heardAt: event.SentAt,
			down:    reply.StoreDown,
			downAt:  event.SentAt.Add(-millis(reply.StoreDownMillis)),
		}
	}
	var actions []Action
	if event.Config != nil && event.Config.Revision() == reply.Revision {
		actions = s.adopt(now, event.Config)
	}
	if reply.Confirmed && reply.Revision == s.Revision() && s.config != nil {
		s.confirm(event.SentAt.Add(-millis(reply.AgeMillis)))
	}
	return actions
}

// askWitnesses asks the other witnesses whether they reach the table service,
// while this one does not.
func (s *State) askWitnesses(now time.Time) []Action {
	if !s.storeDown || now.Before(s.witnessDue) {
		return nil
	}
	s.witnessDue = now.Add(witnessPolls * s.settings.Timing.Poll)
	var actions []Action
	for _, peer := range s.topology.witnesses {
		actions = append(actions, s.sidePull(now, peer)...)
	}
	return append(actions, s.confirmByWitnesses()...)
}

// confirmByWitnesses confirms the configuration while no witness is known to
// reach the table service and more than half of them say that they do not: an
// edit accepted meanwhile would have come through one of them.
func (s *State) confirmByWitnesses() []Action {
	if !s.storeDown || !s.topology.witness || s.confirmed.IsZero() {
		return nil
	}
	seen := []time.Time{s.storeDownAt}
	for _, w := range s.witnesses {
		if !w.down {
			return nil
		}
		seen = append(seen, earlier(w.downAt, w.heardAt))
	}
	majority := (len(s.topology.witnesses)+1)/2 + 1
	if len(seen) < majority {
		return nil
	}
	sort.Slice(seen, func(i, j int) bool { return seen[i].After(seen[j]) })
	s.confirm(seen[majority-1])
	return nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// PullAsked answers a pull at once when there is news for the asker, and holds
// it back otherwise. An asker with a higher revision is pulled from.
func (s *State) PullAsked(now time.Time, event PullAsked) []Action {
	pull := event.Pull
	var actions []Action
	if pull.Revision > s.Revision() {
		actions = s.sidePull(now, Neighbour{ID: pull.From, Addr: pull.Addr})
	}
	waiting := held{token: event.Token, asker: pull.Revision, until: now.Add(s.boundedWait(pull))}
	news := s.Revision() > pull.Revision
	if news || !now.Before(waiting.until) || len(s.held) >= maxHeldPulls {
		return append(actions, s.answer(now, waiting))
	}
	s.held = append(s.held, waiting)
	return actions
}

func (s *State) boundedWait(pull wire.ConfigPull) time.Duration {
	return min(max(0, millis(pull.WaitMillis)), s.settings.Timing.Wait)
}

// PushReceived pulls a revision that a peer announces.
func (s *State) PushReceived(now time.Time, push wire.ConfigPush) []Action {
	if push.Revision <= s.Revision() {
		return nil
	}
	actions := s.sidePull(now, Neighbour{ID: push.From, Addr: push.Addr})
	if s.topology.relay {
		s.headDue = now
	}
	return actions
}

func (s *State) answer(now time.Time, h held) Answer {
	reply := wire.ConfigPullReply{
		Revision:  s.Revision(),
		Confirmed: !s.confirmed.IsZero(),
		StoreDown: s.storeDown,
	}
	if reply.Confirmed {
		reply.AgeMillis = roundUp(s.Age(now))
	}
	if reply.StoreDown {
		reply.StoreDownMillis = roundUp(now.Sub(s.storeDownAt))
	}
	answer := Answer{Token: h.token, Reply: reply}
	if s.Revision() > h.asker {
		answer.Config = s.config
	}
	return answer
}

func roundUp(d time.Duration) int64 {
	return int64((max(0, d) + time.Millisecond - 1) / time.Millisecond)
}

// answerHeld answers the held pulls for which there is news.
func (s *State) answerHeld(now time.Time) []Action {
	return s.release(now, func(h held) bool { return s.Revision() > h.asker })
}

// expireHeld answers the held pulls that have waited long enough.
func (s *State) expireHeld(now time.Time) []Action {
	return s.release(now, func(h held) bool { return !now.Before(h.until) })
}

func (s *State) release(now time.Time, due func(held) bool) []Action {
	var actions []Action
	kept := s.held[:0]
	for _, h := range s.held {
		if due(h) {
			actions = append(actions, s.answer(now, h))
			continue
		}
		kept = append(kept, h)
	}
	s.held = kept
	return actions
}
