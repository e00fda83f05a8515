package proof

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/platform"
	"currantusher.dev/requests/admission"
	"currantusher.dev/requests/attempt"
	"currantusher.dev/requests/dispatch"
	"currantusher.dev/requests/fair"
	"currantusher.dev/requests/ledger"
	"currantusher.dev/requests/placement"
	"currantusher.dev/tables"
	"currantusher.dev/wire"
)

// step is a point in the life of a request at which a fault is injected.
type step string

const (
	stepQueued     step = "queued"
	stepClaimed    step = "claimed"
	stepDispatched step = "dispatched"
	stepStarted    step = "started"
	stepStreaming  step = "streaming"
	stepFinished   step = "finished"
	stepWritten    step = "result written"
)

const (
	netLatency  = time.Millisecond
	chunkPeriod = 20 * time.Millisecond
	chunks      = 4
	requestTime = 2 * time.Second
)

var (
	errBroken = errors.New("link broken")
	pinned    = core.DigestOf([]byte("weights one"))
)

// cluster is a few agents, entries and a store, all in one bubble.
type cluster struct {
	t      *testing.T
	store  *store
	agents []*fakeAgent
	// down ends everything at the end of the test.
	down context.Context

	mu    sync.Mutex
	hook  func(at step, entry *fakeEntry, agent *fakeAgent)
	runs  map[string][]string
	links map[*link]bool
	// fault changes the answer's frames from now on; see answer faults.
	fault answerFault
	delay time.Duration
	// tick is the queues' period.
	tick time.Duration
}

type answerFault int

const (
	answerWhole answerFault = iota
	answerLate
	answerCrossed
	answerDoubled
	answerCut
	answerEndsEarly
)

func newCluster(t *testing.T, agents int, centres ...core.DataCentre) *cluster {
	if len(centres) == 0 {
		centres = []core.DataCentre{"north", "south"}
	}
	down, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		// Time stands still once the test returns.
		time.Sleep(30 * time.Second)
	})
	c := &cluster{t: t, tick: 100 * time.Millisecond, store: newStore(), down: down, runs: map[string][]string{}, links: map[*link]bool{}}
	for i := range agents {
		a := &fakeAgent{
			cluster: c, id: core.InstanceID(fmt.Sprint("agent-", i)), dc: centres[i%len(centres)], weights: pinned,
			limits: tables.Limits{ColdRequests: 4, WarmRequests: 16},
		}
		a.replace()
		c.agents = append(c.agents, a)
	}
	return c
}

func (c *cluster) at(s step, e *fakeEntry, a *fakeAgent) {
	c.mu.Lock()
	hook := c.hook
	c.mu.Unlock()
	if hook != nil {
		hook(s, e, a)
	}
}

func (c *cluster) countRun(m wire.Dispatch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[string(m.Body)] = append(c.runs[string(m.Body)], m.RequestID)
}

func (c *cluster) ran(body []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.runs[string(body)])
}

// startedFor returns the request that the work was first started for, or "".
func (c *cluster) startedFor(body string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.runs[body]) == 0 {
		return ""
	}
	return c.runs[body][0]
}

// cutLinks breaks the calls that match.
func (c *cluster) cutLinks(match func(*link) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for l := range c.links {
		if match(l) {
			l.breakOff()
		}
	}
}

// takeFault returns the answer fault once.
func (c *cluster) takeFault(want answerFault) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fault != want {
		return false
	}
	c.fault = answerWhole
	return true
}

// fakeAgent is an agent with a real gate and an engine that answers at once.
type fakeAgent struct {
	cluster *cluster
	id      core.InstanceID
	dc      core.DataCentre

	mu          sync.Mutex
	gate        *admission.Gate
	incarnation core.Incarnation
	dead        bool
	out         bool
	draining    bool
	weights     core.Digest
	limits      tables.Limits
	resumed     chan struct{}
	// reported is the load of the last heartbeat.
	reported   int
	reportedAt time.Time
}

// replace starts a new process with an empty ledger in the slot.
func (a *fakeAgent) replace() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.incarnation++
	a.dead = false
	a.gate = admission.New(admission.Config{Incarnation: a.incarnation, Limits: a.limits})
}

func (a *fakeAgent) set(change func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change()
}

func (a *fakeAgent) running() int {
	a.mu.Lock()
	gate := a.gate
	a.mu.Unlock()
	return gate.Load(time.Now()).Running
}

