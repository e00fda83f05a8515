package notices

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
)

// When more servers named limits at once than fit into a report, some were not reported
// before their turn came among all others.
func TestLimitsThatChangeTogetherAreAllReportedSoon(t *testing.T) {
	const servers = 20 * maxChangedReports
	now, l := time.Unix(1000, 0), NewLimits()
	observe := func(perSecond float64) {
		for i := range servers {
			l.Record(now, Lifetime{Server: core.InstanceID(fmt.Sprintf("s-%03d", i)), Incarnation: 1}, LimitObservation{PerSecond: perSecond, SentAt: now, ReceivedAt: now})
		}
	}
	for _, perSecond := range []float64{3, Unlimited} {
		now = now.Add(time.Second)
		observe(perSecond)
		reported := map[core.InstanceID]bool{}
		for range servers / maxChangedReports {
			now = now.Add(300 * time.Millisecond)
			reports := l.Report(now)
			require.LessOrEqual(t, len(reports), maxChangedReports+reportsInTurns)
			for _, report := range reports {
				require.Equal(t, perSecond == Unlimited, report.HasEnded)
				reported[report.Server] = true
			}
		}
		require.Len(t, reported, servers)
	}
}
