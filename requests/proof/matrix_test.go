package proof

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/invariant"
	"currantusher.dev/requests/dispatch"
	"currantusher.dev/requests/fair"
)

// fault is brought about at a step; agent is nil before the dispatch.
type fault struct {
	name   string
	inject func(c *cluster, e *fakeEntry, a *fakeAgent)
	// harmless faults leave every repeatable request with its whole answer.
	harmless bool
	// late faults hold up the entry itself, which then answers late.
	late bool
}

func agentOr(c *cluster, a *fakeAgent) *fakeAgent {
	if a == nil {
		return c.agents[0]
	}
	return a
}

func ofAgent(a *fakeAgent) func(*link) bool { return func(l *link) bool { return l.agent == a } }

func kill(c *cluster, a *fakeAgent) {
	a.set(func() { a.dead = true })
	c.cutLinks(ofAgent(a))
}

func answers(f answerFault) func(*cluster, *fakeEntry, *fakeAgent) {
	return func(c *cluster, _ *fakeEntry, _ *fakeAgent) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.fault = f
	}
}

func storeIs(f storeFault) func(*cluster, *fakeEntry, *fakeAgent) {
	return func(c *cluster, _ *fakeEntry, _ *fakeAgent) { c.store.always(f) }
}

var faults = []fault{
	{name: "none", inject: func(*cluster, *fakeEntry, *fakeAgent) {}, harmless: true},
	{name: "entry killed", inject: func(c *cluster, e *fakeEntry, _ *fakeAgent) {
		e.kill()
		c.cutLinks(func(l *link) bool { return l.entry == e })
	}},
	{name: "agent killed", inject: func(c *cluster, _ *fakeEntry, a *fakeAgent) { kill(c, agentOr(c, a)) }, harmless: true},
	{name: "agent replaced", inject: func(c *cluster, _ *fakeEntry, a *fakeAgent) {
		kill(c, agentOr(c, a))
		agentOr(c, a).replace()
	}, harmless: true},
	{name: "agent replaced, frame in flight", inject: func(c *cluster, _ *fakeEntry, a *fakeAgent) {
		agentOr(c, a).replace()
	}, harmless: true},
	{name: "agent paused", inject: func(c *cluster, _ *fakeEntry, a *fakeAgent) {
		agentOr(c, a).pause()
		time.AfterFunc(10*time.Second, agentOr(c, a).resume)
	}, harmless: true},
	{name: "entry paused", inject: func(*cluster, *fakeEntry, *fakeAgent) { time.Sleep(10 * time.Second) }, late: true},
	{name: "entry and agent paused", inject: func(c *cluster, _ *fakeEntry, a *fakeAgent) {
		agentOr(c, a).pause()
		time.AfterFunc(20*time.Second, agentOr(c, a).resume)
		time.Sleep(10 * time.Second)
	}, late: true},
	{name: "dispatch delayed", inject: func(c *cluster, _ *fakeEntry, _ *fakeAgent) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.delay = 10 * time.Second
	}},
	{name: "link cut", inject: func(c *cluster, _ *fakeEntry, a *fakeAgent) { c.cutLinks(ofAgent(agentOr(c, a))) }, harmless: true},
	{name: "answer late", inject: answers(answerLate)},
	{name: "answer crossed", inject: answers(answerCrossed)},
	{name: "answer doubled", inject: answers(answerDoubled)},
	{name: "answer cut", inject: answers(answerCut)},
	{name: "answer ends early", inject: answers(answerEndsEarly), harmless: true},
	{name: "engine turned cold", inject: func(c *cluster, _ *fakeEntry, a *fakeAgent) { agentOr(c, a).gate.EngineRestarted() }, harmless: true},
	{name: "store down", inject: storeIs(storeDown), harmless: true},
	{name: "store hangs", inject: storeIs(storeHangs), harmless: true},
	{name: "store slow", inject: storeIs(storeSlow), harmless: true},
	{name: "store answers lost", inject: storeIs(storeLostAfter), harmless: true},
	{name: "store lands late", inject: storeIs(storeLandsLate), harmless: true},
	{name: "data centre out", inject: func(c *cluster, _ *fakeEntry, a *fakeAgent) {
		for _, other := range c.agents {
			if other.dc == agentOr(c, a).dc {
				other.set(func() { other.out = true })
			}
		}
	}, harmless: true},
	{name: "agent leaves", inject: func(c *cluster, _ *fakeEntry, a *fakeAgent) {
		leaving := agentOr(c, a)
		leaving.set(func() { leaving.draining = true })
	}, harmless: true},
	{name: "version changed", inject: func(c *cluster, _ *fakeEntry, a *fakeAgent) {
		changed := agentOr(c, a)
		changed.set(func() { changed.weights = core.DigestOf([]byte("weights two")) })
	}, harmless: true},
}

