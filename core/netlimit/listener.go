package netlimit

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// evictFraction is the fraction of the bound that one eviction closes of connections
	// without a request, so that not each new connection costs a scan.
	evictFraction = 0.02
	// fairFraction is the fraction of the bound that an address may hold before its own
	// connections are evicted first.
	fairFraction = 1.0 / 16
)

// phase orders connections for eviction: those of lower phases are closed first.
type phase uint8

const (
	// phaseWaiting is a connection without a whole head: silent, idle, or sending it.
	phaseWaiting phase = iota
	// phaseBody is a request whose body is being read.
	phaseBody
	// phaseWriting is an answer that is being written.
	phaseWriting
	// phaseServing is a request whose answer is being prepared.
	phaseServing
)

// transfer is a kind of bytes that TransferBytes bounds.
type transfer uint8

const (
	// transferBody is a body of a request in progress, and transferAnswer an answer that is
	// being written. They are bounded apart, since answers free the bodies of their requests.
	transferBody transfer = iota
	transferAnswer
	transferKinds
)

// Listener accepts connections within the limits. It is safe for concurrent use.
type Listener struct {
	net.Listener
	limits Limits
	onHit  func(Reason)

	mu    sync.Mutex
	conns map[*conn]struct{}
	// held is the sum of what the connections hold.
	held [transferKinds]int64
	hits map[Reason]*atomic.Int64
}

// NewListener wraps a listener. onHit is called for each connection that a bound closes and
// each request that it refuses; it may be nil and must not block.
func NewListener(inner net.Listener, limits Limits, onHit func(Reason)) *Listener {
	l := &Listener{Listener: inner, limits: limits, onHit: onHit, conns: map[*conn]struct{}{}, hits: map[Reason]*atomic.Int64{}}
	for _, reason := range Reasons() {
		l.hits[reason] = &atomic.Int64{}
	}
	return l
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// TransferBytes returns the bytes of bodies and answers in progress.
func (l *Listener) TransferBytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held[transferBody] + l.held[transferAnswer]
}

// Hits returns how often a bound closed a connection or refused a request.
func (l *Listener) Hits(reason Reason) int64 { return l.hits[reason].Load() }

func (l *Listener) hit(reason Reason) {
	l.hits[reason].Add(1)
	if l.onHit != nil {
		l.onHit(reason)
	}
}

// Accept implements net.Listener. Beyond the bound it closes other connections, or the new
// one if all others serve requests.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, listener: l, addr: remoteIP(inner), since: time.Now()}
	l.closeAll(l.add(c), ReasonConns)
	return c, nil
}

func remoteIP(c net.Conn) netip.Addr {
	if tcp, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr()
	}
	return netip.Addr{}
}

func (l *Listener) closeAll(conns []*conn, reason Reason) {
	for _, c := range conns {
		// The server gets an error from its read or write and drops the connection.
		c.abort()
		l.hit(reason)
	}
}

// add returns the connections to close.
func (l *Listener) add(c *conn) []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	if l.limits.Conns <= 0 || len(l.conns) <= l.limits.Conns {
		return nil
	}
	victims := l.victims(1 + int(evictFraction*float64(l.limits.Conns)))
	for _, victim := range victims {
		l.forget(victim)
	}
	return victims
}

func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget(c)
}

// forget must be called with the lock held.
func (l *Listener) forget(c *conn) {
	delete(l.conns, c)
	for kind, bytes := range c.held {
		l.held[kind] -= bytes
		c.held[kind] = 0
	}
	c.gone = true
}

// reserve accounts for bytes of a body or an answer of c. Beyond the bound it closes the
// transfers of other connections that have lasted longest. The error is net.ErrClosed if c was
// closed, and ErrTransfers for a body if there is no such transfer. An answer that is larger
// than the bound is written alone.
func (l *Listener) reserve(c *conn, kind transfer, bytes int64) error {
	l.mu.Lock()
	victims, err := l.reserveLocked(c, kind, bytes)
	l.mu.Unlock()
	l.closeAll(victims, ReasonTransfers)
	if errors.Is(err, ErrTransfers) {
		l.hit(ReasonTransfers)
	}
	return err
}

func (l *Listener) reserveLocked(c *conn, kind transfer, bytes int64) (victims []*conn, err error) {
	if c.gone {
		return nil, net.ErrClosed
	}
	limit := l.limits.TransferBytes
	for limit > 0 && l.held[kind]+bytes > limit {
		victim := l.oldestTransfer(c, kind)
		if victim == nil && kind == transferAnswer {
			break
		}
		if victim == nil {
			return victims, ErrTransfers
		}
		l.forget(victim)
		victims = append(victims, victim)
	}
	l.held[kind] += bytes
	c.held[kind] += bytes
	return victims, nil
}

// oldestTransfer returns the connection that has been sending its body, or leaving its
// answer unread, for longest. Requests whose bodies have arrived are kept.
func (l *Listener) oldestTransfer(except *conn, kind transfer) *conn {
	during := [transferKinds]phase{transferBody: phaseBody, transferAnswer: phaseWriting}[kind]
	var oldest *conn
	for c := range l.conns {
		if c != except && c.phase == during && c.held[kind] > 0 && (oldest == nil || c.since.Before(oldest.since)) {
			oldest = c
		}
	}
	return oldest
}

func (l *Listener) release(c *conn, kind transfer, bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	bytes = min(bytes, c.held[kind])
	c.held[kind] -= bytes
	l.held[kind] -= bytes
}

// enter sets the phase of a connection and returns the one before.
func (l *Listener) enter(c *conn, next phase, now time.Time) phase {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := c.phase
	if before != next {
		c.phase, c.since = next, now
	}
	return before
}
