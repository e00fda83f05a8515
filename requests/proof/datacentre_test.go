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
	phaseDuration       = 10 * time.Second
	heartbeatInterval   = 250 * time.Millisecond
	agentLimit          = 4
	agentsPerDataCentre = 3
	// loadFraction and overloadFactor are the load relative to the capacity.
	loadFraction   = 0.7
	overloadFactor = 3

	// maxRefusalTime is the time within which a request should be refused.
	maxRefusalTime = 50 * time.Millisecond
)

var threeDataCentres = []core.DataCentre{"north", "south", "west"}

// phaseResults counts the requests sent and refused in each phase.
type phaseResults struct {
	mu      sync.Mutex
	sent    [3]int
	refused [3]int
	// slowRefusals counts refusals that took longer than maxRefusalTime.
	slowRefusals int
	// timeouts counts requests that may have started but failed.
	timeouts int
	codes    map[core.Code]int
}

func (p *phaseResults) record(phase int, err error, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent[phase]++
	if err == nil {
		return
	}
	p.refused[phase]++
	if core.ExecutionOf(err) != core.ExecutionNotRun {
		p.timeouts++
		return
	}
	if took > maxRefusalTime {
		p.slowRefusals++
	}
	p.codes[core.CodeOf(err)]++
}

// TestDataCentreOutAndBack sends a load of 70 % of the capacity of three data
// centres, takes one out of service and brings it back. Every request must get a
// complete answer or a correct refusal before its deadline. The share of refused
// requests must stay near the share that exceeds the remaining capacity.
func TestDataCentreOutAndBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, agentsPerDataCentre*len(threeDataCentres), threeDataCentres...)
		c.queueTick = fair.DefaultUpdatePeriod
		for _, a := range c.agents {
			a.limits.ColdRequests, a.limits.WarmRequests = agentLimit, agentLimit
			a.replaceProcess()
		}
		go c.sendHeartbeats()
		before := invariant.TotalViolations()
		results := &phaseResults{codes: map[core.Code]int{}}
		var wg sync.WaitGroup
		for i, dc := range threeDataCentres {
			e := c.newEntryIn(fmt.Sprint("entry-", i), dc)
			wg.Go(func() { c.sendLoad(e, rand.New(rand.NewPCG(uint64(i), 5)), loadFraction, 3, results) })
		}
		for _, out := range []bool{true, false} {
			time.Sleep(phaseDuration)
			for _, a := range c.agents {
				if a.dc == "west" {
					a.update(func() { a.dataCentreOut = out })
				}
			}
		}
		wg.Wait()
		require.Equal(t, before, invariant.TotalViolations())
		// One of three data centres is out: 2/3 of the capacity is left.
		remainingCapacity := 2.0 / 3 * capacityPerSecond(len(threeDataCentres)) * phaseDuration.Seconds()
		expectedRefusalRate := 1 - remainingCapacity/float64(results.sent[1])
		t.Logf("expected refusals while out: %.1f %%; codes %v", 100*expectedRefusalRate, results.codes)
		require.LessOrEqual(t, results.timeouts, results.sent[1]/1000)
		for i, name := range []string{"before", "out", "back"} {
			rate := float64(results.refused[i]) / float64(results.sent[i])
			t.Logf("%s: %d sent, %d refused (%.1f %%)", name, results.sent[i], results.refused[i], 100*rate)
			if i != 1 {
				require.LessOrEqual(t, rate, 0.02)
				continue
			}
			require.LessOrEqual(t, rate, expectedRefusalRate+0.05)
		}
	})
}

// capacityPerSecond returns the number of requests per second that the agents of
// the given number of data centres can answer, ignoring network latency.
func capacityPerSecond(centres int) float64 {
	return agentLimit / (answerChunks * chunkInterval).Seconds() * agentsPerDataCentre * float64(centres)
}

// sendHeartbeats periodically publishes the load of the agents to the entries.
func (c *cluster) sendHeartbeats() {
	for c.shutdownCtx.Err() == nil {
		for _, a := range c.agents {
			running := a.running()
			a.update(func() { a.reportedRunning, a.reportedAt = running, time.Now() })
		}
		time.Sleep(heartbeatInterval)
	}
}

// TestOverload sends a load of three times the capacity. The throughput must
// stay near the capacity, and most refusals must be fast.
func TestOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, agentsPerDataCentre*len(threeDataCentres), threeDataCentres...)
		c.queueTick = fair.DefaultUpdatePeriod
		for _, a := range c.agents {
			a.limits.ColdRequests, a.limits.WarmRequests = agentLimit, agentLimit
			a.replaceProcess()
		}
		go c.sendHeartbeats()
		before := invariant.TotalViolations()
		results := &phaseResults{codes: map[core.Code]int{}}
		var wg sync.WaitGroup
		for i, dc := range threeDataCentres {
			e := c.newEntryIn(fmt.Sprint("entry-", i), dc)
			wg.Go(func() { c.sendLoad(e, rand.New(rand.NewPCG(uint64(i), 5)), overloadFactor, 2, results) })
		}
		wg.Wait()
		require.Equal(t, before, invariant.TotalViolations())
		sent, refused := results.sent[0]+results.sent[1], results.refused[0]+results.refused[1]
		goodput := float64(sent-refused) / (capacityPerSecond(len(threeDataCentres)) * 2 * phaseDuration.Seconds())
		t.Logf("%d sent, %d refused, %d of them later than %v; goodput %.3f of capacity; codes %v",
			sent, refused, results.slowRefusals, maxRefusalTime, goodput, results.codes)
		require.GreaterOrEqual(t, goodput, 0.95)
		require.LessOrEqual(t, results.slowRefusals, refused/20)
		require.LessOrEqual(t, results.timeouts, sent/1000)
	})
}

// sendLoad sends requests to an entry for phaseCount phases, at loadFactor times
// the capacity of one data centre, with exponential pauses.
func (c *cluster) sendLoad(e *fakeEntry, random *rand.Rand, loadFactor float64, phaseCount int, results *phaseResults) {
	perSecond := loadFactor * capacityPerSecond(1)
	var wg sync.WaitGroup
	started := time.Now()
	for i := 0; ; i++ {
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		phase := int(time.Since(started) / phaseDuration)
		if phase >= phaseCount {
			break
		}
		request := testRequest(fmt.Sprint(e.id, "-", i), false, i%2 == 0)
		wg.Go(func() {
			var s recordingSink
			sent := time.Now()
			err := e.Do(c.shutdownCtx, request, &s)
			require.LessOrEqual(c.t, time.Since(sent), requestTimeout)
			c.checkAnswer(request, &s, err)
			switch {
			case err == nil:
			case core.ExecutionOf(err) != core.ExecutionNotRun:
				require.Contains(c.t, []core.Code{core.CodeTimeout, core.CodeStreamBroken}, core.CodeOf(err), "%v", err)
			default:
				require.Positive(c.t, core.RetryAfterOf(err), "%v", err)
			}
			results.record(phase, err, time.Since(sent))
		})
	}
	wg.Wait()
}
