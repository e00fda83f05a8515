package pauses

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/fleet"
)

const addr = "10.0.0.1:8000"

func TestPauseIsKnownUntilItIsOver(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewSet()
	require.True(t, b.PauseStart(now, addr, 1).IsZero())
	require.True(t, b.Announce(now, fleet.Pause{Addr: addr, Model: "m", Version: 2, Number: 1, In: time.Second}))
	require.Equal(t, now.Add(time.Second), b.PauseStart(now, addr, 1))
	require.Zero(t, b.LoadedVersion(addr, "m"))
	require.True(t, b.Announce(now, fleet.Pause{Addr: addr, Model: "m", Version: 2, Number: 3, Over: true}))
	require.True(t, b.PauseStart(now, addr, 1).IsZero())
	require.EqualValues(t, 2, b.LoadedVersion(addr, "m"))
	require.Zero(t, b.LoadedVersion(addr, "other"))
}

func TestOlderAnnouncementsChangeNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewSet()
	b.Announce(now, fleet.Pause{Addr: addr, Version: 2, Number: 2, Over: true})
	require.False(t, b.Announce(now, fleet.Pause{Addr: addr, Version: 2, Number: 1, In: time.Second}))
	require.True(t, b.PauseStart(now, addr, 1).IsZero())
}

// A server whose agent died must not stay barred.
func TestPauseWithoutAnEndIsForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewSet()
	b.Announce(now, fleet.Pause{Addr: addr, Version: 2, Number: 9, In: time.Second})
	require.False(t, b.PauseStart(now.Add(longestPause), addr, 1).IsZero())
	later := now.Add(time.Second + longestPause + 1)
	require.True(t, b.PauseStart(later, addr, 1).IsZero())
	require.True(t, b.Announce(later, fleet.Pause{Addr: addr, Version: 2, Number: 1, In: time.Second}), "a new agent counts anew")
	b.Sweep(later.Add(time.Minute))
	require.Empty(t, b.known)
}

func TestPauseIsOverWhenTheListSaysSo(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewSet()
	b.Announce(now, fleet.Pause{Addr: addr, Version: 2, Number: 1})
	require.True(t, b.PauseStart(now, addr, 2).IsZero())
	require.False(t, b.PauseStart(now, addr, 1).IsZero())
}

// While two versions are on their way, the next pause counts.
func TestTheNextOfTwoPausesCounts(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewSet()
	b.Announce(now, fleet.Pause{Addr: addr, Model: "m", Version: 2, Number: 1, In: time.Second})
	b.Announce(now, fleet.Pause{Addr: addr, Model: "m", Version: 3, Number: 2, In: 3 * time.Second})
	require.Equal(t, now.Add(time.Second), b.PauseStart(now, addr, 1))
	b.Announce(now, fleet.Pause{Addr: addr, Model: "m", Version: 2, Number: 3, Over: true})
	require.Equal(t, now.Add(3*time.Second), b.PauseStart(now, addr, 2))
}
