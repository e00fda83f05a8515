package engine

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/standin/backend"
)

// post sends a generation request and returns the response with an unread body.
func (r *testEngine) post(accept string) *http.Response {
	r.t.Helper()
	request, err := http.NewRequest("POST", r.http.URL+"/v1/generate", strings.NewReader(testBody))
	require.NoError(r.t, err)
	request.Header.Set("X-Request-Id", "r-1")
	request.Header.Set("Accept", accept)
	response, err := r.http.Client().Do(request)
	require.NoError(r.t, err)
	return response
}

func TestUnframedAnswersAreWhole(t *testing.T) {
	r := newTestEngine(t, nil)
	r.warm("a")
	_, _, plain, err := r.generate()
	require.NoError(t, err)
	_, _, stream, err := r.generate("Accept", "text/event-stream")
	require.NoError(t, err)
	require.NoError(t, r.engine.Inject(backend.Faults{UnframedAnswers: 2}))
	for _, test := range []struct{ accept, want string }{{"", plain}, {"text/event-stream", stream}} {
		response := r.post(test.accept)
		require.EqualValues(t, -1, response.ContentLength)
		require.Empty(t, response.TransferEncoding)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, test.want, string(body))
	}
}

func TestStreamEndsWithinAnEventWithoutAnError(t *testing.T) {
	r := newTestEngine(t, nil)
	r.warm("a")
	require.NoError(t, r.engine.Inject(backend.Faults{BrokenEvents: 1}))
	_, _, part, err := r.generate("Accept", "text/event-stream")
	require.NoError(t, err)
	require.Equal(t, 4, strings.Count(part, "data: "))
	require.False(t, strings.HasSuffix(part, "\n"))
}

func TestEndlessAnswersLastUntilTheClientCloses(t *testing.T) {
	const readBytes = 1 << 20
	r := newTestEngine(t, nil)
	r.warm("a")
	require.NoError(t, r.engine.Inject(backend.Faults{EndlessBodies: 2}))
	for _, accept := range []string{"", "text/event-stream"} {
		response := r.post(accept)
		_, err := io.CopyN(io.Discard, response.Body, readBytes)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
	}
	require.NoError(t, r.engine.Inject(backend.Faults{EndlessHeads: 1}))
	_, _, _, err := r.generate()
	require.ErrorContains(t, err, "server response headers exceeded")
	require.Eventually(t, func() bool { return r.engine.Counters().Running == 0 }, time.Minute, time.Millisecond)
}
