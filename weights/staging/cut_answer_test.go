package staging

import (
	"crypto/sha256"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"currantusher.dev/core/cutanswer"
)

func callCutPeer(t *testing.T, call func(peers *HTTPPeers, peer Agent) error, answer string, cut cutanswer.Cut) error {
	t.Helper()
	server, err := cutanswer.Start(answer[:cut.Bytes], cut.Ending)
	require.NoError(t, err)
	defer server.Close()
	peers := NewHTTPPeers()
	defer peers.client.CloseIdleConnections()
	return call(peers, Agent{ID: "a-2", Addr: server.Addr})
}

func TestAnswerOfAPeerCutAfterAnyByteIsAnError(t *testing.T) {
	manifest, err := cbor.Marshal([][32]byte{{1}, {2}})
	require.NoError(t, err)
	for name, c := range map[string]struct {
		body string
		call func(peers *HTTPPeers, peer Agent) error
	}{
		"manifest": {string(manifest), func(peers *HTTPPeers, peer Agent) error {
			_, err := peers.Manifest(t.Context(), peer, olderKey)
			return err
		}},
		"piece": {"0123456789", func(peers *HTTPPeers, peer Agent) error {
			_, _, err := peers.Piece(t.Context(), peer, olderKey, 0, true)
			return err
		}},
		"ready": {"", func(peers *HTTPPeers, peer Agent) error { return peers.AwaitPiece(t.Context(), peer, olderKey, 0) }},
	} {
		answers := cutanswer.Framings("HTTP/1.1 200 OK\r\n", c.body)
		if name == "manifest" {
			answers["unframed"] = cutanswer.Unframed("HTTP/1.1 200 OK\r\n", c.body)
		}
		for framing, answer := range answers {
			t.Run(name+"/"+framing, func(t *testing.T) {
				for _, cut := range cutanswer.Cuts(answer) {
					require.Error(t, callCutPeer(t, c.call, answer, cut), cut)
				}
				require.NoError(t, callCutPeer(t, c.call, answer, cutanswer.Cut{Bytes: len(answer)}))
			})
		}
	}
}

func TestShortPieceIsNotAccepted(t *testing.T) {
	answer := cutanswer.Unframed("HTTP/1.1 200 OK\r\n", "0123456789")
	for _, cut := range cutanswer.Cuts(answer) {
		var content []byte
		_ = callCutPeer(t, func(peers *HTTPPeers, peer Agent) (err error) {
			content, _, err = peers.Piece(t.Context(), peer, olderKey, 0, false)
			return err
		}, answer, cut)
		pieces := newPieceSet(olderKey, [][32]byte{sha256.Sum256([]byte("0123456789"))})
		require.False(t, pieces.add(0, content), cut)
	}
}
