package deployed

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/platform/headers"
	"currantusher.dev/platform/standin"
)

// unnamedPause is longer than an entry leaves a server alone that refuses a request
// without asking for a pause.
const unnamedPause = 1500 * time.Millisecond

// requestsForNotices is the number of requests after which each server would have
// received some if the entry did not heed its announcement.
const requestsForNotices = 40

func countLeavingAnswers(server *standin.Backend) int {
	count := 0
	for _, arrival := range server.Arrivals() {
		if arrival.Leaving {
			count++
		}
	}
	return count
}

// countArrivalsAfterRefusal returns how many requests reached the server after the
// first one that it refused, or -1 if it refused none.
func countArrivalsAfterRefusal(server *standin.Backend) int {
	arrivals := server.Arrivals()
	for i, arrival := range arrivals {
		if arrival.RetryAfter != "" {
			return len(arrivals) - i - 1
		}
	}
	return -1
}

func TestServerThatAnnouncesItsLeavingGetsNoNewRequest(t *testing.T) {
	d := startDeployment(t)
	leaving := d.plainServers[0]
	leaving.AnnounceLeaving()
	for range requestsForNotices {
		require.Equal(t, http.StatusOK, d.sendRequest(0, plainHost, "POST", "/look", "", nil).status)
	}
	require.Equal(t, 1, countLeavingAnswers(leaving))

	before := len(leaving.Arrivals())
	leaving.Start(1)
	d.eventually(func() bool {
		return d.sendRequest(0, plainHost, "POST", "/look", "", nil).status == http.StatusOK && len(leaving.Arrivals()) > before
	}, "the restarted server gets no requests")
}

// Each process of a server that leaves at a random moment and restarts some requests
// later may announce its leaving once.
func TestServersThatLeaveAtRandomAnnounceItOnceInALifetime(t *testing.T) {
	const lifetimes, requestsAfterLeaving = 6, 5
	d := startDeployment(t)
	seed := uint64(0)
	ended, waited := map[string]int{}, map[string]int{}
	for _, server := range d.plainServers {
		server.AnnounceLeavingAtRandom(seed, 0.05)
		seed++
	}
	d.eventually(func() bool {
		status := d.sendRequest(0, plainHost, "POST", "/issue/1", "", nil).status
		require.Contains(t, []int{http.StatusOK, http.StatusServiceUnavailable}, status)
		for _, server := range d.plainServers {
			answers := countLeavingAnswers(server)
			require.LessOrEqual(t, answers, ended[server.ID]+1, "%s announced its leaving twice", server.ID)
			if answers == ended[server.ID] {
				continue
			}
			if waited[server.ID]++; waited[server.ID] > requestsAfterLeaving {
				ended[server.ID]++
				waited[server.ID] = 0
				server.Start(1)
				server.AnnounceLeavingAtRandom(seed, 0.05)
				seed++
			}
		}
		return ended[d.plainServers[0].ID]+ended[d.plainServers[1].ID] >= lifetimes
	}, "too few servers left")
}

// openStream sends a request for a stream to entry 0 and returns after the head of the
// answer has arrived.
func (d *deployment) openStream(body string) *http.Response {
	d.t.Helper()
	request, err := http.NewRequest("POST", "http://"+d.entries[0].CallerAddr+"/s/x", strings.NewReader(body))
	require.NoError(d.t, err)
	names := headers.Names()
	request.Host = streamHost
	request.Header.Set(names.RequestID, nextRequestID())
	request.Header.Set(names.APIKey, apiKey)
	request.Header.Set(names.Model, modelName)
	response, err := http.DefaultClient.Do(request)
	require.NoError(d.t, err)
	d.t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

func TestStreamsOfAServerThatAnnouncesItsLeavingGoOn(t *testing.T) {
	const eventCount = 6
	d := startDeployment(t)
	for _, engine := range d.engines {
		engine.EventCount, engine.EventInterval = eventCount, 200*time.Millisecond
	}
	streams := []*http.Response{d.openStream("long")}
	leaving := d.engines[0]
	if hasExecuted(d.engines[1], "long") {
		leaving = d.engines[1]
	}
	leaving.AnnounceLeaving()
	for i := 0; countLeavingAnswers(leaving) == 0; i++ {
		require.Less(t, i, requestsForNotices, "no request reaches %s", leaving.ID)
		streams = append(streams, d.openStream("short"))
	}
	for range 8 {
		streams = append(streams, d.openStream("short"))
	}
	require.Equal(t, 1, countLeavingAnswers(leaving))
	for _, stream := range streams {
		body, err := io.ReadAll(stream.Body)
		require.NoError(t, err)
		require.Equal(t, completeStream(eventCount), string(body))
	}
}

func TestServerThatAsksForAPauseGetsNoRequestDuringIt(t *testing.T) {
	d := startDeployment(t)
	d.awaitRetries(0)
	paused := d.plainServers[0]
	paused.RefuseNextRequests(1, "400.5")
	for startedAt := time.Now(); time.Since(startedAt) < unnamedPause; {
		require.Equal(t, http.StatusOK, d.sendRequest(0, plainHost, "POST", "/look", "", nil).status)
	}
	require.Zero(t, countArrivalsAfterRefusal(paused))
}

// Callers send one request after the other, so that the entry has received each
// refusal before it sends the next request.
func TestShortPausesOfAllServersAreKept(t *testing.T) {
	const pause = 30 * time.Millisecond
	d := startDeployment(t)
	for i, server := range d.plainServers {
		server.RefuseRandomRequests(uint64(i), 0.3, fmt.Sprint(pause.Seconds()))
	}
	served, refused := 0, 0
	d.eventually(func() bool {
		switch got := d.sendRequest(0, plainHost, "POST", "/issue/1", "", nil); got.status {
		case http.StatusOK:
			served++
		case http.StatusServiceUnavailable:
			refused++
		default:
			t.Fatalf("got status %d", got.status)
		}
		return served >= 100 && refused >= 50
	}, "served or refused too few requests")
	for _, server := range d.plainServers {
		var pausedUntil time.Time
		for _, arrival := range server.Arrivals() {
			require.False(t, arrival.At.Before(pausedUntil), "%s got a request before the end of its pause", server.ID)
			if arrival.RetryAfter != "" {
				pausedUntil = arrival.At.Add(pause)
			}
		}
	}
}

func TestPauseOfAllServersRefusesCallersWithTheTimeOfTheFirstThatOpens(t *testing.T) {
	d := startDeployment(t)
	d.plainServers[0].RefuseNextRequests(1, "500.25")
	d.plainServers[1].RefuseNextRequests(1, "400.5")
	d.eventually(func() bool {
		d.sendRequest(0, plainHost, "POST", "/issue/1", "", nil)
		return countArrivalsAfterRefusal(d.plainServers[0]) == 0 && countArrivalsAfterRefusal(d.plainServers[1]) == 0
	}, "not every server has refused exactly one request")
	for range 10 {
		refused := d.sendRequest(0, plainHost, "POST", "/issue/1", "", nil)
		require.Equal(t, http.StatusServiceUnavailable, refused.status)
		seconds, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.Less(t, seconds, 403.0)
		require.Greater(t, seconds, 300.0)
	}
	for _, server := range d.plainServers {
		require.Zero(t, countArrivalsAfterRefusal(server))
	}
	d.plainServers[1].Start(1)
	d.eventually(func() bool { return d.sendRequest(0, plainHost, "POST", "/issue/1", "", nil).status == http.StatusOK },
		"requests fail although a server has restarted")
}
