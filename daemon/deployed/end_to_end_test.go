package deployed

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/daemon/roster"
	"currantusher.dev/platform/headers"
	"currantusher.dev/platform/standin"
	"currantusher.dev/tables/watch"
)

func TestRequestForwardingAndRejection(t *testing.T) {
	d := startDeployment(t)
	names := headers.Names()

	stream := d.sendRequest(0, streamHost, "POST", "/s/x?q=1%2f", "prompt", nil)
	require.NoError(t, stream.err)
	require.Equal(t, http.StatusOK, stream.status)
	require.Equal(t, completeStream(6), stream.body)
	require.NotEmpty(t, stream.header.Get(names.Signature))

	forwarded := d.sendRequest(1, plainHost, "POST", "/issue/../1", "lot", func(r *http.Request) {
		r.URL.Opaque = "/issue/..%2F1"
		r.Header.Set(names.Team, "another")
		r.Header.Set(names.ExpectServer, "another")
		r.Header.Set("Connection", "X-Hop")
		r.Header.Set("X-Hop", "1")
		r.Header.Set("X-End", "1")
	})
	require.Equal(t, http.StatusOK, forwarded.status)
	require.Contains(t, forwarded.body, "answers lot")
	executed := findExecutedRequest(t, d.plainServers, "lot")
	require.Equal(t, "/issue/..%2F1", executed.Path, "the request target is forwarded byte for byte")
	require.Equal(t, "team-1", executed.Team)
	require.Empty(t, executed.Header.Get(names.APIKey), "the API key is not forwarded")
	require.Empty(t, executed.Header.Get("X-Hop"))
	require.Equal(t, "1", executed.Header.Get("X-End"))

	for _, test := range []struct {
		name, host, path string
		change           func(*http.Request)
		status           int
	}{
		{"unknown host", "else.example", "/", nil, http.StatusNotFound},
		{"unknown path", streamHost, "/t/", nil, http.StatusNotFound},
		{"unknown key", plainHost, "/", func(r *http.Request) { r.Header.Set(names.APIKey, "guess") }, http.StatusUnauthorized},
		{"no key", plainHost, "/", func(r *http.Request) { r.Header.Del(names.APIKey) }, http.StatusUnauthorized},
		{"public", plainHost, "/public/", func(r *http.Request) { r.Header.Del(names.APIKey) }, http.StatusOK},
		{"no id", plainHost, "/", func(r *http.Request) { r.Header.Del(names.RequestID) }, http.StatusBadRequest},
		{"bad deadline", plainHost, "/", func(r *http.Request) { r.Header.Set(names.Deadline, "soon") }, http.StatusBadRequest},
		{"too large", plainHost, "/", func(r *http.Request) {
			r.ContentLength = 100001
			r.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", 100001)))
		}, http.StatusRequestEntityTooLarge},
		{"too large in chunks", plainHost, "/", func(r *http.Request) {
			r.ContentLength = -1
			r.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", 100001)))
		}, http.StatusRequestEntityTooLarge},
	} {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.status, d.sendRequest(0, test.host, "POST", test.path, "b", test.change).status)
		})
	}
}

// findExecutedRequest returns the executed request with the given body.
func findExecutedRequest(t *testing.T, servers []*standin.Backend, body string) standin.ExecutedRequest {
	t.Helper()
	for _, server := range servers {
		for _, executed := range server.ExecutedRequests() {
			if executed.Body == body {
				return executed
			}
		}
	}
	t.Fatalf("no server executed a request with body %q", body)
	return standin.ExecutedRequest{}
}

func TestAmbiguousFramingIsRejected(t *testing.T) {
	d := startDeployment(t)
	names := headers.Names()
	before := len(d.plainServers[0].ExecutedRequests()) + len(d.plainServers[1].ExecutedRequests())
	for _, framing := range []string{
		"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n",
		"Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
		"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
		"Content-Length: -3\r\n\r\n",
		"Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
	} {
		conn, err := net.Dial("tcp", d.entries[0].CallerAddr)
		require.NoError(t, err)
		_, err = fmt.Fprintf(conn, "POST /issue/1 HTTP/1.1\r\nHost: %s\r\n%s: x-1\r\n%s: %s\r\n%s", plainHost, names.RequestID, names.APIKey, apiKey, framing)
		require.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err, framing)
		require.Equal(t, http.StatusBadRequest, response.StatusCode, framing)
		require.NoError(t, conn.Close())
	}
	require.Equal(t, before, len(d.plainServers[0].ExecutedRequests())+len(d.plainServers[1].ExecutedRequests()))
}

