package fair

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
)

func newClosedState(opensIn time.Duration, slots int) *state {
	s := newTestState(func(c *Config) {
		c.OutageWait, c.MaxRetryAfter, c.MaxWaitFraction, c.ExpectedRunTime = 1500*time.Millisecond, time.Second, callerWaitFraction, 200*time.Millisecond
	})
	s.setCapacity(testEpoch, 0)
	s.closure = &Closure{OpensAt: testEpoch.Add(opensIn), Slots: slots, Detail: "all paused"}
	return s
}

func requireClosed(t *testing.T, err error) time.Duration {
	t.Helper()
	require.Equal(t, core.CodeServerClosed, core.CodeOf(err))
	require.Equal(t, core.ExecutionNotRun, core.ExecutionOf(err))
	return core.RetryAfterOf(err)
}

// Callers waited for OutageWait although no server could serve them.
func TestClosureRefusesArrivingAndWaitingRequestsAtOnce(t *testing.T) {
	s := newClosedState(2*time.Second, 4)
	s.closure = nil
	waiting, err := s.enqueue(testEpoch, Request{Team: "a", Deadline: testEpoch.Add(20 * time.Second)})
	require.NoError(t, err, "without a closure requests wait")
	s.closure = &Closure{OpensAt: testEpoch.Add(2 * time.Second), Slots: 4}
	s.sweep(testEpoch)
	decisions := s.takeDecisions()
	require.Len(t, decisions, 1)
	require.Equal(t, waiting, decisions[0].ticket)
	require.Equal(t, 2*time.Second, requireClosed(t, decisions[0].err))
	_, err = s.enqueue(testEpoch, Request{Team: "a", Deadline: testEpoch.Add(20 * time.Second)})
	requireClosed(t, err)
	s.closure = nil
	s.setCapacity(testEpoch.Add(2*time.Second), 4)
	_, err = s.enqueue(testEpoch.Add(2*time.Second), Request{Team: "a", Deadline: testEpoch.Add(20 * time.Second)})
	require.NoError(t, err)
}

// The callers that were refused during a pause must not return together.
func TestReturnsAfterAClosureFitTheCapacity(t *testing.T) {
	const slots, callers = 4, 60
	s := newClosedState(2*time.Second, slots)
	returns := map[time.Duration]int{}
	for i := range callers {
		now := testEpoch.Add(time.Duration(i) * time.Millisecond)
		_, err := s.enqueue(now, Request{Team: "a", Deadline: now.Add(20 * time.Second)})
		delay := requireClosed(t, err)
		returnAt := now.Add(delay).Sub(testEpoch)
		require.GreaterOrEqual(t, returnAt, 2*time.Second)
		require.LessOrEqual(t, delay, 20*time.Second/3)
		returns[returnAt/(200*time.Millisecond)]++
	}
	for interval, count := range returns {
		require.LessOrEqual(t, count, slots, "callers return within one run time, from %v on", interval*200*time.Millisecond)
	}
}

func TestReturnsOfManyCallersSpreadOverTheirWait(t *testing.T) {
	s := newClosedState(2*time.Second, 1)
	longest := 20 * time.Second / 3
	inSecond := map[time.Duration]int{}
	for range 1000 {
		_, err := s.enqueue(testEpoch, Request{Team: "a", Deadline: testEpoch.Add(20 * time.Second)})
		delay := requireClosed(t, err)
		require.GreaterOrEqual(t, delay, 2*time.Second)
		require.LessOrEqual(t, delay, longest)
		inSecond[delay/time.Second]++
	}
	for second := time.Duration(2); second < 6; second++ {
		require.InDelta(t, 1000/(longest-2*time.Second).Seconds(), inSecond[second], 70)
	}
}

// A caller that cannot wait for the opening gets its time and takes no turn from
// those that can.
func TestCallerThatCannotWaitTakesNoTurn(t *testing.T) {
	s := newClosedState(2*time.Second, 1)
	for range 5 {
		_, err := s.enqueue(testEpoch, Request{Team: "a", Deadline: testEpoch.Add(3 * time.Second)})
		require.Equal(t, 2*time.Second, requireClosed(t, err))
	}
	_, err := s.enqueue(testEpoch, Request{Team: "a", Deadline: testEpoch.Add(20 * time.Second)})
	require.Equal(t, 2*time.Second, requireClosed(t, err))
	_, err = s.enqueue(testEpoch, Request{Team: "a", Deadline: testEpoch.Add(20 * time.Second)})
	require.Equal(t, 2400*time.Millisecond, requireClosed(t, err))
}

