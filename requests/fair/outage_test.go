package fair

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
)

// servedInOutage plays the load that Outage answers: for 1.2 s all servers
// refuse, one request comes each 10 ms with a deadline of 6 s, and then
// capacity returns. It returns how many get a place.
func servedInOutage(t *testing.T, outage time.Duration) int {
	t.Helper()
	s := newTestState(func(c *Config) { c.OutageWait, c.MaxRetryAfter, c.MaxQueue = outage, time.Second, 200 })
	s.setCapacity(testEpoch, 0)
	served := 0
	count := func(now time.Time) {
		s.fill(now)
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
		_, err := s.offer(now, Request{Team: "a", Deadline: now.Add(6 * time.Second)})
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

func TestRequestsOutwaitAShortOutage(t *testing.T) {
	require.Zero(t, servedInOutage(t, 0), "without the setting they are refused at once")
	require.Equal(t, 120, servedInOutage(t, 1500*time.Millisecond))
}

func TestLongOutageRefuses(t *testing.T) {
	s := newTestState(func(c *Config) { c.OutageWait, c.MaxRetryAfter = time.Second, time.Second })
	s.setCapacity(testEpoch, 0)
	waiting, err := s.offer(testEpoch, Request{Team: "a", Deadline: testEpoch.Add(6 * time.Second)})
	require.NoError(t, err)
	late := testEpoch.Add(time.Second)
	s.setCapacity(late, 0)
	s.sweep(late)
	decisions := s.takeDecisions()
	require.Len(t, decisions, 1)
	require.Same(t, waiting, decisions[0].ticket)
	require.Equal(t, core.CodeNoBackend, core.CodeOf(decisions[0].err))
	_, err = s.offer(late, Request{Team: "a", Deadline: late.Add(6 * time.Second)})
	require.Equal(t, core.CodeNoBackend, core.CodeOf(err))
}

// A request whose deadline is near is refused although the outage may be short.
func TestShortDeadlineDoesNotWaitForAnOutage(t *testing.T) {
	s := newTestState(func(c *Config) { c.OutageWait = 1500 * time.Millisecond; c.MaxRetryAfter = time.Second })
	s.setCapacity(testEpoch, 0)
	_, err := s.offer(testEpoch, Request{Team: "a", Deadline: testEpoch.Add(1500 * time.Millisecond)})
	require.Equal(t, core.CodeDeadlineShort, core.CodeOf(err))
}
