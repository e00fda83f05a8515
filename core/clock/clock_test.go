package clock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestAgesIncludeTheTimeOfASuspension(t *testing.T) {
	boot := time.Hour
	c := newClock(time.Now(), func() time.Duration { return boot })
	before := c.Now()
	boot += 4 * time.Second
	require.Equal(t, 4*time.Second, c.Since(before))
}

func TestClockAdvancesWithTheSteadyClock(t *testing.T) {
	c := New()
	steadyStart, start := time.Now(), c.Now()
	time.Sleep(20 * time.Millisecond)
	elapsed := c.Since(start)
	require.GreaterOrEqual(t, elapsed, 20*time.Millisecond)
	require.LessOrEqual(t, elapsed, time.Since(steadyStart)+time.Millisecond, "nothing was suspended")
}
