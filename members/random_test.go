package members

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"currantusher.dev/core"
	"currantusher.dev/core/invariant"
)

// check asserts what must hold after every step.
func (s *simulation) check() {
	for _, at := range s.ids {
		p := s.procs[at]
		if p == nil || p.roster == nil {
			continue
		}
		for id, known := range p.roster.records {
			key := string(at) + "/" + string(id)
			if known.incarnation < s.highest[key] {
				s.t.Fatalf("%s: incarnation of %s fell from %d to %d", at, id, s.highest[key], known.incarnation)
			}
			s.highest[key] = known.incarnation
			if known.incarnation == s.leaving[key] && known.incarnation != 0 && known.flags&flagLeaving == 0 {
				s.t.Fatalf("%s: %s is no longer leaving in incarnation %d", at, id, known.incarnation)
			}
			if known.flags&flagLeaving != 0 {
				s.leaving[key] = known.incarnation
			}
		}
		s.checkAddresses(p)
		s.checkInForce(p)
	}
}

// checkAddresses asserts that the earlier of two processes on one address is
// not alive.
func (s *simulation) checkAddresses(p *process) {
	for id, known := range p.roster.records {
		for other, later := range p.roster.records {
			if known.instance.PeerAddr == later.instance.PeerAddr && known.incarnation < later.incarnation && known.state() == StateAlive {
				s.t.Fatalf("%s: %s is alive on the address of its successor %s", p.instance.ID, id, other)
			}
		}
	}
}

func (s *simulation) checkInForce(p *process) {
	if early, _ := p.roster.inForce(s.now, s.head+1); early {
		s.t.Fatalf("%s: revision %d is in force before it was accepted", p.instance.ID, s.head+1)
	}
	inForce, _ := p.roster.inForce(s.now, s.head)
	if !inForce {
		return
	}
	s.trues++
	for _, ghost := range s.ghosts {
		if ghost.revision < s.head && s.now.Sub(ghost.confirmedAt) <= simMaxAge && ghost.knownTo[p.roster] {
			s.t.Fatalf("%s: revision %d in force, but a replaced process of %s runs %d", p.instance.ID, s.head, ghost.instance.ID, ghost.revision)
		}
	}
	for id, other := range s.procs {
		if other.revision >= s.head || s.now.Sub(other.confirmedAt) > simMaxAge {
			continue
		}
		known := p.roster.records[id]
		if known == nil {
			continue // started after the last list and not heard of yet
		}
		s.t.Fatalf("%s: revision %d in force, but %s runs %d with a valid lease (known as %+v)",
			p.instance.ID, s.head, id, other.revision, known.report)
	}
}

// disturb applies one random fault or event.
func (s *simulation) disturb(event int) {
	id := s.ids[s.pick(len(s.ids))]
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
			p.pausedFor = s.pick(60)
		}
	case 3:
		for _, each := range s.ids {
			s.side[each] = s.pick(2)
		}
	case 4:
		s.side = map[core.InstanceID]int{}
	case 5:
		if p != nil {
			p.leaving = true
		}
	case 6:
		s.head++
	case 7:
		s.readLists()
	case 8:
		s.replaceOnAddress(id, p)
	case 9:
		s.faults = faults{loss: s.pick(40), delay: s.pick(60), repeat: s.pick(30)}
	}
}

// replaceOnAddress starts another instance on the address of one that ends.
func (s *simulation) replaceOnAddress(id core.InstanceID, p *process) {
	if p == nil || len(s.ids) > 14 {
		return
	}
	s.kill(id)
	instance := p.instance
	instance.ID = core.InstanceID(fmt.Sprintf("r%02d", s.nextInc))
	s.spawn(instance)
}

// settle heals everything and runs long enough for all views to converge.
func (s *simulation) settle() {
	s.side = map[core.InstanceID]int{}
	s.faults = faults{}
	s.ghosts = nil
	for _, id := range s.ids {
		if p := s.procs[id]; p != nil {
			p.pausedFor = 0
		}
	}
	s.readLists()
	for range quietSteps {
		s.advance()
	}
	for _, at := range s.ids {
		if p := s.procs[at]; p != nil && p.roster != nil {
			s.checkConverged(p)
		}
	}
}

func (s *simulation) checkConverged(p *process) {
	for _, id := range s.ids {
		known := p.roster.records[id]
		live := s.procs[id]
		if live == nil {
			if known != nil && known.state() == StateAlive {
				s.t.Fatalf("%s: %s is dead but %s", p.instance.ID, id, known.state())
			}
			continue
		}
		want := StateAlive
		if live.leaving {
			want = StateLeaving
		}
		if known == nil || known.incarnation != live.incarnation || known.state() != want || known.revision != s.head {
			s.t.Fatalf("%s: %s runs as incarnation %d (%s, revision %d) but is known as %+v",
				p.instance.ID, id, live.incarnation, want, s.head, known)
		}
	}
	if inForce, missing := p.roster.inForce(s.now, s.head); !inForce {
		s.t.Fatalf("%s: revision %d is not in force: %v", p.instance.ID, s.head, missing)
	}
}

func TestRandomMembership(t *testing.T) {
	before := invariant.TotalViolations()
	trues := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.Uint64().Draw(t, "random"), rapid.IntRange(1, 5).Draw(t, "entries"), rapid.IntRange(0, 5).Draw(t, "agents"))
		for range rapid.IntRange(1, 25).Draw(t, "events") {
			s.disturb(rapid.IntRange(0, 9).Draw(t, "event"))
			for range rapid.IntRange(0, 12).Draw(t, "steps") {
				s.advance()
			}
		}
		if len(s.procs) > 0 {
			s.settle()
		}
		trues += s.trues
	})
	if trues == 0 {
		t.Fatal("no revision was ever in force: the runs show nothing")
	}
	if got := invariant.TotalViolations() - before; got != 0 {
		t.Fatalf("%d invariant violations", got)
	}
}
