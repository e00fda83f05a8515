package source

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/cutanswer"
)

const cutContent = "0123456789"

var cutCalls = map[string]func(t *testing.T, c *Client) error{
	"manifest": func(t *testing.T, c *Client) error {
		_, err := c.Manifest(t.Context(), core.DigestOf([]byte(cutContent)))
		return err
	},
	"chunk": func(t *testing.T, c *Client) error {
		_, err := c.Chunk(t.Context(), core.DigestOf([]byte(cutContent)))
		return err
	},
	"put chunk": func(t *testing.T, c *Client) error {
		return c.PutChunk(t.Context(), core.DigestOf([]byte(cutContent)), []byte(cutContent))
	},
	"put manifest": func(t *testing.T, c *Client) error {
		return c.PutManifest(t.Context(), core.DigestOf([]byte(cutContent)), []byte(cutContent))
	},
}

func callCut(t *testing.T, call func(t *testing.T, c *Client) error, answer string, cut cutanswer.Cut) error {
	t.Helper()
	server, err := cutanswer.Start(answer[:cut.Bytes], cut.Ending)
	require.NoError(t, err)
	defer server.Close()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client, err := New(Config{URL: "http://" + server.Addr, HTTP: &http.Client{Transport: transport}})
	require.NoError(t, err)
	return call(t, client)
}

func TestAnswerCutAfterAnyByteIsAnError(t *testing.T) {
	for name, call := range cutCalls {
		for framing, answer := range cutanswer.Framings("HTTP/1.1 200 OK\r\n", cutContent) {
			t.Run(name+"/"+framing, func(t *testing.T) {
				for _, cut := range cutanswer.Cuts(answer) {
					require.Equal(t, core.ExecutionUnknown, core.ExecutionOf(callCut(t, call, answer, cut)), cut)
				}
				require.NoError(t, callCut(t, call, answer, cutanswer.Cut{Bytes: len(answer)}))
			})
		}
	}
}

func TestUnframedContentCutAfterAnyByteIsAnError(t *testing.T) {
	answer := cutanswer.Unframed("HTTP/1.1 200 OK\r\n", cutContent)
	for _, name := range []string{"manifest", "chunk"} {
		for _, cut := range cutanswer.Cuts(answer) {
			require.Error(t, callCut(t, cutCalls[name], answer, cut), "%s %v", name, cut)
		}
	}
}

func TestHeadCutAfterAnyByteHoldsNoChunk(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n"
	for _, cut := range cutanswer.Cuts(answer) {
		var held bool
		err := callCut(t, func(t *testing.T, c *Client) (err error) {
			held, err = c.HasChunk(t.Context(), core.DigestOf([]byte(cutContent)))
			return err
		}, answer, cut)
		require.Error(t, err, cut)
		require.False(t, held, cut)
	}
}
