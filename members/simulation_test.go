package members

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"currantusher.dev/core"
	"currantusher.dev/core/invariant"
	"currantusher.dev/platform"
	"currantusher.dev/wire"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

const (
	simStep   = 500 * time.Millisecond
	simMaxAge = 5 * time.Second
	simMargin = 500 * time.Millisecond
	// quietSteps covers the guard against daemons that nobody watches and
	// the exchange rounds after it.
	quietSteps = 100
)

var simTiming = timing{
	suspectAfter: defaultSuspectAfter,
	entryAfter:   defaultSuspectAfter,
	goneAfter:    defaultGoneAfter,
	retention:    defaultRetention,
	lease:        simMaxAge + simMargin,
}

// process is one incarnation of a daemon in the simulation.
type process struct {
	instance    platform.Instance
	incarnation core.Incarnation
	sequence    uint64
	revision    core.Revision
	confirmedAt time.Time
	roster      *roster // entries only
	round       int
	leaving     bool
	pausedFor   int
	homes       map[core.InstanceID]bool
	// knownTo holds the entries that knew the process when it was replaced.
	knownTo map[*roster]bool
}

// packet is a message under way.
type packet struct {
	from, to core.InstanceID
	deliver  func(now time.Time, to *process)
	// deliverAt is the step of delivery.
	deliverAt int
}

// faults are the probabilities of each fault, in percent.
type faults struct {
	loss, delay, repeat int
}

// failer is the part of testing.T and rapid.T that the simulation needs.
type failer interface {
	Fatalf(format string, args ...any)
}

type simulation struct {
	t       failer
	now     time.Time
	step    int
	faults  faults
	procs   map[core.InstanceID]*process
	ids     []core.InstanceID
	listed  []platform.Instance
	packets []packet
	// side is the part of the network that a daemon is in.
	side    map[core.InstanceID]int
	head    core.Revision
	nextInc core.Incarnation
	random  uint64

	// ghosts are replaced processes that still run.
	ghosts []*process

	highest map[string]core.Incarnation
	leaving map[string]core.Incarnation
	trues   int
}

func newSimulation(t failer, random uint64, entries, agents int) *simulation {
	s := &simulation{
		t: t, now: time.Unix(1000, 0), procs: map[core.InstanceID]*process{}, side: map[core.InstanceID]int{},
		head: 1, highest: map[string]core.Incarnation{}, leaving: map[string]core.Incarnation{},
		random: random,
	}
	zones := []core.DataCentre{"north", "south", "west"}
	for i := range entries + agents {
		instance := platform.Instance{
			ID: core.InstanceID(fmt.Sprintf("i%02d", i)), Role: platform.RoleEntry, State: platform.InstanceLive,
			DataCentre: zones[i%len(zones)], PeerAddr: fmt.Sprintf("10.0.0.%d:1", i),
		}
		if i >= entries {
			instance.Role = platform.RoleAgent
		}
		s.spawn(instance)
	}
	s.readLists()
	return s
}

// pick returns a pseudo-random number below n; it is cheaper to draw and to
// shrink than one rapid value each.
func (s *simulation) pick(n int) int {
	s.random = mix(s.random + 0x9e3779b97f4a7c15)
	return int(s.random % uint64(n))
}

func (s *simulation) chance(percent int) bool { return s.pick(100) < percent }

func (s *simulation) spawn(instance platform.Instance) {
	s.nextInc++
	p := &process{
		instance: instance, incarnation: s.nextInc, revision: s.head, confirmedAt: s.now,
		homes: map[core.InstanceID]bool{},
	}
	if instance.Role == platform.RoleEntry {
		p.roster = newRoster(instance, p.incarnation, simTiming)
	}
	if old := s.procs[instance.ID]; old != nil && s.chance(50) {
		old.pausedFor = s.pick(20)
		old.knownTo = s.knowing(old)
		s.ghosts = append(s.ghosts, old)
	}
	if !slices.Contains(s.ids, instance.ID) {
		s.ids = append(s.ids, instance.ID)
	}
	s.procs[instance.ID] = p
	s.highest = without(s.highest, string(instance.ID)+"/")
	s.leaving = without(s.leaving, string(instance.ID)+"/")
}

func (s *simulation) knowing(old *process) map[*roster]bool {
	knowing := map[*roster]bool{}
	for _, p := range s.procs {
		if p.roster == nil || p == old {
			continue
		}
		known := p.roster.records[old.instance.ID]
		if known != nil && known.incarnation == old.incarnation {
			knowing[p.roster] = true
		}
	}
	return knowing
}

func without(m map[string]core.Incarnation, prefix string) map[string]core.Incarnation {
	for key := range m {
		if len(key) >= len(prefix) && key[:len(prefix)] == prefix {
			delete(m, key)
		}
	}
	return m
}

func (s *simulation) kill(id core.InstanceID) { delete(s.procs, id) }

