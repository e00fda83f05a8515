package direct

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/attempt"
	"currantusher.dev/requests/dispatch"
	"currantusher.dev/requests/eventstream"
	"currantusher.dev/requests/fair"
	"currantusher.dev/requests/placement"
	"currantusher.dev/requests/upstream"
	"currantusher.dev/wire"
)

const (
	// endlessBytes is how much a server sends at most where it sends without end, far
	// more than the buffers of a connection hold.
	endlessBytes = 64 << 20
	// testTimeout bounds attempts that must not need it.
	testTimeout = 30 * time.Second
)

// serveRaw passes each connection to serve once a request has begun to arrive.
func serveRaw(t *testing.T, serve func(conn *net.TCPConn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, _ = conn.Read(make([]byte, 4096))
				serve(conn.(*net.TCPConn))
			}()
		}
	}()
	return listener.Addr().String()
}

// serveEndless answers with start and then repeats part. The channel gets the error that
// ended the writing, or nil if the client read endlessBytes.
func serveEndless(t *testing.T, start, part string) (string, <-chan error) {
	t.Helper()
	served := make(chan error, 1)
	block := []byte(strings.Repeat(part, max(1, 16<<10/len(part))))
	addr := serveRaw(t, func(conn *net.TCPConn) {
		_, err := io.WriteString(conn, start)
		for sent := 0; err == nil && sent < endlessBytes; sent += len(block) {
			_, err = conn.Write(block)
		}
		served <- err
	})
	return addr, served
}

// serveStalled answers with text and then waits until the client closes the connection.
func serveStalled(t *testing.T, text string) string {
	t.Helper()
	return serveRaw(t, func(conn *net.TCPConn) {
		_, _ = io.WriteString(conn, text)
		_, _ = io.Copy(io.Discard, conn)
	})
}

func newNonResumableExchange() *Exchange {
	e := newTestExchange(fleet.RouteStreaming)
	e.request.Repeatable, e.request.Resumable = false, false
	return e
}

// send starts an attempt whose time is bounded by testTimeout.
func send(t *testing.T, e *Exchange, addr string) (context.Context, dispatch.ReplyStream) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	stream, err := e.Send(ctx, placement.Candidate{ID: "s-1", Addr: addr}, wire.Dispatch{DeadlineMillis: 10000})
	require.NoError(t, err)
	t.Cleanup(stream.Cancel)
	return ctx, stream
}

func TestStreamThatEndsWithinAnEventIsBroken(t *testing.T) {
	const whole = "id: 1\ndata: a\n\n"
	framings := map[string]func(body string) string{
		"without a length": func(body string) string { return okAnswerHead + "\r\n" + body },
		"with chunks": func(body string) string {
			return okAnswerHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body) + "0\r\n\r\n"
		},
		"with a length": func(body string) string {
			return okAnswerHead + "Content-Length: " + decimal(len(body)) + "\r\n\r\n" + body
		},
	}
	exchanges := map[string]func() *Exchange{
		"resumable":     func() *Exchange { return newTestExchange(fleet.RouteStreaming) },
		"not resumable": newNonResumableExchange,
	}
	for framing, answer := range framings {
		for kind, newExchange := range exchanges {
			for _, c := range []struct {
				name, body, forwarded string
				isComplete            bool
			}{
				{"whole", whole, whole, true},
				{"within a field", whole + "id: 2\nda", whole, false},
				{"after a line", whole + "id: 2\ndata: b\n", whole, false},
				{"within the first event", "id: 1\nda", "", false},
				{"whole with CR and LF", "id: 1\r\ndata: a\r\n\r\n", "id: 1\r\ndata: a\r\n\r\n", true},
				{"whole with CR", "id: 1\rdata: a\r\r", "id: 1\rdata: a\r\r", true},
				{"after a line with CR and LF", "id: 1\r\ndata: a\r\n\r\nid: 2\r\n", "id: 1\r\ndata: a\r\n\r\n", false},
			} {
				t.Run(framing+"/"+kind+"/"+c.name, func(t *testing.T) {
					body, end, err := receive(t, newExchange(), serveRawAnswer(t, answer(c.body)))
					require.Equal(t, c.forwarded, body, "only whole events are handed on")
					if c.isComplete {
						require.NoError(t, err)
						require.Equal(t, core.CodeOK, end.Code)
						return
					}
					require.Error(t, err)
					require.NotEqual(t, core.ExecutionNotRun, core.ExecutionOf(err))
				})
			}
		}
	}
}

