package agent

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/httpcall"
	"currantusher.dev/wire"
)

func newTestBackend(t *testing.T, handler http.HandlerFunc) *backend {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return newBackend(server.URL)
}

// TestSendAttemptNeverRepeatsRequest aborts a reused connection after the server
// has read the request. net/http retries such a request if it carries an
// idempotency key and its body can be read again.
func TestSendAttemptNeverRepeatsRequest(t *testing.T) {
	var calls atomic.Int32
	b := newTestBackend(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if calls.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
		_, _ = io.WriteString(w, "{}")
	})
	d := wire.Dispatch{RequestID: "r", IdempotencyKey: "lot-1", Body: []byte("{}")}
	firstAnswer, err := b.sendAttempt(t.Context(), d)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, firstAnswer.body)
	require.NoError(t, err)
	require.NoError(t, firstAnswer.body.Close())

	_, err = b.sendAttempt(t.Context(), d)
	require.Equal(t, core.CodeEngineFailed, core.CodeOf(err))
	require.Equal(t, core.ExecutionUnknown, core.ExecutionOf(err))
	require.EqualValues(t, 2, calls.Load())

	request, err := b.newRequest(t.Context(), d)
	require.NoError(t, err)
	request.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(d.Body)), nil }
	calls.Store(0)
	for range 2 {
		response, err := b.client.Do(request, httpcall.Answer{MaxBodyBytes: httpcall.Unbounded})
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		request.Body, _ = request.GetBody()
	}
	require.Greater(t, calls.Load(), int32(2), "net/http retries the request if GetBody is set")
}

func TestSendAttemptChecksResponseHeader(t *testing.T) {
	weights := core.DigestOf([]byte("w"))
	tests := []struct {
		name      string
		answer    func(w http.ResponseWriter)
		code      core.Code
		execution core.Execution
	}{
		{"answer to another request", func(w http.ResponseWriter) {
			w.Header().Set(headerRequestID, "other")
		}, core.CodeCrossedAnswer, core.ExecutionUnknown},
		{"answer from other weights", func(w http.ResponseWriter) {
			w.Header().Set(headerRequestID, "r")
			w.Header().Set(headerWeights, core.DigestOf([]byte("x")).String())
		}, core.CodeDigestMismatch, core.ExecutionUnknown},
		{"status 429", func(w http.ResponseWriter) {
			w.WriteHeader(http.StatusTooManyRequests)
		}, core.CodeLimitReached, core.ExecutionNotRun},
		{"status 500", func(w http.ResponseWriter) {
			w.WriteHeader(http.StatusInternalServerError)
		}, core.CodeEngineFailed, core.ExecutionUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newTestBackend(t, func(w http.ResponseWriter, _ *http.Request) { test.answer(w) })
			_, err := b.sendAttempt(t.Context(), wire.Dispatch{RequestID: "r", Weights: weights})
			require.Equal(t, test.code, core.CodeOf(err))
			require.Equal(t, test.execution, core.ExecutionOf(err))
		})
	}
	_, err := newBackend("http://127.0.0.1:1").sendAttempt(t.Context(), wire.Dispatch{RequestID: "r"})
	require.Equal(t, core.ExecutionNotRun, core.ExecutionOf(err), "the connection was refused")
}

func TestRefusalOfAnotherRequestDoesNotRefuseARequestThatRan(t *testing.T) {
	for _, id := range []string{"", "earlier"} {
		var calls atomic.Int32
		b := newTestBackend(t, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			if calls.Add(1) > 1 {
				w.Header().Set(headerRequestID, id)
				w.WriteHeader(http.StatusTooManyRequests)
				return
			}
			w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
			_, _ = io.WriteString(w, "{}")
		})
		first, err := b.sendAttempt(t.Context(), wire.Dispatch{RequestID: "earlier"})
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, first.body)
		require.NoError(t, err)
		require.NoError(t, first.body.Close())

		_, err = b.sendAttempt(t.Context(), wire.Dispatch{RequestID: "r"})
		require.Equal(t, core.ExecutionUnknown, core.ExecutionOf(err), "id %q", id)
	}
}

func TestOnlyStreamsMayHaveNoLength(t *testing.T) {
	for contentType, code := range map[string]core.Code{eventStreamType: core.CodeOK, "application/json": core.CodeIncomplete} {
		b := newTestBackend(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerRequestID, "r")
			w.Header().Set("Content-Type", contentType)
			w.Header().Set("Transfer-Encoding", "identity")
			_, _ = w.Write(streamEndEvent)
			_ = http.NewResponseController(w).Flush()
		})
		answer, err := b.sendAttempt(t.Context(), wire.Dispatch{RequestID: "r"})
		require.Equal(t, code, core.CodeOf(err), contentType)
		if err == nil {
			require.NoError(t, answer.body.Close())
		}
	}
}

// frameRecorder records the frames that a relay sends.
type frameRecorder struct{ sent []wire.AnswerFrame }

func (f *frameRecorder) Send(message any) error {
	f.sent = append(f.sent, message.(wire.AnswerFrame))
	return nil
}

