package wire

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/keys"
)

func newPeers(t *testing.T, ids ...core.InstanceID) []*Endpoint {
	t.Helper()
	authority, err := keys.NewAuthority()
	require.NoError(t, err)
	peers := make([]*Endpoint, 0, len(ids))
	for _, id := range ids {
		pair, err := authority.Issue(id)
		require.NoError(t, err)
		config, err := keys.TLSConfig(authority.CertPEM(), pair)
		require.NoError(t, err)
		peer, err := Listen("127.0.0.1:0", config)
		require.NoError(t, err)
		t.Cleanup(func() { _ = peer.Close() })
		peers = append(peers, peer)
	}
	return peers
}

func TestCall(t *testing.T) {
	peers := newPeers(t, "a", "b")
	peers[1].Handle(KindTombstone, func(_ context.Context, s *Stream) error {
		var request Tombstone
		if err := s.Recv(&request); err != nil {
			return err
		}
		return s.Send(TombstoneReply{Execution: core.ExecutionNotRun})
	})
	go func() { _ = peers[1].Serve(t.Context()) }()

	reply, err := Call[TombstoneReply](t.Context(), peers[0], peers[1].Addr(), KindTombstone, Tombstone{AttemptID: "x"})
	require.NoError(t, err)
	require.Equal(t, core.ExecutionNotRun, reply.Execution)

	_, err = Call[TombstoneReply](t.Context(), peers[0], peers[1].Addr(), KindDispatch, Tombstone{})
	require.Error(t, err, "a call without a handler fails")
}

func TestOpenUnreachable(t *testing.T) {
	peers := newPeers(t, "a", "b")
	addr := peers[1].Addr()
	require.NoError(t, peers[1].Close())
	_, err := peers[0].Open(t.Context(), addr, KindDispatch)
	require.ErrorIs(t, err, ErrNotConnected)
}
