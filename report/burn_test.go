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

var start = time.Unix(1_700_000_000, 0)

// feed records one request a second from start: bad of every hundred are bad.
func feed(b *BurnTracker, from time.Time, length time.Duration, bad int) time.Time {
	seconds := int(length / time.Second)
	for i := range seconds {
		b.Record(from.Add(time.Duration(i)*time.Second), "draft", "dawn", time.Second, 0.99, time.Millisecond, (i*37)%100 >= bad)
	}
	return from.Add(length)
}

func only(t *testing.T, r Report) Series {
	t.Helper()
	require.Len(t, r.Series, 1)
	return r.Series[0]
}

func TestBurnRateIsBadFractionOverBudget(t *testing.T) {
	b := NewBurnTracker(Config{})
	now := feed(b, start, 6*time.Hour, 2)
	s := only(t, b.Report(now.Add(-time.Second)))
	require.Len(t, s.Windows, 4)
	for _, window := range s.Windows {
		require.InDelta(t, 2, window.BurnRate, 0.4, "window of %d s", window.Seconds)
	}
	require.EqualValues(t, 6*3600, s.Windows[3].Seconds)
	require.InDelta(t, 6*3600, s.Windows[3].Total, 40)
	require.Equal(t, SeverityNone, s.Alert)
}

func TestAlertNeedsBothWindows(t *testing.T) {
	t.Run("a short blip alerts nobody", func(t *testing.T) {
		b := NewBurnTracker(Config{})
		now := feed(b, start, 6*time.Hour, 0)
		now = feed(b, now, 3*time.Minute, 20)
		require.Equal(t, SeverityNone, only(t, b.Report(now)).Alert)
	})
	t.Run("a fast burn pages", func(t *testing.T) {
		b := NewBurnTracker(Config{})
		now := feed(b, start, 5*time.Hour, 0)
		now = feed(b, now, time.Hour, 20)
		require.Equal(t, SeverityPage, only(t, b.Report(now.Add(-time.Second))).Alert)
	})
	t.Run("the page ends soon after the burn", func(t *testing.T) {
		b := NewBurnTracker(Config{})
		now := feed(b, start, time.Hour, 20)
		now = feed(b, now, 10*time.Minute, 0)
		require.NotEqual(t, SeverityPage, only(t, b.Report(now)).Alert)
	})
	t.Run("a slow burn gives a ticket", func(t *testing.T) {
		b := NewBurnTracker(Config{})
		now := feed(b, start, 6*time.Hour, 8)
		require.Equal(t, SeverityTicket, only(t, b.Report(now.Add(-time.Second))).Alert)
	})
}

func TestSlowAnswerIsBad(t *testing.T) {
	b := NewBurnTracker(Config{})
	b.Record(start, "draft", "dawn", time.Second, 0.5, 2*time.Second, true)
	b.Record(start, "draft", "dawn", time.Second, 0.5, time.Second, true)
	b.Record(start, "draft", "dawn", 0, 0.5, time.Hour, true)
	s := only(t, b.Report(start))
	require.EqualValues(t, 3, s.Windows[0].Total)
	require.EqualValues(t, 1, s.Windows[0].Bad)
	require.InDelta(t, 1.0/3/0.5, s.Windows[0].BurnRate, 1e-9)
}

func TestOldBucketsLeaveTheWindow(t *testing.T) {
	b := NewBurnTracker(Config{})
	b.Record(start, "draft", "dawn", 0, 0.99, 0, false)
	s := only(t, b.Report(start.Add(10*time.Minute)))
	require.Zero(t, s.Windows[0].Total)
	require.EqualValues(t, 1, s.Windows[1].Total)
	s = only(t, b.Report(start.Add(7*time.Hour)))
	for _, window := range s.Windows {
		require.Zero(t, window.Total)
	}
	// The ring's cell is taken over by the later slot.
	b.Record(start.Add(time.Duration(b.slots)*b.cfg.Bucket), "draft", "dawn", 0, 0.99, 0, true)
	s = only(t, b.Report(start.Add(time.Duration(b.slots)*b.cfg.Bucket)))
	require.EqualValues(t, 1, s.Windows[3].Total)
	require.Zero(t, s.Windows[3].Bad)
}

func TestSeriesAreBounded(t *testing.T) {
	b := NewBurnTracker(Config{MaxSeries: 3})
	for i := range 100 {
		b.Record(start, "draft", core.Team(fmt.Sprintf("t-%d", i)), 0, 0.99, 0, true)
	}
	report := b.Report(start)
	require.Len(t, report.Series, 4)
	require.Equal(t, OtherTeam, report.Series[3].Team)
	require.EqualValues(t, 97, report.Series[3].Windows[0].Total)
}

func TestMergeAddsEntries(t *testing.T) {
	first, second := NewBurnTracker(Config{}), NewBurnTracker(Config{})
	for range 30 {
		first.Record(start, "draft", "dawn", 0, 0.9, 0, true)
		second.Record(start, "draft", "dawn", 0, 0.9, 0, false)
	}
	second.Record(start, "lot", "dawn", 0, 0.9, 0, true)
	a, b := first.Report(start), second.Report(start.Add(time.Second))
	merged := Merge(nil, a, b)
	require.Len(t, merged.Series, 2)
	require.Equal(t, start.Add(time.Second), merged.At)
	require.EqualValues(t, 60, merged.Series[0].Windows[0].Total)
	require.InDelta(t, 5, merged.Series[0].Windows[0].BurnRate, 1e-9)
	require.EqualValues(t, 30, a.Series[0].Windows[0].Total, "merging leaves its inputs alone")
}

func TestWriters(t *testing.T) {
	b := NewBurnTracker(Config{})
	for range 20 {
		b.Record(start, "draft", "<b>dawn", time.Second, 0.5, 0, false)
	}
	report := b.Report(start)
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
