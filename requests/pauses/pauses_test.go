package pauses

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/fleet"
)

const addr = "10.0.0.1:8000"

func TestPauseStartUntilThePauseEnds(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewSet()
	require.True(t, s.PauseStart(now, addr, 1).IsZero())
	require.True(t, s.Record(now, fleet.PauseNotice{Addr: addr, Model: "m", Version: 2, Sequence: 1, StartsIn: time.Second}))
	require.Equal(t, now.Add(time.Second), s.PauseStart(now, addr, 1))
	require.Zero(t, s.LoadedVersion(addr, "m", time.Time{}))
	require.True(t, s.Record(now, fleet.PauseNotice{Addr: addr, Model: "m", Version: 2, Sequence: 3, Ended: true}))
	require.True(t, s.PauseStart(now, addr, 1).IsZero())
	require.EqualValues(t, 2, s.LoadedVersion(addr, "m", time.Time{}))
	require.Zero(t, s.LoadedVersion(addr, "other", time.Time{}))
}

func TestStaleAnnouncementIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewSet()
	s.Record(now, fleet.PauseNotice{Addr: addr, Version: 2, Sequence: 2, Ended: true})
	require.False(t, s.Record(now, fleet.PauseNotice{Addr: addr, Version: 2, Sequence: 1, StartsIn: time.Second}))
	require.True(t, s.PauseStart(now, addr, 1).IsZero())
}

// A server must become available again when its agent fails before it announces
// the end of the pause.
func TestPauseWithoutAnEndExpires(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewSet()
	s.Record(now, fleet.PauseNotice{Addr: addr, Version: 2, Sequence: 9, StartsIn: time.Second})
	require.False(t, s.PauseStart(now.Add(maxPause), addr, 1).IsZero())
	later := now.Add(time.Second + maxPause + 1)
	require.True(t, s.PauseStart(later, addr, 1).IsZero())
	require.True(t, s.Record(later, fleet.PauseNotice{Addr: addr, Version: 2, Sequence: 1, StartsIn: time.Second}), "after the expiry an announcement with a lower number is accepted")
	s.Sweep(later.Add(time.Minute))
	require.Empty(t, s.byServer)
}

func TestPauseEndsWhenTheVersionIsLoaded(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewSet()
	s.Record(now, fleet.PauseNotice{Addr: addr, Version: 2, Sequence: 1})
	require.True(t, s.PauseStart(now, addr, 2).IsZero())
	require.False(t, s.PauseStart(now, addr, 1).IsZero())
}

// When two versions are being rolled out, the earlier pause counts.
func TestEarlierOfTwoPausesCounts(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewSet()
	s.Record(now, fleet.PauseNotice{Addr: addr, Model: "m", Version: 2, Sequence: 1, StartsIn: time.Second})
	s.Record(now, fleet.PauseNotice{Addr: addr, Model: "m", Version: 3, Sequence: 2, StartsIn: 3 * time.Second})
	require.Equal(t, now.Add(time.Second), s.PauseStart(now, addr, 1))
	s.Record(now, fleet.PauseNotice{Addr: addr, Model: "m", Version: 2, Sequence: 3, Ended: true})
	require.Equal(t, now.Add(3*time.Second), s.PauseStart(now, addr, 2))
}
