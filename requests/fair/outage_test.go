package fair

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
)

// countServedAfterOutage simulates an outage with a given OutageWait: there is no
// capacity for 1.2 s, one request with a deadline of 6 s arrives every 10 ms, and
// then the capacity returns. It returns how many requests get a slot.
func countServedAfterOutage(t *testing.T, outage time.Duration) int {
	t.Helper()
	s := newTestState(func(c *Config) { c.OutageWait, c.MaxRetryAfter, c.MaxQueue = outage, time.Second, 200 })
	s.setCapacity(testEpoch, 0)
	served := 0
	count := func(now time.Time) {
		s.grantSlots(now)
		for _, d := range s.takeDecisions() {
			if d.err == nil {
				served++
				s.release(now, d.ticket, true)
			}
		}
	}
	for step := range 120 {
		now := testEpoch.Add(time.Duration(step) * 10 * time.Millisecond)
		s.setCapacity(now, 0)
		s.sweep(now)
		_, err := s.enqueue(now, Request{Team: "a", Deadline: now.Add(6 * time.Second)})
		if err != nil {
			require.Equal(t, core.CodeNoBackend, core.CodeOf(err))
			require.Equal(t, core.ExecutionNotRun, core.ExecutionOf(err))
		}
		count(now)
	}
	back := testEpoch.Add(1200 * time.Millisecond)
	for step := range 200 {
		now := back.Add(time.Duration(step) * 10 * time.Millisecond)
		s.setCapacity(now, 20)
		s.sweep(now)
		count(now)
	}
	return served
}

func TestRequestsWaitThroughAShortOutage(t *testing.T) {
	require.Zero(t, countServedAfterOutage(t, 0), "without OutageWait requests are refused immediately")
	require.Equal(t, 120, countServedAfterOutage(t, 1500*time.Millisecond))
}

func TestLongOutageRefusesWaitingRequests(t *testing.T) {
	s := newTestState(func(c *Config) { c.OutageWait, c.MaxRetryAfter = time.Second, time.Second })
	s.setCapacity(testEpoch, 0)
	waiting, err := s.enqueue(testEpoch, Request{Team: "a", Deadline: testEpoch.Add(6 * time.Second)})
	require.NoError(t, err)
	late := testEpoch.Add(time.Second)
	s.setCapacity(late, 0)
	s.sweep(late)
	decisions := s.takeDecisions()
	require.Len(t, decisions, 1)
	require.Same(t, waiting, decisions[0].ticket)
	require.Equal(t, core.CodeNoBackend, core.CodeOf(decisions[0].err))
	_, err = s.enqueue(late, Request{Team: "a", Deadline: late.Add(6 * time.Second)})
	require.Equal(t, core.CodeNoBackend, core.CodeOf(err))
}

// A request with a short deadline is refused even if the outage may end before
// it.
func TestShortDeadlineIsRefusedDuringAnOutage(t *testing.T) {
	s := newTestState(func(c *Config) { c.OutageWait = 1500 * time.Millisecond; c.MaxRetryAfter = time.Second })
	s.setCapacity(testEpoch, 0)
	_, err := s.enqueue(testEpoch, Request{Team: "a", Deadline: testEpoch.Add(1500 * time.Millisecond)})
	require.Equal(t, core.CodeDeadlineShort, core.CodeOf(err))
}
