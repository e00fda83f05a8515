package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	readBufferBytes = 4 << 10
	// maxInlineRequestBytes is the largest request that is written before the
	// answer is read. Longer ones are written concurrently, because a server may
	// answer early and not read the whole request.
	maxInlineRequestBytes = 8 << 10
	// maxHeadBytes bounds the head of an answer together with the informational
	// answers before it, in bytes.
	maxHeadBytes = 16 << 10
	// maxHeaderFields bounds the header lines of an answer, whose decoded form takes
	// many times the bytes of a short line.
	maxHeaderFields = 256
	// maxHeadLines bounds the lines of a head while it is read, with continued lines.
	maxHeadLines = 2 * maxHeaderFields
	// minStatus and maxStatus are the least and the greatest status of HTTP.
	minStatus = 100
	maxStatus = 599
	// maxQuotedBytes bounds the text of an error that may quote received bytes.
	maxQuotedBytes = 200
	// maxInformationalAnswers bounds the 1xx answers before the final one.
	maxInformationalAnswers = 8
	// maxRecentIDs bounds the requests whose ids a connection remembers.
	maxRecentIDs = 8
	// keepAliveMargin is subtracted from the Keep-Alive timeout of a server, so
	// that a request is not sent while the server closes the connection.
	keepAliveMargin = 500 * time.Millisecond
)

// ErrUnsolicitedData means that data arrived before the request was sent.
var ErrUnsolicitedData = errors.New("data received before the request was sent")

// ErrHeadTooLarge means that the head of an answer exceeded maxHeadBytes or
// maxHeaderFields.
var ErrHeadTooLarge = errors.New("the head of the answer is too large")

// Conn is one connection to a backend server, for one request at a time.
type Conn struct {
	pool    *Pool
	addr    string
	netConn net.Conn
	source  *limitedReader
	reader  *bufio.Reader

	idleSince time.Time
	idleUntil time.Time

	// writeEnded is closed when the write in the background has ended; it is nil if the
	// last request was not written in the background. writeErr is the error of that write.
	writeEnded chan struct{}
	writeErr   error
	// requestWritten is set when the last request was written completely.
	requestWritten atomic.Bool
	// awaitsAnswer is set from when a request is sent until its answer was read
	// completely.
	awaitsAnswer atomic.Bool
	// sentRequests counts the requests that were sent.
	sentRequests int
	// recentIDs holds the ids of the last requests, the oldest one first.
	recentIDs []string
	closeOnce sync.Once
}

func newConn(pool *Pool, addr string, netConn net.Conn) *Conn {
	source := &limitedReader{source: netConn}
	return &Conn{pool: pool, addr: addr, netConn: netConn, source: source, reader: bufio.NewReaderSize(source, readBufferBytes)}
}

// isReusable reports whether an idle connection is open and has no unread data.
// Data that arrives while no request is pending cannot be matched to a request.
func (c *Conn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	_, err := c.peek(make([]byte, 1))
	return errors.Is(err, syscall.EAGAIN)
}

// Send writes a request. It returns early for a request longer than
// maxInlineRequestBytes and writes it in the background.
func (c *Conn) Send(request []byte) error {
	if c.reader.Buffered() > 0 {
		return ErrUnsolicitedData
	}
	c.requestWritten.Store(false)
	c.awaitsAnswer.Store(true)
	c.sentRequests++
	c.writeEnded, c.writeErr = nil, nil
	if len(request) <= maxInlineRequestBytes {
		return c.write(request)
	}
	ended := make(chan struct{})
	c.writeEnded = ended
	go func() {
		defer close(ended)
		c.writeErr = c.write(request)
	}()
	return nil
}

func (c *Conn) write(request []byte) error {
	if _, err := c.netConn.Write(request); err != nil {
		return fmt.Errorf("write to %s: %w", c.addr, err)
	}
	c.requestWritten.Store(true)
	return nil
}

// Receive reads the status and headers of the final answer to a request with the
// given method. The body must be read from the response. After an error the
// connection must be closed.
func (c *Conn) Receive(method string) (*http.Response, error) {
	c.source.limit(maxHeadBytes)
	defer c.source.unlimit()
	request := &http.Request{Method: method}
	for range maxInformationalAnswers {
		c.source.startHead()
		response, err := http.ReadResponse(c.reader, request)
		switch {
		case err == nil:
		case c.source.isExhausted():
			// The line that was cut at the limit may be malformed.
			err = ErrHeadTooLarge
		case c.source.err != nil:
			// The line that was cut by the end of the connection may be malformed.
			err = endedWithin(c.source.err)
		}
		if err != nil {
			return nil, fmt.Errorf("read answer of %s: %w", c.addr, abbreviate(err))
		}
		if err := checkHead(response); err != nil {
			return nil, fmt.Errorf("answer of %s: %w", c.addr, err)
		}
		if response.StatusCode >= http.StatusOK {
			response.Body = c.bodyOf(response)
			return response, nil
		}
	}
	return nil, fmt.Errorf("answer of %s: no final answer after %d informational answers", c.addr, maxInformationalAnswers)
}