var steps = []step{stepQueued, stepClaimed, stepDispatched, stepStarted, stepStreaming, stepFinished, stepWritten}

// TestFaultMatrixRequest brings about every fault at every step of a request,
// then repeats the request at another entry, also after the fault is over.
func TestFaultMatrixRequest(t *testing.T) {
	kinds := []struct {
		name               string
		atMostOnce, stream bool
	}{{"plain", false, false}, {"stream", false, true}, {"at-most-once", true, false}}
	for _, kind := range kinds {
		for _, at := range steps {
			if !kind.atMostOnce && (at == stepClaimed || at == stepWritten) {
				continue
			}
			for _, f := range faults {
				name := strings.Join([]string{kind.name, string(at), f.name}, "/")
				t.Run(name, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { runCell(t, kind.atMostOnce, kind.stream, at, f) })
				})
			}
		}
	}
}

func runCell(t *testing.T, atMostOnce, stream bool, at step, f fault) {
	c := newCluster(t, 4)
	first, second := c.entry("entry-a"), c.entry("entry-b")
	before := invariant.TotalViolations()
	var fired atomic.Bool
	c.hook = func(s step, e *fakeEntry, a *fakeAgent) {
		if s == at && e == first && fired.CompareAndSwap(false, true) {
			f.inject(c, e, a)
		}
	}
	request := requestOf("r1", atMostOnce, stream)
	err, answered := c.send(first, request, at == stepQueued, f.late)
	if !atMostOnce && f.harmless {
		require.True(t, answered)
		require.NoError(t, err)
	}
	refused := answered && core.ExecutionOf(err) == core.ExecutionNotRun
	ranAtRefusal := c.ran(request.Body)
	if refused {
		require.Zero(t, ranAtRefusal, "refused as not run: %v", err)
		require.Positive(t, core.RetryAfterOf(err), "%v", err)
	}
	// Whatever is in flight comes to its end.
	time.Sleep(30 * time.Second)
	require.True(t, fired.Load(), "the step was not reached")
	if refused {
		require.Zero(t, c.ran(request.Body), "ran after it was refused: %v", err)
	}
	c.store.setFault(nil)
	c.mu.Lock()
	c.fault, c.delay = answerWhole, 0
	c.mu.Unlock()
	time.Sleep(30 * time.Second)
	repeat := requestOf("r1", atMostOnce, stream)
	repeat.ID = "r2"
	repeatErr, _ := c.send(second, repeat, false, false)
	if atMostOnce {
		require.LessOrEqual(t, c.ran(request.Body), 1)
		if answered && err == nil {
			require.NoError(t, repeatErr, "the result of an answered request is kept")
		}
		if refused {
			require.NoError(t, repeatErr, "a key refused as not run can be used again")
		}
	}
	require.Equal(t, before, invariant.TotalViolations())
	t.Logf("first: %v; repeat: %v; ran %d", describe(err, answered), describe(repeatErr, true), c.ran(request.Body))
}

func describe(err error, answered bool) string {
	if !answered {
		return "entry dead"
	}
	return fmt.Sprintf("%v (%v)", core.CodeOf(err), core.ExecutionOf(err))
}

// send runs a request and checks its answer. answered is false when the entry
// died. With queued the request waits behind another one until the fault is
// there.
func (c *cluster) send(e *fakeEntry, request dispatch.Request, queued, late bool) (err error, answered bool) {
	var grants []*fair.Grant
	if queued {
		for range e.queue.Stats().Limit + 16 {
			grant, err := e.queue.Acquire(c.down, fair.Request{Team: "other"})
			require.NoError(c.t, err)
			grants = append(grants, grant)
			if stats := e.queue.Stats(); stats.Running == stats.Limit {
				break
			}
		}
	}
	var s sink
	started := time.Now()
	done := make(chan error, 1)
	go func() { done <- e.Do(c.down, request, &s) }()
	if queued {
		time.Sleep(5 * time.Millisecond)
		c.at(stepQueued, e, nil)
		for _, grant := range grants {
			grant.Release(true)
		}
	}
	select {
	case err := <-done:
		if !late {
			require.LessOrEqual(c.t, time.Since(started), requestTime+10*time.Millisecond, "answer after the deadline: %v", err)
		}
		c.check(request, &s, err)
		return err, true
	case <-e.dead():
		return nil, false
	}
}
