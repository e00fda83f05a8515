// Package coldlimit limits the requests that all entries together send to a
// backend server in cold start. It needs no coordinator: in any second each entry
// uses at most its share of the limit. It has no clock and does no I/O.
package coldlimit

import (
	"sync"
	"time"

	"currantusher.dev/core"
)

// window is the length of the sliding window in which the limit holds.
const window = time.Second

// Limit is the limit on requests from all entries to one cold backend server.
type Limit struct {
	// PerSecond is the configured rate; 0 means no limit.
	PerSecond float64
	// Overshoot and Slack widen the rate to PerSecond x Overshoot + Slack.
	Overshoot, Slack float64
}

// PerEntry returns how many requests one entry may send in any window when the
// limit is divided evenly among the given number of entries.
func (l Limit) PerEntry(entries int) int {
	return int((l.PerSecond*l.Overshoot + l.Slack) / float64(max(entries, 1)))
}

// Counter counts the requests that this entry sent to each server within the
// window. It is safe for concurrent use.
type Counter struct {
	mu   sync.Mutex
	sent map[core.InstanceID][]time.Time
}

// NewCounter returns an empty Counter.
func NewCounter() *Counter { return &Counter{sent: map[core.InstanceID][]time.Time{}} }

// Record counts a request. Requests to warm servers count too, since a server
// may enter cold start within the window.
func (c *Counter) Record(now time.Time, server core.InstanceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[server] = append(c.recent(now, server), now)
}

// HasCapacity reports whether fewer than limit requests were sent to the server
// within the window.
func (c *Counter) HasCapacity(now time.Time, server core.InstanceID, limit int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	recent := c.recent(now, server)
	if len(recent) == 0 {
		delete(c.sent, server)
		return limit > 0
	}
	c.sent[server] = recent
	return len(recent) < limit
}

func (c *Counter) recent(now time.Time, server core.InstanceID) []time.Time {
	times := c.sent[server]
	for len(times) > 0 && now.Sub(times[0]) > window {
		times = times[1:]
	}
	return times
}

// Sweep drops the servers that received no request within the window.
func (c *Counter) Sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for server := range c.sent {
		if len(c.recent(now, server)) == 0 {
			delete(c.sent, server)
		}
	}
}