func (s *simulation) readLists() {
	s.listed = s.listed[:0]
	for _, id := range s.ids {
		if p := s.procs[id]; p != nil {
			s.listed = append(s.listed, p.instance)
		}
	}
}

func (s *simulation) connected(a, b core.InstanceID) bool { return s.side[a] == s.side[b] }

func (s *simulation) post(from, to core.InstanceID, deliver func(time.Time, *process)) {
	copies := 1
	if s.chance(s.faults.repeat) {
		copies = 2
	}
	for range copies {
		if s.chance(s.faults.loss) {
			continue
		}
		at := s.step
		if s.chance(s.faults.delay) {
			at += s.pick(8)
		}
		s.packets = append(s.packets, packet{from, to, deliver, at})
	}
}

// advance runs one step: duties of each process, then deliveries.
func (s *simulation) advance() {
	s.step++
	s.now = s.now.Add(simStep)
	for _, id := range s.ids {
		p := s.procs[id]
		if p == nil {
			continue
		}
		if p.pausedFor > 0 {
			p.pausedFor--
			continue
		}
		s.confirm(p)
		s.duties(p)
	}
	for _, ghost := range s.ghosts {
		if ghost.pausedFor > 0 {
			ghost.pausedFor--
			continue
		}
		s.confirm(ghost)
		ghost.sequence++
		beat := wire.Heartbeat{Incarnation: ghost.incarnation, Sequence: ghost.sequence, Status: &wire.Status{Revision: ghost.revision}}
		s.sendHeartbeats(ghost, beat)
	}
	s.deliver()
	s.check()
}

// confirm models the spread of configuration: a process that reaches side 0,
// where the store is, learns the head sooner or later.
func (s *simulation) confirm(p *process) {
	if s.side[p.instance.ID] == 0 && s.chance(60) {
		p.revision = s.head
		p.confirmedAt = s.now
	}
}

func (s *simulation) duties(p *process) {
	p.sequence++
	beat := wire.Heartbeat{
		Incarnation: p.incarnation, Sequence: p.sequence, Leaving: p.leaving,
		Status: &wire.Status{Revision: p.revision, Limit: 4},
	}
	if p.roster == nil {
		s.sendHeartbeats(p, beat)
		return
	}
	p.roster.heard(s.now, p.instance, beat)
	p.roster.tick(s.now)
	if s.step%4 == 0 {
		p.roster.list(s.now, s.listed)
	}
	s.sendSummaries(p)
}

func (s *simulation) sendHeartbeats(p *process, beat wire.Heartbeat) {
	avoid := map[core.InstanceID]bool{}
	for _, id := range s.ids {
		avoid[id] = s.procs[id] == nil || !s.connected(p.instance.ID, id)
	}
	homes := map[core.InstanceID]bool{}
	for _, home := range (homeRule{1, 2}).choose(p.instance, s.listed, avoid, nil) {
		homes[home.ID] = true
		s.post(p.instance.ID, home.ID, func(now time.Time, to *process) {
			if to.roster != nil {
				to.roster.heard(now, p.instance, beat)
			}
		})
	}
	for _, id := range s.ids {
		if p.homes[id] && !homes[id] {
			s.post(p.instance.ID, id, func(_ time.Time, to *process) {
				if to.roster != nil {
					to.roster.unobserve(p.instance.ID, p.incarnation)
				}
			})
		}
	}
	p.homes = homes
}

func (s *simulation) sendSummaries(p *process) {
	p.round++
	partners := p.roster.partners()
	for _, partner := range partners {
		s.call(p, partner, true)
	}
	if p.round%probeRounds == 0 {
		if probe, ok := p.roster.probe(partners, s.pick); ok {
			s.call(p, probe, false)
		}
	}
}

func (s *simulation) call(p *process, partner platform.Instance, watch bool) {
	request := p.roster.summaryFor(s.now, partner.ID)
	s.post(p.instance.ID, partner.ID, func(now time.Time, to *process) {
		if to.roster == nil {
			return
		}
		reply := to.roster.answer(now, request)
		s.post(to.instance.ID, p.instance.ID, func(now time.Time, back *process) {
			if back == p {
				back.roster.receive(now, reply, watch)
			}
		})
	})
}

func (s *simulation) deliver() {
	for len(s.packets) > 0 {
		var later []packet
		batch := s.packets
		s.packets = nil
		delivered := false
		for len(batch) > 0 {
			i := s.pick(len(batch))
			next := batch[i]
			batch[i] = batch[len(batch)-1]
			batch = batch[:len(batch)-1]
			to := s.procs[next.to]
			switch {
			case to == nil || !s.connected(next.from, next.to):
			case next.deliverAt > s.step || to.pausedFor > 0:
				later = append(later, next)
			default:
				next.deliver(s.now, to)
				delivered = true
			}
		}
		s.packets = append(s.packets, later...)
		if !delivered {
			return
		}
	}
}

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
	before := invariant.Total()
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
	if got := invariant.Total() - before; got != 0 {
		t.Fatalf("%d invariant violations", got)
	}
}
