package deployed

import (
	"fmt"
	"net/http"
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
	load := &requestLoad{statuses: map[int]int{}}
	done := make(chan struct{})
	var senders sync.WaitGroup
	for entry := range d.entries {
		senders.Go(func() {
			time.Sleep(period * time.Duration(entry) / time.Duration(len(d.entries)))
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
	for range count {
		i := len(d.entries)
		d.runEntry(d.newNode(fmt.Sprintf("entry-%d", i), string('a'+rune(i%2)), d.storeAddr))
	}
	d.awaitReady()
}

func TestServersGetNoMoreRequestsThanTheLimitThatTheyName(t *testing.T) {
	for _, c := range []struct{ entries, limited int }{{2, 2}, {8, 1}, {8, 2}} {
		t.Run(fmt.Sprintf("%d entries, %d of 2 servers limited", c.entries, c.limited), func(t *testing.T) {
			d := startDeployment(t)
			d.addEntries(c.entries - len(d.entries))
			load := d.startLoad(time.Duration(c.entries) * 20 * time.Millisecond)
			named := time.Now()
			limited := d.plainServers[:c.limited]
			for _, server := range limited {
				server.NameLimit(strconv.FormatFloat(namedLimit, 'f', -1, 64))
			}
			time.Sleep(limitSettleTime + 2*limitWindow)
			load.stop()
			allowed := int(limitOvershoot*namedLimit*limitWindow.Seconds() + limitSlack)
			for _, server := range limited {
				require.LessOrEqual(t, maxArrivals(server, named.Add(limitSettleTime)), allowed, "%s", server.ID)
			}
			require.Zero(t, load.missingRetryAfter)
			for status := range load.statuses {
				require.Contains(t, []int{http.StatusOK, http.StatusServiceUnavailable}, status)
			}
			require.NotZero(t, load.statuses[http.StatusOK])
		})
	}
}
