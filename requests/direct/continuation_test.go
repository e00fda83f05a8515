package direct

import (
	"bytes"
	"context"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/attempt"
	"currantusher.dev/requests/dispatch"
	"currantusher.dev/requests/fair"
	"currantusher.dev/requests/placement"
)

const (
	eventAnswerHead = okAnswerHead + "Content-Type: text/event-stream\r\n"
	// begunEvents are the whole events of brokenAnswer.
	begunEvents  = "id: 5\ndata: a\n\nid: 6\ndata: b\n\n"
	brokenAnswer = eventAnswerHead + "\r\n" + begunEvents + "id: 7\nda"
	restEvents   = "id: 7\ndata: c\n\nid: 8\ndata: d\n\n"
)

// dispatchStream runs a resumable stream at servers that are tried in order, each at most
// once, and returns what the caller got.
func dispatchStream(t *testing.T, change func(*dispatch.Request), addrs ...string) (*httptest.ResponseRecorder, error) {
	t.Helper()
	queue := fair.New(fair.Config{Capacity: func() int { return len(addrs) }})
	placer := placement.New(placement.Config{RetryBurst: len(addrs) - 1})
	e := newTestExchange(fleet.RouteStreaming)
	e.request.MaxAttempts = len(addrs)
	var servers []placement.Candidate
	for i, addr := range addrs {
		servers = append(servers, placement.Candidate{ID: core.InstanceID(rune('a' + i)), Addr: addr, Limit: 1, FreeSlots: 1, Direct: true})
	}
	d := dispatch.New(dispatch.Config{
		Attempts:         attempt.NewGenerator("e-1", 1),
		Queue:            func(core.PoolName) *fair.Queue { return queue },
		Placer:           func(core.PoolName) *placement.Placer { return placer },
		TombstoneTimeout: time.Millisecond,
	})
	request := dispatch.Request{
		ID: "r-1", Stream: true, Deadline: time.Now().Add(testTimeout), Sender: e, CanResume: e.CanResume, MaxAttempts: len(addrs),
		Candidates: func() []placement.Candidate { return servers[min(e.Attempts(), len(servers)-1):][:1] },
	}
	if change != nil {
		change(&request)
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	err := d.Do(ctx, request, e)
	return e.writer.(*httptest.ResponseRecorder), err
}

func chunked(head string, parts ...string) string {
	answer := head + "Transfer-Encoding: chunked\r\n\r\n"
	for _, part := range parts {
		answer += chunk(part)
	}
	return answer + "0\r\n\r\n"
}

func withLength(head, body string) string {
	return head + "Content-Length: " + decimal(len(body)) + "\r\n\r\n" + body
}

// continuation is an answer to the request that continues a stream after event 6.
type continuation struct {
	name, answer string
	// added is what the caller gets at most after begunEvents.
	added      string
	isComplete bool
}

// headContinuations differ in their heads.
var headContinuations = []continuation{
	{"rest", eventAnswerHead + "\r\n" + restEvents, restEvents, true},
	{"rest with a length", withLength(eventAnswerHead, restEvents), restEvents, true},
	{"rest in chunks", chunked(eventAnswerHead, restEvents[:9], restEvents[9:]), restEvents, true},
	{"rest with a parameter of the type", withLength(okAnswerHead+"Content-Type: Text/Event-Stream; charset=utf-8\r\n", restEvents), restEvents, true},
	{"rest after informational answers", "HTTP/1.1 103 Early Hints\r\n\r\n" + withLength(eventAnswerHead, restEvents), restEvents, true},
	{"rest with a trailer", eventAnswerHead + "Trailer: X-Other\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(restEvents) + "0\r\nX-Other: 1\r\n\r\n", restEvents, true},
	{"no answer", "", "", false},
	{"informational answers without end", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 20), "", false},
	{"switching protocols", "HTTP/1.1 101 Switching Protocols\r\nX-Id: r-1\r\nX-Seal: s\r\n\r\n" + restEvents, "", false},
	{"no HTTP", "Internal error\n\n", "", false},
	{"plain text", withLength(okAnswerHead+"Content-Type: text/plain\r\n", "upstream failed\n\n"), "", false},
	{"JSON", withLength(okAnswerHead+"Content-Type: application/json\r\n", "{\"error\":\"overloaded\"}\n\n"), "", false},
	{"events of another type", withLength(okAnswerHead+"Content-Type: text/plain\r\n", restEvents), "", false},
	{"events without a type", withLength(okAnswerHead, restEvents), "", false},
	{"empty plain text", withLength(okAnswerHead+"Content-Type: text/plain\r\n", ""), "", false},
	{"201", strings.Replace(withLength(eventAnswerHead, restEvents), "200 OK", "201 Created", 1), "", false},
	{"202 without a body", strings.Replace(withLength(eventAnswerHead, ""), "200 OK", "202 Accepted", 1), "", false},
	{"204", strings.Replace(eventAnswerHead+"\r\n", "200 OK", "204 No Content", 1), "", false},
	{"206", strings.Replace(withLength(eventAnswerHead, restEvents), "200 OK", "206 Partial Content", 1), "", false},
	{"304", strings.Replace(eventAnswerHead+"\r\n", "200 OK", "304 Not Modified", 1), "", false},
	{"another request's id", strings.Replace(withLength(eventAnswerHead, restEvents), "r-1", "r-2", 1), "", false},
	{"no request id", strings.Replace(withLength(eventAnswerHead, restEvents), "X-Id: r-1\r\n", "", 1), "", false},
	{"no signature", strings.Replace(withLength(eventAnswerHead, restEvents), "X-Seal: s\r\n", "", 1), "", false},
	{"content encoding", withLength(eventAnswerHead+"Content-Encoding: gzip\r\n", restEvents), "", false},
	{"second content encoding", withLength(eventAnswerHead+"Content-Encoding:\r\nContent-Encoding: gzip\r\n", restEvents), "", false},
	{"refused", "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n\r\nfull", "", false},
	{"misdirected", "HTTP/1.1 421 No\r\nX-Server: s-9\r\nContent-Length: 0\r\n\r\n", "", false},
	{"not HTTP/1", strings.Replace(withLength(eventAnswerHead, restEvents), "HTTP/1.1", "HTTP/2.0", 1), "", false},
}

// eventContinuations differ in their events.
var eventContinuations = []continuation{
	{"rest with a version line", withLength(eventAnswerHead, "x-version: 3\n"+restEvents), "x-version: 3\n" + restEvents, true},
	{"rest with CR and LF", withLength(eventAnswerHead, strings.ReplaceAll(restEvents, "\n", "\r\n")), strings.ReplaceAll(restEvents, "\n", "\r\n"), true},
	{"rest with CR", withLength(eventAnswerHead, strings.ReplaceAll(restEvents, "\n", "\r")), strings.ReplaceAll(restEvents, "\n", "\r"), true},
	{"rest of more digits", withLength(eventAnswerHead, "id: 10\ndata: c\n\n"), "id: 10\ndata: c\n\n", true},
	{"error head as events", withLength(eventAnswerHead, "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\nfailed\n\n"), "", false},
	{"error head after events", eventAnswerHead + "\r\n" + restEvents + "HTTP/1.1 500 No\r\nX-Id: r-1\r\n\r\n", restEvents, false},
	{"error head with the id of an event", withLength(eventAnswerHead, "HTTP/1.1 500 No\r\nid: 7\r\n\r\n"), "", false},
	{"error text", withLength(eventAnswerHead, "the worker failed\n\n"), "", false},
	{"error text before an event", withLength(eventAnswerHead, "the worker failed\n"+restEvents), "", false},
	{"error as data", withLength(eventAnswerHead, "data: {\"error\":\"overloaded\"}\n\n"), "", false},
	{"error event", withLength(eventAnswerHead, "event: error\ndata: failed\n\n"), "", false},
	{"error event with an id", withLength(eventAnswerHead, "id: 7\nevent: error\ndata: failed\n\n"), "", false},
	{"error event after events", withLength(eventAnswerHead, restEvents+"event: error\ndata: failed\n\n"), restEvents, false},
	{"stream from the start", withLength(eventAnswerHead, "id: 1\ndata: x\n\n"+begunEvents+restEvents), "", false},
	{"last event again", withLength(eventAnswerHead, "id: 6\ndata: b\n\n"+restEvents), "", false},
	{"last event again with a zero", withLength(eventAnswerHead, "id: 06\ndata: b\n\n"+restEvents), "", false},
	{"event repeated later", withLength(eventAnswerHead, restEvents+"id: 8\ndata: d\n\n"), restEvents, false},
	{"lower id later", withLength(eventAnswerHead, restEvents+"id: 7\ndata: d\n\n"), restEvents, false},
	{"id without a number", withLength(eventAnswerHead, "id: next\ndata: c\n\n"), "", false},
	{"negative id", withLength(eventAnswerHead, "id: -7\ndata: c\n\n"), "", false},
	{"event without an id", withLength(eventAnswerHead, "data: c\n\n"+restEvents), "", false},
	{"event with an empty id", withLength(eventAnswerHead, "id:\ndata: c\n\n"+restEvents), "", false},
	{"later event without an id", withLength(eventAnswerHead, restEvents+"data: e\n\n"), restEvents, false},
	{"byte order mark", withLength(eventAnswerHead, "\uFEFF"+restEvents), "", false},
}

// endContinuations differ in their ends.
var endContinuations = []continuation{
	{"nothing left, with a length", withLength(eventAnswerHead, ""), "", true},
	{"nothing left, in chunks", chunked(eventAnswerHead), "", true},
	{"longer length", eventAnswerHead + "Content-Length: 200\r\n\r\n" + restEvents, restEvents, false},
	{"length and only a part", eventAnswerHead + "Content-Length: 200\r\n\r\nid: 7\nda", "", false},
	{"invalid length", eventAnswerHead + "Content-Length: x\r\n\r\n" + restEvents, "", false},
	{"broken chunk size", eventAnswerHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk(restEvents) + "zz\r\n", restEvents, false},
	{"chunk cut short", eventAnswerHead + "Transfer-Encoding: chunked\r\n\r\n40\r\n" + restEvents, restEvents, false},
	{"no last chunk", eventAnswerHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk(restEvents), restEvents, false},
	{"end within an event", eventAnswerHead + "\r\n" + restEvents + "id: 9\nda", restEvents, false},
	{"end after a line", withLength(eventAnswerHead, restEvents+"id: 9\n"), restEvents, false},
	{"empty without a length", eventAnswerHead + "\r\n", "", false},
	{"comment only", eventAnswerHead + "\r\n: working\n\n", "", false},
	{"retry time only", eventAnswerHead + "\r\nretry: 1000\n\n", "", false},
	{"blank lines only", eventAnswerHead + "\r\n\n\n\r\n", "", false},
}

// errorStatuses are answered with and without a statement that the request did not run.
var errorStatuses = []string{"300", "302", "307", "400", "401", "404", "408", "409", "410", "412", "413", "421", "429", "431", "500", "502", "503", "504", "599"}

func requireContinued(t *testing.T, first, answer, added string, isComplete bool) {
	t.Helper()
	recorder, err := dispatchStream(t, nil, serveRawAnswer(t, first), serveRawAnswer(t, answer))
	if isComplete {
		require.Equal(t, begunEvents+added, recorder.Body.String())
	} else {
		// Events that were read together with what breaks the stream may be missing.
		require.True(t, strings.HasPrefix(begunEvents+added, recorder.Body.String()), "%q", recorder.Body)
		requireIncreasingIDs(t, recorder.Body.String())
	}
	require.Equal(t, 200, recorder.Code)
	require.Equal(t, []string{"s"}, recorder.Header()["X-Seal"], "the head is the first server's")
	require.NotContains(t, recorder.Header(), "X-Other")
	require.Empty(t, recorder.Result().Trailer)
	if isComplete {
		require.NoError(t, err)
		return
	}
	require.Error(t, err, "the caller's connection is aborted")
	require.NotEqual(t, core.ExecutionNotRun, core.ExecutionOf(err))
}

func testContinuations(t *testing.T, cases []continuation) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			requireContinued(t, brokenAnswer, strings.Replace(c.answer, "X-Seal: s\r\n", "X-Seal: s\r\nX-Other: 1\r\n", 1), c.added, c.isComplete)
		})
	}
}

