package stall

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestServerWithoutEventsIsSilent(t *testing.T) {
	w := NewDetector()
	cancelled := 0
	cancel := func() { cancelled++ }
	first := w.Track(at(0), "s-1", cancel)
	second := w.Track(at(10), "s-1", cancel)
	w.Track(at(10), "s-1", nil)
	first.RecordActivity(at(100))
	require.Empty(t, w.TakeStalled(at(500)))
	second.RecordActivity(at(300))
	require.Empty(t, w.TakeStalled(at(700)), "any stream shows that the server lives")
	silent := w.TakeStalled(at(800))
	require.Len(t, silent, 1)
	require.EqualValues(t, "s-1", silent[0].Server)
	require.Len(t, silent[0].Cancels, 2, "what may run once only goes on")
	require.Empty(t, w.TakeStalled(at(900)))
}

// A server that has not begun to answer may be reading long prompts.
func TestServerThatHasNotAnsweredIsNotSilent(t *testing.T) {
	w := NewDetector()
	line := w.Track(at(0), "s-1", func() {})
	require.Empty(t, w.TakeStalled(at(5000)))
	line.RecordActivity(at(5000))
	line.Close()
	line.Close()
	line.RecordActivity(at(5001))
	require.Empty(t, w.TakeStalled(at(9000)))
	require.Empty(t, w.servers)
}

// After a freeze of this process all servers seem silent.
func TestOwnDelayMakesNoServerSilent(t *testing.T) {
	w := NewDetector()
	w.Track(at(0), "s-1", func() {}).RecordActivity(at(10))
	w.ResetTimers(at(3000))
	require.Empty(t, w.TakeStalled(at(3100)))
	require.Len(t, w.TakeStalled(at(3500)), 1)
}
