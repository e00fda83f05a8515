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
	if core.ExecutionOf(err) == core.ExecutionNotRun {
		require.Empty(c.t, s.String())
	}
	if request.AtMostOnce {
		require.LessOrEqual(c.t, c.ran(request.Body), 1)
	}
}
