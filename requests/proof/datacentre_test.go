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
	overload   = 3

	refuseWithin = 50 * time.Millisecond
)

var threeCentres = []core.DataCentre{"north", "south", "west"}

// phases counts the answers to requests that were sent in each phase.
type phases struct {
	mu      sync.Mutex
	sent    [3]int
	refused [3]int
	// slow counts refusals that came later than refuseWithin.
	slow int
	// timeouts counts requests that started and did not end in time.
	timeouts int
	codes    map[core.Code]int
}

func (p *phases) record(at int, err error, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent[at]++
	if err == nil {
		return
	}
	p.refused[at]++
	if core.ExecutionOf(err) != core.ExecutionNotRun {
		p.timeouts++
		return
	}
	if took > refuseWithin {
		p.slow++
	}
	p.codes[core.CodeOf(err)]++
}

// TestDataCentreOutAndBack sends 70 % of the capacity of three data centres,
// takes one out and brings it back. Every request gets a whole answer or a
// true refusal before its deadline, and refusals stay near what the lost
// capacity explains.
func TestDataCentreOutAndBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, agentsPer*len(threeCentres), threeCentres...)
		c.tick = fair.DefaultUpdatePeriod
		for _, a := range c.agents {
			a.limits.ColdRequests, a.limits.WarmRequests = agentLimit, agentLimit
			a.replace()
		}
		go c.heartbeats()
		before := invariant.TotalViolations()
		results := &phases{codes: map[core.Code]int{}}
		var wg sync.WaitGroup
		for i, dc := range threeCentres {
			e := c.entryIn(fmt.Sprint("entry-", i), dc)
			wg.Go(func() { c.offer(e, rand.New(rand.NewPCG(uint64(i), 5)), loadShare, 3, results) })
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
		require.Equal(t, before, invariant.TotalViolations())
		// One of three data centres is out: 2/3 of the capacity is left.
		left := 2.0 / 3 * capacityOf(len(threeCentres)) * phase.Seconds()
		explained := 1 - left/float64(results.sent[1])
		t.Logf("lost capacity explains %.1f %% while out; codes %v", 100*explained, results.codes)
		require.LessOrEqual(t, results.timeouts, results.sent[1]/1000)
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

// capacityOf is how many requests a second the agents of some data centres
// bear, without the time on the network.
func capacityOf(centres int) float64 {
	return agentLimit / (chunks * chunkPeriod).Seconds() * agentsPer * float64(centres)
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

// TestOverload sends three times the capacity to the same cluster.
func TestOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, agentsPer*len(threeCentres), threeCentres...)
		c.tick = fair.DefaultUpdatePeriod
		for _, a := range c.agents {
			a.limits.ColdRequests, a.limits.WarmRequests = agentLimit, agentLimit
			a.replace()
		}
		go c.heartbeats()
		before := invariant.TotalViolations()
		results := &phases{codes: map[core.Code]int{}}
		var wg sync.WaitGroup
		for i, dc := range threeCentres {
			e := c.entryIn(fmt.Sprint("entry-", i), dc)
			wg.Go(func() { c.offer(e, rand.New(rand.NewPCG(uint64(i), 5)), overload, 2, results) })
		}
		wg.Wait()
		require.Equal(t, before, invariant.TotalViolations())
		sent, refused := results.sent[0]+results.sent[1], results.refused[0]+results.refused[1]
		goodput := float64(sent-refused) / (capacityOf(len(threeCentres)) * 2 * phase.Seconds())
		t.Logf("%d sent, %d refused, %d of them later than %v; goodput %.3f of capacity; codes %v",
			sent, refused, results.slow, refuseWithin, goodput, results.codes)
		require.GreaterOrEqual(t, goodput, 0.95)
		require.LessOrEqual(t, results.slow, refused/20)
		require.LessOrEqual(t, results.timeouts, sent/1000)
	})
}

// offer sends an entry's share of the load for some phases.
func (c *cluster) offer(e *fakeEntry, random *rand.Rand, share float64, until int, results *phases) {
	perSecond := share * capacityOf(1)
	var wg sync.WaitGroup
	started := time.Now()
	for i := 0; ; i++ {
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		at := int(time.Since(started) / phase)
		if at >= until {
			break
		}
		request := requestOf(fmt.Sprint(e.id, "-", i), false, i%2 == 0)
		wg.Go(func() {
			var s sink
			sent := time.Now()
			err := e.Do(c.down, request, &s)
			require.LessOrEqual(c.t, time.Since(sent), requestTime)
			c.check(request, &s, err)
			switch {
			case err == nil:
			case core.ExecutionOf(err) != core.ExecutionNotRun:
				require.Contains(c.t, []core.Code{core.CodeTimeout, core.CodeStreamBroken}, core.CodeOf(err), "%v", err)
			default:
				require.Positive(c.t, core.RetryAfterOf(err), "%v", err)
			}
			results.record(at, err, time.Since(sent))
		})
	}
	wg.Wait()
}
