package spread

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/platform"
	"currantusher.dev/tables"
	"currantusher.dev/wire"
)

const (
	simTickInterval = 50 * time.Millisecond
	simLatency      = 5 * time.Millisecond
	simStoreLatency = 10 * time.Millisecond
	// inForceBound is the time after which every daemon that starts new work
	// must have adopted an accepted revision.
	inForceBound   = 6 * time.Second
	simStoreRegion = core.Region("north")
)

var simStart = time.Unix(1_000_000, 0)

// simEvent is a function to run at a node at a time. It is dropped if the node's
// process has been restarted since it was scheduled.
type simEvent struct {
	at          time.Time
	order       int
	node        *simNode
	incarnation int
	run         func()
}

type simQueue []*simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(*simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

type simNode struct {
	self        Neighbour
	state       *State
	incarnation int
	pausedUntil time.Time
	// isolated cuts the node's connections to all other nodes and to the store.
	isolated bool
	// nodeFaultEnd is when the last fault of this node ended or will end.
	nodeFaultEnd    time.Time
	editedAt        time.Time
	lastToken       uint64
	pendingReplies  map[uint64]func(SendReply)
	highestRevision core.Revision
}

// sim runs States over a network and a store with faults, in virtual time.
type sim struct {
	now    time.Time
	queue  simQueue
	order  int
	random *rand.Rand
	nodes  []*simNode
	byID   map[core.InstanceID]*simNode

	// acceptedAt[i] is when revision i+1 was accepted.
	acceptedAt []time.Time
	// configs[i] is the configuration of revision i+1.
	configs []*tables.Config

	lossRate       float64
	duplicateRate  float64
	storeDown      bool
	staleHead      core.Revision
	isolatedRegion core.Region
	sharedFaultEnd time.Time
	violations     []string

	// stepFault, if set, returns the fault for each occurrence of a step at a
	// node.
	stepFault func(step simStep, node *simNode) simStepFault
	// acknowledged is the revision that each daemon last sent to a peer.
	acknowledged map[core.InstanceID]core.Revision
}

// simStep is a step in the distribution of an edit.
type simStep string

const (
	simStepRelay       simStep = "relay"
	simStepAdopt       simStep = "adopt"
	simStepAcknowledge simStep = "acknowledge"
)

// simStepFault is the fault in one occurrence of a step.
type simStepFault struct {
	lose      bool
	delay     time.Duration
	duplicate bool
}

func (s *sim) stepFaultAt(step simStep, node *simNode) simStepFault {
	if s.stepFault == nil {
		return simStepFault{}
	}
	return s.stepFault(step, node)
}

func newSim(seed uint64) *sim {
	s := &sim{
		now:    simStart,
		random: rand.New(rand.NewPCG(seed, seed)),
		byID:   map[core.InstanceID]*simNode{},

		acknowledged: map[core.InstanceID]core.Revision{},
	}
	layout := []struct {
		dc     core.DataCentre
		region core.Region
	}{{"n1", simStoreRegion}, {"n2", simStoreRegion}, {"s1", "south"}}
	for _, location := range layout {
		for i := range 4 {
			s.addNode(location.dc, location.region, platform.RoleEntry, i)
		}
		for i := range 2 {
			s.addNode(location.dc, location.region, platform.RoleAgent, i)
		}
	}
	s.acceptRevision()
	for _, node := range s.nodes {
		s.startProcess(node)
	}
	return s
}

func (s *sim) addNode(dc core.DataCentre, region core.Region, role platform.Role, i int) {
	id := core.InstanceID(fmt.Sprintf("%s-%s-%d", dc, role, i))
	node := &simNode{self: Neighbour{ID: id, Role: role, DataCentre: dc, Region: region, Addr: string(id)}}
	s.nodes = append(s.nodes, node)
	s.byID[id] = node
}

func (s *sim) neighbours() []Neighbour {
	all := make([]Neighbour, 0, len(s.nodes))
	for _, node := range s.nodes {
		all = append(all, node.self)
	}
	return all
}

// startProcess starts a new process at the node, which replaces the old one.
func (s *sim) startProcess(node *simNode) {
	node.incarnation++
	node.state = NewState(Settings{Self: node.self, StoreRegion: simStoreRegion})
	node.state.SetNeighbours(s.neighbours())
	node.pendingReplies = map[uint64]func(SendReply){}
	node.pausedUntil = time.Time{}
	node.highestRevision = 0
	node.nodeFaultEnd = s.now
	s.tick(node)
}

func (s *sim) tick(node *simNode) {
	s.schedule(s.now.Add(simTickInterval), node, func() {
		s.execute(node, node.state.Tick(s.now))
		s.tick(node)
	})
}

// schedule runs f at the node at a time, or when its pause ends. It does not run
// f if the node's process is restarted before.
func (s *sim) schedule(when time.Time, node *simNode, f func()) {
	s.order++
	heap.Push(&s.queue, &simEvent{at: when, order: s.order, node: node, incarnation: node.incarnation, run: f})
}

func (s *sim) scheduleAfter(d time.Duration, node *simNode, f func()) {
	s.schedule(s.now.Add(d), node, f)
}

// advance runs events for d of virtual time.
func (s *sim) advance(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		event := heap.Pop(&s.queue).(*simEvent)
		s.now = event.at
		if event.incarnation != event.node.incarnation {
			continue
		}
		if event.node.pausedUntil.After(s.now) {
			event.at = event.node.pausedUntil
			s.order++
			event.order = s.order
			heap.Push(&s.queue, event)
			continue
		}
		event.run()
		s.checkNode(event.node)
	}
	s.now = end
}

