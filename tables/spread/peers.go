package spread

import (
	"sort"
	"time"

	"currantusher.dev/wire"
)

// Pulled processes the outcome of a pull from a peer.
func (s *State) Pulled(now time.Time, event Pulled) []Action {
	if !event.Parent {
		delete(s.sidePulls, event.From.ID)
	}
	actions := s.recordSurveyReply(now, event)
	if event.Err == nil {
		actions = append(actions, s.applyReply(now, event)...)
	} else {
		delete(s.witnessReports, event.From.ID)
	}
	if event.Parent {
		s.scheduleParentPull(now, s.keepsFresh(event))
	}
	return append(actions, s.confirmByWitnesses()...)
}

// scheduleParentPull schedules the next pull of the parent loop. If the last
// reply does not keep this daemon fresh, the next parent is pulled with a wait
// of 0, so that it replies immediately.
func (s *State) scheduleParentPull(now time.Time, keepsFresh bool) {
	s.parentPullSentAt = time.Time{}
	s.parentPullDue = now.Add(s.settings.Timing.MinPullInterval)
	if keepsFresh {
		s.parentFailures = 0
		return
	}
	s.parentIndex++
	s.parentFailures++
	s.pullWithoutWait = true
	if s.parentFailures > immediateParentRetries {
		s.parentPullDue = now.Add(s.settings.Timing.RetryInterval)
	}
}

// pullHedged pulls from the parents in turn, concurrently with the parent loop,
// when half of the maximum age has passed. Several failed parents then cost no
// more time than one. A daemon that has been stale for long pulls less often.
func (s *State) pullHedged(now time.Time) []Action {
	currentAge := s.Age(now)
	parents := s.topology.parents
	if currentAge < s.settings.MaxAge/2 || s.confirmedAt.IsZero() || len(parents) == 0 || now.Before(s.hedgeDue) {
		return nil
	}
	s.hedgeDue = now.Add(s.settings.Timing.RetryInterval)
	if currentAge > longStaleFactor*s.settings.MaxAge {
		s.hedgeDue = now.Add(longStaleFactor * s.settings.Timing.RetryInterval)
	}
	s.hedgeIndex++
	return s.sidePull(now, parents[s.hedgeIndex%len(parents)])
}

