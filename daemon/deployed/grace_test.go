package deployed

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/daemon/roster"
	"currantusher.dev/platform/headers"
)

// startLeavingDeployment returns a deployment with one entry, whose servers fall silent,
// and a call that waits at one of them.
func startLeavingDeployment(t *testing.T, stop time.Duration, host, path string) (*deployment, *runningCall) {
	t.Helper()
	d := startSilenceDeployment(t, silenceSettings{entries: 1, servers: 2, maxAttempts: 2, retryRatio: 1, retrySlack: 1000, stop: stop})
	d.silenceAll()
	call := d.startCall(d.entries[0].CallerAddr, host, path)
	d.eventually(func() bool { return call.isHeldByAny(append(d.plainServers, d.engines...)) }, "no server has the call")
	return d, call
}

func (d *deployment) silenceAll() {
	for _, server := range append(d.plainServers, d.engines...) {
		server.Silence()
	}
}

func TestUnsafeRequestAnsweredWhenItsEntryIsAboutToStopIsNoEmptySuccess(t *testing.T) {
	t.Parallel()
	const stop = 6 * time.Second
	d, call := startLeavingDeployment(t, stop, plainHost, "/issue/1")
	d.stopEntry(0)
	// After the last answer time and before the end of the entry.
	time.Sleep(stop * 9 / 10)
	d.resumeAll()
	d.eventually(call.hasEnded, "the call does not end")
	got := call.result()
	require.NoError(t, got.err)
	if got.status != http.StatusGatewayTimeout {
		require.Equal(t, http.StatusOK, got.status, got.body)
		require.Contains(t, got.body, "answers "+call.body)
	}
}

// partialCall is a request whose body is not whole yet.
type partialCall struct {
	body string
	conn net.Conn
}

func (d *deployment) startPartialCall(addr, path string) *partialCall {
	d.t.Helper()
	body := nextBody()
	return d.startPartialCallWith(addr, path, body, fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body[:1]))
}

// startPartialCallWith sends a request whose head ends with a framing header. start is that
// header and the start of the body.
func (d *deployment) startPartialCallWith(addr, path, body, start string) *partialCall {
	d.t.Helper()
	conn, err := net.Dial("tcp", addr)
	require.NoError(d.t, err)
	d.t.Cleanup(func() { _ = conn.Close() })
	c := &partialCall{body: body, conn: conn}
	names := headers.Names()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 20000\r\n%s: %s\r\n%s",
		path, plainHost, names.RequestID, nextRequestID(), names.Deadline, names.APIKey, apiKey, start)
	require.NoError(d.t, err)
	return c
}

// finish sends the rest of the body. An error shows in the answer.
func (c *partialCall) finish() { _, _ = io.WriteString(c.conn, c.body[1:]) }

// answer reads the answer.
func (c *partialCall) answer() callResult { return readAnswer(bufio.NewReader(c.conn)) }

func (d *deployment) countRuns(body string) int {
	call := &runningCall{body: body}
	return call.countRuns(d.plainServers)
}

// requireTrueAnswer checks that a request got an answer that is true.
func (d *deployment) requireTrueAnswer(body string, got callResult) {
	d.t.Helper()
	require.NoError(d.t, got.err, "%q got no answer; it ran %d times", body, d.countRuns(body))
	switch got.status {
	case http.StatusOK:
		require.Contains(d.t, got.body, "answers "+body)
	case http.StatusServiceUnavailable:
		require.Zero(d.t, d.countRuns(body), "%q was refused and ran", body)
		require.NotEmpty(d.t, got.header.Get("Retry-After"))
	default:
		require.Equal(d.t, http.StatusGatewayTimeout, got.status)
	}
}

// answerSome lets the entries learn how long requests take.
func (d *deployment) answerSome(path string) {
	const known = 32
	calls := make([]*runningCall, known)
	for i := range calls {
		calls[i] = d.startCall(d.entries[0].CallerAddr, plainHost, path)
	}
	for _, call := range calls {
		d.eventually(call.hasEnded, "a call does not end")
		require.Equal(d.t, http.StatusOK, call.result().status)
	}
}