func (s *sim) latency() time.Duration {
	return time.Duration(1 + s.random.Int64N(int64(2*simLatency)))
}

func (s *sim) isLost() bool { return s.random.Float64() < s.lossRate }

func (s *sim) connected(a, b *simNode) bool {
	if a == b {
		return true
	}
	if a.isolated || b.isolated {
		return false
	}
	return s.isolatedRegion == "" || (a.self.Region == s.isolatedRegion) == (b.self.Region == s.isolatedRegion)
}

func (s *sim) reachesStore(node *simNode) bool {
	if s.storeDown || node.isolated {
		return false
	}
	return s.isolatedRegion == "" || (node.self.Region == s.isolatedRegion) == (simStoreRegion == s.isolatedRegion)
}

// send delivers a message, subject to loss and duplication.
func (s *sim) send(from, to *simNode, deliver func()) { s.sendWith(simStepFault{}, from, to, deliver) }

func (s *sim) sendWith(stepFault simStepFault, from, to *simNode, deliver func()) {
	copies := 1
	if s.random.Float64() < s.duplicateRate {
		copies++
	}
	if stepFault.duplicate {
		copies++
	}
	for range copies {
		if stepFault.lose || s.isLost() || !s.connected(from, to) {
			continue
		}
		s.scheduleAfter(s.latency()+stepFault.delay, to, deliver)
	}
}

func (s *sim) head() core.Revision { return core.Revision(len(s.acceptedAt)) }

// acceptRevision makes the next revision the accepted one.
func (s *sim) acceptRevision() *tables.Config {
	config, err := tables.Compile(tables.Rows{Revision: s.head() + 1})
	if err != nil {
		panic(err)
	}
	s.acceptedAt = append(s.acceptedAt, s.now)
	s.configs = append(s.configs, config)
	return config
}

// edit makes an edit through a node, if that is a running entry that reaches the
// store.
func (s *sim) edit(node *simNode) {
	if node.self.Role != platform.RoleEntry || !s.reachesStore(node) || node.pausedUntil.After(s.now) {
		return
	}
	config := s.acceptRevision()
	node.editedAt = s.now
	s.scheduleAfter(simStoreLatency, node, func() { s.execute(node, node.state.PublishEdit(s.now, config)) })
}

// execute carries out a node's actions.
func (s *sim) execute(node *simNode, actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case ReadHead:
			s.readHead(node)
		case LoadRows:
			s.loadRows(node)
		case PullFrom:
			s.pull(node, a)
		case PushTo:
			s.pushTo(node, a)
		case SendReply:
			if reply := node.pendingReplies[a.Token]; reply != nil {
				delete(node.pendingReplies, a.Token)
				reply(a)
			}
		}
	}
}

func (s *sim) readableHead() core.Revision {
	if s.staleHead != 0 {
		return s.staleHead
	}
	return s.head()
}

func (s *sim) readHead(node *simNode) {
	sent := s.now
	stepFault := s.stepFaultAt(simStepRelay, node)
	if !s.reachesStore(node) || s.isLost() || stepFault.lose {
		err := core.NewRefusal(core.CodeStoreUnavailable, 0, "down")
		s.scheduleAfter(headReadTimeout, node, func() {
			s.execute(node, node.state.HeadRead(s.now, HeadRead{SentAt: sent, Err: err}))
		})
		return
	}
	revision := s.readableHead()
	s.scheduleAfter(simStoreLatency+stepFault.delay, node, func() {
		s.execute(node, node.state.HeadRead(s.now, HeadRead{SentAt: sent, Revision: revision}))
	})
}

