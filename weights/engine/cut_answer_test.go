package engine

import (
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/cutanswer"
)

var cutDigest = core.DigestOf([]byte("chunk"))

// cutCalls are the calls of a client with a body that answers them.
var cutCalls = map[string]struct {
	body string
	call func(t *testing.T, c *Client) error
}{
	"state": {"{\"incarnation\":\"i-1\"}\n", func(t *testing.T, c *Client) error {
		_, err := c.State(t.Context())
		return err
	}},
	"chunks": {"[\"" + cutDigest.String() + "\"]\n", func(t *testing.T, c *Client) error {
		_, err := c.ListChunks(t.Context())
		return err
	}},
	"chunk": {"0123456789", func(t *testing.T, c *Client) error {
		_, err := c.GetChunk(t.Context(), cutDigest)
		return err
	}},
	"put chunk":    {"{}", func(t *testing.T, c *Client) error { return c.PutChunk(t.Context(), cutDigest, []byte("chunk")) }},
	"put manifest": {"{}", func(t *testing.T, c *Client) error { return c.PutManifest(t.Context(), cutDigest, []byte("m")) }},
	"activate":     {"{}", func(t *testing.T, c *Client) error { return c.Activate(t.Context(), cutDigest, 1) }},
	"evict":        {"{}", func(t *testing.T, c *Client) error { return c.Evict(t.Context(), nil, 1) }},
}

func callCut(t *testing.T, call func(t *testing.T, c *Client) error, answer string, cut cutanswer.Cut) error {
	t.Helper()
	server, err := cutanswer.Start(answer[:cut.Bytes], cut.Ending)
	require.NoError(t, err)
	defer server.Close()
	client := New("http://"+server.Addr, nil)
	defer client.http.CloseIdleConnections()
	return call(t, client)
}

func TestAnswerCutAfterAnyByteIsAnError(t *testing.T) {
	for name, c := range cutCalls {
		for framing, answer := range cutanswer.Framings("HTTP/1.1 200 OK\r\n", c.body) {
			t.Run(name+"/"+framing, func(t *testing.T) {
				for _, cut := range cutanswer.Cuts(answer) {
					require.Equal(t, core.ExecutionUnknown, core.ExecutionOf(callCut(t, c.call, answer, cut)), cut)
				}
				require.NoError(t, callCut(t, c.call, answer, cutanswer.Cut{Bytes: len(answer)}))
			})
		}
	}
}

func TestUnframedDocumentCutAfterAnyByteIsAnError(t *testing.T) {
	for _, name := range []string{"state", "chunks"} {
		c := cutCalls[name]
		answer := cutanswer.Unframed("HTTP/1.1 200 OK\r\n", c.body[:len(c.body)-1])
		for _, cut := range cutanswer.Cuts(answer) {
			require.Error(t, callCut(t, c.call, answer, cut), "%s %v", name, cut)
		}
	}
}
