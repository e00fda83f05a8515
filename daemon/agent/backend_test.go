package agent

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/wire"
)

func newServer(t *testing.T, handler http.HandlerFunc) *backend {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return newBackend(server.URL)
}

// TestRunNeverSendsTwice breaks a reused connection after the request arrived.
// net/http repeats such a request when it carries an idempotency key and its
// body can be read again.
func TestRunNeverSendsTwice(t *testing.T) {
	var calls atomic.Int32
	b := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if calls.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
		_, _ = io.WriteString(w, "{}")
	})
	d := wire.Dispatch{RequestID: "r", IdempotencyKey: "lot-1", Body: []byte("{}")}
	first, err := b.run(t.Context(), d)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, first.body)
	require.NoError(t, err)
	require.NoError(t, first.body.Close())

	_, err = b.run(t.Context(), d)
	require.Equal(t, core.CodeEngineFailed, core.CodeOf(err))
	require.Equal(t, core.ExecutionUnknown, core.ExecutionOf(err))
	require.EqualValues(t, 2, calls.Load())

	request, err := b.newRequest(t.Context(), d)
	require.NoError(t, err)
	request.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(d.Body)), nil }
	calls.Store(0)
	for range 2 {
		response, err := b.client.Do(request)
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		request.Body, _ = request.GetBody()
	}
	require.Greater(t, calls.Load(), int32(2), "the guard is needed: net/http repeats by itself")
}

func TestRunChecksTheAnswer(t *testing.T) {
	weights := core.DigestOf([]byte("w"))
	tests := []struct {
		name   string
		answer func(w http.ResponseWriter)
		code   core.Code
		work   core.Execution
	}{
		{"crossed", func(w http.ResponseWriter) {
			w.Header().Set(headerRequestID, "other")
		}, core.CodeCrossedAnswer, core.ExecutionUnknown},
		{"other weights", func(w http.ResponseWriter) {
			w.Header().Set(headerRequestID, "r")
			w.Header().Set(headerWeights, core.DigestOf([]byte("x")).String())
		}, core.CodeDigestMismatch, core.ExecutionUnknown},
		{"full", func(w http.ResponseWriter) {
			w.WriteHeader(http.StatusTooManyRequests)
		}, core.CodeLimitReached, core.ExecutionNotRun},
		{"failed", func(w http.ResponseWriter) {
			w.WriteHeader(http.StatusInternalServerError)
		}, core.CodeEngineFailed, core.ExecutionUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newServer(t, func(w http.ResponseWriter, _ *http.Request) { test.answer(w) })
			_, err := b.run(t.Context(), wire.Dispatch{RequestID: "r", Weights: weights})
			require.Equal(t, test.code, core.CodeOf(err))
			require.Equal(t, test.work, core.ExecutionOf(err))
		})
	}
	_, err := newBackend("http://127.0.0.1:1").run(t.Context(), wire.Dispatch{RequestID: "r"})
	require.Equal(t, core.ExecutionNotRun, core.ExecutionOf(err), "no connection was made")
}

// frames collects what a relay sends.
type frames struct{ sent []wire.AnswerFrame }

func (f *frames) Send(message any) error {
	f.sent = append(f.sent, message.(wire.AnswerFrame))
	return nil
}

func TestRelayKnowsWholeStreams(t *testing.T) {
	tests := []struct {
		name   string
		body   string
		stream bool
		code   core.Code
	}{
		{"plain", "{}", false, core.CodeOK},
		{"whole stream", "data: a\n\n" + string(streamEnd), true, core.CodeOK},
		{"cut stream", "data: a\n\n", true, core.CodeIncomplete},
		{"empty stream", "", true, core.CodeIncomplete},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			out := &frames{}
			first := 0
			r := newRelay(out, wire.Dispatch{RequestID: "r"}, func() { first++ })
			err := r.copy(&answer{body: io.NopCloser(strings.NewReader(test.body)), stream: test.stream})
			require.Equal(t, test.code, core.CodeOf(err))
			end := r.end(err)
			require.EqualValues(t, len(test.body), end.Length)
			require.Equal(t, core.DigestOf([]byte(test.body)), end.Checksum)
			require.Equal(t, min(1, len(test.body)), first)
		})
	}
}