func (a *fakeAgent) pause() { a.set(func() { a.resumed = make(chan struct{}) }) }

func (a *fakeAgent) resume() {
	a.set(func() {
		if a.resumed != nil {
			close(a.resumed)
			a.resumed = nil
		}
	})
}

func (a *fakeAgent) waitWhilePaused() {
	a.mu.Lock()
	resumed := a.resumed
	a.mu.Unlock()
	if resumed == nil {
		return
	}
	select {
	case <-resumed:
	case <-a.cluster.down.Done():
	}
}

func (a *fakeAgent) conditions() (time.Time, admission.Conditions) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now(), admission.Conditions{
		EngineWeights: a.weights,
		PinnedWeights: a.weights,
		EngineServing: true,
		DataCentreOut: a.out,
		Draining:      a.draining,
	}
}

// answerOf is what the engine answers; parts are its chunks.
func answerOf(body []byte) (parts [][]byte) {
	for i := range chunks {
		parts = append(parts, fmt.Appendf(nil, "%s-%d;", body, i))
	}
	return parts
}

// serve runs one dispatch at the process that was in the slot at its arrival.
func (a *fakeAgent) serve(l *link, m wire.Dispatch) {
	received := time.Now()
	a.mu.Lock()
	gate := a.gate
	a.mu.Unlock()
	a.waitWhilePaused()
	permit, err := gate.StartWith(a.conditions, admission.Attempt{
		ID:          m.AttemptID,
		Incarnation: m.Incarnation,
		Weights:     m.Weights,
		AtMostOnce:  m.AtMostOnce,
		Received:    received,
		Remaining:   time.Duration(m.DeadlineMillis) * time.Millisecond,
	})
	if err != nil {
		l.reply(wire.Reply{End: &wire.End{
			RequestID: m.RequestID, Code: core.CodeOf(err), Work: core.WorkOf(err), Detail: core.DetailOf(err),
			RetryAfterMillis: core.RetryAfterOf(err).Milliseconds(), Running: gate.Load(received).Running, Limit: a.limits.ColdRequests,
		}})
		return
	}
	a.cluster.countRun(m)
	a.cluster.at(stepStarted, l.entry, a)
	permit.Done(time.Now(), a.run(l, m))
}

// run is the engine's work and the frames about it.
func (a *fakeAgent) run(l *link, m wire.Dispatch) admission.Outcome {
	a.waitWhilePaused()
	a.mu.Lock()
	weights := a.weights
	a.mu.Unlock()
	l.reply(wire.Reply{Begin: &wire.Begin{RequestID: a.requestID(m), Weights: weights, ContentType: "text/plain"}})
	rest := bytes.Join(answerOf(m.Body), nil)[m.ResumeFrom:]
	answer := rest
	for sequence := uint64(0); len(rest) > 0; sequence++ {
		time.Sleep(chunkPeriod)
		a.waitWhilePaused()
		if !m.AtMostOnce && l.isBroken() {
			return admission.Cancelled
		}
		size := min(len(rest), len(answerOf(m.Body)[0]))
		done := len(answer) - len(rest) + size
		a.send(l, wire.Data{Sequence: sequence, Bytes: rest[:size], End: int64(done)})
		rest = rest[size:]
		if sequence == 0 {
			a.cluster.at(stepStreaming, l.entry, a)
		}
	}
	if !a.cluster.takeFault(answerEndsEarly) {
		l.reply(wire.Reply{End: &wire.End{
			RequestID: a.requestID(m), Code: core.CodeOK, Work: core.WorkRan,
			Length: int64(len(answer)), Checksum: core.DigestOf(answer),
			Running: a.running() - 1, Limit: a.limits.ColdRequests,
		}})
	}
	l.closeSend()
	a.cluster.at(stepFinished, l.entry, a)
	return admission.Succeeded
}

func (a *fakeAgent) requestID(m wire.Dispatch) string {
	if a.cluster.takeFault(answerCrossed) {
		return "another request"
	}
	return m.RequestID
}

func (a *fakeAgent) send(l *link, data wire.Data) {
	if a.cluster.takeFault(answerLate) {
		time.Sleep(10 * time.Second)
	}
	if a.cluster.takeFault(answerCut) {
		data.Bytes = data.Bytes[:len(data.Bytes)-1]
	}
	l.reply(wire.Reply{Data: &data})
	if a.cluster.takeFault(answerDoubled) {
		l.reply(wire.Reply{Data: &data})
	}
}

