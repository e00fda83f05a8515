package gossip

import (
	"context"
	"errors"
	"math"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
)

var oddAddrs = []string{
	"", ":", "10.0.0.9", "10.0.0.9:0", "10.0.0.9:-1", "10.0.0.9:65536", "10.0.0.9:99999999999", "host.example:7700", "[fe80::1%eth0]:7700", "0.0.0.0:7700",
}

// countLookups makes all lookups of host names fail, and counts them until the test ends.
func countLookups(t *testing.T) *atomic.Int64 {
	t.Helper()
	var lookups atomic.Int64
	resolver := net.DefaultResolver
	net.DefaultResolver = &net.Resolver{PreferGo: true, Dial: func(context.Context, string, string) (net.Conn, error) {
		lookups.Add(1)
		return nil, errors.New("no lookups in this test")
	}}
	t.Cleanup(func() { net.DefaultResolver = resolver })
	return &lookups
}

// Guards against a lookup of a host name that holds up all messages for seconds, so that
// the other entries take this one for lost.
func TestAddressesInMessagesAreNotLookedUp(t *testing.T) {
	lookups := countLookups(t)
	logger, _ := logtest.NewNullLogger()
	n, err := Listen(Config{Self: Member{ID: "e-1", Incarnation: 1, PeerAddr: "127.0.0.1:0"}, Log: logrus.NewEntry(logger)})
	require.NoError(t, err)
	t.Cleanup(func() { _ = n.socket.Close() })
	for _, addr := range oddAddrs {
		datagram, err := cbor.Marshal(Message{PlaceRequest: &fleet.PlaceRequest{Nonce: 1, From: "e-2", ReplyAddr: addr}})
		require.NoError(t, err)
		n.handleDatagram(datagram)
		require.Error(t, SendPauseNotice(n.socket, addr, testNotice(1)), addr)
	}
	require.Zero(t, lookups.Load())
}

// Guards against rounds that send to such an address for ever, and against a member that
// counts as one more sender although it does not run.
func TestEntriesWithOddAddressesAreIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	for i, addr := range oddAddrs {
		s := NewState(testMember(0), 1)
		require.True(t, s.Receive(now, Message{From: withSequence(testMember(1), 1)}))
		odd := testMember(2)
		odd.PeerAddr, odd.Sequence = addr, 1
		s.AddPeerAddr(now, addr)
		s.Introduce(now, odd)
		require.False(t, s.Receive(now, Message{From: odd}), addr)
		require.True(t, s.Receive(now, Message{From: withSequence(testMember(1), uint64(i+2)), Relayed: []Member{odd}}), addr)
		require.Len(t, s.AliveMembers(now), 2, addr)
		require.Empty(t, s.AwaitedMembers(now), addr)
		require.Equal(t, 2, s.Senders(now).Count, addr)
		for _, outgoing := range s.NextRound(now, nil, nil) {
			require.Equal(t, []string{testMember(1).PeerAddr}, outgoing.Addrs, addr)
		}
	}
}

func withSequence(m Member, sequence uint64) Member {
	m.Sequence = sequence
	return m
}

// Guards against one odd number that hides the reports of all other entries.
func TestOddLoadsAndPacesAreIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewState(testMember(0), 1)
	require.True(t, s.Receive(now, Message{
		From: withSequence(testMember(1), 1), Loads: map[core.InstanceID]int{"s-1": 3, "s-2": 4}, Paces: map[core.InstanceID]float64{"s-1": 2, "s-2": 3},
	}))
	for i, odd := range []struct {
		load int
		pace float64
	}{{-1, math.NaN()}, {math.MinInt64, math.Inf(1)}, {math.MaxInt64, math.Inf(-1)}, {math.MaxInt64, -1}} {
		datagram, err := cbor.Marshal(Message{
			From:  withSequence(testMember(2), uint64(i+1)),
			Loads: map[core.InstanceID]int{"s-1": odd.load, "s-2": 1}, Paces: map[core.InstanceID]float64{"s-1": odd.pace, "s-2": 4},
		})
		require.NoError(t, err)
		var message Message
		require.NoError(t, cbor.Unmarshal(datagram, &message))
		require.True(t, s.Receive(now, message))
		require.Equal(t, map[core.InstanceID]int{"s-1": 3, "s-2": 5}, s.Loads(now))
		require.Equal(t, map[core.InstanceID]float64{"s-1": 2, "s-2": 4}, s.Paces(now))
	}
}

