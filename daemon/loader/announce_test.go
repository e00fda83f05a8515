package loader

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"currantusher.dev/core/fleet"
	"currantusher.dev/daemon/obs"
	"currantusher.dev/members/gossip"
	"currantusher.dev/platform/nodefile"
	"currantusher.dev/tables/versionages"
)

const (
	testEngineAddr = "127.0.0.1:9"
	receiveTimeout = 10 * time.Second
)

// startedEntry is an entry that has just started. It answers at an address by TCP and UDP.
type startedEntry struct {
	member gossip.Member
	socket *net.UDPConn
}

func startEntry(t *testing.T) *startedEntry {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	mux := http.NewServeMux()
	mux.Handle("POST "+versionages.Path, versionages.Handler(
		func() []versionages.Age { return nil }, func([]versionages.Age, time.Time) {}, time.Now, logrus.NewEntry(logger)))
	var socket *net.UDPConn
	var listener net.Listener
	require.Eventually(t, func() bool {
		var err error
		socket, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		require.NoError(t, err)
		if listener, err = net.Listen("tcp", socket.LocalAddr().String()); err != nil {
			_ = socket.Close()
		}
		return err == nil
	}, receiveTimeout, time.Millisecond, "no port is free for TCP and UDP")
	t.Cleanup(func() { _ = socket.Close() })
	server := httptest.NewUnstartedServer(mux)
	_ = server.Listener.Close()
	server.Listener = listener
	server.Start()
	t.Cleanup(server.Close)
	return &startedEntry{member: gossip.Member{ID: "e-1", PeerAddr: listener.Addr().String()}, socket: socket}
}

// receive returns the next notice of an agent.
func (e *startedEntry) receive(t *testing.T) fleet.PauseNotice {
	t.Helper()
	require.NoError(t, e.socket.SetReadDeadline(time.Now().Add(receiveTimeout)))
	buffer := make([]byte, 64<<10)
	length, err := e.socket.Read(buffer)
	require.NoError(t, err, "the entry gets no notice")
	var message gossip.Message
	require.NoError(t, cbor.Unmarshal(buffer[:length], &message))
	require.NotNil(t, message.PauseNotice)
	return *message.PauseNotice
}

// Streams at engines that load ran to their end, since no entry knew of the pauses.
func TestEntriesThatAllRestartLearnOfThePausesAnnouncedBefore(t *testing.T) {
	l, err := New(Config{Log: obs.DiscardLogger(), Node: nodefile.Node{
		Instance: "a-1", BackendAddr: testEngineAddr, StoreAddr: testEngineAddr, BackendService: "llm",
		Bounds: nodefile.Bounds{VersionInForce: testInForceWithin},
	}})
	require.NoError(t, err)
	go func() { _ = l.announcer.run(t.Context()) }()

	before, restarted := startEntry(t), startEntry(t)
	l.announcer.entries.store([]gossip.Member{before.member}, time.Hour)
	l.announcer.announce(fleet.PauseNotice{Model: "m", Version: 2, StartsIn: time.Hour})
	announced := before.receive(t)

	l.announcer.entries.store([]gossip.Member{restarted.member}, time.Hour)
	ctx, cancel := context.WithCancel(t.Context())
	var exchanges sync.WaitGroup
	exchanges.Go(func() {
		for ctx.Err() == nil {
			l.ageExchange.exchange(ctx)
		}
	})
	repeated := restarted.receive(t)
	cancel()
	exchanges.Wait()
	require.Less(t, repeated.StartsIn, announced.StartsIn)
	repeated.StartsIn = announced.StartsIn
	require.Equal(t, announced, repeated)
}

func TestAnnouncementsAreRepeatedUntilTheLoadHasEnded(t *testing.T) {
	now := time.Unix(1000, 0)
	a := newAnnouncer(testEngineAddr, nil, nil)
	pause := func(version fleet.WeightsVersion, startsIn time.Duration, ended bool) queuedPause {
		return queuedPause{pause: fleet.PauseNotice{Model: "m", Version: version, StartsIn: startsIn, Ended: ended}, queuedAt: now}
	}
	a.note(pause(2, time.Second, false))
	a.note(pause(2, 3*time.Second, false))
	a.note(pause(3, 2*time.Second, false))
	require.Len(t, a.inForce(now.Add(time.Second)), 2)
	a.note(pause(2, 0, true))
	inForce := a.inForce(now.Add(time.Second))
	require.Len(t, inForce, 1)
	require.EqualValues(t, 3, inForce[0].pause.Version)
	require.Equal(t, time.Second, inForce[0].notice(now.Add(time.Second)).StartsIn)
	require.Zero(t, inForce[0].notice(now.Add(4*time.Second)).StartsIn)
	require.Len(t, a.inForce(now.Add(2*time.Second+repeatPeriod)), 1)
	require.Empty(t, a.inForce(now.Add(2*time.Second+repeatPeriod+1)))
}
