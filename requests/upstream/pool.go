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
	// DefaultDialTimeout leaves a caller time for a second backend server: a
	// connection takes a few milliseconds when the server is sound.
	DefaultDialTimeout = 400 * time.Millisecond
	// DefaultIdleTimeout is how long a connection is kept whose server names no
	// time of its own.
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

// Get returns a connection to addr: an idle one that was used at most maxIdle
// ago, or a new one. An error means that nothing was sent.
func (p *Pool) Get(ctx context.Context, addr string, maxIdle time.Duration) (*Conn, error) {
	for {
		c := p.take(addr, maxIdle)
		if c == nil {
			return p.dial(ctx, addr)
		}
		if c.isQuiet() {
			return c, nil
		}
		c.Close()
	}
}

// take removes the connection that was used last.
func (p *Pool) take(addr string, maxIdle time.Duration) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	now := p.config.Now()
	if now.Sub(c.idleSince) > maxIdle || now.After(c.idleUntil) {
		// All others have been idle for longer.
		for _, old := range list {
			old.Close()
		}
		delete(p.idle, addr)
		return nil
	}
	p.idle[addr] = list[:len(list)-1]
	return c
}

func (p *Pool) dial(ctx context.Context, addr string) (*Conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", addr, err)
	}
	return newConn(p, addr, raw), nil
}

// put keeps a connection whose last answer was read whole.
func (p *Pool) put(c *Conn, keep time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.addr]
	if len(list) >= p.config.MaxIdlePerServer {
		c.Close()
		return
	}
	c.idleSince = p.config.Now()
	c.idleUntil = c.idleSince.Add(keep)
	p.idle[c.addr] = append(list, c)
}

// CloseExpired closes idle connections past their time and returns how many stay.
func (p *Pool) CloseExpired() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Now()
	left := 0
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.After(c.idleUntil) {
				c.Close()
				continue
			}
			kept = append(kept, c)
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = kept
		left += len(kept)
	}
	return left
}
