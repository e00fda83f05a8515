package members

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"currantusher.dev/core"
	"currantusher.dev/core/invariant"
)

// checkStep asserts the invariants that hold after each step.
func (s *simulation) checkStep() {
	for _, observer := range s.ids {
		p := s.procs[observer]
		if p == nil || p.roster == nil {
			continue
		}
		for id, rec := range p.roster.records {
			key := string(observer) + "/" + string(id)
			if rec.incarnation < s.highestIncarnation[key] {
				s.t.Fatalf("%s: incarnation of %s decreased from %d to %d", observer, id, s.highestIncarnation[key], rec.incarnation)
			}
			s.highestIncarnation[key] = rec.incarnation
			if rec.incarnation == s.leavingIncarnation[key] && rec.incarnation != 0 && rec.flags&flagLeaving == 0 {
				s.t.Fatalf("%s: leaving flag of %s was cleared in incarnation %d", observer, id, rec.incarnation)
			}
			if rec.flags&flagLeaving != 0 {
				s.leavingIncarnation[key] = rec.incarnation
			}
		}
		s.checkAddresses(p)
		s.checkInForce(p)
	}
}

// checkAddresses asserts that the earlier of two processes at one address is
// not alive.
func (s *simulation) checkAddresses(p *simProcess) {
	for id, rec := range p.roster.records {
		for laterID, later := range p.roster.records {
			if rec.instance.PeerAddr == later.instance.PeerAddr && rec.incarnation < later.incarnation && rec.state() == StateAlive {
				s.t.Fatalf("%s: %s is alive on the address of its successor %s", p.instance.ID, id, laterID)
			}
		}
	}
}

func (s *simulation) checkInForce(p *simProcess) {
	if premature, _ := p.roster.inForce(s.now, s.latestRevision+1); premature {
		s.t.Fatalf("%s: revision %d is in force before it was accepted", p.instance.ID, s.latestRevision+1)
	}
	inForce, _ := p.roster.inForce(s.now, s.latestRevision)
	if !inForce {
		return
	}
	s.inForceCount++
	for _, stale := range s.staleProcs {
		if stale.revision < s.latestRevision && s.now.Sub(stale.confirmedAt) <= simMaxAge && stale.recordedBy[p.roster] {
			s.t.Fatalf("%s: revision %d is in force, but a replaced process of %s runs %d", p.instance.ID, s.latestRevision, stale.instance.ID, stale.revision)
		}
	}
	for id, other := range s.procs {
		if other.revision >= s.latestRevision || s.now.Sub(other.confirmedAt) > simMaxAge {
			continue
		}
		rec := p.roster.records[id]
		if rec == nil {
			continue // started after the last list; no report has arrived yet
		}
		s.t.Fatalf("%s: revision %d is in force, but %s runs %d with a valid lease (report %+v)",
			p.instance.ID, s.latestRevision, id, other.revision, rec.report)
	}
}

// injectEvent applies a random fault or event.
func (s *simulation) injectEvent(event int) {
	id := s.ids[s.randomBelow(len(s.ids))]
	p := s.procs[id]
	switch event {
	case 0:
		s.kill(id)
	case 1:
		if p != nil {
			s.spawn(p.instance)
		}
	case 2:
		if p != nil {
			p.pausedFor = s.randomBelow(60)
		}
	case 3:
		for _, member := range s.ids {
			s.partition[member] = s.randomBelow(2)
		}
	case 4:
		s.partition = map[core.InstanceID]int{}
	case 5:
		if p != nil {
			p.leaving = true
		}
	case 6:
		s.latestRevision++
	case 7:
		s.refreshList()
	case 8:
		s.replaceOnAddress(id, p)
	case 9:
		s.faultRates = faultRates{loss: s.randomBelow(40), delay: s.randomBelow(60), duplicate: s.randomBelow(30)}
	}
}

// replaceOnAddress kills an instance and starts another one at its address.
func (s *simulation) replaceOnAddress(id core.InstanceID, p *simProcess) {
	if p == nil || len(s.ids) > 14 {
		return
	}
	s.kill(id)
	instance := p.instance
	instance.ID = core.InstanceID(fmt.Sprintf("r%02d", s.nextIncarnation))
	s.spawn(instance)
}

// converge removes all faults and runs for long enough that all views converge.
func (s *simulation) converge() {
	s.partition = map[core.InstanceID]int{}
	s.faultRates = faultRates{}
	s.staleProcs = nil
	for _, id := range s.ids {
		if p := s.procs[id]; p != nil {
			p.pausedFor = 0
		}
	}
	s.refreshList()
	for range convergenceSteps {
		s.advance()
	}
	for _, observer := range s.ids {
		if p := s.procs[observer]; p != nil && p.roster != nil {
			s.checkConverged(p)
		}
	}
}

func (s *simulation) checkConverged(p *simProcess) {
	for _, id := range s.ids {
		rec := p.roster.records[id]
		running := s.procs[id]
		if running == nil {
			if rec != nil && rec.state() == StateAlive {
				s.t.Fatalf("%s: %s has been killed but its state is %s", p.instance.ID, id, rec.state())
			}
			continue
		}
		want := StateAlive
		if running.leaving {
			want = StateLeaving
		}
		if rec == nil || rec.incarnation != running.incarnation || rec.state() != want || rec.revision != s.latestRevision {
			s.t.Fatalf("%s: %s runs as incarnation %d (%s, revision %d) but its record is %+v",
				p.instance.ID, id, running.incarnation, want, s.latestRevision, rec)
		}
	}
	if inForce, missing := p.roster.inForce(s.now, s.latestRevision); !inForce {
		s.t.Fatalf("%s: revision %d is not in force; missing: %v", p.instance.ID, s.latestRevision, missing)
	}
}

func TestRandomMembership(t *testing.T) {
	violations := invariant.TotalViolations()
	inForceCount := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.Uint64().Draw(t, "random"), rapid.IntRange(1, 5).Draw(t, "entries"), rapid.IntRange(0, 5).Draw(t, "agents"))
		for range rapid.IntRange(1, 25).Draw(t, "events") {
			s.injectEvent(rapid.IntRange(0, 9).Draw(t, "event"))
			for range rapid.IntRange(0, 12).Draw(t, "steps") {
				s.advance()
			}
		}
		if len(s.procs) > 0 {
			s.converge()
		}
		inForceCount += s.inForceCount
	})
	if inForceCount == 0 {
		t.Fatal("no revision was in force in any run, so the in-force check was never exercised")
	}
	if got := invariant.TotalViolations() - violations; got != 0 {
		t.Fatalf("%d invariant violations", got)
	}
}
