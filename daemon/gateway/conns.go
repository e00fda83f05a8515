package gateway

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"currantusher.dev/core/fleet"
)

const debugLevel = logrus.DebugLevel

// connCheckPeriod is how often callers' connections are checked for timeouts.
const connCheckPeriod = 500 * time.Millisecond

// Timeouts that apply while the configuration sets none.
const (
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

const (
	// reservedFiles is the number of descriptors kept for other open files.
	reservedFiles = 200
	// callerConnFraction is the fraction of the remaining descriptors available
	// to callers' connections; connections to backend servers, the store and
	// other daemons use the remainder.
	callerConnFraction = 0.6
	// defaultMaxConns applies when the descriptor limit is unknown.
	defaultMaxConns = 2000
	// evictFraction is the fraction of the maximum that is closed in one
	// eviction, so that not every new connection triggers a scan.
	evictFraction = 0.02
)

// maxCallerConns returns the maximum number of open caller connections for a
// descriptor limit; 0 means that the limit is unknown.
func maxCallerConns(maxFiles int) int {
	if maxFiles <= reservedFiles {
		return defaultMaxConns
	}
	return int(callerConnFraction * float64(maxFiles-reservedFiles))
}

// callerConns tracks callers' connections. It closes those that exceed the
// timeouts of the configuration in force and, when there are too many, those
// that have been idle longest. http.Server has such timeouts, but they cannot
// change after it has started.
type callerConns struct {
	limits   func() fleet.Limits
	maxConns int

	mu    sync.Mutex
	conns map[net.Conn]connState
	// evictions counts the evictions; each may close several connections.
	evictions atomic.Int64
	// headTimeouts counts the connections that were closed because of an incomplete head.
	headTimeouts atomic.Int64
}

type connState struct {
	state http.ConnState
	since time.Time
}

func newCallerConns(limits func() fleet.Limits, maxConns int) *callerConns {
	return &callerConns{limits: limits, maxConns: maxConns, conns: map[net.Conn]connState{}}
}

// limits returns the limits in force, or zero limits without a configuration.
func (g *Gateway) limits() fleet.Limits {
	if view := g.follower.View(); view.Table != nil {
		return view.Table.Config.Limits
	}
	return fleet.Limits{}
}

// onStateChange implements the http.Server.ConnState callback.
func (c *callerConns) onStateChange(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(c.conns, conn)
	default:
		if capturing, ok := conn.(*headCapturingConn); ok && state == http.StateIdle {
			capturing.reset()
		}
		c.conns[conn] = connState{state: state, since: time.Now()}
	}
	if state == http.StateNew && len(c.conns) > c.maxConns && !c.evictSlowBody(time.Now(), conn) {
		c.evict()
	}
}

// evict closes connections without a request in progress: first those that
// never sent a request, then idle ones, oldest first. The caller holds the lock.
func (c *callerConns) evict() {
	var evictable []net.Conn
	for conn, s := range c.conns {
		if s.state == http.StateNew || s.state == http.StateIdle {
			evictable = append(evictable, conn)
		}
	}
	slices.SortFunc(evictable, func(a, b net.Conn) int {
		stateA, stateB := c.conns[a], c.conns[b]
		if stateA.state != stateB.state {
			return cmp.Compare(stateA.state, stateB.state)
		}
		return stateA.since.Compare(stateB.since)
	})
	for _, conn := range evictable[:min(len(evictable), 1+int(evictFraction*float64(c.maxConns)))] {
		delete(c.conns, conn)
		// The HTTP server gets a read error and drops the connection.
		_ = conn.Close()
	}
	c.evictions.Add(1)
}

// resetActiveOnClose makes the close of each connection with a request in progress a reset.
// A normal close would make an answer look complete that has neither a length nor chunks.
func (c *callerConns) resetActiveOnClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, s := range c.conns {
		if capturing, ok := conn.(*headCapturingConn); ok && s.state == http.StateActive {
			capturing.resetOnClose()
		}
	}
}

// count returns the number of open connections.
func (c *callerConns) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

func (c *callerConns) run(ctx context.Context) error {
	return runPeriodically(ctx, connCheckPeriod, func() {
		for _, conn := range c.timedOut(time.Now()) {
			// The HTTP server gets a read error and drops the connection.
			_ = conn.Close()
		}
	})
}

func (c *callerConns) timedOut(now time.Time) []net.Conn {
	limits := c.limits()
	idleTimeout, headerTimeout := limits.IdleTimeout, limits.HeaderTimeout
	if idleTimeout <= 0 {
		idleTimeout = defaultIdleTimeout
	}
	if headerTimeout <= 0 {
		headerTimeout = defaultHeaderTimeout
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var expired []net.Conn
	for conn, s := range c.conns {
		age := now.Sub(s.since)
		if capturing, ok := conn.(*headCapturingConn); ok && capturing.headAge(now) > headerTimeout && s.state != http.StateActive {
			expired = append(expired, conn)
			c.headTimeouts.Add(1)
			continue
		}
		if s.state == http.StateIdle && age > idleTimeout || s.state == http.StateNew && age > max(headerTimeout, idleTimeout) {
			expired = append(expired, conn)
		}
	}
	return expired
}