// A server that could not continue a stream answered with an error, whose text the caller
// got as events, or after which the stream looked complete.
func TestAnswerThatIsNoEventStreamDoesNotContinueAStream(t *testing.T) {
	testContinuations(t, headContinuations)
}

// The caller got an error's text or head, events for the second time or those of another
// run as the rest of its stream.
func TestOnlyTheFollowingEventsContinueAStream(t *testing.T) {
	testContinuations(t, eventContinuations)
}

// A server that closed the connection after the head ended the caller's stream as if it
// were complete.
func TestStreamIsCompleteOnlyAfterTheEndOfItsContinuation(t *testing.T) {
	testContinuations(t, endContinuations)
}

func TestErrorStatusDoesNotContinueAStream(t *testing.T) {
	for _, status := range errorStatuses {
		for name, fields := range map[string]string{
			"signed": "X-Id: r-1\r\nX-Seal: other\r\n", "unsigned": "X-Id: r-1\r\n", "not run": "X-Id: r-1\r\nX-Not-Run: 1\r\n",
			"events": "X-Id: r-1\r\nX-Seal: other\r\nContent-Type: text/event-stream\r\n",
		} {
			t.Run(status+" "+name, func(t *testing.T) {
				requireContinued(t, brokenAnswer, withLength("HTTP/1.1 "+status+" No\r\n"+fields, restEvents), "", false)
			})
		}
	}
}

