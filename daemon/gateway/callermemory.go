package gateway

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"currantusher.dev/core"
	"currantusher.dev/core/membudget"
)

const (
	// connBytes is what an open connection holds without a request: the descriptor's state,
	// two buffers of the HTTP server and a goroutine.
	connBytes = 16 << 10
	// requestBytes is what a request holds besides its head and its body: goroutines, its
	// place in the queue and the buffers of the connection to a backend server.
	requestBytes = 32 << 10
	// headLineBytes is what a decoded header field holds beyond its text.
	headLineBytes = 128
	// socketBufferBytes bounds what the operating system buffers for a caller's connection in
	// each direction; Linux doubles it. It suffices for 10 MB/s at a round trip of 10 ms.
	socketBufferBytes = 128 << 10
	// memoryRetryAfter is the Retry-After of requests refused for lack of memory. Accounts
	// without progress can be closed after membudget.QuietTime.
	memoryRetryAfter = 2 * membudget.QuietTime
	// writeStallTimeout is the time within which a caller must read minWriteProgress bytes of
	// an answer, unless less is left. Backend servers cut off answers that are not read for some
	// seconds.
	writeStallTimeout = 2 * time.Second
	minWriteProgress  = 4 << 10
	// maxWriteBytes is the length of the parts in which answers are written.
	maxWriteBytes = 64 << 10
	// memoryLogPeriod bounds the log lines about callers that were closed.
	memoryLogPeriod = time.Second
)

// callerMemory bounds the memory that callers make this entry hold, and counts what was ended
// because of that.
type callerMemory struct {
	budget *membudget.Budget
	// refusedConns, refusedHeads and refusedRequests count what did not fit in the budget.
	refusedConns, refusedHeads, refusedRequests atomic.Int64
	// bodyTimeouts counts bodies without progress, writeTimeouts answers that were not read.
	bodyTimeouts, writeTimeouts atomic.Int64
}

func newCallerMemory(memoryBytes int64) *callerMemory {
	return &callerMemory{budget: membudget.New(membudget.CallerLimit(memoryBytes))}
}

func errMemoryFull() error {
	return core.NewRefusal(core.CodeMemoryFull, memoryRetryAfter, "callers hold all memory or connections that are meant for them")
}

// counters returns the counters by the names of their metrics.
func (m *callerMemory) counters() map[string]int64 {
	return map[string]int64{
		"memory.accounts_closed": m.budget.Closed(), "memory.growth_refused": m.budget.Refused(),
		"memory.connections_refused": m.refusedConns.Load(), "memory.heads_refused": m.refusedHeads.Load(),
		"memory.requests_refused": m.refusedRequests.Load(),
		"callers.body_timeouts":   m.bodyTimeouts.Load(), "callers.write_timeouts": m.writeTimeouts.Load(),
	}
}

// watchCallerMemory updates the metrics, and logs what was ended or refused in a line a period
// at most, until ctx ends.
func (g *Gateway) watchCallerMemory(ctx context.Context) error {
	memory := g.callerMemory
	g.log.WithFields(logrus.Fields{"memory_bytes": g.config.Node.MemoryBytes, "limit_bytes": memory.budget.Limit()}).Info("Memory for callers is bounded.")
	metrics.GetOrRegisterGauge("memory.callers_limit_bytes", g.registry).Update(memory.budget.Limit())
	used := metrics.GetOrRegisterGauge("memory.callers_used_bytes", g.registry)
	counters := func() map[string]int64 {
		all := memory.counters()
		all["callers.head_timeouts"] = g.conns.headTimeouts.Load()
		return all
	}
	last := counters()
	return runPeriodically(ctx, memoryLogPeriod, func() {
		used.Update(memory.budget.Used())
		current := counters()
		fields := logrus.Fields{}
		for name, count := range current {
			metrics.GetOrRegisterGauge(name, g.registry).Update(count)
			if count > last[name] {
				fields[name] = count - last[name]
			}
		}
		last = current
		if len(fields) > 0 {
			fields["used_bytes"], fields["limit_bytes"] = memory.budget.Used(), memory.budget.Limit()
			g.log.WithFields(fields).Warn("Callers exceeded limits; their connections or requests were ended.")
		}
	})
}

// callerListener accounts for callers' connections.
type callerListener struct {
	headCapturingListener
	memory *callerMemory
}

// Accept implements net.Listener. Connections beyond the budget are reset.
func (l callerListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.headCapturingListener.Accept()
		if err != nil {
			return nil, err
		}
		capturing := conn.(*headCapturingConn)
		if capturing.account(l.memory) {
			return capturing, nil
		}
		l.memory.refusedConns.Add(1)
		capturing.resetOnClose()
		// The caller has not sent a request.
		_ = capturing.Close()
	}
}

// account charges the connection to the budget. It returns false if that is exhausted.
func (c *headCapturingConn) account(memory *callerMemory) bool {
	if tcpConn, ok := c.Conn.(*net.TCPConn); ok {
		// The connection works with other buffers as well.
		_ = errors.Join(tcpConn.SetReadBuffer(socketBufferBytes), tcpConn.SetWriteBuffer(socketBufferBytes))
	}
	c.memory = memory
	c.charge = memory.budget.Open(func() {
		c.resetOnClose()
		// The HTTP server gets a read error and drops the connection.
		_ = c.Close()
	})
	return c.charge.Grow(time.Now(), connBytes)
}

// chargeHead charges added bytes of the head, which hold lines. It returns false if they do not
// fit in the budget. The caller holds the lock.
func (c *headCapturingConn) chargeHead(added []byte) bool {
	now := time.Now()
	if c.headBegan.IsZero() {
		c.headBegan = now
	}
	extra := int64(copiesOfAHead*len(added) + headLineBytes*bytes.Count(added, []byte("\n")))
	if !c.charge.Grow(now, extra) {
		return false
	}
	c.chargedHead += extra
	return true
}

// endHeadCharge returns what the head was charged. The caller holds the lock.
func (c *headCapturingConn) endHeadCharge() {
	c.charge.Shrink(c.chargedHead)
	c.chargedHead, c.headBegan = 0, time.Time{}
}

// headAge returns for how long a head has been arriving that is incomplete, or 0.
func (c *headCapturingConn) headAge(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.headBegan.IsZero() || c.headComplete {
		return 0
	}
	return now.Sub(c.headBegan)
}

// setBusy sets whether a request of the connection is being served, which keeps the budget from
// closing the connection.
func setBusy(r *http.Request, isBusy bool) {
	if conn, ok := r.Context().Value(connContextKey{}).(*headCapturingConn); ok {
		conn.charge.SetBusy(isBusy)
		conn.charge.Progress(time.Now())
	}
}

// Write implements net.Conn. It fails if the caller does not read.
func (c *headCapturingConn) Write(p []byte) (int, error) {
	written := 0
	for {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(writeStallTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:min(len(p), written+maxWriteBytes)])
		written += n
		if n >= minWriteProgress && errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		if err != nil {
			if c.memory != nil && errors.Is(err, os.ErrDeadlineExceeded) {
				c.memory.writeTimeouts.Add(1)
				// A normal close would leave the unread bytes in the socket's buffer.
				c.resetOnClose()
			}
			return written, err
		}
		if written >= len(p) {
			return written, nil
		}
	}
}

// closeCaller returns a function that resets the connection of a request.
func closeCaller(r *http.Request) func() {
	return func() {
		if conn, ok := r.Context().Value(connContextKey{}).(*headCapturingConn); ok {
			conn.resetOnClose()
			// The request ends with an error of its write.
			_ = conn.Close()
		}
	}
}
