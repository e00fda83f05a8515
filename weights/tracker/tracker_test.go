package tracker

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"currantusher.dev/core"
	"currantusher.dev/wire"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// TestRandomTracker checks that an extent is not assigned again within the fetch
// timeout, that a reassignment is marked as a takeover, and that a reply contains at
// most the requested number of peers and not the requester.
func TestRandomTracker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		const timeout = 10 * time.Second
		tracker, err := New(Config{FetchTimeout: timeout, MaxFetchersPerRegion: 2, Now: func() time.Time { return now }, Seed: 1})
		require.NoError(t, err)
		assignedAt := map[uint32]time.Time{}
		for range rapid.IntRange(1, 60).Draw(t, "reports") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4).Draw(t, "seconds")) * time.Second)
			self := wire.TrackPeer{ID: core.InstanceID(fmt.Sprint("a", rapid.IntRange(0, 5).Draw(t, "agent"))), Region: "r", Incarnation: 1}
			reply := tracker.Track(wire.TrackRequest{Self: self, MaxNearPeers: 3, Extents: 4, Idle: true})
			require.LessOrEqual(t, len(reply.Peers), 3)
			for _, peer := range reply.Peers {
				require.NotEqual(t, self.ID, peer.ID)
			}
			for _, extent := range reply.AssignedExtents {
				lastAssigned, assigned := assignedAt[extent]
				require.Equal(t, assigned, reply.Takeover)
				require.False(t, assigned && now.Sub(lastAssigned) < timeout, "extent %d was assigned again before the fetch timeout", extent)
				assignedAt[extent] = now
			}
		}
	})
}

func TestTrackerKeepsProgressingFetcher(t *testing.T) {
	now := time.Unix(0, 0)
	tracker, err := New(Config{FetchTimeout: 10 * time.Second, Now: func() time.Time { return now }})
	require.NoError(t, err)
	report := func(id core.InstanceID, done uint32) wire.TrackReply {
		self := wire.TrackPeer{ID: id, Region: "r", Incarnation: 1, ChunksDone: done}
		return tracker.Track(wire.TrackRequest{Self: self, Extents: 1, Idle: true})
	}
	require.Equal(t, []uint32{0}, report("a", 0).AssignedExtents)
	now = now.Add(9 * time.Second)
	require.Empty(t, report("a", 1).AssignedExtents)
	now = now.Add(9 * time.Second)
	require.Empty(t, report("b", 0).AssignedExtents, "a reported progress within the fetch timeout and keeps the extent")
	now = now.Add(2 * time.Second)
	require.Equal(t, wire.TrackReply{AssignedExtents: []uint32{0}, Takeover: true}, withoutPeers(report("b", 0)))
}

func withoutPeers(reply wire.TrackReply) wire.TrackReply {
	reply.Peers = nil
	return reply
}
