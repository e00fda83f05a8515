package upstream

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"currantusher.dev/core/netdial"
)

// Defaults of Config.
const (
	// DefaultDialTimeout is short enough to try a second backend server in time. A
	// connection to a healthy server takes a few milliseconds.
	DefaultDialTimeout = 400 * time.Millisecond
	// DefaultIdleTimeout is how long an idle connection is kept if the server
	// sends no Keep-Alive timeout.
	DefaultIdleTimeout = 2 * time.Second
	// DefaultMaxIdlePerServer bounds the idle connections to one server.
	DefaultMaxIdlePerServer = 16
)

// Config holds the settings of a Pool.
type Config struct {
	DialTimeout      time.Duration
	IdleTimeout      time.Duration
	MaxIdlePerServer int
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

func (c *Config) applyDefaults() {
	if c.DialTimeout <= 0 {
		c.DialTimeout = DefaultDialTimeout
	}
	if c.IdleTimeout <= 0 {
		c.IdleTimeout = DefaultIdleTimeout
	}
	if c.MaxIdlePerServer <= 0 {
		c.MaxIdlePerServer = DefaultMaxIdlePerServer
	}
	if c.Now == nil {
		c.Now = time.Now
	}
}

// Pool holds idle connections by address. It is safe for concurrent use.
type Pool struct {
	config Config
	dialer *net.Dialer

	mu   sync.Mutex
	idle map[string][]*Conn
}

// NewPool returns an empty pool.
func NewPool(config Config) *Pool {
	config.applyDefaults()
	return &Pool{
		config: config,
		dialer: netdial.New(config.DialTimeout),
		idle:   map[string][]*Conn{},
	}
}

// Get returns a connection to addr: one that has been idle for at most maxIdle,
// or a new one. An error means that nothing was sent.
func (p *Pool) Get(ctx context.Context, addr string, maxIdle time.Duration) (*Conn, error) {
	for {
		c := p.takeIdle(addr, maxIdle)
		if c == nil {
			return p.dial(ctx, addr)
		}
		if c.isReusable() {
			return c, nil
		}
		c.Close()
	}
}

// takeIdle removes and returns the most recently used idle connection to addr,
// or nil if there is none that may be reused.
func (p *Pool) takeIdle(addr string, maxIdle time.Duration) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[addr]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	now := p.config.Now()
	if now.Sub(c.idleSince) > maxIdle || now.After(c.idleUntil) {
		// The other connections have been idle for even longer.
		for _, conn := range conns {
			conn.Close()
		}
		delete(p.idle, addr)
		return nil
	}
	p.idle[addr] = conns[:len(conns)-1]
	return c
}

func (p *Pool) dial(ctx context.Context, addr string) (*Conn, error) {
	netConn, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", addr, err)
	}
	return newConn(p, addr, netConn), nil
}

// put adds an idle connection that may be reused for the given time.
func (p *Pool) put(c *Conn, reuseFor time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[c.addr]
	if len(conns) >= p.config.MaxIdlePerServer {
		c.Close()
		return
	}
	c.idleSince = p.config.Now()
	c.idleUntil = c.idleSince.Add(reuseFor)
	p.idle[c.addr] = append(conns, c)
}

// CloseExpired closes idle connections whose time is over and returns the number
// of remaining ones.
func (p *Pool) CloseExpired() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Now()
	idleCount := 0
	for addr, conns := range p.idle {
		open := conns[:0]
		for _, c := range conns {
			if now.After(c.idleUntil) {
				c.Close()
				continue
			}
			open = append(open, c)
		}
		if len(open) == 0 {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = open
		idleCount += len(open)
	}
	return idleCount
}