func TestRequestsThatBecomeWholeLateInTheGraceAreAnswered(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		path    string
		isKnown bool
	}{
		"unsafe":                    {"/issue/1", true},
		"unsafe, durations unknown": {"/issue/1", false},
		"safe":                      {"/look", true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const stop, work, count = 6 * time.Second, 1500 * time.Millisecond, 40
			// The entry answers all requests in this part of its stop time.
			const lastAnswer = stop * 88 / 100
			wholeAfter := func(i int) time.Duration { return stop * time.Duration(i) / count }
			d := startSilenceDeployment(t, silenceSettings{entries: 1, servers: 4, maxAttempts: 2, retryRatio: 1, retrySlack: 1000, stop: stop})
			for _, server := range d.plainServers {
				server.AnswerTime = work
			}
			if c.isKnown {
				d.answerSome(c.path)
			}
			calls := make([]*partialCall, count)
			for i := range calls {
				calls[i] = d.startPartialCall(d.entries[0].CallerAddr, c.path)
			}
			d.eventually(func() bool { return d.gauge(0, "currantusher_callers_requests") == count }, "the entry has not begun to read all requests")
			d.stopEntry(0)
			d.awaitLogLine("Leaving.")
			results := make([]callResult, count)
			var group sync.WaitGroup
			for i, call := range calls {
				time.AfterFunc(wholeAfter(i), call.finish)
				group.Go(func() { results[i] = call.answer() })
			}
			group.Wait()
			counts := map[int]int{}
			for i, got := range results {
				d.requireTrueAnswer(calls[i].body, got)
				if wholeAfter(i) > lastAnswer-work {
					require.Zero(t, d.countRuns(calls[i].body), "a server got a request that it could not answer in time")
				}
				counts[got.status]++
			}
			t.Logf("answers by status: %v", counts)
		})
	}
}

func TestRequestThatBecomesWholeEarlyInTheGraceIsServed(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/issue/1", "/look"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			d := startSilenceDeployment(t, silenceSettings{entries: 1, servers: 4, maxAttempts: 2, retryRatio: 1, retrySlack: 1000})
			d.answerSome(path)
			call := d.startPartialCall(d.entries[0].CallerAddr, path)
			d.eventually(func() bool { return d.gauge(0, "currantusher_callers_requests") == 1 }, "the entry has not begun to read all requests")
			d.stopEntry(0)
			d.awaitLogLine("Leaving.")
			call.finish()
			got := call.answer()
			require.NoError(t, got.err)
			require.Equal(t, http.StatusOK, got.status, got.body)
			require.Equal(t, 1, d.countRuns(call.body))
		})
	}
}

func TestRequestWhoseBodyDoesNotBecomeWholeInTimeIsRefusedByALeavingEntry(t *testing.T) {
	t.Parallel()
	for name, start := range map[string]string{
		"length":                "Content-Length: 10\r\n\r\nstart",
		"length, nothing sent":  "Content-Length: 10\r\n\r\n",
		"chunks":                "Transfer-Encoding: chunked\r\n\r\n5\r\nstart\r\n",
		"chunks, within a size": "Transfer-Encoding: chunked\r\n\r\n5\r\nstart\r\n1",
	} {
		for _, path := range []string{"/issue/1", "/look"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				d := startSilenceDeployment(t, silenceSettings{entries: 1, servers: 2, maxAttempts: 2, retryRatio: 1, retrySlack: 1000, stop: 4 * time.Second})
				call := d.startPartialCallWith(d.entries[0].CallerAddr, path, "never whole", start)
				d.eventually(func() bool { return d.gauge(0, "currantusher_callers_requests") == 1 }, "the entry has not begun to read the request")
				d.stopEntry(0)
				got := call.answer()
				require.NoError(t, got.err)
				require.Equal(t, http.StatusServiceUnavailable, got.status)
				require.NotEmpty(t, got.header.Get("Retry-After"))
				require.Equal(t, "close", got.header.Get("Connection"))
				d.awaitLogLine("Request ended.", "refused_late")
			})
		}
	}
}

