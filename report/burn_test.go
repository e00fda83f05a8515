package report

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
)

var startTime = time.Unix(1_700_000_000, 0)

// recordRequests records one request per second, of which badPercent percent are
// bad, and returns the end of the period.
func recordRequests(b *BurnTracker, from time.Time, length time.Duration, badPercent int) time.Time {
	seconds := int(length / time.Second)
	for i := range seconds {
		b.Record(from.Add(time.Duration(i)*time.Second), "draft", "dawn", time.Second, 0.99, time.Millisecond, (i*37)%100 >= badPercent)
	}
	return from.Add(length)
}

func singleSeries(t *testing.T, r Report) Series {
	t.Helper()
	require.Len(t, r.Series, 1)
	return r.Series[0]
}

func TestBurnRateIsBadFractionOverBudget(t *testing.T) {
	b := NewBurnTracker(Config{})
	now := recordRequests(b, startTime, 6*time.Hour, 2)
	s := singleSeries(t, b.Report(now.Add(-time.Second)))
	require.Len(t, s.Windows, 4)
	for _, window := range s.Windows {
		require.InDelta(t, 2, window.BurnRate, 0.4, "window of %d s", window.Seconds)
	}
	require.EqualValues(t, 6*3600, s.Windows[3].Seconds)
	require.InDelta(t, 6*3600, s.Windows[3].Total, 40)
	require.Equal(t, SeverityNone, s.Alert)
}

func TestAlertNeedsBothWindows(t *testing.T) {
	t.Run("short spike raises no alert", func(t *testing.T) {
		b := NewBurnTracker(Config{})
		now := recordRequests(b, startTime, 6*time.Hour, 0)
		now = recordRequests(b, now, 3*time.Minute, 20)
		require.Equal(t, SeverityNone, singleSeries(t, b.Report(now)).Alert)
	})
	t.Run("high burn rate pages", func(t *testing.T) {
		b := NewBurnTracker(Config{})
		now := recordRequests(b, startTime, 5*time.Hour, 0)
		now = recordRequests(b, now, time.Hour, 20)
		require.Equal(t, SeverityPage, singleSeries(t, b.Report(now.Add(-time.Second))).Alert)
	})
	t.Run("page ends soon after the errors", func(t *testing.T) {
		b := NewBurnTracker(Config{})
		now := recordRequests(b, startTime, time.Hour, 20)
		now = recordRequests(b, now, 10*time.Minute, 0)
		require.NotEqual(t, SeverityPage, singleSeries(t, b.Report(now)).Alert)
	})
	t.Run("moderate burn rate raises a ticket", func(t *testing.T) {
		b := NewBurnTracker(Config{})
		now := recordRequests(b, startTime, 6*time.Hour, 8)
		require.Equal(t, SeverityTicket, singleSeries(t, b.Report(now.Add(-time.Second))).Alert)
	})
}

func TestRequestOverObjectiveIsBad(t *testing.T) {
	b := NewBurnTracker(Config{})
	b.Record(startTime, "draft", "dawn", time.Second, 0.5, 2*time.Second, true)
	b.Record(startTime, "draft", "dawn", time.Second, 0.5, time.Second, true)
	b.Record(startTime, "draft", "dawn", 0, 0.5, time.Hour, true)
	s := singleSeries(t, b.Report(startTime))
	require.EqualValues(t, 3, s.Windows[0].Total)
	require.EqualValues(t, 1, s.Windows[0].Bad)
	require.InDelta(t, 1.0/3/0.5, s.Windows[0].BurnRate, 1e-9)
}

func TestOldBucketsLeaveTheWindow(t *testing.T) {
	b := NewBurnTracker(Config{})
	b.Record(startTime, "draft", "dawn", 0, 0.99, 0, false)
	s := singleSeries(t, b.Report(startTime.Add(10*time.Minute)))
	require.Zero(t, s.Windows[0].Total)
	require.EqualValues(t, 1, s.Windows[1].Total)
	s = singleSeries(t, b.Report(startTime.Add(7*time.Hour)))
	for _, window := range s.Windows {
		require.Zero(t, window.Total)
	}
	// A request one ring length later reuses the same bucket.
	b.Record(startTime.Add(time.Duration(b.bucketCount)*b.cfg.BucketDuration), "draft", "dawn", 0, 0.99, 0, true)
	s = singleSeries(t, b.Report(startTime.Add(time.Duration(b.bucketCount)*b.cfg.BucketDuration)))
	require.EqualValues(t, 1, s.Windows[3].Total)
	require.Zero(t, s.Windows[3].Bad)
}

func TestSeriesAreBounded(t *testing.T) {
	b := NewBurnTracker(Config{MaxSeries: 3})
	for i := range 100 {
		b.Record(startTime, "draft", core.Team(fmt.Sprintf("t-%d", i)), 0, 0.99, 0, true)
	}
	report := b.Report(startTime)
	require.Len(t, report.Series, 4)
	require.Equal(t, OtherTeam, report.Series[3].Team)
	require.EqualValues(t, 97, report.Series[3].Windows[0].Total)
}

func TestMergeAddsEntries(t *testing.T) {
	first, second := NewBurnTracker(Config{}), NewBurnTracker(Config{})
	for range 30 {
		first.Record(startTime, "draft", "dawn", 0, 0.9, 0, true)
		second.Record(startTime, "draft", "dawn", 0, 0.9, 0, false)
	}
	second.Record(startTime, "lot", "dawn", 0, 0.9, 0, true)
	a, b := first.Report(startTime), second.Report(startTime.Add(time.Second))
	merged := Merge(nil, a, b)
	require.Len(t, merged.Series, 2)
	require.Equal(t, startTime.Add(time.Second), merged.At)
	require.EqualValues(t, 60, merged.Series[0].Windows[0].Total)
	require.InDelta(t, 5, merged.Series[0].Windows[0].BurnRate, 1e-9)
	require.EqualValues(t, 30, a.Series[0].Windows[0].Total, "Merge must not change its arguments")
}

func TestWriteTextJSONAndHTML(t *testing.T) {
	b := NewBurnTracker(Config{})
	for range 20 {
		b.Record(startTime, "draft", "<b>dawn", time.Second, 0.5, 0, false)
	}
	report := b.Report(startTime)
	var text, json, html bytes.Buffer
	require.NoError(t, report.WriteText(&text))
	require.NoError(t, report.WriteJSON(&json))
	require.NoError(t, report.WriteHTML(&html))
	require.Contains(t, text.String(), "50% in 1000 ms")
	require.Contains(t, text.String(), "2.00")
	require.Contains(t, json.String(), `"burn_rate":2}`)
	require.Contains(t, html.String(), "<svg")
	require.NotContains(t, html.String(), "<b>dawn")
	require.Equal(t, 4, strings.Count(html.String(), "<rect"))
}
