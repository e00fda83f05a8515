package gossip

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
)

func testMember(i int) Member {
	return Member{
		ID:          core.InstanceID(fmt.Sprintf("e-%02d", i)),
		Incarnation: 1,
		Phase:       PhaseReady,
		PeerAddr:    fmt.Sprintf("10.0.0.%d:7700", i),
		CallerAddr:  fmt.Sprintf("10.0.0.%d:8005", i),
		DataCentre:  "a",
		Active:      true,
	}
}

// cluster simulates rounds between states that initially have only the address
// of the first.
type cluster struct {
	now    time.Time
	states []*State
	down   map[int]bool
	// cut holds the entries whose messages to and from others are lost.
	cut map[int]bool
}

func (c *cluster) isCut(i, j int) bool { return c.cut[i] || c.cut[j] }

func newCluster(size int) *cluster {
	c := &cluster{now: time.Unix(1000, 0), down: map[int]bool{}}
	for i := range size {
		state := NewState(testMember(i), uint64(i))
		state.AddPeerAddr(c.now, testMember(0).PeerAddr)
		c.states = append(c.states, state)
	}
	return c
}

func (c *cluster) runRound() {
	c.now = c.now.Add(RoundPeriod)
	for i, state := range c.states {
		if c.down[i] {
			continue
		}
		for _, outgoing := range state.NextRound(c.now, nil, map[core.InstanceID]int{"s-1": i}) {
			c.deliver(i, outgoing)
		}
	}
}

func (c *cluster) deliver(from int, outgoing Outgoing) {
	for _, addr := range outgoing.Addrs {
		for j, other := range c.states {
			if other.self.PeerAddr == addr && !c.down[j] && !c.isCut(from, j) {
				other.Receive(c.now, outgoing.Message)
			}
		}
	}
}

func TestEntriesDiscoverEachOtherAndDetectFailures(t *testing.T) {
	for _, size := range []int{2, 9, 45} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			c := newCluster(size)
			for range 40 {
				c.runRound()
			}
			for i, state := range c.states {
				require.Len(t, state.AliveMembers(c.now), size, "entry %d", i)
				require.Equal(t, size, state.Senders(c.now).Count)
			}
			c.down[size-1] = true
			stoppedAt := c.now
			for c.now.Sub(stoppedAt) < AliveTimeout+2*time.Second {
				c.runRound()
			}
			for i, state := range c.states[:size-1] {
				require.Len(t, state.AliveMembers(c.now), size-1, "entry %d", i)
				require.Equal(t, size, state.Senders(c.now).Count, "a silent entry counts as a sender until SenderTimeout")
			}
		})
	}
}

func TestOlderMessagesAreIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	state := NewState(testMember(0), 1)
	newer := testMember(1)
	newer.Sequence = 5
	newer.Phase = PhaseLeaving
	require.True(t, state.Receive(now, Message{From: newer}))
	older := testMember(1)
	older.Sequence = 4
	require.False(t, state.Receive(now, Message{From: older}))
	require.Equal(t, PhaseLeaving, state.AliveMembers(now)[1].Phase)
	restarted := testMember(1)
	restarted.Incarnation = 2
	require.True(t, state.Receive(now, Message{From: restarted}))
	require.Equal(t, PhaseReady, state.AliveMembers(now)[1].Phase)
}

func TestPeerWithNewerRevisionReturnsNewestPeer(t *testing.T) {
	now := time.Unix(1000, 0)
	state := NewState(testMember(0), 1)
	for i, revision := range []uint64{3, 9, 7} {
		m := testMember(i + 1)
		m.Revisions = map[string]uint64{"t": revision}
		state.Receive(now, Message{From: m})
	}
	require.Equal(t, testMember(2).PeerAddr, state.PeerWithNewerRevision(now, "t", 0, 5))
	require.Empty(t, state.PeerWithNewerRevision(now, "t", 0, 9))
	require.Empty(t, state.PeerWithNewerRevision(now.Add(AliveTimeout), "t", 0, 5))
}

// After a loss of the store, a peer that is cut off has higher revisions, of rows that no
// longer exist.
func TestPeerOfALaterEraIsNewer(t *testing.T) {
	now := time.Unix(1000, 0)
	state := NewState(testMember(0), 1)
	for i, m := range []Member{{Era: 1, Revisions: map[string]uint64{"t": 90}}, {Era: 2, Revisions: map[string]uint64{"t": 4}}, {Era: 3}} {
		m.ID, m.PeerAddr, m.Incarnation = testMember(i+1).ID, testMember(i+1).PeerAddr, testMember(i+1).Incarnation
		state.Receive(now, Message{From: m})
	}
	require.Equal(t, testMember(2).PeerAddr, state.PeerWithNewerRevision(now, "t", 1, 100))
	require.Equal(t, testMember(2).PeerAddr, state.PeerWithNewerRevision(now, "t", 2, 3))
	require.Empty(t, state.PeerWithNewerRevision(now, "t", 2, 4), "the peer with era 3 has not read the table in it")
}

func TestEraIsPartOfTheDescription(t *testing.T) {
	state := NewState(testMember(0), 1)
	state.Receive(time.Unix(1000, 0), Message{From: testMember(1)})
	state.SetEra(7)
	for _, outgoing := range state.NextRound(time.Unix(1000, 0), map[string]uint64{"t": 1}, nil) {
		require.EqualValues(t, 7, outgoing.Message.From.Era)
	}
}

func TestLoadsExcludeFailedPeers(t *testing.T) {
	c := newCluster(3)
	for range 5 {
		c.runRound()
	}
	require.Equal(t, 3, c.states[0].Loads(c.now)["s-1"])
	c.down[2] = true
	for range 10 {
		c.runRound()
	}
	require.Equal(t, 1, c.states[0].Loads(c.now)["s-1"])
}

// TestSilentAddressesStopCountingAsSenders guards against a permanent reduction
// of each entry's share of the common limits: the rows of entries that no
// longer exist stay in the store.
func TestSilentAddressesStopCountingAsSenders(t *testing.T) {
	now := time.Unix(1000, 0)
	state := NewState(testMember(0), 1)
	for i := range 5 {
		state.AddPeerAddr(now, testMember(i+1).PeerAddr)
	}
	require.Equal(t, 6, state.Senders(now).Count)
	state.Receive(now, Message{From: testMember(1)})
	require.Equal(t, 6, state.Senders(now).Count)
	now = now.Add(SenderTimeout)
	require.Equal(t, 1, state.Senders(now).Count)
	var round []Outgoing
	for range startRounds + 1 {
		round = state.NextRound(now, nil, nil)
	}
	require.Len(t, round, 1)
	require.Len(t, round[0].Addrs, silentAddrsPerRound, "messages are still sent to silent addresses")
}

func TestPacesAreTheLargestOfAlivePeers(t *testing.T) {
	now := time.Unix(1000, 0)
	state := NewState(testMember(0), 1)
	state.Receive(now, Message{From: testMember(1), Paces: map[core.InstanceID]float64{"s-1": 2, "s-2": 3}})
	state.Receive(now, Message{From: testMember(2), Paces: map[core.InstanceID]float64{"s-1": 7}})
	require.Equal(t, map[core.InstanceID]float64{"s-1": 7, "s-2": 3}, state.Paces(now))
	require.Empty(t, state.Paces(now.Add(AliveTimeout)))
}
