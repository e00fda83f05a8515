package gossip

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
)

const pauseLead = 600 * time.Millisecond

func testNotice(sequence uint64) fleet.PauseNotice {
	return fleet.PauseNotice{Addr: "10.1.0.1:8000", Model: "m", Version: 2, Sequence: sequence, StartsIn: pauseLead}
}

// forward returns the notices that the entries forward, by the address of the receiver.
func (c *cluster) forward() map[string][]fleet.PauseNotice {
	received := map[string][]fleet.PauseNotice{}
	for i, state := range c.states {
		if c.down[i] {
			continue
		}
		for _, outgoing := range state.PauseForwards(c.now) {
			for _, addr := range outgoing.Addrs {
				received[addr] = append(received[addr], outgoing.Message.Pauses...)
			}
		}
	}
	return received
}

// runFor runs rounds for a time.
func (c *cluster) runFor(d time.Duration) {
	for range int(d / RoundPeriod) {
		c.runRound()
	}
}

// restart replaces the process of an entry.
func (c *cluster) restart(i int) {
	member := testMember(i)
	member.Incarnation = c.states[i].Self().Incarnation + 1
	c.states[i] = NewState(member, uint64(100+i))
	c.states[i].AddPeerAddr(c.now, testMember((i+1)%len(c.states)).PeerAddr)
}

// Guards against sends to an engine that pauses by an entry that restarted after the agent
// had read the list of entries.
func TestPausesAreForwardedToRestartedEntries(t *testing.T) {
	for _, size := range []int{4, 3 * fanout} {
		c := newCluster(size)
		c.runFor(2 * unlistedPeriod)
		for i := range c.states {
			c.states[i].RecordPause(c.now, testNotice(1))
		}
		require.Empty(t, c.forward(), "agents know all entries")

		c.restart(1)
		c.runFor(4 * RoundPeriod)
		received := c.forward()
		require.Len(t, received, 1)
		notices := received[testMember(1).PeerAddr]
		require.NotEmpty(t, notices)
		require.LessOrEqual(t, len(notices), pauseForwarders)
		require.Equal(t, max(pauseLead-4*RoundPeriod, 0), notices[0].StartsIn)
		require.Empty(t, c.forward(), "each notice is forwarded once")

		c.states[0].RecordPause(c.now, testNotice(1))
		require.Empty(t, c.forward(), "agents send each notice twice")
		for i := range c.states {
			c.states[i].RecordPause(c.now, testNotice(2))
		}
		require.NotEmpty(t, c.forward()[testMember(1).PeerAddr])

		c.runFor(unlistedPeriod)
		for i := range c.states {
			c.states[i].RecordPause(c.now, testNotice(3))
		}
		require.Empty(t, c.forward())
	}
}

// Guards against sends to an engine that pauses by an entry that is leaving: its row is
// gone, and it serves on.
func TestPausesAreForwardedToLeavingEntries(t *testing.T) {
	c := newCluster(4)
	c.runFor(2 * unlistedPeriod)
	c.states[1].SetPhase(PhaseLeaving)
	c.runRound()
	c.states[2].RecordPause(c.now, testNotice(1))
	received := c.forward()
	require.Len(t, received, 1)
	require.Len(t, received[testMember(1).PeerAddr], 1)
}

func TestExpiredPausesAreDropped(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewState(testMember(0), 1)
	s.RecordPause(now, testNotice(1))
	s.updateMember(now.Add(pauseLead+pauseForwardPeriod), testMember(1))
	require.NotEmpty(t, s.PauseForwards(now.Add(pauseLead+pauseForwardPeriod)))
	s.PauseForwards(now.Add(pauseLead + pauseForwardPeriod + 1))
	require.Empty(t, s.pauses)
}

// Guards against sends to an engine that pauses by an entry that is not on the agent's list.
func TestNodeForwardsTheNoticesOfAgents(t *testing.T) {
	listen := func(id core.InstanceID, notices chan fleet.PauseNotice) *Node {
		logger, _ := logtest.NewNullLogger()
		n, err := Listen(Config{
			Self: Member{ID: id, Incarnation: 1, PeerAddr: "127.0.0.1:0"}, Log: logrus.NewEntry(logger),
			OnPauseNotice: func(notice fleet.PauseNotice) { notices <- notice },
		})
		require.NoError(t, err)
		t.Cleanup(func() { _ = n.socket.Close() })
		return n
	}
	told, forwarded := make(chan fleet.PauseNotice, 1), make(chan fleet.PauseNotice, 2)
	listed, unlisted := listen("e-1", told), listen("e-2", forwarded)
	listed.state.updateMember(time.Now(), Member{ID: "e-2", Incarnation: 1, Sequence: 1, PeerAddr: unlisted.socket.LocalAddr().String()})
	go func() {
		buffer := make([]byte, maxDatagramBytes)
		for {
			length, _, err := unlisted.socket.ReadFromUDP(buffer)
			if err != nil {
				return
			}
			unlisted.handleDatagram(buffer[:length])
		}
	}()
	datagram, err := cbor.Marshal(Message{PauseNotice: new(testNotice(1))})
	require.NoError(t, err)
	listed.handleDatagram(datagram)
	require.Equal(t, testNotice(1), <-told)
	require.NoError(t, SendPauseNotice(listed.socket, unlisted.socket.LocalAddr().String(), testNotice(2)))
	notice := <-forwarded
	notice.StartsIn = pauseLead
	require.Equal(t, testNotice(1), notice, "the notice is forwarded before the next datagram")
}

// A tenth of the entries restart while all engines load.
func TestForwardingIsDividedInALargeDeployment(t *testing.T) {
	const entries, restarted, engines = 100, 10, 200
	now := time.Unix(1000, 0)
	states := make([]*State, entries-restarted)
	for i := range states {
		states[i] = NewState(testMember(i), uint64(i))
		states[i].NextRound(now, nil, nil)
	}
	later := now.Add(2 * unlistedPeriod)
	received, most := map[string]int{}, 0
	for _, state := range states {
		for j := range entries {
			member := testMember(j)
			if j < len(states) {
				state.updateMember(now, member)
			}
			member.Sequence = 1
			state.updateMember(later, member)
		}
		forwarded := 0
		for engine := range engines {
			notice := testNotice(uint64(engine + 1))
			notice.Addr = fmt.Sprintf("10.1.%d.%d:8000", engine/250, engine%250)
			state.RecordPause(later, notice)
			if engine%2 == 0 {
				continue
			}
			for _, outgoing := range state.PauseForwards(later) {
				require.LessOrEqual(t, len(outgoing.Message.Pauses), maxPausesPerMessage)
				received[outgoing.Addrs[0]] += len(outgoing.Message.Pauses)
				forwarded += len(outgoing.Message.Pauses)
			}
		}
		most = max(most, forwarded)
	}
	require.Len(t, received, restarted)
	for _, count := range received {
		require.Equal(t, pauseForwarders*engines, count)
	}
	require.Less(t, most, 2*pauseForwarders*engines*restarted/len(states))
}
