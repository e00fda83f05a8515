package direct

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/fleet"
)

// serveStreamAfter answers the first request with first and the others with a stream,
// whose second event is sent once more is closed.
func serveStreamAfter(t *testing.T, first http.HandlerFunc, more <-chan struct{}) string {
	t.Helper()
	var requests atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", "r-1")
		if requests.Add(1) == 1 {
			first(w, r)
			return
		}
		w.Header().Set("X-Seal", "s")
		_, _ = io.WriteString(w, firstEvent)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-more:
		case <-r.Context().Done():
		}
		_, _ = io.WriteString(w, secondEvent)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// The connection was in the pool, and another request could already use it.
func TestEndOfAnAttemptDoesNotCutTheNextStreamOnItsConnection(t *testing.T) {
	for name, first := range map[string]http.HandlerFunc{
		"421": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) },
		"503": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		"500": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		"whole stream": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Seal", "s")
			_, _ = io.WriteString(w, firstEvent)
		},
	} {
		t.Run(name, func(t *testing.T) {
			more := make(chan struct{})
			addr := serveStreamAfter(t, first, more)
			ended, next := newTestExchange(fleet.RouteStreaming), newTestExchange(fleet.RouteStreaming)
			next.pool = ended.pool

			attempt := startAttempt(t, ended, "s-1", addr)
			for {
				reply, err := attempt.Recv()
				require.NoError(t, err)
				if reply.End != nil {
					break
				}
			}
			stream := startAttempt(t, next, "s-1", addr)
			requireEvent(t, stream, firstEvent)
			attempt.Cancel()
			close(more)
			requireEvent(t, stream, secondEvent)
		})
	}
}
