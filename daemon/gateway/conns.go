package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
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

// callerConns closes callers' connections that are idle or silent for longer
// than the configuration in force allows. http.Server has such bounds, but
// takes them only at its start.
type callerConns struct {
	limits func() fleet.Limits

	mu    sync.Mutex
	conns map[net.Conn]connState
}

type connState struct {
	state http.ConnState
	since time.Time
}

func newCallerConns(limits func() fleet.Limits) *callerConns {
	return &callerConns{limits: limits, conns: map[net.Conn]connState{}}
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
