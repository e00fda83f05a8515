package direct

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/dispatch"
	"currantusher.dev/requests/placement"
	"currantusher.dev/wire"
)

// abortObserver keeps the Recall of each attempt and the servers whose attempts
// were suspended.
type abortObserver struct {
	nopObserver
	recalls   []Recall
	suspended []core.InstanceID
}

func (o *abortObserver) StartAttempt(attempt Attempt) AttemptObserver {
	o.recalls = append(o.recalls, attempt.Recall)
	return abortAttempt{observer: o, server: attempt.Server.Server}
}

type abortAttempt struct {
	nopAttempt
	observer *abortObserver
	server   core.InstanceID
}

func (a abortAttempt) Suspended() { a.observer.suspended = append(a.observer.suspended, a.server) }

func (nopAttempt) Suspended() {}

const firstEvent, secondEvent, thirdEvent = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"

// serveUntilClosed answers each connection with the first event, and with the second one
// once more is closed. It returns the address.
func serveUntilClosed(t *testing.T, more <-chan struct{}) string {
	t.Helper()
	return serveTwoEvents(t, more, firstEvent, secondEvent)
}

// serveTwoEvents answers each connection with an event, and with the next one once more is
// closed. It returns the address.
func serveTwoEvents(t *testing.T, more <-chan struct{}, event, next string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", "r-1")
		w.Header().Set("X-Seal", "s")
		_, _ = io.WriteString(w, event)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-more:
		case <-r.Context().Done():
		}
		_, _ = io.WriteString(w, next)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// serveNothing accepts connections and never answers. It returns the address.