// link is one call between an entry and an agent.
type link struct {
	entry  *fakeEntry
	agent  *fakeAgent
	ctx    context.Context
	frames chan wire.Reply
	broken chan struct{}
	once   sync.Once
	sent   sync.Once
}

func (l *link) breakOff() { l.once.Do(func() { close(l.broken) }) }

func (l *link) isBroken() bool {
	select {
	case <-l.broken:
		return true
	default:
		return l.ctx.Err() != nil
	}
}

func (l *link) reply(r wire.Reply) {
	if !l.isBroken() {
		l.frames <- r
	}
}

func (l *link) closeSend() { l.sent.Do(func() { close(l.frames) }) }

// Recv implements dispatch.ReplyStream.
func (l *link) Recv() (wire.Reply, error) {
	select {
	case <-l.entry.dead():
		<-l.agent.cluster.down.Done()
		return wire.Reply{}, errBroken
	default:
	}
	select {
	case r, ok := <-l.frames:
		time.Sleep(netLatency)
		if !ok {
			return wire.Reply{}, errBroken
		}
		return r, nil
	case <-l.broken:
		return wire.Reply{}, errBroken
	case <-l.ctx.Done():
		return wire.Reply{}, l.ctx.Err()
	case <-l.entry.dead():
		<-l.agent.cluster.down.Done()
		return wire.Reply{}, errBroken
	}
}

// Cancel implements dispatch.ReplyStream.
func (l *link) Cancel() { l.breakOff() }

// fakeEntry is one entry process with its real queue, placer, ledger and
// dispatcher.
type fakeEntry struct {
	cluster *cluster
	id      core.InstanceID
	killed  context.Context
	kill    context.CancelFunc
	queue   *fair.Queue
	ledger  *ledger.Ledger
	*dispatch.Dispatcher
}

func (e *fakeEntry) dead() <-chan struct{} { return e.killed.Done() }

func (c *cluster) entry(name string) *fakeEntry { return c.entryIn(name, "north") }

func (c *cluster) entryIn(name string, dc core.DataCentre) *fakeEntry {
	e := &fakeEntry{cluster: c, id: core.InstanceID(name)}
	e.killed, e.kill = context.WithCancel(c.down)
	placer := placement.New(placement.Config{Entry: e.id, DataCentre: dc, Region: "r", Ramp: 5 * time.Second})
	candidates := func(core.PoolName) []placement.Candidate { return c.candidates() }
	e.queue = fair.New(fair.Config{
		Capacity: func() int { return placer.Capacity(time.Now(), pinned, c.candidates()) },
		Tick:     c.tick,
	})
	e.ledger = ledger.New(ledger.Config{Tables: &entryStore{store: c.store, entry: e}, Entry: name})
	e.Dispatcher = dispatch.New(dispatch.Config{
		Attempts:   attempt.NewSource(e.id, 1),
		Queue:      func(core.PoolName) *fair.Queue { return e.queue },
		Placer:     func(core.PoolName) *placement.Placer { return placer },
		Candidates: candidates,
		Ledger:     e.ledger,
		Sender:     &network{entry: e},
		// The fake engine begins to answer at once.
		StartTimeout: 500 * time.Millisecond,
	})
	go func() { _ = e.queue.Run(c.down) }()
	go func() { _ = e.ledger.Run(c.down) }()
	return e
}

// candidates is what the entries know: it lags on death and replacement, as a
// list of the platform does.
func (c *cluster) candidates() []placement.Candidate {
	var known []placement.Candidate
	for _, a := range c.agents {
		a.mu.Lock()
		known = append(known, placement.Candidate{
			ID: a.id, DataCentre: a.dc, Region: "r", Incarnation: a.incarnation,
			Limit: a.limits.ColdRequests, Running: a.reported, ReportedAt: a.reportedAt,
			Weights: a.weights, DataCentreOut: a.out, Leaving: a.draining,
		})
		a.mu.Unlock()
	}
	return known
}

// entryStore is the store as one entry reaches it. A dead entry reaches
// nothing.
type entryStore struct {
	*store
	entry *fakeEntry
}

