package proof

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/invariant"
	"currantusher.dev/requests/fair"
)

const (
	phase      = 10 * time.Second
	heartbeat  = 250 * time.Millisecond
	agentLimit = 4
	agentsPer  = 3
	loadShare  = 0.7
)

var threeCentres = []core.DataCentre{"north", "south", "west"}

// phases counts the answers to requests that were sent in each phase.
type phases struct {
	mu      sync.Mutex
	sent    [3]int
	refused [3]int
	codes   map[core.Code]int
}

func (p *phases) record(at int, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent[at]++
	if err == nil {
		return
	}
	p.refused[at]++
	p.codes[core.CodeOf(err)]++
}

// TestDataCentreOutAndBack sends 70 % of the capacity of three data centres,
// takes one out and brings it back. Every request gets a whole answer or a
// true refusal before its deadline, and refusals stay near what the lost
// capacity explains.
func TestDataCentreOutAndBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, agentsPer*len(threeCentres), threeCentres...)
		c.tick = fair.DefaultTick
		for _, a := range c.agents {
			a.limits.ColdRequests, a.limits.WarmRequests = agentLimit, agentLimit
			a.replace()
		}
		go c.heartbeats()
		before := invariant.Total()
		results := &phases{codes: map[core.Code]int{}}
		var wg sync.WaitGroup
		for i, dc := range threeCentres {
			e := c.entryIn(fmt.Sprint("entry-", i), dc)
			wg.Go(func() { c.offer(e, rand.New(rand.NewPCG(uint64(i), 5)), results) })
		}
		for _, out := range []bool{true, false} {
			time.Sleep(phase)
			for _, a := range c.agents {
				if a.dc == "west" {
					a.set(func() { a.out = out })
				}
			}
		}
		wg.Wait()
		require.Equal(t, before, invariant.Total())
		// One of three data centres is out: 2/3 of the capacity for 0.7 of it.
		explained := 1 - 2.0/3/loadShare
		t.Logf("lost capacity explains %.1f %% while out; codes %v", 100*explained, results.codes)
		for i, name := range []string{"before", "out", "back"} {
			rate := float64(results.refused[i]) / float64(results.sent[i])
			t.Logf("%s: %d sent, %d refused (%.1f %%)", name, results.sent[i], results.refused[i], 100*rate)
			if i != 1 {
				require.LessOrEqual(t, rate, 0.02)
				continue
			}
			require.LessOrEqual(t, rate, explained+0.05)
		}
	})
}

// heartbeats reports the agents' loads to the entries with a lag.
func (c *cluster) heartbeats() {
	for c.down.Err() == nil {
		for _, a := range c.agents {
			running := a.running()
			a.set(func() { a.reported, a.reportedAt = running, time.Now() })
		}
		time.Sleep(heartbeat)
	}
}

// offer sends an entry's share of the load for three phases.
func (c *cluster) offer(e *fakeEntry, random *rand.Rand, results *phases) {
	perAgent := agentLimit / (chunks * chunkPeriod).Seconds()
	perSecond := loadShare * perAgent * agentsPer
	var wg sync.WaitGroup
	started := time.Now()
	for i := 0; ; i++ {
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		at := int(time.Since(started) / phase)
		if at > 2 {
			break
		}
		request := requestOf(fmt.Sprint(e.id, "-", i), false, i%2 == 0)
		wg.Go(func() {
			var s sink
			sent := time.Now()
			err := e.Do(c.down, request, &s)
			require.LessOrEqual(c.t, time.Since(sent), requestTime)
			c.check(request, &s, err)
			if err != nil {
				require.Equal(c.t, core.WorkNotRun, core.WorkOf(err), "%v", err)
				require.Positive(c.t, core.RetryAfterOf(err), "%v", err)
			}
			results.record(at, err)
		})
	}
	wg.Wait()
}