// keepsFresh reports whether a parent's reply is recent enough to keep this
// daemon's configuration fresh.
func (s *State) keepsFresh(event Pulled) bool {
	reply := event.Reply
	return event.Err == nil && reply.Confirmed && reply.Revision >= s.Revision() && millis(reply.AgeMillis) < s.settings.MaxAge/2
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// applyReply adopts a higher revision and the peer's confirmation time. Ages in
// the reply are counted back from the time at which the pull was sent, which is
// earlier than the reply and therefore never makes the configuration look too
// recent.
func (s *State) applyReply(now time.Time, event Pulled) []Action {
	reply := event.Reply
	if containsID(s.topology.witnesses, event.From.ID) {
		s.witnessReports[event.From.ID] = witnessReport{
			sentAt:      event.SentAt,
			storeDown:   reply.StoreDown,
			storeDownAt: event.SentAt.Add(-millis(reply.StoreDownMillis)),
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

// pullWitnesses pulls from the other witnesses while this daemon does not reach
// the table service, to find out whether they do.
func (s *State) pullWitnesses(now time.Time) []Action {
	if !s.storeDown || now.Before(s.witnessPullDue) {
		return nil
	}
	s.witnessPullDue = now.Add(pollsPerWitnessPull * s.settings.Timing.PollInterval)
	var actions []Action
	for _, peer := range s.topology.witnesses {
		actions = append(actions, s.sidePull(now, peer)...)
	}
	return append(actions, s.confirmByWitnesses()...)
}

// confirmByWitnesses confirms the configuration during an outage of the table
// service: when more than half of the witnesses report that they do not reach
// it, and none reports that it does. An edit accepted during that time would
// have been distributed by one of them.
func (s *State) confirmByWitnesses() []Action {
	if !s.storeDown || !s.topology.isWitness || s.confirmedAt.IsZero() {
		return nil
	}
	downTimes := []time.Time{s.storeDownAt}
	for _, w := range s.witnessReports {
		if !w.storeDown {
			return nil
		}
		downTimes = append(downTimes, earlierOf(w.storeDownAt, w.sentAt))
	}
	majority := (len(s.topology.witnesses)+1)/2 + 1
	if len(downTimes) < majority {
		return nil
	}
	sort.Slice(downTimes, func(i, j int) bool { return downTimes[i].After(downTimes[j]) })
	s.confirm(downTimes[majority-1])
	return nil
}

func earlierOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// PullReceived replies to a pull immediately if this daemon has a newer revision
// than the peer, and otherwise holds it until then or until its wait has passed.
// If the peer has a higher revision, this daemon pulls from it.
func (s *State) PullReceived(now time.Time, event PullReceived) []Action {
	pull := event.Pull
	var actions []Action
	if pull.Revision > s.Revision() {
		actions = s.sidePull(now, Neighbour{ID: pull.From, Addr: pull.Addr})
	}
	pending := heldPull{token: event.Token, peerRevision: pull.Revision, deadline: now.Add(s.boundedHoldTime(pull))}
	newer := s.Revision() > pull.Revision
	if newer || !now.Before(pending.deadline) || len(s.heldPulls) >= maxHeldPulls {
		return append(actions, s.newReply(now, pending))
	}
	s.heldPulls = append(s.heldPulls, pending)
	return actions
}

func (s *State) boundedHoldTime(pull wire.ConfigPull) time.Duration {
	return min(max(0, millis(pull.WaitMillis)), s.settings.Timing.PullWait)
}

// PushReceived pulls a newer revision from the peer that announced it.
func (s *State) PushReceived(now time.Time, push wire.ConfigPush) []Action {
	if push.Revision <= s.Revision() {
		return nil
	}
	actions := s.sidePull(now, Neighbour{ID: push.From, Addr: push.Addr})
	if s.topology.isRelay {
		s.headReadDue = now
	}
	return actions
}

func (s *State) newReply(now time.Time, h heldPull) SendReply {
	reply := wire.ConfigPullReply{
		Revision:  s.Revision(),
		Confirmed: !s.confirmedAt.IsZero(),
		StoreDown: s.storeDown,
	}
	if reply.Confirmed {
		reply.AgeMillis = roundUpMillis(s.Age(now))
	}
	if reply.StoreDown {
		reply.StoreDownMillis = roundUpMillis(now.Sub(s.storeDownAt))
	}
	action := SendReply{Token: h.token, Reply: reply}
	if s.Revision() > h.peerRevision {
		action.Config = s.config
	}
	return action
}

func roundUpMillis(d time.Duration) int64 {
	return int64((max(0, d) + time.Millisecond - 1) / time.Millisecond)
}

// answerOutdatedPulls replies to the held pulls of peers with an older revision.
func (s *State) answerOutdatedPulls(now time.Time) []Action {
	return s.answerPulls(now, func(h heldPull) bool { return s.Revision() > h.peerRevision })
}

// answerExpiredPulls replies to the held pulls whose wait has passed.
func (s *State) answerExpiredPulls(now time.Time) []Action {
	return s.answerPulls(now, func(h heldPull) bool { return !now.Before(h.deadline) })
}

func (s *State) answerPulls(now time.Time, isDue func(heldPull) bool) []Action {
	var actions []Action
	kept := s.heldPulls[:0]
	for _, h := range s.heldPulls {
		if isDue(h) {
			actions = append(actions, s.newReply(now, h))
			continue
		}
		kept = append(kept, h)
	}
	s.heldPulls = kept
	return actions
}
