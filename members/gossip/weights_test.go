package gossip

import (
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
)

// A process that does not know of versions without an age would take one for new.
func TestVersionWithoutAgeIsNotSentAsANewOne(t *testing.T) {
	var message Message
	dated := NewestWeights{Model: "m", Version: 5, Age: time.Second, First: 4}
	message.setWeights([]NewestWeights{dated, {Model: "m", Version: 3, IsUndated: true}, {Model: "m", Version: 0, IsUndated: true}})
	require.Equal(t, []NewestWeights{dated}, message.NewestWeights)
	datagram, err := cbor.Marshal(message)
	require.NoError(t, err)
	var received Message
	require.NoError(t, cbor.Unmarshal(datagram, &received))
	require.Equal(t, []NewestWeights{{Model: "m", Version: 3, IsUndated: true}, dated}, received.weights(), "versions without an age come first")
}

func TestAgeSentAfterAStandstillInARoundIsNotTooYoung(t *testing.T) {
	since := time.Unix(1000, 0)
	for name, stopsAtAges := range map[string]bool{"after the ages were taken": true, "after evidence was taken": false} {
		t.Run(name, func(t *testing.T) {
			now, stopped := since.Add(time.Second), false
			stop := func(applies bool) {
				if applies && !stopped {
					now, stopped = now.Add(3*time.Second), true
				}
			}
			peer, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
			require.NoError(t, err)
			t.Cleanup(func() { _ = peer.Close() })
			logger, _ := logtest.NewNullLogger()
			n, err := Listen(Config{
				Self: Member{ID: "e-1", Incarnation: 1, PeerAddr: "127.0.0.1:0"}, Log: logger.WithField("test", name),
				Now:          func() time.Time { return now },
				Revisions:    func() (uint64, map[string]uint64) { return 0, nil },
				Loads:        func() map[core.InstanceID]int { return nil },
				ReachesStore: func() bool { return true },
				NewestWeights: func() []NewestWeights {
					defer stop(stopsAtAges)
					return []NewestWeights{{Model: "m", Version: 2, Age: now.Sub(since)}}
				},
				Evidence: func() fleet.CrashEvidence {
					defer stop(!stopsAtAges)
					return fleet.CrashEvidence{}
				},
			})
			require.NoError(t, err)
			t.Cleanup(func() { _ = n.socket.Close() })
			n.AddPeerAddrs(peer.LocalAddr().String())
			n.sendRound()
			buffer := make([]byte, maxDatagramBytes)
			length, err := peer.Read(buffer)
			require.NoError(t, err)
			var message Message
			require.NoError(t, cbor.Unmarshal(buffer[:length], &message))
			require.Equal(t, []NewestWeights{{Model: "m", Version: 2, Age: 4 * time.Second}}, message.NewestWeights)
		})
	}
}