func TestClosureWithoutAnOpeningNamesTheUsualDelay(t *testing.T) {
	s := newClosedState(0, 1)
	s.closure.OpensAt = time.Time{}
	_, err := s.enqueue(testEpoch, Request{Team: "a", Deadline: testEpoch.Add(20 * time.Second)})
	require.Equal(t, time.Second, requireClosed(t, err))
}

// Callers that returned at the end of a closure were refused, because the time of the
// closure counted as an outage while the first servers were still busy.
func TestRequestsWaitForASlotAfterAClosure(t *testing.T) {
	s := newClosedState(2*time.Second, 1)
	reopened := testEpoch.Add(2 * time.Second)
	s.setCapacity(reopened, 0)
	s.setClosure(reopened, nil)
	_, err := s.enqueue(reopened, Request{Team: "a", Deadline: reopened.Add(20 * time.Second)})
	require.NoError(t, err)
	s.setCapacity(reopened.Add(time.Second), 1)
	s.grantSlots(reopened.Add(time.Second))
	require.Len(t, s.takeDecisions(), 1)
}

// Callers that returned at the time that they had been told were refused once more,
// because the queue had read the closure less than an update period before.
func TestQueueNoticesTheEndOfAClosureAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		opensAt := time.Now().Add(time.Second)
		isClosed := func() bool { return time.Now().Before(opensAt) }
		queue := New(Config{
			UpdatePeriod: 50 * time.Millisecond, OutageWait: 100 * time.Millisecond,
			Capacity: func() int {
				if isClosed() {
					return 0
				}
				return 1
			},
			Closure: func() *Closure {
				if isClosed() {
					return &Closure{OpensAt: opensAt, Slots: 1}
				}
				return nil
			},
		})
		request := Request{Team: "a", Deadline: time.Now().Add(time.Minute)}
		for _, before := range []time.Duration{time.Second, time.Millisecond} {
			time.Sleep(time.Until(opensAt.Add(-before)))
			_, err := queue.Acquire(t.Context(), request)
			requireClosed(t, err)
		}
		time.Sleep(time.Until(opensAt))
		grant, err := queue.Acquire(t.Context(), request)
		require.NoError(t, err)
		grant.Release(true)
	})
}

// pauseAllServers plays callers while all servers are paused for some time and then
// take up requests gradually. The queue knows the end of the pause if isAnnounced.
func pauseAllServers(t *testing.T, pause time.Duration, isAnnounced bool) (result *loadTest) {
	const start, ramp, slots = 4 * time.Second, time.Second, 130
	end := start + pause
	synctest.Test(t, func(t *testing.T) {
		result = &loadTest{runTime: time.Second, budget: 6 * time.Second, aim: 200 * time.Millisecond, arrivalsPerSecond: 100, length: 15 * time.Second}
		result.capacity = func(at time.Duration) int {
			if at < start || at > end+ramp {
				return slots
			}
			return int(slots * max(at-end, 0) / ramp)
		}
		if isAnnounced {
			result.closure = func(startedAt time.Time) *Closure {
				if at := time.Since(startedAt); at < start || at >= end {
					return nil
				}
				return &Closure{OpensAt: startedAt.Add(end), Slots: slots}
			}
		}
		result.run(t.Context())
		t.Logf("pause of %v, announced %v: %d on time, %d late, %d refused twice", pause, isAnnounced, result.onTime, result.late, result.refused)
	})
	return result
}

// Refusing at once must cost few callers that would have been served after a wait.
func TestRefusalsInAnAnnouncedPauseCostFewCallers(t *testing.T) {
	const callers = 1466
	for _, pause := range []time.Duration{300 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second} {
		announced, unannounced := pauseAllServers(t, pause, true), pauseAllServers(t, pause, false)
		require.LessOrEqual(t, announced.refused, unannounced.refused+callers/100, "pause of %v", pause)
	}
}