// Guards against notices that are kept for ever and hide all later ones.
func TestPausesInTheFarFutureAreIgnored(t *testing.T) {
	for _, startsIn := range []time.Duration{-time.Second, math.MinInt64, time.Hour, math.MaxInt64} {
		var told []fleet.PauseNotice
		logger, _ := logtest.NewNullLogger()
		n, err := Listen(Config{
			Self: Member{ID: "e-1", Incarnation: 1, PeerAddr: "127.0.0.1:0"}, Log: logrus.NewEntry(logger),
			OnPauseNotice: func(notice fleet.PauseNotice) { told = append(told, notice) },
		})
		require.NoError(t, err)
		t.Cleanup(func() { _ = n.socket.Close() })
		odd := testNotice(9)
		odd.StartsIn = startsIn
		for _, message := range []Message{{PauseNotice: &odd}, {Pauses: []fleet.PauseNotice{odd, testNotice(1)}}, {PauseNotice: new(testNotice(2))}} {
			datagram, err := cbor.Marshal(message)
			require.NoError(t, err)
			n.handleDatagram(datagram)
		}
		require.Equal(t, []fleet.PauseNotice{testNotice(1), testNotice(2)}, told, startsIn)
		require.Len(t, n.state.pauses, 1)
	}
}

// Guards against a version that counts as configured in the future: requests could begin
// on older weights until then.
func TestOddAgesOfVersionsAreIgnored(t *testing.T) {
	var told []NewestWeights
	logger, _ := logtest.NewNullLogger()
	n, err := Listen(Config{
		Self: Member{ID: "e-1", Incarnation: 1, PeerAddr: "127.0.0.1:0"}, Log: logrus.NewEntry(logger),
		OnNewestWeights: func(list []NewestWeights) { told = append(told, list...) },
	})
	require.NoError(t, err)
	t.Cleanup(func() { _ = n.socket.Close() })
	good := NewestWeights{Model: "m", Version: 2, Age: time.Second}
	datagram, err := cbor.Marshal(Message{From: withSequence(testMember(1), 1), NewestWeights: []NewestWeights{
		{Model: "m", Version: 2, Age: -1}, {Model: "m", Version: 2, Age: math.MinInt64}, {Model: "m", Version: 0, Age: 1}, {Model: "m", Version: -1, Age: 1}, good,
	}})
	require.NoError(t, err)
	n.handleDatagram(datagram)
	require.Equal(t, []NewestWeights{good}, told)
}

// Daemons of all versions, and anything else, can send datagrams to the port.
func FuzzDatagrams(f *testing.F) {
	for _, message := range []Message{
		{From: withSequence(testMember(1), 1), Loads: map[core.InstanceID]int{"s": 1}, Heartbeats: []Heartbeat{{Key: 7}}, Wanted: []uint32{1}},
		{PauseNotice: new(testNotice(1))}, {Pauses: []fleet.PauseNotice{testNotice(1)}},
		{PlaceReply: &fleet.PlaceReply{Nonce: 1}}, {PlaceRequest: &fleet.PlaceRequest{ReplyAddr: "127.0.0.1:1"}},
		{From: withSequence(testMember(2), 1), RateLimits: []fleet.RateLimit{{Server: "s", PerSecond: 1}}, Evidence: &fleet.CrashEvidence{Starts: []fleet.TraitStart{{}}}},
	} {
		datagram, err := cbor.Marshal(message)
		require.NoError(f, err)
		f.Add(datagram)
		f.Add(datagram[:len(datagram)/2])
	}
	f.Fuzz(func(t *testing.T, datagram []byte) {
		now := time.Unix(1000, 0)
		s := NewState(testMember(0), 1)
		var message Message
		if cbor.Unmarshal(datagram, &message) != nil {
			return
		}
		s.Receive(now, message)
		if message.PauseNotice != nil {
			s.RecordPause(now, *message.PauseNotice)
		}
		for range 3 {
			s.NextRound(now, nil, nil)
			s.PauseForwards(now)
			now = now.Add(RoundPeriod)
		}
		for _, load := range s.Loads(now) {
			if load < 0 {
				t.Errorf("load %d", load)
			}
		}
		for _, pace := range s.Paces(now) {
			if !(pace > 0 && pace <= math.MaxFloat64) {
				t.Errorf("pace %v", pace)
			}
		}
	})
}
