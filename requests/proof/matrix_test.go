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

// fault is injected at a step of a request. The agent passed to inject is nil
// before the dispatch.
type fault struct {
	name   string
	inject func(c *cluster, e *fakeEntry, a *fakeAgent)
	// repeatableSucceeds means that a repeatable request must get its complete
	// answer despite the fault.
	repeatableSucceeds bool
	// delaysEntry means that the fault pauses the entry, so that its answer may
	// come after the deadline.
	delaysEntry bool
}

func agentOrFirst(c *cluster, a *fakeAgent) *fakeAgent {
	if a == nil {
		return c.agents[0]
	}
	return a
}

func callsOf(a *fakeAgent) func(*rpc) bool { return func(call *rpc) bool { return call.agent == a } }

func killAgent(c *cluster, a *fakeAgent) {
	a.update(func() { a.killed = true })
	c.breakCalls(callsOf(a))
}

func injectAnswerFault(f answerFault) func(*cluster, *fakeEntry, *fakeAgent) {
	return func(c *cluster, _ *fakeEntry, _ *fakeAgent) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.pendingFault = f
	}
}

func injectStoreFault(f storeFault) func(*cluster, *fakeEntry, *fakeAgent) {
	return func(c *cluster, _ *fakeEntry, _ *fakeAgent) { c.store.setConstantFault(f) }
}

var faults = []fault{
	{name: "none", inject: func(*cluster, *fakeEntry, *fakeAgent) {}, repeatableSucceeds: true},
	{name: "entry killed", inject: func(c *cluster, e *fakeEntry, _ *fakeAgent) {
		e.kill()
		c.breakCalls(func(call *rpc) bool { return call.entry == e })
	}},
	{name: "agent killed", inject: func(c *cluster, _ *fakeEntry, a *fakeAgent) { killAgent(c, agentOrFirst(c, a)) }, repeatableSucceeds: true},
	{name: "agent replaced", inject: func(c *cluster, _ *fakeEntry, a *fakeAgent) {
		killAgent(c, agentOrFirst(c, a))
		agentOrFirst(c, a).replaceProcess()
	}, repeatableSucceeds: true},
	{name: "agent replaced, frame in flight", inject: func(c *cluster, _ *fakeEntry, a *fakeAgent) {
		agentOrFirst(c, a).replaceProcess()
	}, repeatableSucceeds: true},
	{name: "agent paused", inject: func(c *cluster, _ *fakeEntry, a *fakeAgent) {
		agentOrFirst(c, a).pause()
		time.AfterFunc(10*time.Second, agentOrFirst(c, a).resume)
	}, repeatableSucceeds: true},
	{name: "entry paused", inject: func(*cluster, *fakeEntry, *fakeAgent) { time.Sleep(10 * time.Second) }, delaysEntry: true},
	{name: "entry and agent paused", inject: func(c *cluster, _ *fakeEntry, a *fakeAgent) {
		agentOrFirst(c, a).pause()
		time.AfterFunc(20*time.Second, agentOrFirst(c, a).resume)
		time.Sleep(10 * time.Second)
	}, delaysEntry: true},
	{name: "dispatch delayed", inject: func(c *cluster, _ *fakeEntry, _ *fakeAgent) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.dispatchDelay = 10 * time.Second
	}},
	{name: "connection broken", inject: func(c *cluster, _ *fakeEntry, a *fakeAgent) { c.breakCalls(callsOf(agentOrFirst(c, a))) }, repeatableSucceeds: true},
	{name: "answer late", inject: injectAnswerFault(answerLate)},
	{name: "answer crossed", inject: injectAnswerFault(answerCrossed)},
	{name: "answer doubled", inject: injectAnswerFault(answerDoubled)},
	{name: "answer cut", inject: injectAnswerFault(answerCut)},
	{name: "answer ends early", inject: injectAnswerFault(answerEndsEarly), repeatableSucceeds: true},
	{name: "engine turned cold", inject: func(c *cluster, _ *fakeEntry, a *fakeAgent) { agentOrFirst(c, a).gate.EngineRestarted() }, repeatableSucceeds: true},
	{name: "store down", inject: injectStoreFault(storeDown), repeatableSucceeds: true},
	{name: "store hangs", inject: injectStoreFault(storeHangs), repeatableSucceeds: true},
	{name: "store slow", inject: injectStoreFault(storeSlow), repeatableSucceeds: true},
	{name: "store answers lost", inject: injectStoreFault(storeLosesAnswer), repeatableSucceeds: true},
	{name: "store applies late", inject: injectStoreFault(storeAppliesLate), repeatableSucceeds: true},
	{name: "data centre out", inject: func(c *cluster, _ *fakeEntry, a *fakeAgent) {
		for _, other := range c.agents {
			if other.dc == agentOrFirst(c, a).dc {
				other.update(func() { other.dataCentreOut = true })
			}
		}
	}, repeatableSucceeds: true},
	{name: "agent leaves", inject: func(c *cluster, _ *fakeEntry, a *fakeAgent) {
		leaving := agentOrFirst(c, a)
		leaving.update(func() { leaving.draining = true })
	}, repeatableSucceeds: true},
	{name: "version changed", inject: func(c *cluster, _ *fakeEntry, a *fakeAgent) {
		changed := agentOrFirst(c, a)
		changed.update(func() { changed.weights = core.DigestOf([]byte("weights two")) })
	}, repeatableSucceeds: true},
}

