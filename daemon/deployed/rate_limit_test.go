package deployed

import (
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/platform/standin"
)

const (
	// limitWindow, limitOvershoot and limitSlack are the operators' bound: in any
	// window, a server gets at most the overshoot of what its limit allows, and the
	// slack.
	limitWindow    = 4 * time.Second
	limitOvershoot = 1.5
	limitSlack     = 5
	// limitSettleTime is the time after a server first named its limit from which the
	// bound holds.
	limitSettleTime = 3 * time.Second
	namedLimit      = 1.9
)

// maxArrivals returns the largest number of requests that reached a server within a
// window which begins at since or later.
func maxArrivals(server *standin.Backend, since time.Time) int {
	arrivals, most := server.Arrivals(), 0
	for i, first := range arrivals {
		if first.At.Before(since) {
			continue
		}
		n := 0
		for _, arrival := range arrivals[i:] {
			if arrival.At.Sub(first.At) <= limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// requestLoad sends requests to all entries until stop is called, and counts the
// answers by status.
type requestLoad struct {
	stop func()

	mu       sync.Mutex
	statuses map[int]int
	// missingRetryAfter counts the refusals without a time to return.
	missingRetryAfter int
}

// startLoad sends a request to each entry in every period, one entry after the other.
func (d *deployment) startLoad(period time.Duration) *requestLoad {
	return d.startLoadAt(running(len(d.entries)), period)
}

// running returns the indices of the first count entries.
func running(count int) []int {
	var list []int
	for i := range count {
		list = append(list, i)
	}
	return list
}

func (d *deployment) startLoadAt(entries []int, period time.Duration) *requestLoad {
	load := &requestLoad{statuses: map[int]int{}}
	done := make(chan struct{})
	var senders sync.WaitGroup
	for i, entry := range entries {
		senders.Go(func() {
			time.Sleep(period * time.Duration(i) / time.Duration(len(entries)))
			ticker := time.NewTicker(period)
			defer ticker.Stop()
			for {
				select {
				case <-done:
					return
				case <-ticker.C:
					load.count(d.sendRequest(entry, plainHost, "POST", "/look", "", nil))
				}
			}
		})
	}
	load.stop = sync.OnceFunc(func() {
		close(done)
		senders.Wait()
	})
	d.t.Cleanup(load.stop)
	return load
}

func (l *requestLoad) count(result callResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.statuses[result.status]++
	if result.status == http.StatusServiceUnavailable && result.header.Get("Retry-After") == "" {
		l.missingRetryAfter++
	}
}

// addEntries starts more entries, half of them in each data centre.
func (d *deployment) addEntries(count int) {
	d.startEntries(count)
	d.awaitReady()
}

func (d *deployment) startEntries(count int) {
	for range count {
		i := len(d.entries)
		d.runEntry(d.newNode(fmt.Sprintf("entry-%d", i), string('a'+rune(i%2)), d.storeAddr))
	}
}

func TestServersGetNoMoreRequestsThanTheLimitThatTheyName(t *testing.T) {
	for _, c := range []struct{ entries, limited int }{{2, 2}, {8, 1}, {8, 2}} {
		t.Run(fmt.Sprintf("%d entries, %d of 2 servers limited", c.entries, c.limited), func(t *testing.T) {
			d := startDeployment(t)
			d.addEntries(c.entries - len(d.entries))
			load := d.startLoad(time.Duration(c.entries) * 20 * time.Millisecond)
			named := time.Now()
			limited := d.plainServers[:c.limited]
			nameLimits(limited, namedLimit)
			time.Sleep(limitSettleTime + 2*limitWindow)
			load.stop()
			for _, server := range limited {
				require.LessOrEqual(t, maxArrivals(server, named.Add(limitSettleTime)), allowedArrivals(namedLimit), "%s", server.ID)
			}
			require.Zero(t, load.missingRetryAfter)
			for status := range load.statuses {
				require.Contains(t, []int{http.StatusOK, http.StatusServiceUnavailable}, status)
			}
			require.NotZero(t, load.statuses[http.StatusOK])
		})
	}
}

// allowedArrivals returns the bound on the requests to a server in any limitWindow.
func allowedArrivals(perSecond float64) int {
	return int(limitOvershoot*perSecond*limitWindow.Seconds() + limitSlack)
}

func nameLimits(servers []*standin.Backend, perSecond float64) {
	for _, server := range servers {
		server.NameLimit(strconv.FormatFloat(perSecond, 'f', -1, 64))
	}
}

// stopEntry stops an entry, which remains in the list of entries.
func (d *deployment) stopEntry(entry int) { d.entryStops[entry]() }

func TestLimitsHoldWhileHalfOfTheEntriesGoAndOthersCome(t *testing.T) {
	d := startDeployment(t)
	d.addEntries(6)
	nameLimits(d.plainServers, namedLimit)
	named := time.Now()
	load := d.startLoad(160 * time.Millisecond)
	time.Sleep(limitSettleTime)
	for entry := 4; entry < len(d.entries); entry++ {
		d.stopEntry(entry)
	}
	time.Sleep(limitWindow)
	load.stop()
	d.startEntries(4)
	load = d.startLoadAt(append(running(4), 8, 9, 10, 11), 160*time.Millisecond)
	time.Sleep(2 * limitWindow)
	load.stop()
	for _, server := range d.plainServers {
		require.LessOrEqual(t, maxArrivals(server, named.Add(limitSettleTime)), allowedArrivals(namedLimit), "%s", server.ID)
	}
	require.NotZero(t, load.statuses[http.StatusOK])
}

func TestEntriesFollowALimitThatFallsAndEnds(t *testing.T) {
	const high, low = 20, 1
	d := startDeployment(t)
	d.addEntries(2)
	load := d.startLoad(50 * time.Millisecond)
	nameLimits(d.plainServers, high)
	time.Sleep(limitSettleTime)
	nameLimits(d.plainServers, low)
	fell := time.Now()
	time.Sleep(limitSettleTime + limitWindow)
	for _, server := range d.plainServers {
		require.LessOrEqual(t, maxArrivals(server, fell.Add(limitSettleTime)), allowedArrivals(low), "%s", server.ID)
		server.NameLimit("")
	}
	const unlimited = 30
	before := len(d.plainServers[0].Arrivals())
	d.eventually(func() bool { return len(d.plainServers[0].Arrivals()) > before+unlimited }, "the server gets few requests after its limit has ended")
	load.stop()
}

// limitedServers returns the number of limited servers that an entry knows, or "" if it
// does not tell.
func (d *deployment) limitedServers(entry int) string {
	match := regexp.MustCompile(`(?m)^currantusher_servers_limited (\d+)$`).FindStringSubmatch(d.metrics(entry))
	if match == nil {
		return ""
	}
	return match[1]
}

// Only one entry gets requests and hears the server itself.
func TestAllEntriesLearnOfALimitAndOfItsEnd(t *testing.T) {
	d := startDeployment(t)
	d.addEntries(4)
	nameLimits(d.plainServers[:1], namedLimit)
	load := d.startLoadAt([]int{0}, 20*time.Millisecond)
	for _, c := range []struct{ limit, limited string }{{"1.9", "1"}, {"", "0"}} {
		d.plainServers[0].NameLimit(c.limit)
		for entry := range d.entries {
			d.eventually(func() bool { return d.limitedServers(entry) == c.limited }, "entry %d does not learn of limit %q", entry, c.limit)
		}
	}
	load.stop()
}

// refusedUntil sends requests to an entry until one is refused, and returns the time that
// the refusal names.
func (d *deployment) refusedUntil(entry int) time.Duration {
	d.t.Helper()
	for range 50 {
		result := d.sendRequest(entry, plainHost, "POST", "/look", "", nil)
		if result.status != http.StatusServiceUnavailable {
			continue
		}
		seconds, err := strconv.ParseFloat(result.header.Get("Retry-After"), 64)
		require.NoError(d.t, err)
		return time.Duration(seconds * float64(time.Second))
	}
	require.Fail(d.t, "no request is refused")
	return 0
}

func TestCallerWhoReturnsAtTheNamedTimeIsServed(t *testing.T) {
	d := startDeployment(t)
	d.addEntries(4)
	nameLimits(d.plainServers, namedLimit)
	load := d.startLoad(100 * time.Millisecond)
	time.Sleep(limitSettleTime)
	load.stop()
	for entry := range d.entries {
		for range 3 {
			time.Sleep(d.refusedUntil(entry))
			got := d.sendRequest(entry, plainHost, "POST", "/look", "", nil)
			require.Equal(t, http.StatusOK, got.status, "entry %d: %s %v", entry, got.body, got.header)
		}
	}
}