func TestUnframedStreamThatEndsBeforeItsFirstEventIsBroken(t *testing.T) {
	for _, newExchange := range []func() *Exchange{func() *Exchange { return newTestExchange(fleet.RouteStreaming) }, newNonResumableExchange} {
		_, _, err := receive(t, newExchange(), serveRawAnswer(t, okAnswerHead+"\r\n"))
		require.Error(t, err)
	}
	for _, c := range []struct {
		rest       string
		isComplete bool
	}{{"\r\n", false}, {"Content-Length: 0\r\n\r\n", true}, {"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", true}} {
		e := newTestExchange(fleet.RouteStreaming)
		e.lastEventID = "6"
		_, end, err := receive(t, e, serveRawAnswer(t, okAnswerHead+c.rest))
		if !c.isComplete {
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
			continue
		}
		require.NoError(t, err, "the server said that nothing was left after the last event")
		require.Equal(t, core.CodeOK, end.Code)
	}
}

func TestEndlessEventIsAbandoned(t *testing.T) {
	for name, start := range map[string]string{
		"at the start":   "",
		"after an event": "id: 1\ndata: a\n\n",
	} {
		for _, part := range []string{"x", "data: a\n", "\x00\xff"} {
			for _, newExchange := range []func() *Exchange{func() *Exchange { return newTestExchange(fleet.RouteStreaming) }, newNonResumableExchange} {
				t.Run(name, func(t *testing.T) {
					addr, served := serveEndless(t, okAnswerHead+"\r\n"+start, part)
					body, _, err := receive(t, newExchange(), addr)
					require.ErrorIs(t, err, eventstream.ErrTooLarge)
					require.Equal(t, start, body)
					require.Error(t, <-served, "the client read all bytes")
				})
			}
		}
	}
}

func TestEndlessHeadFailsTheAttempt(t *testing.T) {
	for _, kind := range []fleet.RouteKind{fleet.RouteSafe, fleet.RouteUnsafe, fleet.RouteStreaming} {
		addr, served := serveEndless(t, "HTTP/1.1 200 OK\r\n", "X-A: a\r\n")
		_, _, err := receive(t, newTestExchange(kind), addr)
		require.ErrorIs(t, err, upstream.ErrHeadTooLarge)
		require.NotEqual(t, core.ExecutionNotRun, core.ExecutionOf(err))
		require.Error(t, <-served, "the client read all bytes")
	}
}

// Each attempt is bounded by its context, which is that of at-most-once requests too.
func TestTrickledHeadEndsWithTheAttempt(t *testing.T) {
	e := newTestExchange(fleet.RouteUnsafe)
	e.request.Repeatable = false
	addr := serveRaw(t, func(conn *net.TCPConn) {
		for _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n"); err == nil; _, err = io.WriteString(conn, "X") {
			time.Sleep(time.Millisecond)
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	stream, err := e.Send(ctx, placement.Candidate{ID: "s-1", Addr: addr}, wire.Dispatch{DeadlineMillis: 10000})
	require.NoError(t, err)
	_, err = stream.Recv()
	require.Error(t, err)
	require.Error(t, ctx.Err())
}

func TestConnectionIsNotKeptAfterARefusal(t *testing.T) {
	const refusal = "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\n"
	for name, head := range map[string]string{
		"with a length":    "Content-Length: 100000000\r\n\r\n",
		"without a length": "\r\n",
		"with chunks":      "Transfer-Encoding: chunked\r\n\r\n5f5e100\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			addr, served := serveEndless(t, refusal+head, "x")
			e := newTestExchange(fleet.RouteUnsafe)
			_, end, err := receive(t, e, addr)
			require.NoError(t, err)
			require.Equal(t, core.ExecutionNotRun, end.Execution)
			require.Zero(t, e.pool.CloseExpired())
			require.Error(t, <-served, "the client read all bytes")
		})
	}
	e := newTestExchange(fleet.RouteUnsafe)
	closed := make(chan error, 1)
	addr := serveRaw(t, func(conn *net.TCPConn) {
		_, _ = io.WriteString(conn, refusal+"Content-Length: 2\r\n\r\nno")
		_, err := io.Copy(io.Discard, conn)
		closed <- err
	})
	_, end, err := receive(t, e, addr)
	require.NoError(t, err)
	require.Equal(t, core.ExecutionNotRun, end.Execution)
	require.Zero(t, e.pool.CloseExpired(), "a copy of the refusal may follow")
	require.Error(t, <-closed, "a request that the server has not read is discarded by a reset")
}

