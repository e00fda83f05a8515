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

// answer is what came of one at-most-once request.
type answer struct {
	// started says that the work was started for this request.
	started bool
	// ran says that the caller got the result.
	ran bool
}

// onceModel: the work of a key starts for at most one request, and a result
// comes only after it.
var onceModel = porcupine.Model{
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
		hasRun, got := state.(bool), output.(answer)
		if got.started {
			return !hasRun, true
		}
		return !got.ran || hasRun, hasRun
	},
}

// submission is one request of a history.
type submission struct {
	id, key, body string
	err           error
	called        time.Duration
	returned      time.Duration
}

// operation turns a submission into a step of the history. Work that a request
// left behind may start after its answer.
func (c *cluster) operation(number int, s submission) porcupine.Operation {
	got := answer{started: c.startedFor(s.body) == s.id, ran: s.err == nil}
	returned := s.returned
	if got.started && !got.ran {
		returned = time.Hour
	}
	return porcupine.Operation{ClientId: number, Input: s.key, Output: got, Call: s.called.Nanoseconds(), Return: returned.Nanoseconds()}
}

// TestRandomAtMostOnce sends random at-most-once requests with few keys
// through three entries under random faults, some at once and twice. The
// history must be linearizable, each key runs at most once, and never for a
// request that was refused as not run.
func TestRandomAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		synctest.Test(t, func(t *testing.T) { randomHistory(t, seed) })
	})
}

func randomHistory(t *testing.T, seed uint64) {
	const keys, requests = 4, 24
	random := rand.New(rand.NewPCG(seed, 1))
	c := newCluster(t, 4)
	entries := []*fakeEntry{c.entry("entry-a"), c.entry("entry-b"), c.entry("entry-c")}
	before := invariant.TotalViolations()
	c.store.setFault(randomStoreFaults(rand.New(rand.NewPCG(seed, 3))))
	stop := make(chan struct{})
	go injectFaults(c, entries, rand.New(rand.NewPCG(seed, 2)), stop)

	submissions := make([]submission, requests)
	var wg sync.WaitGroup
	epoch := time.Now()
	for i := range requests {
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
		entry := entries[random.IntN(len(entries))]
		key := fmt.Sprint("k", random.IntN(keys))
		request := requestOf(fmt.Sprint("r", i), true, false)
		request.Key = key
		request.Body = []byte("body of " + key)
		sent := &submissions[i]
		*sent = submission{id: request.ID, key: key, body: string(request.Body), called: time.Since(epoch)}
		wg.Go(func() {
			var s sink
			done := make(chan error, 1)
			go func() { done <- entry.Do(c.down, request, &s) }()
			select {
			case sent.err = <-done:
				c.check(request, &s, sent.err)
			case <-entry.dead():
				sent.err = core.NewFailure(core.CodeIncomplete, core.ExecutionUnknown, "entry died")
			}
			sent.returned = time.Since(epoch)
		})
	}
	wg.Wait()
	close(stop)
	time.Sleep(time.Minute)
	var history []porcupine.Operation
	for i, s := range submissions {
		require.LessOrEqual(t, c.ran([]byte(s.body)), 1, "seed %d: %s", seed, s.key)
		if core.ExecutionOf(s.err) == core.ExecutionNotRun {
			require.NotEqual(t, s.id, c.startedFor(s.body), "seed %d: %v", seed, s.err)
		}
		history = append(history, c.operation(i, s))
	}
	require.True(t, porcupine.CheckOperations(onceModel, history), "seed %d: history is not linearizable: %v", seed, history)
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

// injectFaults brings about faults until stop. At most two entries die.
func injectFaults(c *cluster, entries []*fakeEntry, random *rand.Rand, stop <-chan struct{}) {
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
			kill(c, a)
			a.replace()
		case 1:
			a.resume()
			a.pause()
			time.AfterFunc(time.Duration(random.IntN(4000))*time.Millisecond, a.resume)
		case 2:
			c.cutLinks(ofAgent(a))
		case 3:
			c.mu.Lock()
			c.fault = answerFault(1 + random.IntN(int(answerEndsEarly)))
			c.mu.Unlock()
		case 4:
			c.mu.Lock()
			c.delay = time.Duration(random.IntN(4000)) * time.Millisecond
			c.mu.Unlock()
		case 5:
			a.replace()
		case 6:
			a.set(func() { a.out = !a.out })
		case 7:
			a.set(func() { a.draining = !a.draining })
		case 8:
			if killed < 2 && random.IntN(4) == 0 {
				entries[killed].kill()
				killed++
			}
		}
	}
}

// TestRandomRepeatable sends plain and streamed requests under random faults.
// Every answer is whole or ends with a code before its deadline, streams hold
// only right bytes, and nothing refused as not run was started.
func TestRandomRepeatable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		synctest.Test(t, func(t *testing.T) { randomRepeatable(t, seed) })
	})
}

func randomRepeatable(t *testing.T, seed uint64) {
	const requests = 40
	random := rand.New(rand.NewPCG(seed, 4))
	c := newCluster(t, 4)
	// Entries are not killed: their callers would see a broken connection.
	e := c.entry("entry-a")
	before := invariant.TotalViolations()
	stop := make(chan struct{})
	go injectFaults(c, []*fakeEntry{c.entry("entry-b"), c.entry("entry-c")}, rand.New(rand.NewPCG(seed, 5)), stop)
	var wg sync.WaitGroup
	for i := range requests {
		time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
		request := requestOf(fmt.Sprint("r", i), false, random.IntN(2) == 0)
		wg.Go(func() {
			var s sink
			sent := time.Now()
			err := e.Do(c.down, request, &s)
			require.LessOrEqual(t, time.Since(sent), requestTime+10*time.Millisecond, "seed %d: %v", seed, err)
			c.check(request, &s, err)
			time.Sleep(30 * time.Second)
			if core.ExecutionOf(err) == core.ExecutionNotRun {
				require.Zero(t, c.ran(request.Body), "seed %d: %v", seed, err)
			}
		})
	}
	time.Sleep(10 * time.Second)
	close(stop)
	wg.Wait()
	require.Equal(t, before, invariant.TotalViolations(), "seed %d", seed)
}
