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
	// convergenceSteps covers indirectSuspectAfter, after which a daemon that
	// no entry observes is suspected, and the exchange rounds that follow.
	convergenceSteps = 100
)

var simTiming = timing{
	agentSuspectAfter: defaultSuspectAfter,
	entrySuspectAfter: defaultSuspectAfter,
	goneAfter:         defaultGoneAfter,
	retention:         defaultRetention,
	lease:             simMaxAge + simMargin,
}

// simProcess is one incarnation of a daemon in the simulation.
type simProcess struct {
	instance    platform.Instance
	incarnation core.Incarnation
	sequence    uint64
	revision    core.Revision
	confirmedAt time.Time
	roster      *roster // entries only
	round       int
	leaving     bool
	pausedFor   int
	receivers   map[core.InstanceID]bool
	// recordedBy contains the entries that had a record of the process when it was
	// replaced.
	recordedBy map[*roster]bool
}

// simMessage is a message in flight.
type simMessage struct {
	from, to core.InstanceID
	deliver  func(now time.Time, to *simProcess)
	// deliveryStep is the first step in which the message can be delivered.
	deliveryStep int
}

// faultRates holds the probability of each fault, in percent.
type faultRates struct {
	loss, delay, duplicate int
}

// fataler is the part of testing.T and rapid.T that the simulation needs.
type fataler interface {
	Fatalf(format string, args ...any)
}

type simulation struct {
	t          fataler
	now        time.Time
	step       int
	faultRates faultRates
	procs      map[core.InstanceID]*simProcess
	ids        []core.InstanceID
	listed     []platform.Instance
	inFlight   []simMessage
	// partition is the number of the network partition of each daemon.
	partition       map[core.InstanceID]int
	latestRevision  core.Revision
	nextIncarnation core.Incarnation
	randomState     uint64

	// staleProcs are replaced processes that still run.
	staleProcs []*simProcess

	highestIncarnation map[string]core.Incarnation
	leavingIncarnation map[string]core.Incarnation
	inForceCount       int
}

func newSimulation(t fataler, seed uint64, entries, agents int) *simulation {
	s := &simulation{
		t: t, now: time.Unix(1000, 0), procs: map[core.InstanceID]*simProcess{}, partition: map[core.InstanceID]int{},
		latestRevision: 1, highestIncarnation: map[string]core.Incarnation{}, leavingIncarnation: map[string]core.Incarnation{},
		randomState: seed,
	}
	dataCentres := []core.DataCentre{"north", "south", "west"}
	for i := range entries + agents {
		instance := platform.Instance{
			ID: core.InstanceID(fmt.Sprintf("i%02d", i)), Role: platform.RoleEntry, State: platform.InstanceLive,
			DataCentre: dataCentres[i%len(dataCentres)], PeerAddr: fmt.Sprintf("10.0.0.%d:1", i),
		}
		if i >= entries {
			instance.Role = platform.RoleAgent
		}
		s.spawn(instance)
	}
	s.refreshList()
	return s
}

// randomBelow returns a pseudo-random number in [0, n). It is cheaper to draw
// and to shrink than a rapid value for each number.
func (s *simulation) randomBelow(n int) int {
	s.randomState = fmix64(s.randomState + 0x9e3779b97f4a7c15)
	return int(s.randomState % uint64(n))
}

func (s *simulation) chance(percent int) bool { return s.randomBelow(100) < percent }

func (s *simulation) spawn(instance platform.Instance) {
	s.nextIncarnation++
	p := &simProcess{
		instance: instance, incarnation: s.nextIncarnation, revision: s.latestRevision, confirmedAt: s.now,
		receivers: map[core.InstanceID]bool{},
	}
	if instance.Role == platform.RoleEntry {
		p.roster = newRoster(instance, p.incarnation, simTiming)
	}
	if previous := s.procs[instance.ID]; previous != nil && s.chance(50) {
		previous.pausedFor = s.randomBelow(20)
		previous.recordedBy = s.rostersWithRecord(previous)
		s.staleProcs = append(s.staleProcs, previous)
	}
	if !slices.Contains(s.ids, instance.ID) {
		s.ids = append(s.ids, instance.ID)
	}
	s.procs[instance.ID] = p
	s.highestIncarnation = deleteWithPrefix(s.highestIncarnation, string(instance.ID)+"/")
	s.leavingIncarnation = deleteWithPrefix(s.leavingIncarnation, string(instance.ID)+"/")
}

func (s *simulation) rostersWithRecord(replaced *simProcess) map[*roster]bool {
	rosters := map[*roster]bool{}
	for _, p := range s.procs {
		if p.roster == nil || p == replaced {
			continue
		}
		rec := p.roster.records[replaced.instance.ID]
		if rec != nil && rec.incarnation == replaced.incarnation {
			rosters[p.roster] = true
		}
	}
	return rosters
}

func deleteWithPrefix(m map[string]core.Incarnation, prefix string) map[string]core.Incarnation {
	for key := range m {
		if len(key) >= len(prefix) && key[:len(prefix)] == prefix {
			delete(m, key)
		}
	}
	return m
}

func (s *simulation) kill(id core.InstanceID) { delete(s.procs, id) }