var steps = []step{stepQueued, stepClaimed, stepDispatched, stepStarted, stepStreaming, stepFinished, stepWritten}

// TestFaultMatrixRequest injects every fault at every step of a request. After
// the fault is over, it repeats the request at another entry.
func TestFaultMatrixRequest(t *testing.T) {
	kinds := []struct {
		name               string
		atMostOnce, stream bool
	}{{"plain", false, false}, {"stream", false, true}, {"at-most-once", true, false}}
	for _, kind := range kinds {
		for _, injectAt := range steps {
			if !kind.atMostOnce && (injectAt == stepClaimed || injectAt == stepWritten) {
				continue
			}
			for _, f := range faults {
				name := strings.Join([]string{kind.name, string(injectAt), f.name}, "/")
				t.Run(name, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { runFaultCase(t, kind.atMostOnce, kind.stream, injectAt, f) })
				})
			}
		}
	}
}

func runFaultCase(t *testing.T, atMostOnce, stream bool, injectAt step, f fault) {
	c := newCluster(t, 4)
	first, second := c.newEntry("entry-a"), c.newEntry("entry-b")
	before := invariant.TotalViolations()
	var fired atomic.Bool
	c.onStep = func(s step, e *fakeEntry, a *fakeAgent) {
		if s == injectAt && e == first && fired.CompareAndSwap(false, true) {
			f.inject(c, e, a)
		}
	}
	request := testRequest("r1", atMostOnce, stream)
	err, answered := c.sendAndCheck(first, request, injectAt == stepQueued, f.delaysEntry)
	if !atMostOnce && f.repeatableSucceeds {
		require.True(t, answered)
		require.NoError(t, err)
	}
	refused := answered && core.ExecutionOf(err) == core.ExecutionNotRun
	ranAtRefusal := c.runCount(request.Body)
	if refused {
		require.Zero(t, ranAtRefusal, "refused as not run: %v", err)
		require.Positive(t, core.RetryAfterOf(err), "%v", err)
	}
	// Wait until everything in flight has ended.
	time.Sleep(30 * time.Second)
	require.True(t, fired.Load(), "the step was not reached")
	if refused {
		require.Zero(t, c.runCount(request.Body), "ran after it was refused: %v", err)
	}
	c.store.setFault(nil)
	c.mu.Lock()
	c.pendingFault, c.dispatchDelay = answerWhole, 0
	c.mu.Unlock()
	time.Sleep(30 * time.Second)
	repeat := testRequest("r1", atMostOnce, stream)
	repeat.ID = "r2"
	repeatErr, _ := c.sendAndCheck(second, repeat, false, false)
	if atMostOnce {
		require.LessOrEqual(t, c.runCount(request.Body), 1)
		if answered && err == nil {
			require.NoError(t, repeatErr, "the result of an answered request must be stored")
		}
		if refused {
			require.NoError(t, repeatErr, "a key refused as not run must be usable again")
		}
	}
	require.Equal(t, before, invariant.TotalViolations())
	t.Logf("first: %v; repeat: %v; ran %d", describeResult(err, answered), describeResult(repeatErr, true), c.runCount(request.Body))
}

func describeResult(err error, answered bool) string {
	if !answered {
		return "entry killed"
	}
	return fmt.Sprintf("%v (%v)", core.CodeOf(err), core.ExecutionOf(err))
}

// sendAndCheck runs a request and checks its answer. answered is false if the
// entry was killed. If queued is true, the request waits in the queue until the
// fault is injected.
func (c *cluster) sendAndCheck(e *fakeEntry, request dispatch.Request, queued, delaysEntry bool) (err error, answered bool) {
	var grants []*fair.Grant
	if queued {
		for range e.queue.Stats().Limit + 16 {
			grant, err := e.queue.Acquire(c.shutdownCtx, fair.Request{Team: "other"})
			require.NoError(c.t, err)
			grants = append(grants, grant)
			if stats := e.queue.Stats(); stats.Running == stats.Limit {
				break
			}
		}
	}
	var s recordingSink
	started := time.Now()
	done := make(chan error, 1)
	go func() { done <- e.Do(c.shutdownCtx, request, &s) }()
	if queued {
		time.Sleep(5 * time.Millisecond)
		c.reachStep(stepQueued, e, nil)
		for _, grant := range grants {
			grant.Release(true)
		}
	}
	select {
	case err := <-done:
		if !delaysEntry {
			require.LessOrEqual(c.t, time.Since(started), requestTimeout+10*time.Millisecond, "answer after the deadline: %v", err)
		}
		c.checkAnswer(request, &s, err)
		return err, true
	case <-e.killedCh():
		return nil, false
	}
}