func TestNewWeightsVersionReachesAllEngines(t *testing.T) {
	d := startDeployment(t)
	d.origin.CorruptPiece(3, 1)
	d.engines[0].CorruptStagedPiece(5)
	d.store.PutVersion(modelName, 2)
	for _, engine := range d.engines {
		d.eventually(func() bool { return engine.Version() == 2 }, "engine %s did not load version 2", engine.ID)
	}
	require.Equal(t, d.origin.Pieces+1, d.origin.PiecesSent(2), "each piece is fetched from the origin once, and the corrupt one a second time")
	d.eventually(func() bool {
		return d.sendRequest(0, streamHost, "POST", "/s/x", "after", nil).header.Get(headers.Names().WeightsVersion) == "2"
	}, "requests are not served from version 2")
}

// Rows that only the lost past had stayed in force, and daemons did not write their own
// again.
func TestStoreComesBackWithoutItsLatestRows(t *testing.T) {
	d := startDeployment(t)
	d.eventually(func() bool {
		return len(d.readRows(roster.EntriesTable)) == 2 && len(d.readRows(roster.AgentsTable)) == 2
	}, "the daemons have no rows")
	written := append(d.readRows(watch.OperatorTable), d.readRows(watch.ServersTable)...)
	d.store.Put(watch.ServersTable, "lost", []byte("?"))
	d.store.SetDown(true)
	d.store.Lose(time.Minute)
	require.Equal(t, http.StatusOK, d.sendRequest(0, plainHost, "POST", "/issue/1", "during the outage", nil).status)
	d.store.SetDown(false)
	for _, row := range written {
		d.store.Put(row.Table, row.Key, row.Value)
	}
	d.eventually(func() bool {
		return len(d.readRows(roster.EntriesTable)) == 2 && len(d.readRows(roster.AgentsTable)) == 2
	}, "the daemons did not write their rows again")
	for entry := range d.entries {
		d.eventually(func() bool { return strings.Contains(d.metrics(entry), "currantusher_store_era 2\n") }, "entry %d did not notice the loss", entry)
		d.eventually(func() bool {
			return d.sendRequest(entry, streamHost, "POST", "/s/x", "after the loss", nil).status == http.StatusOK
		}, "requests to entry %d do not succeed", entry)
	}
}

func TestRestartedEngineLoadsWeightsAgain(t *testing.T) {
	d := startDeployment(t)
	d.engines[1].Start(0)
	d.eventually(func() bool { return d.engines[1].Version() == 1 }, "the restarted engine did not load version 1")
}

func TestBrokenStreamResumesAtAnotherServer(t *testing.T) {
	d := startDeployment(t)
	// A new entry has no retry budget yet and aborts a broken stream. The loop sends
	// requests until the budget allows a resume.
	attempt := 0
	d.eventually(func() bool {
		attempt++
		body := fmt.Sprintf("broken %d", attempt)
		d.engines[0].TruncateNextStream(3)
		// Entry 0 prefers the engine of its own data centre unless it failed recently.
		got := d.sendRequest(0, streamHost, "POST", "/s/x", body, nil)
		require.True(t, strings.HasPrefix(completeStream(6), got.body), "events are lost or repeated")
		if got.err != nil || !hasExecuted(d.engines[0], body) {
			return false
		}
		require.Equal(t, completeStream(6), got.body)
		require.Equal(t, "3", findExecutedRequest(t, d.engines[1:], body).Header.Get(headers.Names().LastEventID))
		return true
	}, "no broken stream was resumed")
}

func hasExecuted(server *standin.Backend, body string) bool {
	return slices.ContainsFunc(server.ExecutedRequests(), func(executed standin.ExecutedRequest) bool { return executed.Body == body })
}

func TestFailedUnsafeRequestIsNotRetried(t *testing.T) {
	d := startDeployment(t)
	for _, server := range d.plainServers {
		server.FailNextRequests(1)
	}
	got := d.sendRequest(0, plainHost, "POST", "/issue/1", "failing lot", nil)
	require.Equal(t, http.StatusInternalServerError, got.status, "the server's own response is forwarded")
	runs := 0
	for _, server := range d.plainServers {
		for _, executed := range server.ExecutedRequests() {
			if executed.Body == "failing lot" {
				runs++
			}
		}
	}
	require.Equal(t, 1, runs)
}

func TestFailedSafeRequestIsRetriedAtAnotherServer(t *testing.T) {
	d := startDeployment(t)
	d.awaitRetries(0)
	d.plainServers[0].FailNextRequests(1)
	for i := range 4 {
		body := fmt.Sprint("look ", i)
		require.Equal(t, http.StatusOK, d.sendRequest(0, plainHost, "POST", "/look", body, nil).status)
	}
}