// A stream whose events had no ids was sent again from its start, and the caller got them
// twice.
func TestStreamIsResumedOnlyAfterANumberedEvent(t *testing.T) {
	for name, c := range map[string]struct{ begun, next, want string }{
		"no ids":                  {"data: a\n\n", "data: a\n\ndata: b\n\n", ""},
		"empty ids":               {"id:\ndata: a\n\n", "id:\ndata: a\n\nid:\ndata: b\n\n", ""},
		"no number":               {"id: one\ndata: a\n\n", "id: two\ndata: b\n\n", ""},
		"a number":                {"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"},
		"nothing but a comment":   {": working\n\n", "id: 1\ndata: a\n\n", ": working\n\nid: 1\ndata: a\n\n"},
		"no id after a comment":   {": working\n\ndata: a\n\n", "data: a\n\n", ""},
		"a number, no id, and on": {"id: 1\ndata: a\n\ndata: b\n\nid: 3\ndata: c\n\n", "id: 4\ndata: d\n\n", "id: 1\ndata: a\n\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			first := serveRawAnswer(t, eventAnswerHead+"\r\n"+c.begun+"id: 9\nda")
			recorder, err := dispatchStream(t, nil, first, serveRawAnswer(t, withLength(eventAnswerHead, c.next)))
			if c.want == "" {
				require.Equal(t, core.CodeStreamBroken, core.CodeOf(err))
				require.Equal(t, c.begun, recorder.Body.String())
				return
			}
			require.NoError(t, err)
			require.Equal(t, c.want, recorder.Body.String())
		})
	}
}

