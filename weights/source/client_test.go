package source

import (
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/standin/origin"
)

func TestClient(t *testing.T) {
	originServer := origin.New(origin.Config{})
	server := httptest.NewServer(originServer)
	t.Cleanup(server.Close)
	client, err := New(Config{URL: server.URL + "/", DataCentre: "bern-west"})
	require.NoError(t, err)
	content := []byte("some weights")
	digest := core.DigestOf(content)

	held, err := client.HasChunk(t.Context(), digest)
	require.NoError(t, err)
	require.False(t, held)
	require.NoError(t, client.PutChunk(t.Context(), digest, content))
	require.Error(t, client.PutChunk(t.Context(), core.DigestOf([]byte("other")), content))
	held, err = client.HasChunk(t.Context(), digest)
	require.NoError(t, err)
	require.True(t, held)
	got, err := client.Chunk(t.Context(), digest)
	require.NoError(t, err)
	require.Equal(t, content, got)
	require.Equal(t, int64(len(content)), originServer.SentBytes()["bern-west"])

	faults := []struct {
		fault     origin.Fault
		code      core.Code
		execution core.Execution
	}{
		{origin.FaultThrottle, core.CodeOriginFailed, core.ExecutionNotRun},
		{origin.FaultError, core.CodeOriginFailed, core.ExecutionNotRun},
		{origin.FaultTruncate, core.CodeOriginFailed, core.ExecutionUnknown},
		{origin.FaultCorrupt, core.CodeChunkCorrupt, core.ExecutionUnknown},
	}
	for _, fault := range faults {
		originServer.SetFaults(origin.Faults{Fault: fault.fault})
		_, err := client.Chunk(t.Context(), digest)
		require.Equal(t, fault.code, core.CodeOf(err), fault.fault)
		require.Equal(t, fault.execution, core.ExecutionOf(err), fault.fault)
	}
}

func TestConfigNeedsURL(t *testing.T) {
	_, err := New(Config{})
	require.Error(t, err)
}
