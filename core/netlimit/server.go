package netlimit

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"
)

// retryAfterSeconds is the pause after a refusal for lack of TransferBytes.
const retryAfterSeconds = 1

// Configure sets the limits on a server of the listener, whose Handler and ConnContext must be
// set before.
func (l *Listener) Configure(server *http.Server) {
	server.ReadHeaderTimeout = l.limits.HeadTime
	server.IdleTimeout = l.limits.IdleTime
	server.WriteTimeout = l.limits.AnswerTime
	server.MaxHeaderBytes = l.limits.HeadBytes
	server.Handler = l.handler(server.Handler)
	inner := server.ConnContext
	server.ConnContext = func(ctx context.Context, accepted net.Conn) context.Context {
		if inner != nil {
			ctx = inner(ctx, accepted)
		}
		if over, ok := accepted.(*tls.Conn); ok {
			accepted = over.NetConn()
		}
		return context.WithValue(ctx, connKey{}, accepted)
	}
}

// handler bounds the bodies of requests and records the phases of connections. The timeouts
// of http.Server cannot bound a body: ReadTimeout would also end the wait for an answer.
func (l *Listener) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if r.ContentLength > l.limits.BodyBytes || r.ContentLength < 0 && l.limits.BodyBytes == 0 {
			l.hit(ReasonBodyBytes)
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		if r.ContentLength == 0 {
			l.enter(c, phaseServing, time.Now())
			defer func() { l.enter(c, phaseWaiting, time.Now()) }()
			next.ServeHTTP(w, r)
			return
		}
		body := &bodyReader{conn: c, writer: w}
		defer body.finish()
		l.enter(c, phaseBody, time.Now())
		if l.limits.BodyTime > 0 {
			_ = c.SetReadDeadline(time.Now().Add(l.limits.BodyTime))
		}
		body.inner = http.MaxBytesReader(w, r.Body, l.limits.BodyBytes)
		r.Body = body
		next.ServeHTTP(w, r)
	})
}

// bodyReader accounts for the body of a request until its handler returns.
type bodyReader struct {
	inner  io.ReadCloser
	conn   *conn
	writer http.ResponseWriter
	held   int64
	ended  bool
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	if n > 0 {
		if err := b.conn.listener.reserve(b.conn, transferBody, int64(n)); err != nil {
			b.writer.Header().Set("Connection", "close")
			b.writer.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
			return 0, err
		}
	}
	b.held += int64(n)
	if err != nil && !b.ended {
		b.end(err)
	}
	return n, err
}

func (b *bodyReader) end(err error) {
	b.ended = true
	l := b.conn.listener
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		l.hit(ReasonBodyBytes)
	case errors.Is(err, os.ErrDeadlineExceeded):
		l.hit(ReasonBodyTime)
	case err == io.EOF:
		_ = b.conn.SetReadDeadline(time.Time{})
		l.enter(b.conn, phaseServing, time.Now())
	}
}

// Close implements io.Closer.
func (b *bodyReader) Close() error { return b.inner.Close() }

func (b *bodyReader) finish() {
	b.conn.listener.release(b.conn, transferBody, b.held)
	b.conn.listener.enter(b.conn, phaseWaiting, time.Now())
}
