package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/requests/notices"
)

// Answers for another model, or with nothing but a cold time, kept a wrong version in force.
func TestVersionInAnAnswerCountsNoLongerThanItsTime(t *testing.T) {
	o, now := newServerObservations(), time.Now()
	server := notices.Lifetime{Server: "s-1", Incarnation: 1}
	o.record(now, server, "m", 2, 0)
	for range 4 {
		now = now.Add(observationTTL / 2)
		o.record(now, server, "other", 1, 0)
		o.record(now, server, "m", 0, time.Hour)
		o.sweep(now)
	}
	require.Zero(t, o.version(now, server, "m"))
	require.EqualValues(t, 1, o.version(now, server, "other"))
	require.Equal(t, now.Add(time.Hour), o.coldUntil("s-1"))
}