// The rest of a long refusal came where the answer to the next request was due.
func TestRefusalBodyLongerThanTheBoundDoesNotReachTheNextAnswer(t *testing.T) {
	body := strings.Repeat("x", maxFailureBytes)
	rest := make(chan struct{})
	addr := serveRaw(t, func(conn *net.TCPConn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: "+decimal(len(body)+1)+"\r\n\r\n"+body)
		<-rest
	})
	defer close(rest)
	e := newTestExchange(fleet.RouteUnsafe)
	_, end, err := receive(t, e, addr)
	require.NoError(t, err)
	require.Equal(t, core.ExecutionNotRun, end.Execution)
	require.Zero(t, e.pool.CloseExpired(), "a byte of the body is still to come")
}

func TestRefusalDoesNotWaitForTheEndOfItsBody(t *testing.T) {
	for name, rest := range map[string]string{
		"with a length":    "Content-Length: 10\r\n\r\nx",
		"without a length": "\r\nx",
		"with chunks":      "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			e := newTestExchange(fleet.RouteUnsafe)
			ctx, stream := send(t, e, serveStalled(t, "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\n"+rest))
			reply, err := stream.Recv()
			require.NoError(t, err)
			require.Equal(t, core.ExecutionNotRun, reply.End.Execution)
			require.NoError(t, ctx.Err(), "the refusal came only at the end of the attempt")
			require.Zero(t, e.pool.CloseExpired())
		})
	}
}

func TestServerErrorWithAnEndlessBodyFailsTheAttempt(t *testing.T) {
	addr, served := serveEndless(t, "HTTP/1.1 500 No\r\nX-Id: r-1\r\n\r\n", "x")
	e := newTestExchange(fleet.RouteSafe)
	_, _, err := receive(t, e, addr)
	require.Error(t, err)
	require.Nil(t, e.Failure())
	require.Error(t, <-served, "the client read all bytes")
}

func TestClientErrorOnAStreamingRouteIsNoEventStream(t *testing.T) {
	const clientError = "HTTP/1.1 422 No\r\nX-Id: r-1\r\n"
	for _, newExchange := range []func() *Exchange{func() *Exchange { return newTestExchange(fleet.RouteStreaming) }, newNonResumableExchange} {
		body, end, err := receive(t, newExchange(), serveRawAnswer(t, clientError+"Content-Length: 2\r\n\r\nno"))
		require.NoError(t, err)
		require.Equal(t, core.CodeOK, end.Code)
		require.Equal(t, "no", body)

		addr, served := serveEndless(t, clientError+"\r\n", "x")
		_, _, err = receive(t, newExchange(), addr)
		require.ErrorIs(t, err, ErrBodyTooLarge)
		require.Error(t, <-served, "the client read all bytes")
	}
}

// The caller already has the head and the first events of another answer.
func TestClientErrorDoesNotEndAResumedStream(t *testing.T) {
	for name, rest := range map[string]string{"empty": "Content-Length: 0\r\n\r\n", "with a body": "Content-Length: 2\r\n\r\nno"} {
		t.Run(name, func(t *testing.T) {
			e := newTestExchange(fleet.RouteStreaming)
			_, _, err := receive(t, e, serveRawAnswer(t, okAnswerHead+"\r\nid: 1\ndata: a\n\nid: 2\nda"))
			require.Error(t, err)
			require.NoError(t, e.Begin("", core.Digest{}))
			body, _, err := receive(t, e, serveRawAnswer(t, "HTTP/1.1 404 No\r\nX-Id: r-1\r\n"+rest))
			require.Error(t, err)
			require.Empty(t, body)
		})
	}
}

func TestEventIDsThatFitInNoHeaderAreNotSent(t *testing.T) {
	for name, id := range map[string]string{
		"control character": "5\x00",
		"too long":          strings.Repeat("5", eventstream.MaxIDBytes+1),
	} {
		t.Run(name, func(t *testing.T) {
			e := newTestExchange(fleet.RouteStreaming)
			body, _, err := receive(t, e, serveRawAnswer(t, okAnswerHead+"\r\nid: "+id+"\ndata: a\n\n"))
			require.ErrorIs(t, err, eventstream.ErrInvalidID)
			require.Empty(t, body)
			require.NotContains(t, string(e.encodeRequest("s-2", e.request.Version("s-2"), time.Second)), "Last-Event-Id")
		})
	}
	e := newTestExchange(fleet.RouteStreaming)
	_, _, err := receive(t, e, serveRawAnswer(t, okAnswerHead+"\r\nid: 5\rX-Evil: 1\n\nid: 6"))
	require.Error(t, err)
	request := string(e.encodeRequest("s-2", e.request.Version("s-2"), time.Second))
	require.Contains(t, request, "Last-Event-Id: 5\r\n")
	require.NotContains(t, request, "X-Evil")
}

