package deployed

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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
