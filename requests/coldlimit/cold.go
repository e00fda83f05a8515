// Package coldlimit keeps the requests to cold backend servers under the limit that
// all entries share, without a coordinator: each entry uses its part of the
// limit in any second. It has no clock and does no I/O.
package coldlimit

import (
	"sync"
	"time"

	"currantusher.dev/core"
)

// window is the span over which the limit holds.
const window = time.Second

// Limit is what one cold backend server bears of all entries together.
type Limit struct {
	// PerSecond is the configured rate; 0 means no limit.
	PerSecond float64
	// Overshoot and Slack widen it: PerSecond x Overshoot + Slack.
	Overshoot, Slack float64
}

// PerEntry returns how many requests one of entries may send in any window.
func (l Limit) PerEntry(entries int) int {
	return int((l.PerSecond*l.Overshoot + l.Slack) / float64(max(entries, 1)))
}

// Counter counts the requests that this entry sent to each server. It is safe
// for concurrent use.
type Counter struct {
	mu   sync.Mutex
	sent map[core.InstanceID][]time.Time
}

// NewCounter returns an empty ledger.
func NewCounter() *Counter { return &Counter{sent: map[core.InstanceID][]time.Time{}} }

// Record counts a request. All requests count, since a server may turn cold
// within the window.
func (l *Counter) Record(now time.Time, server core.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[server] = append(l.recent(now, server), now)
}

// HasCapacity reports whether another request stays within share.
func (l *Counter) HasCapacity(now time.Time, server core.InstanceID, share int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	recent := l.recent(now, server)
	if len(recent) == 0 {
		delete(l.sent, server)
		return share > 0
	}
	l.sent[server] = recent
	return len(recent) < share
}

func (l *Counter) recent(now time.Time, server core.InstanceID) []time.Time {
	times := l.sent[server]
	for len(times) > 0 && now.Sub(times[0]) > window {
		times = times[1:]
	}
	return times
}

// Sweep forgets servers without recent requests.
func (l *Counter) Sweep(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for server := range l.sent {
		if len(l.recent(now, server)) == 0 {
			delete(l.sent, server)
		}
	}
}
