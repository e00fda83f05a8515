package gossip

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
)

func member(i int) Member {
	return Member{
		ID:          core.InstanceID(fmt.Sprintf("e-%02d", i)),
		Incarnation: 1,
		Phase:       PhaseReady,
		PeerAddr:    fmt.Sprintf("10.0.0.%d:7700", i),
		CallerAddr:  fmt.Sprintf("10.0.0.%d:8005", i),
	}
}

// cluster plays rounds between states that all know only the first.
type cluster struct {
	now    time.Time
	states []*State
	down   map[int]bool
}

func newCluster(size int) *cluster {
	f := &cluster{now: time.Unix(1000, 0), down: map[int]bool{}}
	for i := range size {
		state := NewState(member(i), uint64(i))
		state.Introduce(f.now, member(0).PeerAddr)
		f.states = append(f.states, state)
	}
	return f
}

func (f *cluster) round() {
	f.now = f.now.Add(Period)
	for i, state := range f.states {
		if f.down[i] {
			continue
		}
		message, addrs := state.Round(f.now, nil, map[core.InstanceID]int{"s-1": i})
		for _, addr := range addrs {
			for j, other := range f.states {
				if other.self.PeerAddr == addr && !f.down[j] {
					other.Receive(f.now, message)
				}
			}
		}
	}
}

func TestEntriesFindEachOtherAndNoticeLosses(t *testing.T) {
	for _, size := range []int{2, 9, 45} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			f := newCluster(size)
			for range 40 {
				f.round()
			}
			for i, state := range f.states {
				require.Len(t, state.Alive(f.now), size, "entry %d", i)
				require.Equal(t, size, state.Senders(f.now))
			}
			f.down[size-1] = true
			lost := f.now
			for f.now.Sub(lost) < AliveFor+2*time.Second {
				f.round()
			}
			for i, state := range f.states[:size-1] {
				require.Len(t, state.Alive(f.now), size-1, "entry %d", i)
				require.Equal(t, size, state.Senders(f.now), "a silent entry keeps its share for a while")
			}
		})
	}
}

func TestOlderMessagesChangeNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	state := NewState(member(0), 1)
	newer := member(1)
	newer.Beat = 5
	newer.Phase = PhaseLeaving
	require.True(t, state.Receive(now, Message{From: newer}))
	older := member(1)
	older.Beat = 4
	require.False(t, state.Receive(now, Message{From: older}))
	require.Equal(t, PhaseLeaving, state.Alive(now)[1].Phase)
	next := member(1)
	next.Incarnation = 2
	require.True(t, state.Receive(now, Message{From: next}))
	require.Equal(t, PhaseReady, state.Alive(now)[1].Phase)
}

func TestAheadNamesTheNewestMember(t *testing.T) {
	now := time.Unix(1000, 0)
	state := NewState(member(0), 1)
	for i, revision := range []uint64{3, 9, 7} {
		m := member(i + 1)
		m.Revisions = map[string]uint64{"t": revision}
		state.Receive(now, Message{From: m})
	}
	require.Equal(t, member(2).PeerAddr, state.Ahead(now, "t", 5))
	require.Empty(t, state.Ahead(now, "t", 9))
	require.Empty(t, state.Ahead(now.Add(AliveFor), "t", 5))
}

func TestLoadsOfTheDeadDoNotCount(t *testing.T) {
	f := newCluster(3)
	for range 5 {
		f.round()
	}
	require.Equal(t, 3, f.states[0].Loads(f.now)["s-1"])
	f.down[2] = true
	for range 10 {
		f.round()
	}
	require.Equal(t, 1, f.states[0].Loads(f.now)["s-1"])
}

// Rows of entries that are long gone stay in the store; they must not take a
// part of the common limits for ever.
func TestAddressesThatNeverAnswerLoseTheirShare(t *testing.T) {
	now := time.Unix(1000, 0)
	state := NewState(member(0), 1)
	for i := range 5 {
		state.Introduce(now, member(i+1).PeerAddr)
	}
	require.Equal(t, 6, state.Senders(now))
	state.Receive(now, Message{From: member(1)})
	require.Equal(t, 6, state.Senders(now))
	now = now.Add(ShareFor)
	require.Equal(t, 1, state.Senders(now))
	_, addrs := state.Round(now, nil, nil)
	require.Len(t, addrs, strangers, "they are still tried")
}
