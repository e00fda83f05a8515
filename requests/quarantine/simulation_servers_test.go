package quarantine

import (
	"fmt"
	"slices"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/notices"
)

// call sends a new request of a caller to any entry.
func (s *simulation) call(traits []fleet.Trait, deadly int) {
	if deadly < 0 {
		s.result.soundSent++
	}
	if e := s.entries[s.random.IntN(len(s.entries))]; !e.isSuspended(s.now) {
		s.send(&simAttempt{entry: e, id: s.newID(), traits: traits, deadly: deadly})
	}
}

func (s *simulation) newID() string {
	s.requests++
	return fmt.Sprintf("%016x", s.requests)
}

func (s *simulation) pickServer() *simServer {
	for range 20 {
		server := s.servers[s.random.IntN(len(s.servers))]
		if !s.now.Before(server.unavailable) {
			return server
		}
	}
	return nil
}

// send sends an attempt to a server unless a trait is quarantined.
func (s *simulation) send(a *simAttempt) {
	if _, _, found := a.entry.set.Quarantined(s.now, a.traits); found {
		s.refuse(a)
		return
	}
	server := s.pickServer()
	if server == nil || len(server.waiting) >= simSlots {
		s.enqueue(a)
		return
	}
	if a.deadly >= 0 && a.entry.isInTouch(s.now) {
		bound := s.result.boundCrash[a.deadly]
		if !bound.IsZero() && s.now.After(bound.Add(simBoundDelay)) {
			s.result.reachedLater[a.deadly]++
		}
	}
	a.server = server
	server.waiting[a], a.entry.waiting[a] = true, true
	s.after(s.runTime(a), func() {
		if a.done || a.server != server || !server.waiting[a] {
			return
		}
		if a.deadly >= 0 {
			s.deadlyCrash(a.deadly, server)
			return
		}
		s.leave(a)
		a.done = true
		s.began(a)
	})
}

func (s *simulation) runTime(a *simAttempt) time.Duration {
	if a.deadly >= 0 && s.config.deadly[a.deadly].runTime > 0 {
		return s.between(0, s.config.deadly[a.deadly].runTime)
	}
	return s.between(50*time.Millisecond, 500*time.Millisecond)
}

// enqueue lets an attempt that finds no server wait at its entry.
func (s *simulation) enqueue(a *simAttempt) {
	if a.queuedSince.IsZero() {
		a.queuedSince = s.now
	}
	if !s.config.queues || s.now.Sub(a.queuedSince) > simQueueTime {
		return
	}
	set := a.entry.set
	s.after(max(simQueueRetry, a.entry.suspendedUntil.Sub(s.now)), func() {
		if a.entry.set == set {
			s.send(a)
		}
	})
}

// began records the begin of an answer, which a suspended entry reads later.
func (s *simulation) began(a *simAttempt) {
	if a.entry.isSuspended(s.now) {
		s.after(a.entry.suspendedUntil.Sub(s.now), func() { s.began(a) })
		return
	}
	if a.entry.set.Started(s.now, a.traits) {
		s.sendSoon(a.entry)
	}
}

func (s *simulation) leave(a *simAttempt) {
	delete(a.server.waiting, a)
	delete(a.entry.waiting, a)
}

func (s *simulation) deadlyCrash(deadly int, server *simServer) {
	r := &s.result
	r.deadlyCrashes[deadly]++
	bound := simBoundCrash
	if s.config.deadly[deadly].isRequest {
		bound = simRequestBoundCrash
	}
	if r.deadlyCrashes[deadly] == bound {
		r.boundCrash[deadly] = s.now
	}
	s.crash(server)
}

// crash ends a server's process. Its entries learn that from their connections.
func (s *simulation) crash(server *simServer) {
	if server == nil || s.now.Before(server.unavailable) {
		return
	}
	s.result.calmSeconds += max(0, s.now.Sub(s.result.lastCrash)-simCalmDelay).Seconds()
	s.result.crashes, s.result.lastCrash = s.result.crashes+1, s.now
	byEntry := map[*simEntry][]*simAttempt{}
	for _, a := range s.sortedWaiting(server) {
		s.leave(a)
		byEntry[a.entry] = append(byEntry[a.entry], a)
	}
	for _, e := range s.entries {
		if len(byEntry[e]) > 0 {
			s.detect(e, server, byEntry[e])
		}
	}
	server.unavailable = s.now.Add(s.between(2500*time.Millisecond, 3500*time.Millisecond))
	before := server.lifetime
	if s.random.Float64() < 0.5 {
		server.lifetime = notices.Lifetime{Server: core.InstanceID(fmt.Sprintf("i-%010x", s.random.Int64N(1<<40))), Incarnation: 1}
		return
	}
	server.lifetime.Incarnation++
	if s.random.Float64() < s.config.staleViews {
		server.viewed, server.staleUntil = before, server.unavailable.Add(2*time.Second)
	}
}

func (s *simulation) sortedWaiting(server *simServer) []*simAttempt {
	list := make([]*simAttempt, 0, len(server.waiting))
	for a := range server.waiting {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *simAttempt) int {
		if a.id != b.id {
			return compareStrings(a.id, b.id)
		}
		return a.retries - b.retries
	})
	return list
}

func compareStrings(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

// detect reports the loss of an entry's connections to a crashed server, and sends its
// requests again.
func (s *simulation) detect(e *simEntry, server *simServer, lost []*simAttempt) {
	lifetime := server.lifetime
	if s.now.Before(server.staleUntil) && e.index%2 == 0 {
		lifetime = server.viewed
	}
	set := e.set
	for _, a := range lost {
		delay := s.between(0, 10*time.Millisecond)
		if s.random.Float64() < s.config.lateLosses {
			delay = s.between(200*time.Millisecond, 1500*time.Millisecond)
		}
		at := s.now.Add(delay)
		s.after(delay+simConfirmDelay, func() {
			if e.set != set || e.isSuspended(s.now) {
				return
			}
			if e.set.Crashed(s.now, lifetime, at, suspects(a.id, a.traits)) {
				s.sendSoon(e)
			}
			s.retry(a)
		})
	}
}

// retry sends an attempt again once from its entry, and once from its caller.
func (s *simulation) retry(a *simAttempt) {
	if a.done {
		return
	}
	a.done = true
	if s.config.omitsRetries {
		return
	}
	if a.retries == 0 {
		s.send(&simAttempt{entry: a.entry, id: a.id, traits: a.traits, deadly: a.deadly, retries: 1, calls: a.calls})
		return
	}
	if a.calls < max(s.config.repeats, 1) {
		s.after(s.between(50*time.Millisecond, 300*time.Millisecond), func() {
			s.send(&simAttempt{entry: s.entries[s.random.IntN(len(s.entries))], id: s.newID(), traits: a.traits, deadly: a.deadly, calls: a.calls + 1})
		})
	}
}

// resetConnection ends the connection of one waiting request. The server accepts the
// check that follows, so that the request is only sent again.
func (s *simulation) resetConnection() {
	server := s.pickServer()
	if server == nil {
		return
	}
	if waiting := s.sortedWaiting(server); len(waiting) > 0 {
		s.leave(waiting[0])
		s.after(simConfirmDelay, func() { s.retry(waiting[0]) })
	}
}