// putConfigWithoutTimeouts puts routes into force that do not end requests.
func (d *deployment) putConfigWithoutTimeouts() {
	d.t.Helper()
	config := silenceConfig(2, d.originAddr, 2)
	for i := range config.Routes {
		config.Routes[i].Timeout = time.Hour
	}
	d.store.PutConfig(config)
	d.eventually(func() bool {
		d.sendRequest(0, plainHost, "POST", "/look", "", nil)
		return d.log.count("Request ended.", "config=2") > 0
	}, "the configuration is not in force")
}

func TestStreamThatOutlastsTheGraceOfItsEntryIsAborted(t *testing.T) {
	t.Parallel()
	for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for _, path := range []string{silentRoutePrefix + "x", onceRoutePrefix + "x"} {
			t.Run(protocol+path, func(t *testing.T) {
				t.Parallel()
				const endless = 100000
				d := startSilenceDeployment(t, silenceSettings{entries: 1, servers: 2, maxAttempts: 2, retryRatio: 1, retrySlack: 1000, stop: 4 * time.Second, events: 1})
				for _, engine := range d.engines {
					engine.EventCount = endless
				}
				d.putConfigWithoutTimeouts()
				conn, err := net.Dial("tcp", d.entries[0].CallerAddr)
				require.NoError(t, err)
				t.Cleanup(func() { _ = conn.Close() })
				names := headers.Names()
				_, err = fmt.Fprintf(conn, "GET %s %s\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: %s\r\n%s: 10,10\r\n\r\n",
					path, protocol, streamHost, names.RequestID, nextRequestID(), names.APIKey, apiKey, names.Model, modelName, names.TokenCounts)
				require.NoError(t, err)
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, response.StatusCode)
				d.stopEntry(0)
				d.awaitLogLine("Left.")
				require.NoError(t, conn.SetReadDeadline(time.Now().Add(waitTimeout)))
				body, err := io.ReadAll(response.Body)
				require.Error(t, err, "the stream looks complete")
				require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
				require.Equal(t, completeStream(bytes.Count(body, []byte("\n\n"))), string(body), "the stream ends within an event")
				d.awaitLogLine("Entry stopped.")
			})
		}
	}
}

func TestRowOfALeavingEntryIsRemovedWhenTheStoreComesBack(t *testing.T) {
	t.Parallel()
	d, call := startLeavingDeployment(t, waitTimeout, plainHost, "/look")
	d.eventually(func() bool { return len(d.readRows(roster.EntriesTable)) == 1 }, "the entry has no row")
	d.store.SetDown(true)
	d.stopEntry(0)
	d.awaitLogLine("level=warning", "remove")
	d.store.SetDown(false)
	d.eventually(func() bool { return len(d.readRows(roster.EntriesTable)) == 0 }, "the row of the leaving entry remains")
	d.resumeAll()
	d.eventually(call.hasEnded, "the call does not end")
	require.Equal(t, http.StatusOK, call.result().status)
}

func TestQueuedRequestsOfALeavingEntryAreRefused(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/issue/1", "/look"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			const count = 8
			d := startSilenceDeployment(t, silenceSettings{entries: 1, servers: 1, slots: 1, maxAttempts: 2, retryRatio: 1, retrySlack: 1000, stop: 4 * time.Second})
			d.plainServers[0].AnswerTime = waitTimeout
			calls := make([]*partialCall, count)
			for i := range calls {
				calls[i] = d.startPartialCall(d.entries[0].CallerAddr, path)
				calls[i].finish()
			}
			d.eventually(func() bool { return d.gauge(0, "currantusher_callers_requests") == count }, "the entry does not have all requests")
			d.stopEntry(0)
			refused := 0
			for _, call := range calls {
				got := call.answer()
				d.requireTrueAnswer(call.body, got)
				if got.status == http.StatusServiceUnavailable {
					refused++
				}
			}
			require.Positive(t, refused, "no request waited")
		})
	}
}