func (s *entryStore) Commit(ctx context.Context, txn platform.Transaction) error {
	if s.entry.killed.Err() != nil {
		<-s.entry.cluster.down.Done()
		return errBroken
	}
	err := s.store.Commit(ctx, txn)
	for _, put := range txn.Puts {
		if err == nil && put.Table == ledger.TableClaims {
			s.entry.cluster.at(s.stepOf(txn), s.entry, nil)
		}
	}
	if s.entry.killed.Err() != nil {
		<-s.entry.cluster.down.Done()
	}
	return err
}

// stepOf tells a claim, which has a precondition, from a result.
func (s *entryStore) stepOf(txn platform.Transaction) step {
	if len(txn.Preconditions) > 0 {
		return stepClaimed
	}
	return stepWritten
}

// network is the peer transport as one entry uses it.
type network struct{ entry *fakeEntry }

func (n *network) agent(id core.InstanceID) *fakeAgent {
	for _, a := range n.entry.cluster.agents {
		if a.id == id {
			return a
		}
	}
	return nil
}

// Send implements dispatch.Sender.
func (n *network) Send(ctx context.Context, to placement.Candidate, m wire.Dispatch) (dispatch.ReplyStream, error) {
	c := n.entry.cluster
	a := n.agent(to.ID)
	a.mu.Lock()
	dead := a.dead
	a.mu.Unlock()
	if dead {
		return nil, wire.ErrNotConnected
	}
	if n.entry.killed.Err() != nil {
		<-c.down.Done()
		return nil, errBroken
	}
	l := &link{entry: n.entry, agent: a, ctx: ctx, frames: make(chan wire.Reply, 64), broken: make(chan struct{})}
	c.mu.Lock()
	c.links[l] = true
	c.mu.Unlock()
	c.at(stepDispatched, n.entry, a)
	c.mu.Lock()
	delay := netLatency + c.delay
	c.delay = 0
	c.mu.Unlock()
	go func() {
		time.Sleep(delay)
		a.mu.Lock()
		gone := a.dead
		a.mu.Unlock()
		if gone {
			l.breakOff()
			return
		}
		a.serve(l, m)
	}()
	return l, nil
}

// Tombstone implements dispatch.Sender.
func (n *network) Tombstone(ctx context.Context, to placement.Candidate, m wire.Tombstone) (wire.TombstoneReply, error) {
	if n.entry.killed.Err() != nil {
		<-n.entry.cluster.down.Done()
	}
	time.Sleep(netLatency)
	a := n.agent(to.ID)
	answered := make(chan core.Work, 1)
	go func() {
		a.waitWhilePaused()
		a.mu.Lock()
		gate, dead := a.gate, a.dead
		a.mu.Unlock()
		if !dead {
			answered <- gate.Tombstone(time.Now(), m.AttemptID, m.Incarnation)
		}
	}()
	select {
	case work := <-answered:
		return wire.TombstoneReply{Work: work}, nil
	case <-ctx.Done():
		return wire.TombstoneReply{}, ctx.Err()
	}
}

// sink records an answer.
type sink struct {
	bytes.Buffer
	weights core.Digest
	begins  int
}

// Begin implements dispatch.Sink.
func (s *sink) Begin(_ string, weights core.Digest) error {
	s.begins++
	s.weights = weights
	return nil
}

func requestOf(id string, atMostOnce, stream bool) dispatch.Request {
	return dispatch.Request{
		ID: id, Team: "aare", Route: "lots", Pool: "p", Weights: pinned, AtMostOnce: atMostOnce, Stream: stream,
		Key: "key-" + id, Body: []byte("body of " + id), Deadline: time.Now().Add(requestTime),
	}
}

// check compares one answer with what ran.
func (c *cluster) check(request dispatch.Request, s *sink, err error) {
	c.t.Helper()
	want := bytes.Join(answerOf(request.Body), nil)
	if err == nil {
		require.Equal(c.t, string(want), s.String())
		require.Equal(c.t, pinned, s.weights)
		require.Equal(c.t, 1, s.begins)
		return
	}
	require.NotEqual(c.t, core.CodeInternal, core.CodeOf(err), "%v", err)
	require.True(c.t, bytes.HasPrefix(want, s.Bytes()), "wrong bytes %q", s.String())
	if core.WorkOf(err) == core.WorkNotRun {
		require.Empty(c.t, s.String())
	}
	if request.AtMostOnce {
		require.LessOrEqual(c.t, c.ran(request.Body), 1)
	}
}
