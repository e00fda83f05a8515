package staging

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

func TestOddManifestsOfPeersAreErrors(t *testing.T) {
	good, err := cbor.Marshal([][32]byte{{1}, {2}})
	require.NoError(t, err)
	var body []byte
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }))
	t.Cleanup(server.Close)
	peers, peer := NewHTTPPeers(), Agent{ID: "a-2", Addr: server.Listener.Addr().String()}
	for name, odd := range map[string][]byte{
		"empty": nil, "text": []byte("\x64text"), "number": {7}, "map": []byte("\xa1\x01\x02"), "texts": []byte("\x81\x61x"), "cut off": good[:len(good)-1],
		"trailing": append(bytes.Clone(good), 0), "nested": []byte(strings.Repeat("\x81", 100_000) + "\x00"), "huge array": []byte("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff"),
		"large array": append([]byte("\x9a\x00\x10\x00\x00"), bytes.Repeat([]byte{0x40}, 1<<20)...), "too large": bytes.Repeat([]byte{0x81}, int(peers.manifestAnswer().MaxBodyBytes)+1),
	} {
		body = odd
		digests, err := peers.Manifest(t.Context(), peer, olderKey)
		require.Error(t, err, name)
		require.Empty(t, digests, name)
	}
	body = good
	digests, err := peers.Manifest(t.Context(), peer, olderKey)
	require.NoError(t, err)
	require.Len(t, digests, 2)
}

// Other agents, and anything else, can send requests to the port.
func TestOddRequestsOfPeersGetAnAnswer(t *testing.T) {
	m := newTestManager(nil)
	m.addTestJob(TargetVersion{VersionKey: olderKey, Pieces: 4}, 0)
	m.engineUnreachable.Store(true)
	server := httptest.NewServer(m.Handler())
	t.Cleanup(server.Close)
	for path, status := range map[string]int{
		"/weights/m/x/0": http.StatusBadRequest, "/weights/m/9223372036854775808/0": http.StatusBadRequest, "/weights/m/1e3/0": http.StatusBadRequest,
		"/weights/m/-1/0": http.StatusServiceUnavailable, "/weights/m/9223372036854775807/0": http.StatusServiceUnavailable,
		"/weights/m/2/-1": http.StatusBadRequest, "/weights/m/2/4": http.StatusBadRequest, "/weights/m/2/x": http.StatusBadRequest,
		"/weights/m/2/9223372036854775807": http.StatusBadRequest, "/weights/m/2/99999999999999999999": http.StatusBadRequest,
		"/weights/m/2/.ready": http.StatusBadRequest, "/weights/m/2/0": http.StatusServiceUnavailable, "/weights/m/2/manifest": http.StatusOK,
		"/weights/" + strings.Repeat("x", 10_000) + "/2/0": http.StatusServiceUnavailable,
	} {
		response, err := http.Get(server.URL + path)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, status, response.StatusCode, "%.60s", path)
	}
}