// bodyOf returns the body of an answer with the errors that this package adds.
func (c *Conn) bodyOf(response *http.Response) io.ReadCloser {
	switch {
	case EndsWithConnection(response):
		return &unframedBody{ReadCloser: response.Body, conn: c}
	case len(response.TransferEncoding) > 0:
		return &chunkedBody{ReadCloser: response.Body, source: c.source}
	default:
		return response.Body
	}
}

// endedWithin returns io.ErrUnexpectedEOF for the end of a connection within an answer, and
// other errors unchanged.
func endedWithin(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// abbreviate shortens the text of an error that quotes a long malformed line. Errors of
// the connection are short and keep their type.
func abbreviate(err error) error {
	if text := err.Error(); len(text) > maxQuotedBytes {
		return errors.New(text[:maxQuotedBytes] + "...")
	}
	return err
}

// checkHead rejects what http.ReadResponse accepts although it is no answer to an
// HTTP/1.1 request.
func checkHead(response *http.Response) error {
	switch {
	case countFields(response.Header) > maxHeaderFields:
		return ErrHeadTooLarge
	case hasStatusLine(response):
		return ErrSecondHead
	case response.ProtoMajor != 1:
		return fmt.Errorf("unexpected protocol version %d.%d", response.ProtoMajor, response.ProtoMinor)
	case response.StatusCode == http.StatusSwitchingProtocols:
		return errors.New("unexpected status 101 (switching protocols)")
	case response.StatusCode < minStatus || response.StatusCode > maxStatus:
		return fmt.Errorf("invalid status %d", response.StatusCode)
	case response.StatusCode < http.StatusOK && announcesBody(response):
		return fmt.Errorf("informational answer %d with a body", response.StatusCode)
	default:
		return nil
	}
}

// announcesBody reports whether the head has the header of a body, which the reader of an
// informational answer takes for the next head.
func announcesBody(response *http.Response) bool {
	return response.Header.Get("Content-Length") != "" || len(response.TransferEncoding) > 0
}

func countFields(header http.Header) int {
	count := 0
	for _, values := range header {
		count += len(values)
	}
	return count
}

// EndsWithConnection reports whether the end of the connection is the end of the body.
func EndsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// wasReset reports whether a write in the background, which it ends, found the
// connection reset.
func (c *Conn) wasReset() bool {
	if c.writeEnded == nil {
		return false
	}
	if err := c.netConn.SetWriteDeadline(time.Now()); err != nil {
		return true
	}
	<-c.writeEnded
	// A reset after the end of the answer fails the write with EPIPE.
	return errors.Is(c.writeErr, syscall.ECONNRESET) || errors.Is(c.writeErr, syscall.EPIPE)
}

// IsFirstRequest reports whether the last request that was sent is the first one on this
// connection, so that all answers on it belong to that request.
func (c *Conn) IsFirstRequest() bool { return c.sentRequests == 1 }

// NoteRequest remembers the id of a request that is about to be sent.
func (c *Conn) NoteRequest(id string) {
	if len(c.recentIDs) == maxRecentIDs {
		c.recentIDs = slices.Delete(c.recentIDs, 0, 1)
	}
	c.recentIDs = append(c.recentIDs, id)
}

// HasCarried reports whether one of the last requests had an id.
func (c *Conn) HasCarried(id string) bool { return slices.Contains(c.recentIDs, id) }

// SetReadDeadline sets the deadline of reads; the zero time means none.
func (c *Conn) SetReadDeadline(at time.Time) error { return c.netConn.SetReadDeadline(at) }

// Release returns the connection to the pool after its answer was read
// completely, or closes it if it cannot be reused.
func (c *Conn) Release(response *http.Response) {
	c.awaitsAnswer.Store(false)
	reuseFor, ok := c.reuseTime(response)
	if !ok || c.netConn.SetReadDeadline(time.Time{}) != nil {
		c.Close()
		return
	}
	c.pool.put(c, reuseFor)
}

// reuseTime returns for how long the connection may be reused after the
// response, and false if it may not be reused.
func (c *Conn) reuseTime(response *http.Response) (time.Duration, bool) {
	if response.Close || !response.ProtoAtLeast(1, 1) || !c.requestWritten.Load() || c.reader.Buffered() > 0 {
		return 0, false
	}
	if EndsWithConnection(response) {
		return 0, false
	}
	reuseFor := c.pool.config.IdleTimeout
	if serverTimeout, ok := keepAliveTimeout(response.Header.Get("Keep-Alive")); ok {
		reuseFor = min(serverTimeout, time.Minute) - keepAliveMargin
	}
	return reuseFor, reuseFor > 0
}

// keepAliveTimeout returns the timeout parameter of a Keep-Alive header.
func keepAliveTimeout(value string) (time.Duration, bool) {
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

// Close closes the connection. Further calls do nothing. A connection that awaits an
// answer is reset, so that a request which is still on its way is not run for a caller
// that has left.
func (c *Conn) Close() {
	c.closeOnce.Do(func() {
		if tcpConn, ok := c.netConn.(*net.TCPConn); ok && c.awaitsAnswer.Load() {
			// Without the reset the close is a normal one.
			_ = tcpConn.SetLinger(0)
		}
		_ = c.netConn.Close()
	})
}
