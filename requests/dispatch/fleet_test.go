package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/requests/attempt"
	"currantusher.dev/requests/fair"
	"currantusher.dev/requests/placement"
	"currantusher.dev/wire"
)

// streamEventBytes is the length of each event of a fakeFleet's streams.
const streamEventBytes = 3

// serverBehaviour says how a server of a fakeFleet handles an attempt.
type serverBehaviour struct {
	isUnreachable bool
	isClosed      bool
	// refusal refuses the attempt; 0 accepts it.
	refusal core.Code
	// isSilent servers accept the attempt and send nothing.
	isSilent bool
	// firstEventAfter is the time until the first event, eventInterval the one between
	// events. The header arrives at once if hasEarlyHeader is set.
	firstEventAfter, eventInterval time.Duration
	hasEarlyHeader                 bool
	// recalledAfter is when the entry recalls the attempt, which has no answer yet; 0 means
	// never.
	recalledAfter time.Duration
	// breaksAfter is the number of events before the stream breaks; 0 means never, and
	// below 0 before the header.
	breaksAfter int
}

// silence is a time in which a server sends nothing.
type silence struct{ from, until time.Time }

// fakeFleet is a Sender to servers that stream the rest of text, one event after the
// other. Events that are not read wait.
type fakeFleet struct {
	text    string
	handles func(core.InstanceID) serverBehaviour

	// silences holds the time in which a server sends nothing on any stream. stallAfter
	// is how long after its begin the streams of the server learn of it; 0 means never.
	silences   map[core.InstanceID]silence
	stallAfter time.Duration

	mu sync.Mutex
	// sent counts the attempts that reached a server, mayHaveRun those that were not
	// refused, by server, and open those in progress.
	sent       int
	mayHaveRun map[core.InstanceID]int
	// abandoned holds the servers whose last attempt the entry closed before its end, and
	// returns counts the attempts at these that were not refused.
	abandoned map[core.InstanceID]bool
	returns   int
	// asked holds the servers that were picked, also if nothing was sent.
	asked   map[core.InstanceID]bool
	open    int
	maxOpen int
	// hasCutStream is set once a stream that had sent data broke.
	hasCutStream bool
}