func (s *sim) loadRows(node *simNode) {
	sent := s.now
	stepFault := s.stepFaultAt(simStepRelay, node)
	if !s.reachesStore(node) || s.isLost() || stepFault.lose {
		err := core.NewRefusal(core.CodeStoreUnavailable, 0, "down")
		s.scheduleAfter(headReadTimeout, node, func() {
			s.execute(node, node.state.RowsLoaded(s.now, RowsLoaded{SentAt: sent, Err: err}))
		})
		return
	}
	config := s.configs[s.readableHead()-1]
	s.scheduleAfter(simStoreLatency+stepFault.delay, node, func() {
		s.execute(node, node.state.RowsLoaded(s.now, RowsLoaded{SentAt: sent, Config: config}))
	})
}

func (s *sim) pull(node *simNode, a PullFrom) {
	sent := s.now
	target := s.byID[a.Peer.ID]
	finished := false
	finish := func(p Pulled) {
		if finished {
			return
		}
		finished = true
		p.SentAt, p.From, p.Parent = sent, a.Peer, a.Parent
		s.execute(node, node.state.Pulled(s.now, p))
	}
	s.scheduleAfter(a.Wait+peerCallTimeout, node, func() {
		finish(Pulled{Err: core.NewRefusal(core.CodeTimeout, 0, "no reply")})
	})
	request := wire.ConfigPull{
		From:       node.self.ID,
		Addr:       node.self.Addr,
		Revision:   node.state.Revision(),
		WaitMillis: a.Wait.Milliseconds(),
	}
	incarnation := node.incarnation
	var stepFault simStepFault
	if request.Revision == s.head() {
		stepFault = s.stepFaultAt(simStepAcknowledge, node)
	}
	s.sendWith(stepFault, node, target, func() {
		s.acknowledged[request.From] = request.Revision
		target.lastToken++
		token := target.lastToken
		target.pendingReplies[token] = func(answer SendReply) {
			var stepFault simStepFault
			if answer.Config != nil {
				stepFault = s.stepFaultAt(simStepAdopt, node)
			}
			s.sendWith(stepFault, target, node, func() {
				if node.incarnation == incarnation {
					finish(Pulled{Reply: answer.Reply, Config: answer.Config})
				}
			})
		}
		s.execute(target, target.state.PullReceived(s.now, PullReceived{Token: token, Pull: request}))
	})
}

func (s *sim) pushTo(node *simNode, a PushTo) {
	target := s.byID[a.Peer.ID]
	push := wire.ConfigPush{From: node.self.ID, Addr: node.self.Addr, Revision: a.Revision}
	s.send(node, target, func() { s.execute(target, target.state.PushReceived(s.now, push)) })
}

func (s *sim) isFresh(node *simNode) bool {
	return node.state.SurveyDone() && node.state.Config() != nil && node.state.Age(s.now) <= defaultMaxAge
}

// acceptedRevisionAt returns the accepted revision at a time.
func (s *sim) acceptedRevisionAt(at time.Time) core.Revision {
	revision := core.Revision(0)
	for i, accepted := range s.acceptedAt {
		if !accepted.After(at) {
			revision = core.Revision(i + 1)
		}
	}
	return revision
}

// checkNode records violations at a node that has just run: its revision must
// not decrease, and after inForceBound it must have each accepted revision if it
// is fresh, or if no fault has affected it during that time.
func (s *sim) checkNode(node *simNode) {
	revision := node.state.Revision()
	if revision < node.highestRevision {
		s.addViolation("%s went back from revision %d to %d", node.self.ID, node.highestRevision, revision)
	}
	node.highestRevision = revision
	required := s.acceptedRevisionAt(s.now.Add(-inForceBound))
	if s.isFresh(node) && revision < required {
		s.addViolation("%s is fresh with revision %d, but %v ago revision %d had been accepted", node.self.ID, revision, inForceBound, required)
	}
	cutoff := s.now.Add(-inForceBound)
	if revision < required && node.nodeFaultEnd.Before(cutoff) && s.sharedFaultEnd.Before(cutoff) && !s.hasFault(node) {
		s.addViolation("%s is connected and has revision %d, but %v ago revision %d had been accepted", node.self.ID, revision, inForceBound, required)
	}
}

// hasFault reports whether a fault currently affects the node, a region or the
// store.
func (s *sim) hasFault(node *simNode) bool {
	return node.isolated || s.storeDown || s.staleHead != 0 || s.isolatedRegion != ""
}

func (s *sim) addViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("%v: ", s.now.Sub(simStart))+fmt.Sprintf(format, args...))
}
