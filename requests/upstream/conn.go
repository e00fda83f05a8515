package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	readBufferBytes = 4 << 10
	// inlineBytes is the largest request that is written before the answer is
	// read. A server may answer early and not read the rest of a longer one.
	inlineBytes = 8 << 10
	// maxInformational bounds the 1xx answers before the final one.
	maxInformational = 8
	// keepMargin is subtracted from the idle time that a server names, so that
	// its close and the next request do not cross.
	keepMargin = 500 * time.Millisecond
)

// ErrUnsolicitedData reports an answer that began before the request was sent.
var ErrUnsolicitedData = errors.New("bytes came before the request was sent")

// Conn is one connection to a backend server, for one request at a time.
type Conn struct {
	pool   *Pool
	addr   string
	raw    net.Conn
	reader *bufio.Reader

	idleSince time.Time
	idleUntil time.Time

	// written says that the last request is out whole.
	written atomic.Bool
	closed  sync.Once
}

func newConn(pool *Pool, addr string, raw net.Conn) *Conn {
	return &Conn{pool: pool, addr: addr, raw: raw, reader: bufio.NewReaderSize(raw, readBufferBytes)}
}

// isQuiet reports whether an idle connection is open and nothing has arrived
// on it. Bytes that come without a request belong to no request.
func (c *Conn) isQuiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	socket, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var probe [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(peekErr, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// Send writes a request. A long one is written while the answer is read.
func (c *Conn) Send(request []byte) error {
	if c.reader.Buffered() > 0 {
		return ErrUnsolicitedData
	}
	c.written.Store(false)
	if len(request) > inlineBytes {
		go c.write(request)
		return nil
	}
	return c.write(request)
}

func (c *Conn) write(request []byte) error {
	if _, err := c.raw.Write(request); err != nil {
		return fmt.Errorf("write to %s: %w", c.addr, err)
	}
	c.written.Store(true)
	return nil
}

// Receive reads the head of the final answer to a request with the method.
// The body must be read through the response.
func (c *Conn) Receive(method string) (*http.Response, error) {
	request := &http.Request{Method: method}
	for range maxInformational {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, fmt.Errorf("answer of %s: %w", c.addr, err)
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, fmt.Errorf("answer of %s: unasked change of protocol", c.addr)
		}
	}
	return nil, fmt.Errorf("answer of %s: more than %d informational answers", c.addr, maxInformational)
}

// SetReadDeadline bounds the reads; the zero time ends the bound.
func (c *Conn) SetReadDeadline(at time.Time) error { return c.raw.SetReadDeadline(at) }

// Release keeps the connection after its answer was read whole, if the answer
// and the server allow that, and closes it otherwise.
func (c *Conn) Release(response *http.Response) {
	keep, ok := c.keepTime(response)
	if !ok || c.raw.SetReadDeadline(time.Time{}) != nil {
		c.Close()
		return
	}
	c.pool.put(c, keep)
}

func (c *Conn) keepTime(response *http.Response) (time.Duration, bool) {
	if response.Close || !response.ProtoAtLeast(1, 1) || !c.written.Load() || c.reader.Buffered() > 0 {
		return 0, false
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		// The body ended with the connection.
		return 0, false
	}
	keep := c.pool.config.IdleTimeout
	if named, ok := namedKeepAlive(response.Header.Get("Keep-Alive")); ok {
		keep = min(named, time.Minute) - keepMargin
	}
	return keep, keep > 0
}

// namedKeepAlive returns the timeout of a Keep-Alive header.
func namedKeepAlive(value string) (time.Duration, bool) {
	for part := range strings.SplitSeq(value, ",") {
		name, text, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(text); err == nil {
			return time.Duration(s) * time.Second, true
		}
	}
	return 0, false
}

// Close ends the connection; later calls do nothing.
func (c *Conn) Close() {
	c.closed.Do(func() { _ = c.raw.Close() })
}
