package direct

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/notices"
	"currantusher.dev/requests/placement"
	"currantusher.dev/wire"
)

// noticeObserver records the notices and invalid headers.
type noticeObserver struct {
	nopObserver
	notices map[notices.Lifetime]notices.Notice
	invalid []string
	closed  error
}

func (o *noticeObserver) NoticeReceived(server notices.Lifetime, notice notices.Notice) {
	o.notices[server] = notice
}

func (o *noticeObserver) InvalidHeader(_ core.InstanceID, header string, _ error) {
	o.invalid = append(o.invalid, header)
}

func (o *noticeObserver) CheckOpen(notices.Lifetime) error { return o.closed }

func TestNoticesInAnswers(t *testing.T) {
	const refused = "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n"
	cases := []struct {
		name, answer string
		want         notices.Notice
		code         core.Code
		invalid      []string
	}{
		{name: "none", answer: okAnswerHead + "Content-Length: 0\r\n"},
		{name: "leaving", answer: okAnswerHead + "X-Leaving: 1\r\nContent-Length: 0\r\n", want: notices.Notice{Leaving: true}},
		{name: "leaving in a client error", answer: "HTTP/1.1 422 No\r\nX-Id: r-1\r\nX-Leaving: 1\r\nContent-Length: 0\r\n", want: notices.Notice{Leaving: true}},
		{name: "leaving in a server error", answer: "HTTP/1.1 500 No\r\nX-Id: r-1\r\nX-Leaving: 1\r\nContent-Length: 0\r\n",
			want: notices.Notice{Leaving: true}, code: core.CodeEngineFailed},
		{name: "leaving in a refusal", answer: refused + "X-Leaving: 1\r\n", want: notices.Notice{Leaving: true}, code: core.CodeEngineNotServing},
		{name: "pause", answer: refused + "Retry-After: 1.75\r\n", want: notices.Notice{Pause: 1750 * time.Millisecond}, code: core.CodeServerClosed},
		{name: "pause and leaving", answer: refused + "Retry-After: 2\r\nX-Leaving: 1\r\n",
			want: notices.Notice{Leaving: true, Pause: 2 * time.Second}, code: core.CodeServerClosed},
		{name: "pause without the not-run header", answer: "HTTP/1.1 503 No\r\nX-Id: r-1\r\nRetry-After: 2\r\nContent-Length: 0\r\n",
			want: notices.Notice{Pause: 2 * time.Second}, code: core.CodeEngineFailed},
		{name: "time in another status", answer: "HTTP/1.1 429 No\r\nX-Not-Run: 1\r\nRetry-After: 2\r\nContent-Length: 0\r\n", code: core.CodeEngineNotServing},
		{name: "time that is no number", answer: refused + "Retry-After: NaN\r\n", code: core.CodeEngineNotServing, invalid: []string{notices.RetryAfterHeader}},
		{name: "time below 0", answer: refused + "Retry-After: -3\r\n", code: core.CodeEngineNotServing, invalid: []string{notices.RetryAfterHeader}},
		{name: "time too long", answer: refused + "Retry-After: 1e300\r\n", want: notices.Notice{Pause: notices.MaxPause}, code: core.CodeServerClosed},
		{name: "unknown value", answer: okAnswerHead + "X-Leaving: maybe\r\nContent-Length: 0\r\n", invalid: []string{"X-Leaving"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := newTestExchange(fleet.RouteSafe)
			observer := &noticeObserver{notices: map[notices.Lifetime]notices.Notice{}}
			e.observer = observer
			stream, err := e.Send(context.Background(), placement.Candidate{ID: "s-1", Incarnation: 7, Addr: serveRawAnswer(t, c.answer+"\r\n")}, wire.Dispatch{DeadlineMillis: 10000})
			require.NoError(t, err)
			defer stream.Cancel()
			reply, err := stream.Recv()
			require.NoError(t, err)
			require.Equal(t, map[notices.Lifetime]notices.Notice{{Server: "s-1", Incarnation: 7}: c.want}, observer.notices)
			require.Equal(t, c.invalid, observer.invalid)
			if c.code == core.CodeOK {
				require.Nil(t, reply.End)
				return
			}
			require.Equal(t, c.code, reply.End.Code)
			require.Zero(t, reply.End.RetryAfterMillis, "the server's time is not passed on")
		})
	}
}

// An answer of another server at a reused address must not close the listed server.
func TestNoticeOfAnotherServerIsIgnored(t *testing.T) {
	e := newTestExchange(fleet.RouteSafe)
	observer := &noticeObserver{notices: map[notices.Lifetime]notices.Notice{}}
	e.observer = observer
	_, end, err := receive(t, e, serveRawAnswer(t, "HTTP/1.1 421 No\r\nX-Server: s-2\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n"))
	require.NoError(t, err)
	require.Equal(t, core.CodeEngineNotServing, end.Code)
	require.Empty(t, observer.notices)
}

// The server may close while the request waits for a connection.
func TestNothingIsWrittenToAClosedServer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	e := newTestExchange(fleet.RouteSafe)
	e.observer = &noticeObserver{closed: core.NewRefusal(core.CodeServerClosed, 0, "leaving")}
	_, err = e.Send(context.Background(), placement.Candidate{ID: "s-1", Addr: listener.Addr().String()}, wire.Dispatch{DeadlineMillis: 10000})
	require.Equal(t, core.ExecutionNotRun, core.ExecutionOf(err))
	require.False(t, errors.Is(err, wire.ErrNotConnected))
	require.Zero(t, e.Attempts())
	conn, err := listener.Accept()
	require.NoError(t, err)
	received, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Empty(t, received)
}

// The time that a server names is for the entry, whose other servers may be open.
func TestFailureIsPassedOnWithoutTheServersTime(t *testing.T) {
	e := newTestExchange(fleet.RouteSafe)
	_, _, err := receive(t, e, serveRawAnswer(t, "HTTP/1.1 503 No\r\nX-Id: r-1\r\nRetry-After: 90\r\nX-Seal: s\r\nContent-Length: 2\r\n\r\nno"))
	require.NoError(t, err)
	recorder := httptest.NewRecorder()
	e.writer = recorder
	require.NoError(t, e.WriteFailure(e.Failure()))
	require.Equal(t, http.StatusServiceUnavailable, recorder.Code)
	require.Equal(t, "no", recorder.Body.String())
	require.Empty(t, recorder.Header().Get("Retry-After"))
	require.Equal(t, "s", recorder.Header().Get("X-Seal"))
}
