package wire

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/keys"
)

func newEndpoints(t *testing.T, ids ...core.InstanceID) []*Endpoint {
	t.Helper()
	authority, err := keys.NewAuthority()
	require.NoError(t, err)
	endpoints := make([]*Endpoint, 0, len(ids))
	for _, id := range ids {
		pair, err := authority.Issue(id)
		require.NoError(t, err)
		config, err := keys.TLSConfig(authority.CertPEM(), pair)
		require.NoError(t, err)
		endpoint, err := Listen("127.0.0.1:0", config)
		require.NoError(t, err)
		t.Cleanup(func() { _ = endpoint.Close() })
		endpoints = append(endpoints, endpoint)
	}
	return endpoints
}

func TestCall(t *testing.T) {
	endpoints := newEndpoints(t, "a", "b")
	endpoints[1].Handle(KindTombstone, func(_ context.Context, s *Stream) error {
		var request Tombstone
		if err := s.Recv(&request); err != nil {
			return err
		}
		return s.Send(TombstoneReply{Execution: core.ExecutionNotRun})
	})
	go func() { _ = endpoints[1].Serve(t.Context()) }()

	reply, err := Call[TombstoneReply](t.Context(), endpoints[0], endpoints[1].Addr(), KindTombstone, Tombstone{AttemptID: "x"})
	require.NoError(t, err)
	require.Equal(t, core.ExecutionNotRun, reply.Execution)

	_, err = Call[TombstoneReply](t.Context(), endpoints[0], endpoints[1].Addr(), KindDispatch, Tombstone{})
	require.Error(t, err, "a call without a handler fails")
}

func TestOpenUnreachable(t *testing.T) {
	endpoints := newEndpoints(t, "a", "b")
	addr := endpoints[1].Addr()
	require.NoError(t, endpoints[1].Close())
	_, err := endpoints[0].Open(t.Context(), addr, KindDispatch)
	require.ErrorIs(t, err, ErrNotConnected)
}
