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
	simTick      = 50 * time.Millisecond
	simLatency   = 5 * time.Millisecond
	simStoreTime = 10 * time.Millisecond
	// inForceBound is the promise: an accepted revision is in force at every
	// daemon that starts new work.
	inForceBound = 6 * time.Second
	simStore     = core.Region("north")
)

var simStart = time.Unix(1_000_000, 0)

// simEvent is something that happens to a node at a time. A negative epoch
// matches any process of the node.
type simEvent struct {
	at    time.Time
	order int
	node  *simNode
	epoch int
	run   func()
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
	self     Neighbour
	state    *State
	epoch    int
	pausedTo time.Time
	// cut isolates the node from all others and from the store.
	cut bool
	// touched is the last time at which a fault of its own ended.
	touched  time.Time
	editedAt time.Time
	token    uint64
	pending  map[uint64]func(Answer)
	highest  core.Revision
}

// sim runs States over a network and a store with faults, in virtual time.
type sim struct {
	now    time.Time
	queue  simQueue
	order  int
	random *rand.Rand
	nodes  []*simNode
	byID   map[core.InstanceID]*simNode

	// heads[i] is when revision i+1 was accepted.
	heads []time.Time
	// configs[i] is the configuration of revision i+1.
	configs []*tables.Config

	loss       float64
	duplicate  float64
	storeDown  bool
	oldHead    core.Revision
	cutRegion  core.Region
	disturbed  time.Time
	violations []string

	// fate, when set, decides on each occurrence of a step at a node.
	fate func(step simStep, node *simNode) simFate
	// acknowledged is the revision that each daemon last told another one.
	acknowledged map[core.InstanceID]core.Revision
}

// simStep names a step of spreading an edit.
type simStep string

const (
	simRelay       simStep = "relay"
	simAdopt       simStep = "adopt"
	simAcknowledge simStep = "acknowledge"
)

// simFate is what happens to one occurrence of a step.
type simFate struct {
	lose      bool
	delay     time.Duration
	duplicate bool
}

func (s *sim) fateOf(step simStep, node *simNode) simFate {
	if s.fate == nil {
		return simFate{}
	}
	return s.fate(step, node)
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
	}{{"n1", simStore}, {"n2", simStore}, {"s1", "south"}}
	for _, place := range layout {
		for i := range 4 {
			s.addNode(place.dc, place.region, platform.RoleEntry, i)
		}
		for i := range 2 {
			s.addNode(place.dc, place.region, platform.RoleAgent, i)
		}
	}
	s.accept()
	for _, node := range s.nodes {
		s.boot(node)
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

// boot starts a fresh process at the node.
func (s *sim) boot(node *simNode) {
	node.epoch++
	node.state = NewState(Settings{Self: node.self, StoreRegion: simStore})
	node.state.SetNeighbours(s.neighbours())
	node.pending = map[uint64]func(Answer){}
	node.pausedTo = time.Time{}
	node.highest = 0
	node.touched = s.now
	s.tick(node)
}

func (s *sim) tick(node *simNode) {
	s.at(s.now.Add(simTick), node, func() {
		s.do(node, node.state.Tick(s.now))
		s.tick(node)
	})
}

// at runs f at the node's present process, later when it is paused.
func (s *sim) at(when time.Time, node *simNode, f func()) {
	s.order++
	heap.Push(&s.queue, &simEvent{at: when, order: s.order, node: node, epoch: node.epoch, run: f})
}

func (s *sim) after(d time.Duration, node *simNode, f func()) { s.at(s.now.Add(d), node, f) }

// advance runs events until the time has passed.
func (s *sim) advance(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		event := heap.Pop(&s.queue).(*simEvent)
		s.now = event.at
		if event.epoch != event.node.epoch {
			continue
		}
		if event.node.pausedTo.After(s.now) {
			event.at = event.node.pausedTo
			s.order++
			event.order = s.order
			heap.Push(&s.queue, event)
			continue
		}
		event.run()
		s.check(event.node)
	}
	s.now = end
}

func (s *sim) latency() time.Duration {
	return time.Duration(1 + s.random.Int64N(int64(2*simLatency)))
}

func (s *sim) lost() bool { return s.random.Float64() < s.loss }

func (s *sim) connected(a, b *simNode) bool {
	if a == b {
		return true
	}
	if a.cut || b.cut {
		return false
	}
	return s.cutRegion == "" || (a.self.Region == s.cutRegion) == (b.self.Region == s.cutRegion)
}

func (s *sim) reachesStore(node *simNode) bool {
	if s.storeDown || node.cut {
		return false
	}
	return s.cutRegion == "" || (node.self.Region == s.cutRegion) == (simStore == s.cutRegion)
}

// send delivers a message, perhaps twice or never.
func (s *sim) send(from, to *simNode, deliver func()) { s.sendWith(simFate{}, from, to, deliver) }

func (s *sim) sendWith(fate simFate, from, to *simNode, deliver func()) {
	copies := 1
	if s.random.Float64() < s.duplicate {
		copies++
	}
	if fate.duplicate {
		copies++
	}
	for range copies {
		if fate.lose || s.lost() || !s.connected(from, to) {
			continue
		}
		s.after(s.latency()+fate.delay, to, deliver)
	}
}

func (s *sim) head() core.Revision { return core.Revision(len(s.heads)) }

// accept makes the next revision the accepted one.
func (s *sim) accept() *tables.Config {
	config, err := tables.Compile(tables.Rows{Revision: s.head() + 1})
	if err != nil {
		panic(err)
	}
	s.heads = append(s.heads, s.now)
	s.configs = append(s.configs, config)
	return config
}