func (s *simulation) refreshList() {
	s.listed = s.listed[:0]
	for _, id := range s.ids {
		if p := s.procs[id]; p != nil {
			s.listed = append(s.listed, p.instance)
		}
	}
}

func (s *simulation) connected(a, b core.InstanceID) bool { return s.partition[a] == s.partition[b] }

func (s *simulation) send(from, to core.InstanceID, deliver func(time.Time, *simProcess)) {
	copies := 1
	if s.chance(s.faultRates.duplicate) {
		copies = 2
	}
	for range copies {
		if s.chance(s.faultRates.loss) {
			continue
		}
		at := s.step
		if s.chance(s.faultRates.delay) {
			at += s.randomBelow(8)
		}
		s.inFlight = append(s.inFlight, simMessage{from, to, deliver, at})
	}
}

// advance runs one step: the periodic work of each process, then the
// deliveries.
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
		s.confirmConfig(p)
		s.runProcess(p)
	}
	for _, stale := range s.staleProcs {
		if stale.pausedFor > 0 {
			stale.pausedFor--
			continue
		}
		s.confirmConfig(stale)
		stale.sequence++
		heartbeat := wire.Heartbeat{Incarnation: stale.incarnation, Sequence: stale.sequence, Status: &wire.Status{Revision: stale.revision}}
		s.sendHeartbeats(stale, heartbeat)
	}
	s.deliverMessages()
	s.checkStep()
}

// confirmConfig models the distribution of the configuration: a process in
// partition 0, which contains the store, confirms the latest revision with a
// delay.
func (s *simulation) confirmConfig(p *simProcess) {
	if s.partition[p.instance.ID] == 0 && s.chance(60) {
		p.revision = s.latestRevision
		p.confirmedAt = s.now
	}
}

func (s *simulation) runProcess(p *simProcess) {
	p.sequence++
	heartbeat := wire.Heartbeat{
		Incarnation: p.incarnation, Sequence: p.sequence, Leaving: p.leaving,
		Status: &wire.Status{Revision: p.revision, Limit: 4},
	}
	if p.roster == nil {
		s.sendHeartbeats(p, heartbeat)
		return
	}
	p.roster.applyHeartbeat(s.now, p.instance, heartbeat)
	p.roster.tick(s.now)
	if s.step%4 == 0 {
		p.roster.applyList(s.now, s.listed)
	}
	s.sendSummaries(p)
}

func (s *simulation) sendHeartbeats(p *simProcess, heartbeat wire.Heartbeat) {
	avoided := map[core.InstanceID]bool{}
	for _, id := range s.ids {
		avoided[id] = s.procs[id] == nil || !s.connected(p.instance.ID, id)
	}
	receivers := map[core.InstanceID]bool{}
	for _, receiver := range (receiverPolicy{1, 2}).choose(p.instance, s.listed, avoided, nil) {
		receivers[receiver.ID] = true
		s.send(p.instance.ID, receiver.ID, func(now time.Time, to *simProcess) {
			if to.roster != nil {
				to.roster.applyHeartbeat(now, p.instance, heartbeat)
			}
		})
	}
	for _, id := range s.ids {
		if p.receivers[id] && !receivers[id] {
			s.send(p.instance.ID, id, func(_ time.Time, to *simProcess) {
				if to.roster != nil {
					to.roster.stopObserving(p.instance.ID, p.incarnation)
				}
			})
		}
	}
	p.receivers = receivers
}

func (s *simulation) sendSummaries(p *simProcess) {
	p.round++
	neighbours := p.roster.updateNeighbours()
	for _, neighbour := range neighbours {
		s.exchange(p, neighbour, true)
	}
	if p.round%roundsPerProbe == 0 {
		if probe, ok := p.roster.chooseProbe(neighbours, s.randomBelow); ok {
			s.exchange(p, probe, false)
		}
	}
}

func (s *simulation) exchange(p *simProcess, peer platform.Instance, observe bool) {
	request := p.roster.buildSummary(s.now, peer.ID)
	s.send(p.instance.ID, peer.ID, func(now time.Time, to *simProcess) {
		if to.roster == nil {
			return
		}
		reply := to.roster.answerSummary(now, request)
		s.send(to.instance.ID, p.instance.ID, func(now time.Time, requester *simProcess) {
			if requester == p {
				requester.roster.applySummary(now, reply, observe)
			}
		})
	})
}

func (s *simulation) deliverMessages() {
	for len(s.inFlight) > 0 {
		var later []simMessage
		pending := s.inFlight
		s.inFlight = nil
		delivered := false
		for len(pending) > 0 {
			i := s.randomBelow(len(pending))
			next := pending[i]
			pending[i] = pending[len(pending)-1]
			pending = pending[:len(pending)-1]
			to := s.procs[next.to]
			switch {
			case to == nil || !s.connected(next.from, next.to):
			case next.deliveryStep > s.step || to.pausedFor > 0:
				later = append(later, next)
			default:
				next.deliver(s.now, to)
				delivered = true
			}
		}
		s.inFlight = append(s.inFlight, later...)
		if !delivered {
			return
		}
	}
}
