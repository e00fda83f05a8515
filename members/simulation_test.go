package members

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"currantusher.dev/core"
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