func (f *fakeFleet) Send(ctx context.Context, agent placement.Candidate, m wire.Dispatch) (ReplyStream, error) {
	behaviour := f.ask(agent.ID)
	switch {
	case behaviour.isUnreachable:
		return nil, wire.ErrNotConnected
	case behaviour.isClosed:
		return nil, core.NewRefusal(core.CodeServerClosed, 0, "%s is leaving", agent.ID)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent++
	f.open++
	f.maxOpen = max(f.maxOpen, f.open)
	if behaviour.refusal == core.CodeOK {
		f.mayHaveRun[agent.ID]++
		if f.abandoned[agent.ID] {
			f.returns++
		}
	}
	s := &fakeStream{
		fleet: f, server: agent.ID, ctx: ctx, startedAt: time.Now(), cancelled: make(chan struct{}),
		silence: f.silences[agent.ID], stalled: make(chan struct{}, 1),
	}
	s.schedule(m, behaviour)
	s.watchSilence()
	return s, nil
}

func (f *fakeFleet) ask(id core.InstanceID) serverBehaviour {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked[id] = true
	return f.handles(id)
}

func (f *fakeFleet) Tombstone(context.Context, placement.Candidate, wire.Tombstone) (wire.TombstoneReply, error) {
	return wire.TombstoneReply{Execution: core.ExecutionUnknown}, nil
}

func (f *fakeFleet) closed(server core.InstanceID, hasEnded bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open--
	f.abandoned[server] = !hasEnded
}

// attempts returns the number of attempts that may have run, without those at servers whose
// earlier attempt was abandoned.
func (f *fakeFleet) attempts() int {
	attempts := -f.returns
	for _, n := range f.mayHaveRun {
		attempts += n
	}
	return attempts
}

// fakeStream is an attempt at a server of a fakeFleet.
type fakeStream struct {
	fleet     *fakeFleet
	server    core.InstanceID
	ctx       context.Context
	startedAt time.Time
	cancelled chan struct{}
	closeOnce sync.Once
	frames    []timedFrame
	hasData   bool
	// hasEnded is set once the server has ended or broken off its answer.
	hasEnded atomic.Bool
	silence  silence
	stalled  chan struct{}
	// stopReport stops the report of the silence.
	stopReport func() bool
}

// Select implements ReplyStream.
func (*fakeStream) Select() {}

// Suspend implements ReplyStream.
func (*fakeStream) Suspend() {}

// Stalled implements ReplyStream.
func (s *fakeStream) Stalled() <-chan struct{} { return s.stalled }

// watchSilence reports the silence of the server while the stream is open.
func (s *fakeStream) watchSilence() {
	if s.fleet.stallAfter == 0 || s.silence.from.IsZero() {
		return
	}
	reportAt := s.silence.from.Add(s.fleet.stallAfter)
	if !reportAt.Before(s.silence.until) {
		return
	}
	timer := time.AfterFunc(time.Until(reportAt), func() { s.stalled <- struct{}{} })
	s.stopReport = timer.Stop
}

// arrival returns when the next frame arrives.
func (s *fakeStream) arrival() time.Time {
	at := s.startedAt.Add(s.frames[0].after)
	if !at.Before(s.silence.from) && at.Before(s.silence.until) {
		return s.silence.until
	}
	return at
}

// timedFrame is a frame, or a broken connection, that arrives after a time.
type timedFrame struct {
	after    time.Duration
	frame    wire.AnswerFrame
	breaks   bool
	recalled bool
}

func (s *fakeStream) schedule(m wire.Dispatch, b serverBehaviour) {
	switch {
	case b.refusal != core.CodeOK:
		s.frames = []timedFrame{{after: b.firstEventAfter, frame: refusal(b.refusal)}}
		return
	case b.recalledAfter > 0:
		s.frames = []timedFrame{{after: b.recalledAfter, recalled: true}}
		return
	case b.isSilent:
		return
	case b.breaksAfter < 0:
		s.frames = []timedFrame{{after: b.firstEventAfter, breaks: true}}
		return
	}
	head := timedFrame{after: b.firstEventAfter, frame: header()}
	if b.hasEarlyHeader {
		head.after = 0
	}
	s.frames = append(s.frames, head)
	rest, at := s.fleet.text[m.ResumeOffset:], b.firstEventAfter
	for i := 0; i*streamEventBytes < len(rest); i++ {
		if b.breaksAfter > 0 && i == b.breaksAfter {
			s.frames = append(s.frames, timedFrame{after: at, breaks: true})
			return
		}
		event := rest[i*streamEventBytes : (i+1)*streamEventBytes]
		s.frames = append(s.frames, timedFrame{after: at, frame: data(uint64(i), event)})
		at += b.eventInterval
	}
	s.frames = append(s.frames, timedFrame{after: at, frame: end(rest)})
}

func (s *fakeStream) Recv() (wire.AnswerFrame, error) {
	if s.ctx.Err() != nil {
		return wire.AnswerFrame{}, s.ctx.Err()
	}
	var arrival <-chan time.Time
	if len(s.frames) > 0 {
		timer := time.NewTimer(time.Until(s.arrival()))
		defer timer.Stop()
		arrival = timer.C
	}
	select {
	case <-s.ctx.Done():
		return wire.AnswerFrame{}, s.ctx.Err()
	case <-s.cancelled:
		return wire.AnswerFrame{}, errors.New("cancelled")
	case <-arrival:
	}
	next := s.frames[0]
	s.frames = s.frames[1:]
	s.hasEnded.Store(next.recalled || next.breaks || next.frame.End != nil)
	if next.recalled {
		return wire.AnswerFrame{}, fmt.Errorf("%w: closed", ErrRecalled)
	}
	if next.breaks {
		s.frames = nil
		s.fleet.hasCutStream = s.fleet.hasCutStream || s.hasData
		return wire.AnswerFrame{}, errors.New("connection reset")
	}
	s.hasData = s.hasData || next.frame.Data != nil
	if next.frame.End != nil {
		s.close()
	}
	return next.frame, nil
}

func (s *fakeStream) Cancel() { s.close() }

func (s *fakeStream) close() {
	s.closeOnce.Do(func() {
		if s.stopReport != nil {
			s.stopReport()
		}
		close(s.cancelled)
		s.fleet.closed(s.server, s.hasEnded.Load())
	})
}

// gapSink records the answer and the longest time between two parts of it.
type gapSink struct {
	testSink
	lastPartAt time.Time
	longestGap time.Duration
}

func (s *gapSink) Write(p []byte) (int, error) {
	now := time.Now()
	if !s.lastPartAt.IsZero() {
		s.longestGap = max(s.longestGap, now.Sub(s.lastPartAt))
	}
	s.lastPartAt = now
	return s.testSink.Write(p)
}

// fleetRun is a dispatcher of streams before a fakeFleet.
type fleetRun struct {
	*Dispatcher
	fleet   *fakeFleet
	placer  *placement.Placer
	servers []placement.Candidate
}

// newFleetRun returns a run with a server for each letter of servers. One request of
// another caller is in flight at each.
func newFleetRun(t *testing.T, servers string, retryBurst int, handles func(core.InstanceID) serverBehaviour) *fleetRun {
	r := &fleetRun{
		fleet:  &fakeFleet{text: "aaabbbcccdddeeefffggghhhiiijjjkkklllmmmnnnooopppqqqrrrssstttuuuvvvwwwxxxyyyzzz", handles: handles, mayHaveRun: map[core.InstanceID]int{}, abandoned: map[core.InstanceID]bool{}, asked: map[core.InstanceID]bool{}},
		placer: placement.New(placement.Config{Entry: "e", EjectAfterFailures: 1}),
	}
	r.placer.SetRetryBurst(retryBurst)
	for _, id := range servers {
		server := placement.Candidate{ID: core.InstanceID(id), Limit: 4}
		_, err := r.placer.Pick(time.Now(), placement.Request{}, []placement.Candidate{server})
		require.NoError(t, err)
		r.servers = append(r.servers, server)
	}
	queue := fair.New(fair.Config{Capacity: func() int { return 4 }})
	r.Dispatcher = New(Config{
		Attempts:   attempt.NewGenerator("e", 1),
		Queue:      func(core.PoolName) *fair.Queue { return queue },
		Placer:     func(core.PoolName) *placement.Placer { return r.placer },
		Candidates: func(core.PoolName) []placement.Candidate { return r.servers },
		Sender:     r.fleet,
	})
	return r
}

// requireNothingLeaks checks that no attempt is open and that the placer counts each
// attempt as ended once.
func (r *fleetRun) requireNothingLeaks(t *testing.T) {
	t.Helper()
	require.Zero(t, r.fleet.open, "attempts that are still open")
	for _, server := range r.servers {
		require.Equal(t, 1, r.placer.InFlight(server.ID), "requests in flight at %s besides the other caller's", server.ID)
	}
}