// An answer that broke off before its first event leaves nothing in the one that the caller
// gets.
func TestAnswerThatBrokeBeforeItsFirstEventLeavesNothing(t *testing.T) {
	const first = eventAnswerHead + "X-First: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, broken := range map[string]string{"after the head": first, "within an event": first + chunk("id: 1\nda")} {
		t.Run(name+"/events", func(t *testing.T) {
			recorder, err := dispatchStream(t, nil, serveRawAnswer(t, broken), serveRawAnswer(t, withLength(strings.Replace(eventAnswerHead, "X-Seal: s", "X-Seal: other", 1), restEvents)))
			require.NoError(t, err)
			require.Equal(t, restEvents, recorder.Body.String())
			require.Equal(t, []string{"other"}, recorder.Header()["X-Seal"])
			require.NotContains(t, recorder.Header(), "X-First")
		})
		t.Run(name+"/client error", func(t *testing.T) {
			recorder, err := dispatchStream(t, nil, serveRawAnswer(t, broken), serveRawAnswer(t, withLength("HTTP/1.1 404 No\r\nX-Id: r-1\r\nX-Seal: other\r\n", "no")))
			require.NoError(t, err)
			require.Equal(t, 404, recorder.Code)
			require.Equal(t, "no", recorder.Body.String())
			require.Equal(t, []string{"other"}, recorder.Header()["X-Seal"])
			require.NotContains(t, recorder.Header(), "X-First")
		})
		t.Run(name+"/server error", func(t *testing.T) {
			recorder, err := dispatchStream(t, nil, serveRawAnswer(t, broken), serveRawAnswer(t, withLength("HTTP/1.1 500 No\r\nX-Id: r-1\r\nX-Seal: other\r\n", "no")))
			require.Equal(t, core.CodeEngineFailed, core.CodeOf(err), "the gateway answers with the failure")
			require.Empty(t, recorder.Body.String())
			require.Empty(t, recorder.Header())
		})
	}
}

