package engine

import (
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	standin "currantusher.dev/standin/engine"
	"currantusher.dev/weights"
)

func TestClient(t *testing.T) {
	server := httptest.NewServer(standin.New(standin.Config{CheckFence: true}))
	t.Cleanup(server.Close)
	client := New(server.URL+"/", nil)
	content := []byte("some weights")
	digest := core.DigestOf(content)
	manifest := weights.Manifest{
		Files:  []weights.File{{Path: "weights", Size: int64(len(content))}},
		Chunks: []weights.Chunk{{Digest: digest, Size: int64(len(content))}},
	}
	encoded, root, err := manifest.Encode()
	require.NoError(t, err)

	ctx := t.Context()
	require.NoError(t, client.PutManifest(ctx, root, encoded))
	err = client.Activate(ctx, root, 7)
	require.Equal(t, core.CodeActivationFailed, core.CodeOf(err), "a chunk is missing")
	err = client.PutChunk(ctx, digest, []byte("other"))
	require.Equal(t, core.CodeStagingFailed, core.CodeOf(err))
	require.NoError(t, client.PutChunk(ctx, digest, content))
	listed, err := client.ListChunks(ctx)
	require.NoError(t, err)
	require.Equal(t, []core.Digest{digest}, listed)
	got, err := client.GetChunk(ctx, digest)
	require.NoError(t, err)
	require.Equal(t, content, got)
	require.NoError(t, client.Activate(ctx, root, 7))
	require.Equal(t, core.CodeFenced, core.CodeOf(client.Activate(ctx, root, 6)))
	state, err := client.State(ctx)
	require.NoError(t, err)
	require.Equal(t, root, state.Weights)
	require.NoError(t, client.Evict(ctx, []core.Digest{root}, 7))
}
