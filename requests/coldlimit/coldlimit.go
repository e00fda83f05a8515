// Package coldlimit limits the requests that all entries together send to a
// backend server in cold start. It needs no coordinator: in any second each entry
// uses at most its share of the limit. It has no clock and does no I/O.
package coldlimit

import (
	"hash/fnv"
	"sync"
	"time"

	"currantusher.dev/core"
)

// leftOverFraction is the fraction of the limit up to which the requests that an even
// division leaves over are given out. The rest is for entries that disagree for a
// moment on who gets them.
const leftOverFraction = 0.9

// window is the length of the sliding window in which the limit holds.
const window = time.Second

// Limit is the limit on requests from all entries to one cold backend server.
type Limit struct {
	// PerSecond is the configured rate; 0 means no limit.
	PerSecond float64
	// Overshoot and Slack widen the rate to PerSecond x Overshoot + Slack.
	Overshoot, Slack float64
}

// Sharers are the entries that divide the limits of servers among them.
type Sharers struct {
	count  int
	self   uint64
	others []uint64
}

// NewSharers returns the sharers as seen by the entry self. count is their number,
// which includes some whose IDs are not known.
func NewSharers(self core.InstanceID, others []core.InstanceID, count int) Sharers {
	s := Sharers{count: max(count, 1), self: hashID(self)}
	for _, other := range others {
		s.others = append(s.others, hashID(other))
	}
	return s
}

// Share returns how many requests this entry may send to a server in any window. What
// an even division leaves over goes to those entries that have the lowest ranks for
// the server, so that a limit below the number of entries can still be used. A rank
// hardly depends on whether the entries agree on who shares the limit.
func (l Limit) Share(server core.InstanceID, sharers Sharers) int {
	limit := l.PerSecond*l.Overshoot + l.Slack
	share := int(limit / float64(sharers.count))
	leftOver := int(leftOverFraction*limit) - share*sharers.count
	if leftOver > 0 && sharers.rank(server) < leftOver {
		share++
	}
	return share
}

// rank returns the number of other sharers that come before this entry at a server.
func (s Sharers) rank(server core.InstanceID) int {
	serverHash := hashID(server)
	own, rank := mix(s.self^serverHash), 0
	for _, other := range s.others {
		if mix(other^serverHash) < own {
			rank++
		}
	}
	return rank
}

func hashID(id core.InstanceID) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id))
	return hash.Sum64()
}

// mix is the finalizer of MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
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