// FuzzContinuation checks that whatever the next server answers, the caller gets whole
// events with increasing ids after those of the first server.
func FuzzContinuation(f *testing.F) {
	for _, c := range slices.Concat(headContinuations, eventContinuations, endContinuations) {
		f.Add([]byte(c.answer))
	}
	f.Fuzz(func(t *testing.T, answer []byte) {
		recorder, err := dispatchStream(t, nil, serveRawAnswer(t, brokenAnswer), serveRawAnswer(t, string(answer)))
		body := recorder.Body.Bytes()
		require.True(t, bytes.HasPrefix(body, []byte(begunEvents)))
		requireIncreasingIDs(t, string(body))
		if err == nil {
			require.True(t, isSuccessHead(answer))
		}
	})
}

// isSuccessHead reports whether an answer has the status of a success somewhere, since
// informational answers may come first.
func isSuccessHead(answer []byte) bool { return bytes.Contains(answer, []byte(" 200")) }

// requireIncreasingIDs checks that text is a series of whole events, each with an id that
// is greater than the one before.
func requireIncreasingIDs(t *testing.T, text string) {
	t.Helper()
	text = strings.ReplaceAll(strings.ReplaceAll(text, "\r\n", "\n"), "\r", "\n")
	require.True(t, strings.HasSuffix(text, "\n\n"), "%q", text)
	last := ""
	for event := range strings.SplitSeq(text, "\n\n") {
		event = strings.Trim(event, "\n")
		if event == "" {
			continue
		}
		id := ""
		for line := range strings.SplitSeq(event, "\n") {
			if value, ok := strings.CutPrefix(line, "id:"); ok {
				id = strings.TrimLeft(strings.TrimSpace(value), "0")
			}
		}
		require.Empty(t, strings.Trim(id, "0123456789"), "%q", event)
		isGreater := len(id) > len(last) || len(id) == len(last) && id > last
		require.True(t, isGreater, "id %q after %q in %q", id, last, text)
		last = id
	}
}
