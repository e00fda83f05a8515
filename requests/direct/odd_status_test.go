package direct

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/core/oddstatus"
	"currantusher.dev/requests/attempt"
	"currantusher.dev/requests/dispatch"
	"currantusher.dev/requests/fair"
	"currantusher.dev/requests/placement"
)

const sealedFields = "X-Id: r-1\r\nX-Seal: odd\r\nContent-Type: text/event-stream\r\n"

// oddAnswers have the events that follow begunEvents.
func oddAnswers() map[string]string {
	answers := oddstatus.Answers(sealedFields, restEvents)
	for line, answer := range oddstatus.Answers(sealedFields+"X-Not-Run: 1\r\nX-Leaving: 1\r\nX-Limit: 5\r\n", "") {
		answers[line+", not run"] = answer
	}
	return answers
}

func TestAnswerWithoutAStatusOfHTTPProvesNothingAboutTheRequestOrItsServer(t *testing.T) {
	for line, answer := range oddAnswers() {
		for _, kind := range []fleet.RouteKind{fleet.RouteSafe, fleet.RouteUnsafe, fleet.RouteStreaming} {
			t.Run(kind.String()+"/"+line, func(t *testing.T) {
				e := newTestExchange(kind)
				var began, ended, otherwise int
				e.observer = beginObserver{began: &began, ended: &ended, otherwise: &otherwise}
				body, end, err := receive(t, e, serveRawAnswer(t, answer))
				require.Error(t, err)
				require.Equal(t, core.ExecutionUnknown, core.ExecutionOf(err))
				require.Nil(t, end)
				require.Empty(t, body)
				require.Nil(t, e.Failure())
				require.Zero(t, began+otherwise, "the request is not proven sound")
				require.Zero(t, e.pool.CloseExpired(), "the connection is not kept")
			})
		}
	}
}

// dispatchPlain runs a request at servers in order. It returns what the caller got, and
// whether the first server is held for a failed one.
func dispatchPlain(t *testing.T, kind fleet.RouteKind, addrs ...string) (_ *httptest.ResponseRecorder, hasFailed bool, _ error) {
	t.Helper()
	return dispatchPlainWith(t, kind, func(*dispatch.Request) {}, addrs...)
}

func dispatchPlainWith(t *testing.T, kind fleet.RouteKind, change func(*dispatch.Request), addrs ...string) (_ *httptest.ResponseRecorder, hasFailed bool, _ error) {
	t.Helper()
	placer := placement.New(placement.Config{RetryBurst: len(addrs), EjectAfterFailures: 1})
	queue := fair.New(fair.Config{Capacity: func() int { return len(addrs) }})
	d := dispatch.New(dispatch.Config{
		Attempts: attempt.NewGenerator("e-1", 1),
		Queue:    func(core.PoolName) *fair.Queue { return queue },
		Placer:   func(core.PoolName) *placement.Placer { return placer },
	})
	server := func(i int) []placement.Candidate {
		return []placement.Candidate{{ID: core.InstanceID(rune('a' + i)), Addr: addrs[i], Limit: 4, FreeSlots: 4, Direct: true}}
	}
	e := newTestExchange(kind)
	e.request.Repeatable = kind == fleet.RouteSafe
	request := dispatch.Request{
		ID: "r-1", Deadline: time.Now().Add(testTimeout), Sender: e, MaxAttempts: len(addrs), AtMostOnce: !e.request.Repeatable, Unclaimed: true,
		Candidates: func() []placement.Candidate { return server(min(e.Attempts(), len(addrs)-1)) },
	}
	change(&request)
	err := d.Do(t.Context(), request, e)
	return e.writer.(*httptest.ResponseRecorder), !placer.HasEligible(time.Now(), placement.Request{}, server(0)), err
}

func TestCallerGetsNothingOfAnAnswerWithoutAStatusOfHTTP(t *testing.T) {
	sound := withLength(okAnswerHead, "ok")
	_, hasFailed, err := dispatchPlain(t, fleet.RouteSafe, serveRawAnswer(t, sound))
	require.NoError(t, err)
	require.False(t, hasFailed)
	for line, answer := range oddAnswers() {
		t.Run(line, func(t *testing.T) {
			recorder, hasFailed, err := dispatchPlain(t, fleet.RouteSafe, serveRawAnswer(t, answer), serveRawAnswer(t, sound))
			require.NoError(t, err, "another server answers")
			require.True(t, hasFailed)
			require.Equal(t, "ok", recorder.Body.String())
			require.Equal(t, []string{"s"}, recorder.Header()["X-Seal"])
			for _, kind := range []fleet.RouteKind{fleet.RouteSafe, fleet.RouteUnsafe} {
				recorder, hasFailed, err = dispatchPlain(t, kind, serveRawAnswer(t, answer))
				require.True(t, hasFailed)
				require.Error(t, err)
				require.Equal(t, core.ExecutionUnknown, core.ExecutionOf(err))
				require.Equal(t, http.StatusBadGateway, core.CodeOf(err).Info().HTTPStatus)
				require.Empty(t, recorder.Header())
				require.Empty(t, recorder.Body.String())
			}
			requireContinued(t, brokenAnswer, answer, "", false)
			body, err := handOver(t, answer)
			require.NoError(t, err, "its server goes on")
			require.Equal(t, begunEvents+restEvents, body)
		})
	}
}

// race runs a stream at a silent server that answers once a second one has, in this order.
func race(t *testing.T, first, second string) (*httptest.ResponseRecorder, error) {
	t.Helper()
	contacted := make(chan struct{})
	contact := sync.OnceFunc(func() { close(contacted) })
	t.Cleanup(contact)
	silent := serveRaw(t, func(conn *net.TCPConn) {
		<-contacted
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(conn, first)
	})
	other := serveRaw(t, func(conn *net.TCPConn) {
		contact()
		if second == "" {
			time.Sleep(60 * time.Millisecond)
			second = withLength(eventAnswerHead, restEvents)
		}
		_, _ = io.WriteString(conn, second)
	})
	return dispatchStream(t, func(request *dispatch.Request) { request.StartTimeout = 20 * time.Millisecond }, silent, other)
}

func TestAnswerWithoutAStatusOfHTTPDoesNotWinARace(t *testing.T) {
	odd := oddAnswers()
	for _, line := range []string{"HTTP/1.1 000 OK", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 700 OK", "only HTTP/1.1 103 OK", "HTTP/1.1 000 OK, not run"} {
		answer := odd[line]
		for name, run := range map[string]func() (*httptest.ResponseRecorder, error){
			"first": func() (*httptest.ResponseRecorder, error) { return race(t, answer, "") },
			"second": func() (*httptest.ResponseRecorder, error) {
				return race(t, withLength(eventAnswerHead, restEvents), answer)
			},
		} {
			t.Run(name+"/"+line, func(t *testing.T) {
				recorder, err := run()
				require.NoError(t, err)
				require.Equal(t, restEvents, recorder.Body.String())
				require.Equal(t, []string{"s"}, recorder.Header()["X-Seal"])
			})
		}
	}
}
