package silence

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestServerWithoutEventsIsSilent(t *testing.T) {
	w := NewWatch()
	cancelled := 0
	cancel := func() { cancelled++ }
	first := w.Open(at(0), "s-1", cancel)
	second := w.Open(at(10), "s-1", cancel)
	w.Open(at(10), "s-1", nil)
	first.Heard(at(100))
	require.Empty(t, w.Take(at(500)))
	second.Heard(at(300))
	require.Empty(t, w.Take(at(700)), "any stream shows that the server lives")
	silent := w.Take(at(800))
	require.Len(t, silent, 1)
	require.EqualValues(t, "s-1", silent[0].Server)
	require.Len(t, silent[0].Cancels, 2, "what may run once only goes on")
	require.Empty(t, w.Take(at(900)))
}

// A server that has not begun to answer may be reading long prompts.
func TestServerThatHasNotAnsweredIsNotSilent(t *testing.T) {
	w := NewWatch()
	line := w.Open(at(0), "s-1", func() {})
	require.Empty(t, w.Take(at(5000)))
	line.Heard(at(5000))
	line.Close()
	line.Close()
	line.Heard(at(5001))
	require.Empty(t, w.Take(at(9000)))
	require.Empty(t, w.servers)
}

// After a freeze of this process all servers seem silent.
func TestOwnDelayMakesNoServerSilent(t *testing.T) {
	w := NewWatch()
	w.Open(at(0), "s-1", func() {}).Heard(at(10))
	w.Resume(at(3000))
	require.Empty(t, w.Take(at(3100)))
	require.Len(t, w.Take(at(3500)), 1)
}
