package notices

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/fleet"
)

// Guards against a report that counts as later than all answers, for ever.
func TestReportsWithOddNumbersAreIgnored(t *testing.T) {
	now := millis(0)
	for _, report := range []fleet.RateLimit{
		{PerSecond: 1, SentAge: math.MaxInt64}, {PerSecond: 1, SentAge: math.MaxInt64, ReceivedAge: math.MaxInt64},
		{PerSecond: 1, SentAge: math.MinInt64, ReceivedAge: math.MinInt64}, {PerSecond: 1, SentAge: -1, ReceivedAge: -1},
		{PerSecond: 1, SentAge: time.Second, ReceivedAge: 2 * time.Second},
		{PerSecond: math.NaN()}, {PerSecond: -1}, {PerSecond: math.Inf(-1)},
	} {
		_, ok := ReportedObservation(now, "e-2", report)
		require.False(t, ok, "%+v", report)
	}
	o, ok := ReportedObservation(now, "e-2", fleet.RateLimit{PerSecond: 1, SentAge: 24 * time.Hour, ReceivedAge: time.Hour})
	require.True(t, ok)
	require.True(t, o.SentAt.Before(o.ReceivedAt))
}
