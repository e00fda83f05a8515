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

// connPeriod is how often callers' connections are looked at.
const connPeriod = 500 * time.Millisecond

// Times that hold until a configuration names them.
const (
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

const (
	// reservedFiles are the descriptors that the platform keeps for files.
	reservedFiles = 200
	// callersPart is the part of the other descriptors that callers' connections
	// may take; backend servers, the store and other daemons need the rest.
	callersPart = 0.6
	// defaultMaxConns is used where the number of descriptors is not known.
	defaultMaxConns = 2000
	// evictPart is the part of the connections that is closed when there are
	// too many, so that the search for them is not repeated for each new one.
	evictPart = 0.02
)

// maxCallerConns is how many connections of callers a process may have open.
func maxCallerConns(maxFiles int) int {
	if maxFiles <= reservedFiles {
		return defaultMaxConns
	}
	return int(callersPart * float64(maxFiles-reservedFiles))
}

// callerConns closes callers' connections that are idle or silent for longer
// than the configuration in force allows, and those that were silent longest
// when there are too many. http.Server has such bounds in time, but takes them
// only at its start.
type callerConns struct {
	limits func() fleet.Limits
	most   int

	mu    sync.Mutex
	conns map[net.Conn]connState
	// evicted counts how often connections were closed to make room.
	evicted atomic.Int64
}

type connState struct {
	state http.ConnState
	since time.Time
}

func newCallerConns(limits func() fleet.Limits, most int) *callerConns {
	return &callerConns{limits: limits, most: most, conns: map[net.Conn]connState{}}
}

// limits returns the limits in force.
func (g *Gateway) limits() fleet.Limits {
	if view := g.follower.View(); view.Table != nil {
		return view.Table.Config.Limits
	}
	return fleet.Limits{}
}

// observe implements http.Server.ConnState.
func (c *callerConns) observe(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(c.conns, conn)
	default:
		if framed, ok := conn.(*framedConn); ok && state == http.StateIdle {
			framed.next()
		}
		c.conns[conn] = connState{state: state, since: time.Now()}
	}
	if state == http.StateNew && len(c.conns) > c.most {
		c.evict()
	}
}

// evict closes the connections that were silent longest: first those on which
// no request ever came. The caller holds the lock.
func (c *callerConns) evict() {
	var silent []net.Conn
	for conn, s := range c.conns {
		if s.state == http.StateNew || s.state == http.StateIdle {
			silent = append(silent, conn)
		}
	}
	slices.SortFunc(silent, func(a, b net.Conn) int {
		stateA, stateB := c.conns[a], c.conns[b]
		if stateA.state != stateB.state {
			return cmp.Compare(stateA.state, stateB.state)
		}
		return stateA.since.Compare(stateB.since)
	})
	for _, conn := range silent[:min(len(silent), 1+int(evictPart*float64(c.most)))] {
		delete(c.conns, conn)
		// The server sees the error and ends the connection.
		_ = conn.Close()
	}
	c.evicted.Add(1)
}

// count returns how many connections are open.
func (c *callerConns) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

func (c *callerConns) run(ctx context.Context) error {
	return every(ctx, connPeriod, func() {
		for _, conn := range c.overdue(time.Now()) {
			// The server sees the error and forgets the connection.
			_ = conn.Close()
		}
	})
}

func (c *callerConns) overdue(now time.Time) []net.Conn {
	limits := c.limits()
	idle, header := limits.IdleTimeout, limits.HeaderTimeout
	if idle <= 0 {
		idle = defaultIdleTimeout
	}
	if header <= 0 {
		header = defaultHeaderTimeout
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []net.Conn
	for conn, s := range c.conns {
		age := now.Sub(s.since)
		if s.state == http.StateIdle && age > idle || s.state == http.StateNew && age > max(header, idle) {
			list = append(list, conn)
		}
	}
	return list
}
