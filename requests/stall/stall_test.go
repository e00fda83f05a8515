package stall

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestServerWithoutEventsIsStalled(t *testing.T) {
	d := NewDetector()
	cancelled := 0
	cancel := func() { cancelled++ }
	first := d.Track(at(0), "s-1", 0, cancel)
	second := d.Track(at(10), "s-1", 0, cancel)
	d.Track(at(10), "s-1", 0, nil)
	first.RecordActivity(at(100))
	require.Empty(t, d.TakeStalled(at(500)))
	second.RecordActivity(at(300))
	require.Empty(t, d.TakeStalled(at(700)), "data on any stream resets the timeout")
	stalled := d.TakeStalled(at(800))
	require.Len(t, stalled, 1)
	require.EqualValues(t, "s-1", stalled[0].Server)
	require.Len(t, stalled[0].Reports, 2, "requests that may run only once are not reported")
	require.Empty(t, d.TakeStalled(at(900)))
}

// A server without data on any stream may still be reading long prompts.
func TestServerBeforeFirstEventIsNotStalled(t *testing.T) {
	d := NewDetector()
	request := d.Track(at(0), "s-1", 0, func() {})
	require.Empty(t, d.TakeStalled(at(5000)))
	request.RecordActivity(at(5000))
	request.Close()
	request.Close()
	request.RecordActivity(at(5001))
	require.Empty(t, d.TakeStalled(at(9000)))
	require.Empty(t, d.servers)
}

// After a pause of this process all servers appear stalled.
func TestResetTimersAfterALocalDelay(t *testing.T) {
	d := NewDetector()
	d.Track(at(0), "s-1", 0, func() {}).RecordActivity(at(10))
	d.ResetTimers(at(3000))
	require.Empty(t, d.TakeStalled(at(3100)))
	require.Len(t, d.TakeStalled(at(3500)), 1)
}

// An engine that reads a batch of long prompts sends nothing until the pass ends. When
// all entries moved its streams elsewhere, the next engine read them all again and
// stalled in turn.
func TestTimeoutFollowsTheServersPace(t *testing.T) {
	d := NewDetector()
	d.Track(at(0), "s-1", 730*time.Millisecond, func() {}).RecordActivity(at(0))
	require.Empty(t, d.TakeStalled(at(700)))
	require.Len(t, d.TakeStalled(at(730)), 1)
}

// A stream that is not read during a handover has no data, whatever its server sends.
func TestServerOfAnUnreadStreamIsNotStalled(t *testing.T) {
	d := NewDetector()
	unread := d.Track(at(0), "s-1", 0, func() {})
	unread.RecordActivity(at(0))
	unread.Suspend()
	unread.Suspend()
	require.Empty(t, d.TakeStalled(at(1000)))
	unread.RecordActivity(at(1000))
	require.Empty(t, d.TakeStalled(at(1400)))
	require.Len(t, d.TakeStalled(at(1450)), 1)
	unread.Suspend()
	unread.Close()
	require.Empty(t, d.servers)
	silent := d.Track(at(2000), "s-1", 0, func() {})
	silent.RecordActivity(at(2000))
	d.Track(at(2000), "s-1", 0, func() {}).Suspend()
	require.Len(t, d.TakeStalled(at(2450)), 1, "other streams still count")
}

func TestFirstDataAfterAStallIsReportedOnce(t *testing.T) {
	d := NewDetector()
	first := d.Track(at(0), "s-1", 0, func() {})
	second := d.Track(at(0), "s-1", 0, func() {})
	require.False(t, first.RecordActivity(at(0)))
	require.Len(t, d.TakeStalled(at(500)), 1)
	require.Len(t, d.TakeStalled(at(1000)), 1)
	require.True(t, second.RecordActivity(at(1100)))
	require.False(t, first.RecordActivity(at(1101)))
}

func TestSilenceIsTheTimeWithoutData(t *testing.T) {
	d := NewDetector()
	require.Zero(t, d.Silence(at(0), "s-1"), "nothing is known of a server without requests")
	first := d.Track(at(0), "s-1", 600*time.Millisecond, nil)
	second := d.Track(at(500), "s-1", 600*time.Millisecond, nil)
	require.Zero(t, d.Silence(at(599), "s-1"))
	require.Equal(t, 600*time.Millisecond, d.Silence(at(600), "s-1"), "it may be reading prompts")
	first.RecordActivity(at(700))
	require.Zero(t, d.Silence(at(1299), "s-1"))
	require.Len(t, d.TakeStalled(at(1300)), 1)
	require.Equal(t, 700*time.Millisecond, d.Silence(at(1400), "s-1"), "a report of the stall is no data")
	d.ResetTimers(at(2000))
	require.Zero(t, d.Silence(at(2100), "s-1"))
	second.RecordActivity(at(3000))
	require.Zero(t, d.Silence(at(3100), "s-1"))
}