// A server that sent a byte now and then kept its stream from being resumed.
func TestBytesOfAnIncompleteEventDoNotExtendTheIdleTimeout(t *testing.T) {
	e := newTestExchange(fleet.RouteStreaming)
	trickling := serveRaw(t, func(conn *net.TCPConn) {
		for _, err := io.WriteString(conn, okAnswerHead+"\r\nid: 1\ndata: a\n\ndata: "); err == nil; _, err = io.WriteString(conn, "x") {
			time.Sleep(time.Millisecond)
		}
	})
	resumedAfter := make(chan string, 1)
	sound := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		resumedAfter <- r.Header.Get("Last-Event-Id")
		w.Header().Set("X-Id", "r-1")
		w.Header().Set("X-Seal", "s")
		w.Header().Set("Content-Type", eventstream.MediaType)
		_, _ = io.WriteString(w, secondEvent)
	}))
	defer sound.Close()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	request := dispatch.Request{
		ID: "r-1", Deadline: time.Now().Add(testTimeout), Stream: true, Sender: e, IdleTimeout: 100 * time.Millisecond,
		Candidates: func() []placement.Candidate {
			candidates := []placement.Candidate{{ID: "s-1", Addr: trickling, Limit: 4, Direct: true, FreeSlots: 4}}
			if e.Attempts() > 0 {
				candidates = append(candidates, placement.Candidate{ID: "s-2", Addr: sound.Listener.Addr().String(), Limit: 4, Direct: true, FreeSlots: 4})
			}
			return candidates
		},
	}
	require.NoError(t, newTestDispatcher().Do(ctx, request, e))
	require.Equal(t, 2, e.Attempts())
	require.Equal(t, "1", <-resumedAfter)
	require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", e.writer.(*httptest.ResponseRecorder).Body.String())
}

func newTestDispatcher() *dispatch.Dispatcher {
	placer := placement.New(placement.Config{Entry: "e", RetryBurst: 4})
	queue := fair.New(fair.Config{Capacity: func() int { return 4 }})
	return dispatch.New(dispatch.Config{
		Attempts: attempt.NewGenerator("e", 1),
		Queue:    func(core.PoolName) *fair.Queue { return queue },
		Placer:   func(core.PoolName) *placement.Placer { return placer },
	})
}

func TestPlainAnswerWithoutLength(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Seal: s\r\n\r\n"
	e := newTestExchange(fleet.RouteUnsafe)
	body, end, err := receive(t, e, serveRawAnswer(t, head+"ok"))
	require.NoError(t, err)
	require.Equal(t, core.CodeOK, end.Code)
	require.Equal(t, "ok", body)
	require.Zero(t, e.pool.CloseExpired())
	require.NoError(t, e.Begin("", core.Digest{}))
	require.Equal(t, "2", e.writer.Header().Get("Content-Length"))

	addr := serveRaw(t, func(conn *net.TCPConn) {
		_, _ = io.WriteString(conn, head+"ok")
		_ = conn.SetLinger(0)
	})
	_, _, err = receive(t, newTestExchange(fleet.RouteUnsafe), addr)
	require.Error(t, err)
}

func TestAnswersWithoutBody(t *testing.T) {
	for name, c := range map[string]struct{ method, answer string }{
		"HEAD":                  {http.MethodHead, okAnswerHead + "Content-Length: 7\r\n\r\n"},
		"HEAD without a length": {http.MethodHead, okAnswerHead + "\r\n"},
		"204":                   {http.MethodPost, "HTTP/1.1 204 No Content\r\nX-Id: r-1\r\nX-Seal: s\r\n\r\n"},
		"304":                   {http.MethodGet, "HTTP/1.1 304 Not Modified\r\nX-Id: r-1\r\nContent-Length: 7\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			e := newTestExchange(fleet.RouteSafe)
			e.request.Method = c.method
			body, end, err := receive(t, e, serveStalled(t, c.answer))
			require.NoError(t, err)
			require.Equal(t, core.CodeOK, end.Code)
			require.Empty(t, body)
		})
	}
}

func decimal(n int) string { return strconv.Itoa(n) }

func chunk(body string) string {
	return strconv.FormatInt(int64(len(body)), 16) + "\r\n" + body + "\r\n"
}
