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
	"currantusher.dev/requests/dispatch"
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
	netLatency     = time.Millisecond
	chunkInterval  = 20 * time.Millisecond
	answerChunks   = 4
	requestTimeout = 2 * time.Second
)

var (
	errCallBroken = errors.New("call broken")
	testWeights   = core.DigestOf([]byte("weights one"))
)

// cluster consists of agents, entries and a store in one synctest bubble.
type cluster struct {
	t      *testing.T
	store  *store
	agents []*fakeAgent
	// shutdownCtx ends all goroutines at the end of the test.
	shutdownCtx context.Context

	mu     sync.Mutex
	onStep func(at step, entry *fakeEntry, agent *fakeAgent)
	// runs holds the ids of the requests that were started, by request body.
	runs  map[string][]string
	calls map[*rpc]bool
	// pendingFault is the fault to apply to the frames of the next answer.
	pendingFault  answerFault
	dispatchDelay time.Duration
	// queueTick is the tick interval of the queues.
	queueTick time.Duration
}

// answerFault is a fault in the frames of an answer.
type answerFault int

const (
	// answerWhole means no fault.
	answerWhole answerFault = iota
	// answerLate delays a data frame by 10 s.
	answerLate
	// answerCrossed sends a frame with the id of another request.
	answerCrossed
	// answerDoubled sends a data frame twice.
	answerDoubled
	// answerCut drops the last byte of a data frame.
	answerCut
	// answerEndsEarly omits the end frame.
	answerEndsEarly
)

func newCluster(t *testing.T, agents int, centres ...core.DataCentre) *cluster {
	if len(centres) == 0 {
		centres = []core.DataCentre{"north", "south"}
	}
	shutdownCtx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		// Simulated time stops when the test returns, so wait here until all
		// goroutines have ended.
		time.Sleep(30 * time.Second)
	})
	c := &cluster{t: t, queueTick: 100 * time.Millisecond, store: newStore(), shutdownCtx: shutdownCtx, runs: map[string][]string{}, calls: map[*rpc]bool{}}
	for i := range agents {
		a := &fakeAgent{
			cluster: c, id: core.InstanceID(fmt.Sprint("agent-", i)), dc: centres[i%len(centres)], weights: testWeights,
			limits: tables.Limits{ColdRequests: 4, WarmRequests: 16},
		}
		a.replaceProcess()
		c.agents = append(c.agents, a)
	}
	return c
}

func (c *cluster) reachStep(s step, e *fakeEntry, a *fakeAgent) {
	c.mu.Lock()
	onStep := c.onStep
	c.mu.Unlock()
	if onStep != nil {
		onStep(s, e, a)
	}
}

func (c *cluster) recordRun(m wire.Dispatch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[string(m.Body)] = append(c.runs[string(m.Body)], m.RequestID)
}

func (c *cluster) runCount(body []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.runs[string(body)])
}

// firstStartedRequest returns the id of the first request with this body that
// was started, or "".
func (c *cluster) firstStartedRequest(body string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.runs[body]) == 0 {
		return ""
	}
	return c.runs[body][0]
}

// breakCalls breaks the calls for which match returns true.
func (c *cluster) breakCalls(match func(*rpc) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for call := range c.calls {
		if match(call) {
			call.breakCall()
		}
	}
}

// takeFault reports whether want is the pending answer fault, and clears it.
func (c *cluster) takeFault(want answerFault) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pendingFault != want {
		return false
	}
	c.pendingFault = answerWhole
	return true
}

// candidates returns the agents as candidates for placement. Like an instance list
// of the platform, it still includes agents that were killed.
func (c *cluster) candidates() []placement.Candidate {
	var known []placement.Candidate
	for _, a := range c.agents {
		a.mu.Lock()
		known = append(known, placement.Candidate{
			ID: a.id, DataCentre: a.dc, Region: "r", Incarnation: a.incarnation,
			Limit: a.limits.ColdRequests, Running: a.reportedRunning, ReportedAt: a.reportedAt,
			Weights: a.weights, DataCentreOut: a.dataCentreOut, Leaving: a.draining,
		})
		a.mu.Unlock()
	}
	return known
}

func testRequest(id string, atMostOnce, stream bool) dispatch.Request {
	return dispatch.Request{
		ID: id, Team: "aare", Route: "lots", Pool: "p", Weights: testWeights, AtMostOnce: atMostOnce, Stream: stream,
		Key: "key-" + id, Body: []byte("body of " + id), Deadline: time.Now().Add(requestTimeout),
	}
}

// checkAnswer checks that an answer is complete and correct, or that its error
// is consistent with what was sent and run.
func (c *cluster) checkAnswer(request dispatch.Request, s *recordingSink, err error) {
	c.t.Helper()
	want := bytes.Join(answerParts(request.Body), nil)
	if err == nil {
		require.Equal(c.t, string(want), s.String())
		require.Equal(c.t, testWeights, s.weights)
		require.Equal(c.t, 1, s.beginCalls)
		return
	}
	require.NotEqual(c.t, core.CodeInternal, core.CodeOf(err), "%v", err)
	require.True(c.t, bytes.HasPrefix(want, s.Bytes()), "the answer %q is not a prefix of the correct answer", s.String())
	if core.ExecutionOf(err) == core.ExecutionNotRun {
		require.Empty(c.t, s.String())
	}
	if request.AtMostOnce {
		require.LessOrEqual(c.t, c.runCount(request.Body), 1)
	}
}