func serveNothing(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func startAttempt(t *testing.T, e *Exchange, server core.InstanceID, addr string) dispatch.ReplyStream {
	t.Helper()
	stream, err := e.Send(context.Background(), placement.Candidate{ID: server, Addr: addr}, wire.Dispatch{DeadlineMillis: 10000})
	require.NoError(t, err)
	t.Cleanup(stream.Cancel)
	return stream
}

// requireEvent receives an event and selects it as the dispatcher does.
func requireEvent(t *testing.T, stream dispatch.ReplyStream, want string) {
	t.Helper()
	requireUnselectedEvent(t, stream, want)
	stream.Select()
}

func requireUnselectedEvent(t *testing.T, stream dispatch.ReplyStream, want string) {
	t.Helper()
	for {
		reply, err := stream.Recv()
		require.NoError(t, err)
		if reply.Header != nil {
			continue
		}
		require.NotNil(t, reply.Data)
		require.Equal(t, want, string(reply.Data.Bytes))
		return
	}
}

// newHandover returns an exchange with MaxAttempts 2 whose first attempt, at s-1, has
// sent its first event.
func newHandover(t *testing.T, addr string) (*Exchange, *abortObserver, dispatch.ReplyStream) {
	e := newTestExchange(fleet.RouteStreaming)
	e.request.MaxAttempts = 2
	observer := &abortObserver{}
	e.observer = observer
	old := startAttempt(t, e, "s-1", addr)
	requireEvent(t, old, firstEvent)
	return e, observer, old
}

// A stream that was resumed after a failed handover would have skipped the events that
// only the target had sent.
func TestEventsOfAnAbandonedTargetDoNotCountAsPassedOn(t *testing.T) {
	e, _, old := newHandover(t, serveRawAnswer(t, okAnswerHead+"\r\n"+firstEvent+"id: 2\nda"))
	target := startAttempt(t, e, "s-2", serveRawAnswer(t, okAnswerHead+"\r\n"+secondEvent))
	requireUnselectedEvent(t, target, secondEvent)
	require.EqualValues(t, "s-2", e.LastServer())
	target.Cancel()
	_, err := old.Recv()
	require.Error(t, err)
	old.Select()
	require.EqualValues(t, "s-1", e.LastServer())
	require.Contains(t, string(e.encodeRequest("s-3", e.request.Version("s-3"), time.Second)), "Last-Event-Id: 1\r\n")
}

func TestTargetResumesAfterTheLastEventThatWasPassedOn(t *testing.T) {
	e, observer, old := newHandover(t, serveUntilClosed(t, nil))
	require.Contains(t, string(e.encodeRequest("s-2", e.request.Version("s-2"), time.Second)), "Last-Event-Id: 1\r\n")
	require.Empty(t, observer.suspended)
	old.Suspend()
	target := startAttempt(t, e, "s-2", serveRawAnswer(t, okAnswerHead+"\r\n"+secondEvent))
	require.Equal(t, []core.InstanceID{"s-1"}, observer.suspended)
	requireEvent(t, target, secondEvent)
	_, err := target.Recv()
	require.NoError(t, err)
	require.Contains(t, string(e.encodeRequest("s-3", e.request.Version("s-3"), time.Second)), "Last-Event-Id: 2\r\n")
}

// The recall may abort the target, since the old attempt goes on,
// but not the old attempt, since the target may not continue it.
func TestOnlyTheTargetIsAbortedDuringAHandover(t *testing.T) {
	more := make(chan struct{})
	e, observer, old := newHandover(t, serveUntilClosed(t, more))
	target := startAttempt(t, e, "s-2", serveNothing(t))
	observer.recalls[0](RecallQuarantined)
	require.NotNil(t, observer.recalls[1])
	observer.recalls[1](RecallQuarantined)
	_, err := target.Recv()
	require.Error(t, err)
	target.Cancel()
	observer.recalls[0](RecallQuarantined)
	close(more)
	requireEvent(t, old, secondEvent)
}

func TestTargetThatContinuesTheStreamIsNotAbortedAsItsLastAttempt(t *testing.T) {
	more := make(chan struct{})
	e, observer, old := newHandover(t, serveUntilClosed(t, nil))
	target := startAttempt(t, e, "s-2", serveTwoEvents(t, more, secondEvent, thirdEvent))
	requireEvent(t, target, secondEvent)
	old.Cancel()
	observer.recalls[1](RecallQuarantined)
	close(more)
	requireEvent(t, target, thirdEvent)
}

func TestWaitingAttemptMayBeAbortedAfterAnotherServerRefused(t *testing.T) {
	e := newTestExchange(fleet.RouteStreaming)
	e.request.MaxAttempts = 2
	observer := &abortObserver{}
	e.observer = observer
	old := startAttempt(t, e, "s-1", serveNothing(t))
	target := startAttempt(t, e, "s-2", serveRawAnswer(t, "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n"))
	reply, err := target.Recv()
	require.NoError(t, err)
	require.Equal(t, core.ExecutionNotRun, reply.End.Execution)
	observer.recalls[0](RecallQuarantined)
	_, err = old.Recv()
	require.Error(t, err)
}

// A request that waited at two servers could not be recalled from the first one, whose
// weights became out of date, although the second one was left.
func TestRequestThatWaitsAtTwoServersIsRecalledFromTheFirst(t *testing.T) {
	e := newTestExchange(fleet.RouteStreaming)
	e.request.MaxAttempts = 2
	observer := &abortObserver{}
	e.observer = observer
	more := make(chan struct{})
	old := startAttempt(t, e, "s-1", serveUntilClosed(t, more))
	target := startAttempt(t, e, "s-2", serveUntilClosed(t, more))
	observer.recalls[0](RecallQuarantined)
	observer.recalls[1](RecallQuarantined)
	_, err := old.Recv()
	require.Error(t, err)
	requireEvent(t, target, firstEvent)
}

// The recall cut a stream that had begun after it was chosen for the recall.
func TestRecallDoesNotCutAStreamThatHasJustBegun(t *testing.T) {
	more := make(chan struct{})
	_, observer, stream := newHandover(t, serveUntilClosed(t, more))
	observer.recalls[0](RecallQuarantined)
	close(more)
	requireEvent(t, stream, secondEvent)
}

// A request that waited in its last attempt began on weights that were out of date.
func TestLastAttemptIsRecalledOnlyFromOutdatedWeights(t *testing.T) {
	for name, c := range map[string]struct {
		reason     RecallReason
		repeatable bool
	}{
		"outdated": {RecallOutdated, true}, "up to date": {RecallQuarantined, true},
		"outdated, runs once": {RecallOutdated, false}, "up to date, runs once": {RecallQuarantined, false},
	} {
		t.Run(name, func(t *testing.T) {
			e := newTestExchange(fleet.RouteStreaming)
			e.request.MaxAttempts, e.request.Model, e.request.Repeatable = 1, "m", c.repeatable
			observer := &abortObserver{}
			e.observer = observer
			more := make(chan struct{})
			addr := serveTwoEvents(t, more, "", firstEvent)
			stream := startAttempt(t, e, "s-1", addr)
			require.Equal(t, c.reason == RecallOutdated, observer.recalls[0](c.reason))
			close(more)
			if c.reason != RecallOutdated {
				requireEvent(t, stream, firstEvent)
				return
			}
			for {
				reply, err := stream.Recv()
				if err != nil {
					require.ErrorIs(t, err, dispatch.ErrRecalled)
					return
				}
				require.Nil(t, reply.Data)
			}
		})
	}
}

// A stream that had begun was resumed, as its last attempt, at a server that stood still, and
// ran there on weights that were out of date.
func TestResumedStreamInItsLastAttemptIsRecalledOnlyFromOutdatedWeights(t *testing.T) {
	for name, reason := range map[string]RecallReason{"outdated": RecallOutdated, "up to date": RecallQuarantined} {
		t.Run(name, func(t *testing.T) {
			e, observer, old := newHandover(t, serveRawAnswer(t, okAnswerHead+"\r\n"+firstEvent))
			e.request.Model = "m"
			old.Cancel()
			more := make(chan struct{})
			last := startAttempt(t, e, "s-2", serveTwoEvents(t, more, "", secondEvent))
			require.Equal(t, reason == RecallOutdated, observer.recalls[1](reason))
			close(more)
			if reason != RecallOutdated {
				requireEvent(t, last, secondEvent)
				return
			}
			for {
				reply, err := last.Recv()
				if err != nil {
					require.ErrorIs(t, err, dispatch.ErrRecalled)
					return
				}
				require.Nil(t, reply.Data)
			}
		})
	}
}