// data returns the bytes of the data frames.
func (f *frameRecorder) data() string {
	var data strings.Builder
	for _, frame := range f.sent {
		if frame.Data != nil {
			data.Write(frame.Data.Bytes)
		}
	}
	return data.String()
}

func TestRelayDetectsIncompleteStreams(t *testing.T) {
	tests := []struct {
		name   string
		body   string
		stream bool
		code   core.Code
	}{
		{"plain answer", "{}", false, core.CodeOK},
		{"complete stream", "data: a\n\n" + string(streamEndEvent), true, core.CodeOK},
		{"truncated stream", "data: a\n\n", true, core.CodeIncomplete},
		{"empty stream", "", true, core.CodeIncomplete},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			out := &frameRecorder{}
			firstBytes := 0
			r := newRelay(out, wire.Dispatch{RequestID: "r"}, func() { firstBytes++ })
			err := r.copyAnswer(&answer{body: io.NopCloser(strings.NewReader(test.body)), stream: test.stream})
			require.Equal(t, test.code, core.CodeOf(err))
			end := r.endFrame(err)
			require.EqualValues(t, len(test.body), end.Length)
			require.Equal(t, core.DigestOf([]byte(test.body)), end.Checksum)
			require.Equal(t, min(1, len(test.body)), firstBytes)
		})
	}
}

// A backend server answered the request that continues a stream with an error, whose text
// the caller got as the rest of the stream.
func TestErrorDoesNotContinueAStream(t *testing.T) {
	const event = "data: b\n\n"
	for name, c := range map[string]struct {
		contentType, body, forwarded string
		code                         core.Code
	}{
		"events":             {eventStreamType, event + string(streamEndEvent), event + string(streamEndEvent), core.CodeOK},
		"nothing left":       {eventStreamType, string(streamEndEvent), string(streamEndEvent), core.CodeOK},
		"JSON":               {"application/json", "{\"error\":\"failed\"}", "", core.CodeIncomplete},
		"text":               {"text/plain", event + string(streamEndEvent), "", core.CodeIncomplete},
		"no type":            {"", event + string(streamEndEvent), "", core.CodeIncomplete},
		"text in the stream": {eventStreamType, "failed\n\n" + string(streamEndEvent), "", core.CodeIncomplete},
		"head in the stream": {eventStreamType, "HTTP/1.1 500 No\r\nA: b\r\n\r\n" + string(streamEndEvent), "", core.CodeIncomplete},
		"error event":        {eventStreamType, "event: error\ndata: failed\n\n" + string(streamEndEvent), "", core.CodeIncomplete},
		"empty":              {eventStreamType, "", "", core.CodeIncomplete},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestBackend(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(headerRequestID, "r")
				w.Header()["Content-Type"] = []string{c.contentType}
				w.Header().Set("Content-Length", strconv.Itoa(len(c.body)))
				_, _ = io.WriteString(w, c.body)
			})
			out := &frameRecorder{}
			d := wire.Dispatch{RequestID: "r", Stream: true, ResumeOffset: 9}
			answer, err := b.sendAttempt(t.Context(), d)
			if err == nil {
				err = newRelay(out, d, func() {}).copyAnswer(answer)
				require.NoError(t, answer.body.Close())
			}
			require.Equal(t, c.code, core.CodeOf(err))
			require.Equal(t, c.forwarded, out.data())
		})
	}
}

// endlessReader is a body of one event without end.
type endlessReader struct{ read int }

func (r *endlessReader) Read(p []byte) (int, error) {
	r.read += len(p)
	return copy(p, bytes.Repeat([]byte("x"), len(p))), nil
}

func TestEndlessEventIsAbandoned(t *testing.T) {
	const bound = 1 << 20
	out := &frameRecorder{}
	r := newRelay(out, wire.Dispatch{RequestID: "r"}, func() {})
	body := &endlessReader{}
	err := r.copyAnswer(&answer{body: io.NopCloser(io.LimitReader(body, bound)), stream: true})
	require.Equal(t, core.CodeIncomplete, core.CodeOf(err))
	require.Less(t, body.read, bound)
	require.Zero(t, r.endFrame(err).Length)
}

func TestIncompleteEventIsNotForwarded(t *testing.T) {
	const whole = "data: a\n\n"
	for _, rest := range []string{"data: b", "data: [DONE]\n", "data: [DONE]\n\ndata: c"} {
		out := &frameRecorder{}
		r := newRelay(out, wire.Dispatch{RequestID: "r"}, func() {})
		err := r.copyAnswer(&answer{body: io.NopCloser(strings.NewReader(whole + rest)), stream: true})
		require.Equal(t, core.CodeIncomplete, core.CodeOf(err), rest)
		var forwarded string
		for _, frame := range out.sent {
			if frame.Data != nil {
				forwarded += string(frame.Data.Bytes)
			}
		}
		require.True(t, strings.HasSuffix(forwarded, "\n\n"), rest)
		require.EqualValues(t, len(forwarded), r.endFrame(err).Length, rest)
	}
}