// edit makes an edit through a node that reaches the store.
func (s *sim) edit(node *simNode) {
	if node.self.Role != platform.RoleEntry || !s.reachesStore(node) || node.pausedTo.After(s.now) {
		return
	}
	config := s.accept()
	node.editedAt = s.now
	s.after(simStoreTime, node, func() { s.do(node, node.state.Offer(s.now, config)) })
}

// do carries out a node's actions.
func (s *sim) do(node *simNode, actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case ReadHead:
			s.readHead(node)
		case Load:
			s.load(node)
		case PullFrom:
			s.pull(node, a)
		case PushTo:
			s.pushTo(node, a)
		case Answer:
			if reply := node.pending[a.Token]; reply != nil {
				delete(node.pending, a.Token)
				reply(a)
			}
		}
	}
}

func (s *sim) storeHead() core.Revision {
	if s.oldHead != 0 {
		return s.oldHead
	}
	return s.head()
}

func (s *sim) readHead(node *simNode) {
	sent := s.now
	fate := s.fateOf(simRelay, node)
	if !s.reachesStore(node) || s.lost() || fate.lose {
		err := core.NewRefusal(core.CodeStoreUnavailable, 0, "down")
		s.after(headTimeout, node, func() {
			s.do(node, node.state.HeadRead(s.now, HeadRead{SentAt: sent, Err: err}))
		})
		return
	}
	revision := s.storeHead()
	s.after(simStoreTime+fate.delay, node, func() {
		s.do(node, node.state.HeadRead(s.now, HeadRead{SentAt: sent, Revision: revision}))
	})
}

func (s *sim) load(node *simNode) {
	sent := s.now
	fate := s.fateOf(simRelay, node)
	if !s.reachesStore(node) || s.lost() || fate.lose {
		err := core.NewRefusal(core.CodeStoreUnavailable, 0, "down")
		s.after(headTimeout, node, func() {
			s.do(node, node.state.Loaded(s.now, Loaded{SentAt: sent, Err: err}))
		})
		return
	}
	config := s.configs[s.storeHead()-1]
	s.after(simStoreTime+fate.delay, node, func() {
		s.do(node, node.state.Loaded(s.now, Loaded{SentAt: sent, Config: config}))
	})
}

func (s *sim) pull(node *simNode, a PullFrom) {
	sent := s.now
	target := s.byID[a.To.ID]
	done := false
	finish := func(p Pulled) {
		if done {
			return
		}
		done = true
		p.SentAt, p.From, p.Parent = sent, a.To, a.Parent
		s.do(node, node.state.Pulled(s.now, p))
	}
	s.after(a.Wait+pullGrace, node, func() {
		finish(Pulled{Err: core.NewRefusal(core.CodeTimeout, 0, "no reply")})
	})
	request := wire.ConfigPull{
		From:       node.self.ID,
		Addr:       node.self.Addr,
		Revision:   node.state.Revision(),
		WaitMillis: a.Wait.Milliseconds(),
	}
	epoch := node.epoch
	var fate simFate
	if request.Revision == s.head() {
		fate = s.fateOf(simAcknowledge, node)
	}
	s.sendWith(fate, node, target, func() {
		s.acknowledged[request.From] = request.Revision
		target.token++
		token := target.token
		target.pending[token] = func(answer Answer) {
			var fate simFate
			if answer.Config != nil {
				fate = s.fateOf(simAdopt, node)
			}
			s.sendWith(fate, target, node, func() {
				if node.epoch == epoch {
					finish(Pulled{Reply: answer.Reply, Config: answer.Config})
				}
			})
		}
		s.do(target, target.state.PullAsked(s.now, PullAsked{Token: token, Pull: request}))
	})
}

func (s *sim) pushTo(node *simNode, a PushTo) {
	target := s.byID[a.To.ID]
	push := wire.ConfigPush{From: node.self.ID, Addr: node.self.Addr, Revision: a.Revision}
	s.send(node, target, func() { s.do(target, target.state.PushReceived(s.now, push)) })
}

func (s *sim) fresh(node *simNode) bool {
	return node.state.Surveyed() && node.state.Config() != nil && node.state.Age(s.now) <= defaultMaxAge
}

// headAt returns the revision that was accepted at a time.
func (s *sim) headAt(at time.Time) core.Revision {
	revision := core.Revision(0)
	for i, accepted := range s.heads {
		if !accepted.After(at) {
			revision = core.Revision(i + 1)
		}
	}
	return revision
}

// check asserts the promises at a node that just ran.
func (s *sim) check(node *simNode) {
	own := node.state.Revision()
	if own < node.highest {
		s.violate("%s fell from %d to %d", node.self.ID, node.highest, own)
	}
	node.highest = own
	bound := s.headAt(s.now.Add(-inForceBound))
	if s.fresh(node) && own < bound {
		s.violate("%s is fresh with revision %d, accepted %v ago is %d", node.self.ID, own, inForceBound, bound)
	}
	quiet := s.now.Add(-inForceBound)
	if own < bound && node.touched.Before(quiet) && s.disturbed.Before(quiet) && !s.faulty(node) {
		s.violate("%s is connected with revision %d, accepted %v ago is %d", node.self.ID, own, inForceBound, bound)
	}
}

// faulty reports whether a fault keeps the node from the store's region now.
func (s *sim) faulty(node *simNode) bool {
	return node.cut || s.storeDown || s.oldHead != 0 || s.cutRegion != ""
}

func (s *sim) violate(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("%v: ", s.now.Sub(simStart))+fmt.Sprintf(format, args...))
}