func TestCallerDisconnectAbortsRequest(t *testing.T) {
	d := startDeployment(t)
	for _, engine := range d.engines {
		engine.EventCount, engine.EventInterval = 100000, time.Millisecond
	}
	request, err := http.NewRequest("POST", "http://"+d.entries[0].CallerAddr+"/s/x", strings.NewReader("long"))
	require.NoError(t, err)
	names := headers.Names()
	request.Host = streamHost
	request.Header.Set(names.RequestID, nextRequestID())
	request.Header.Set(names.APIKey, apiKey)
	request.Header.Set(names.Model, modelName)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	_, err = response.Body.Read(make([]byte, 10))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	d.eventually(func() bool {
		for _, engine := range d.engines {
			for _, executed := range engine.ExecutedRequests() {
				if executed.Body == "long" && executed.Aborted {
					return true
				}
			}
		}
		return false
	}, "the engine did not abort the request of the disconnected caller")
}

func TestDrainAndEvacuationStopNewRequests(t *testing.T) {
	d := startDeployment(t)
	d.engines[0].Drain()
	d.awaitRequestsOnlyAt(d.engines[0], d.engines[1])

	d.store.Evacuate("b")
	d.eventually(func() bool {
		return d.sendRequest(0, streamHost, "POST", "/s/x", "", nil).status == http.StatusServiceUnavailable
	}, "requests still succeed while no engine accepts them")
	refused := d.sendRequest(1, streamHost, "POST", "/s/x", "", nil)
	require.NotEmpty(t, refused.header.Get("Retry-After"))
	d.store.EndEvacuation("b")
	d.eventually(func() bool { return d.sendRequest(0, streamHost, "POST", "/s/x", "", nil).status == http.StatusOK }, "requests do not succeed after the end of the evacuation")
}

// awaitRequestsOnlyAt waits until requests succeed and excluded receives none.
func (d *deployment) awaitRequestsOnlyAt(excluded, expected *standin.Backend) {
	d.eventually(func() bool {
		before := len(excluded.ExecutedRequests())
		for entry := range d.entries {
			for range 4 {
				if d.sendRequest(entry, streamHost, "POST", "/s/x", "", nil).status != http.StatusOK {
					return false
				}
			}
		}
		return len(excluded.ExecutedRequests()) == before
	}, "requests fail or still go to %s instead of %s", excluded.ID, expected.ID)
}

func TestRequestsContinueDuringStoreOutage(t *testing.T) {
	d := startDeployment(t)
	d.store.SetDown(true)
	for entry := range d.entries {
		for range 10 {
			require.Equal(t, http.StatusOK, d.sendRequest(entry, plainHost, "POST", "/issue/1", "away", nil).status)
		}
	}
	d.store.DropHistory()
	d.store.SetDown(false)
	d.engines[0].Drain()
	d.awaitRequestsOnlyAt(d.engines[0], d.engines[1])
}

func TestDirectoryReturnsOnlyReadyEntries(t *testing.T) {
	d := startDeployment(t)
	directoryReturns := func(entry int, want ...string) func() bool {
		return func() bool {
			got, err := standin.Resolve(d.entries[entry].DirectoryAddr, plainHost, "region-a", "a")
			return err == nil && slices.Equal(got, want)
		}
	}
	localEntry, remoteEntry := d.entries[0].CallerAddr, d.entries[1].CallerAddr
	d.eventually(directoryReturns(1, localEntry, remoteEntry), "the directory did not return the only entry of the caller's data centre and then the other entry")
	// The first stop function belongs to entry 0.
	d.stopFuncs[0]()
	d.eventually(directoryReturns(1, remoteEntry), "the directory still returns the leaving entry")
}

// TestLeavingEntryAbortsNoRequest checks that a stopping entry completes every
// request that it forwards, while callers keep using their open connections.
func TestLeavingEntryAbortsNoRequest(t *testing.T) {
	d := startDeployment(t)
	const callers = 4
	type failedRequest struct {
		body string
		err  error
	}
	var mu sync.Mutex
	var failed []failedRequest
	var served atomic.Int64
	stopped := make(chan struct{})
	var callersDone sync.WaitGroup
	for caller := range callers {
		callersDone.Go(func() {
			for i := 0; ; i++ {
				body := fmt.Sprintf("leaving %d-%d", caller, i)
				got := d.sendRequest(0, plainHost, "POST", "/issue/x", body, nil)
				if got.err == nil && got.status == http.StatusOK {
					served.Add(1)
					continue
				}
				mu.Lock()
				failed = append(failed, failedRequest{body, got.err})
				mu.Unlock()
				if errors.Is(got.err, syscall.ECONNREFUSED) {
					return
				}
				select {
				case <-stopped:
					return
				default:
				}
			}
		})
	}
	d.eventually(func() bool { return served.Load() > 100 }, "fewer than 100 requests succeeded")
	d.stopFuncs[0]()
	callersDone.Wait()
	close(stopped)
	for _, failure := range failed {
		for _, server := range d.plainServers {
			require.False(t, hasExecuted(server, failure.body), "request %q was forwarded but failed with %v", failure.body, failure.err)
		}
	}
}
