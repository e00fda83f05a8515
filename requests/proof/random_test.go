package proof

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"currantusher.dev/core"
	"currantusher.dev/core/invariant"
)

// requestOutcome is the outcome of one at-most-once request.
type requestOutcome struct {
	// started is set if the work was first started for this request.
	started bool
	// gotResult is set if the caller got the result.
	gotResult bool
}

// atMostOnceModel specifies that the work of a key starts for at most one request
// and that a result is returned only after the start.
var atMostOnceModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[any][]porcupine.Operation{}
		for _, op := range history {
			byKey[op.Input] = append(byKey[op.Input], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return false },
	Step: func(state, _, output any) (bool, any) {
		hasRun, got := state.(bool), output.(requestOutcome)
		if got.started {
			return !hasRun, true
		}
		return !got.gotResult || hasRun, hasRun
	},
}

// submission is one request of a history.
type submission struct {
	id, key, body string
	err           error
	called        time.Duration
	returned      time.Duration
}

// operation converts a submission to an operation of the history. If the request
// was started but failed, the operation stays open, because the work may start
// after the answer.
func (c *cluster) operation(number int, s submission) porcupine.Operation {
	got := requestOutcome{started: c.firstStartedRequest(s.body) == s.id, gotResult: s.err == nil}
	returned := s.returned
	if got.started && !got.gotResult {
		returned = time.Hour
	}
	return porcupine.Operation{ClientId: number, Input: s.key, Output: got, Call: s.called.Nanoseconds(), Return: returned.Nanoseconds()}
}

// TestRandomAtMostOnce sends random at-most-once requests with few keys to three
// entries under random faults; requests with one key may overlap. The history
// must be linearizable. Each key must run at most once, and never for a request
// that was refused as not run.
func TestRandomAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		synctest.Test(t, func(t *testing.T) { runRandomHistory(t, seed) })
	})
}

func runRandomHistory(t *testing.T, seed uint64) {
	const keys, requests = 4, 24
	random := rand.New(rand.NewPCG(seed, 1))
	c := newCluster(t, 4)
	entries := []*fakeEntry{c.newEntry("entry-a"), c.newEntry("entry-b"), c.newEntry("entry-c")}
	before := invariant.TotalViolations()
	c.store.setFault(randomStoreFaults(rand.New(rand.NewPCG(seed, 3))))
	stop := make(chan struct{})
	go injectRandomFaults(c, entries, rand.New(rand.NewPCG(seed, 2)), stop)

	submissions := make([]submission, requests)
	var wg sync.WaitGroup
	epoch := time.Now()
	for i := range requests {
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
		entry := entries[random.IntN(len(entries))]
		key := fmt.Sprint("k", random.IntN(keys))
		request := testRequest(fmt.Sprint("r", i), true, false)
		request.Key = key
		request.Body = []byte("body of " + key)
		sent := &submissions[i]
		*sent = submission{id: request.ID, key: key, body: string(request.Body), called: time.Since(epoch)}
		wg.Go(func() {
			var s recordingSink
			done := make(chan error, 1)
			go func() { done <- entry.Do(c.shutdownCtx, request, &s) }()
			select {
			case sent.err = <-done:
				c.checkAnswer(request, &s, sent.err)
			case <-entry.killedCh():
				sent.err = core.NewFailure(core.CodeIncomplete, core.ExecutionUnknown, "entry killed")
			}
			sent.returned = time.Since(epoch)
		})
	}
	wg.Wait()
	close(stop)
	time.Sleep(time.Minute)
	var history []porcupine.Operation
	for i, s := range submissions {
		require.LessOrEqual(t, c.runCount([]byte(s.body)), 1, "seed %d: %s", seed, s.key)
		if core.ExecutionOf(s.err) == core.ExecutionNotRun {
			require.NotEqual(t, s.id, c.firstStartedRequest(s.body), "seed %d: %v", seed, s.err)
		}
		history = append(history, c.operation(i, s))
	}
	require.True(t, porcupine.CheckOperations(atMostOnceModel, history), "seed %d: history is not linearizable: %v", seed, history)
	require.Equal(t, before, invariant.TotalViolations(), "seed %d", seed)
}

func randomStoreFaults(random *rand.Rand) func(bool) storeFault {
	var mu sync.Mutex
	return func(bool) storeFault {
		mu.Lock()
		defer mu.Unlock()
		if random.IntN(5) > 0 {
			return storeWorks
		}
		return storeFault(random.IntN(int(storeThrottles) + 1))
	}
}

// injectRandomFaults injects random faults until stop is closed. It kills at most
// two entries.
func injectRandomFaults(c *cluster, entries []*fakeEntry, random *rand.Rand, stop <-chan struct{}) {
	killed := 0
	for {
		select {
		case <-stop:
			for _, a := range c.agents {
				a.resume()
			}
			return
		case <-time.After(time.Duration(random.IntN(800)) * time.Millisecond):
		}
		a := c.agents[random.IntN(len(c.agents))]
		switch random.IntN(9) {
		case 0:
			killAgent(c, a)
			a.replaceProcess()
		case 1:
			a.resume()
			a.pause()
			time.AfterFunc(time.Duration(random.IntN(4000))*time.Millisecond, a.resume)
		case 2:
			c.breakCalls(callsOf(a))
		case 3:
			c.mu.Lock()
			c.pendingFault = answerFault(1 + random.IntN(int(answerEndsEarly)))
			c.mu.Unlock()
		case 4:
			c.mu.Lock()
			c.dispatchDelay = time.Duration(random.IntN(4000)) * time.Millisecond
			c.mu.Unlock()
		case 5:
			a.replaceProcess()
		case 6:
			a.update(func() { a.dataCentreOut = !a.dataCentreOut })
		case 7:
			a.update(func() { a.draining = !a.draining })
		case 8:
			if killed < 2 && random.IntN(4) == 0 {
				entries[killed].kill()
				killed++
			}
		}
	}
}

// TestRandomRepeatable sends plain and streamed requests under random faults.
// Each must get a complete answer or an error before its deadline. Streams must
// contain only correct bytes, and a request refused as not run must not have
// been started.
func TestRandomRepeatable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		synctest.Test(t, func(t *testing.T) { runRandomRepeatable(t, seed) })
	})
}

func runRandomRepeatable(t *testing.T, seed uint64) {
	const requests = 40
	random := rand.New(rand.NewPCG(seed, 4))
	c := newCluster(t, 4)
	// This entry is never killed, because its callers would get a broken
	// connection instead of an answer.
	e := c.newEntry("entry-a")
	before := invariant.TotalViolations()
	stop := make(chan struct{})
	go injectRandomFaults(c, []*fakeEntry{c.newEntry("entry-b"), c.newEntry("entry-c")}, rand.New(rand.NewPCG(seed, 5)), stop)
	var wg sync.WaitGroup
	for i := range requests {
		time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
		request := testRequest(fmt.Sprint("r", i), false, random.IntN(2) == 0)
		wg.Go(func() {
			var s recordingSink
			sent := time.Now()
			err := e.Do(c.shutdownCtx, request, &s)
			require.LessOrEqual(t, time.Since(sent), requestTimeout+10*time.Millisecond, "seed %d: %v", seed, err)
			c.checkAnswer(request, &s, err)
			time.Sleep(30 * time.Second)
			if core.ExecutionOf(err) == core.ExecutionNotRun {
				require.Zero(t, c.runCount(request.Body), "seed %d: %v", seed, err)
			}
		})
	}
	time.Sleep(10 * time.Second)
	close(stop)
	wg.Wait()
	require.Equal(t, before, invariant.TotalViolations(), "seed %d", seed)
}
