// Package httpcall makes HTTP/1.1 clients that take no more of an answer than its kind
// allows: of the head, the header fields, the body and the time.
package httpcall

import (
	"context"
	"io"
	"math"
	"net/http"
	"time"

	"currantusher.dev/core/netdial"
)

const (
	// MaxHeadBytes bounds the head of an answer together with the informational answers
	// before it, in bytes.
	MaxHeadBytes = 16 << 10
	// MaxFields bounds the header lines of an answer.
	MaxFields = 256
	// minStatus and maxStatus are the least and the greatest status of a final answer.
	minStatus = 200
	maxStatus = 599
	// Unbounded is the MaxBodyBytes of an answer that is not kept, such as a stream.
	Unbounded = math.MaxInt64 - 1
)

// Config holds the settings of a Client.
type Config struct {
	// Dial connects to servers.
	Dial netdial.DialFunc
	// MaxConns bounds the connections to one server; 0 means no bound.
	MaxConns int
	// MaxIdleConns bounds the idle connections to one server.
	MaxIdleConns int
	// IdleTimeout is how long an idle connection is kept; 0 means no limit.
	IdleTimeout time.Duration
	// HeadTimeout bounds the time to the head of an answer; 0 means no bound.
	HeadTimeout time.Duration
	// Faults is told the answers over their bound; it may be nil.
	Faults *Faults
}

// Client calls servers. It follows no redirects and is safe for concurrent use.
type Client struct {
	config Config
	http   *http.Client
}

// New returns a client.
func New(config Config) *Client {
	c := Wrap(&http.Client{Transport: newTransport(config)}, config.Faults)
	c.config = config
	return c
}

// Wrap returns a client that bounds the bodies of another one. The bounds on heads are those
// of that client's transport.
func Wrap(client *http.Client, faults *Faults) *Client {
	bounded := *client
	bounded.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{config: Config{Faults: faults}, http: &bounded}
}

func newTransport(config Config) *http.Transport {
	return &http.Transport{
		DialContext: netdial.ValidStatus(config.Dial), MaxConnsPerHost: config.MaxConns, MaxIdleConnsPerHost: config.MaxIdleConns, IdleConnTimeout: config.IdleTimeout,
		ResponseHeaderTimeout: config.HeadTimeout, MaxResponseHeaderBytes: MaxHeadBytes, DisableCompression: true,
	}
}

// OnNewConn returns a client that shares no connection with c and uses one at a time. Its
// connections must be closed after the use.
func (c *Client) OnNewConn() *Client {
	config := c.config
	config.MaxConns = 1
	return New(config)
}

// CloseIdleConnections closes the connections that are not in use.
func (c *Client) CloseIdleConnections() { c.http.CloseIdleConnections() }

// Answer is what a kind of answer may be at most.
type Answer struct {
	// Kind names the answer in errors.
	Kind string
	// MaxBodyBytes bounds the body.
	MaxBodyBytes int64
	// Timeout bounds the time from the call to the end of the body; 0 means no bound.
	Timeout time.Duration
}

// Do sends a request and returns the answer. Reading the body returns a *TooLargeError at its
// bound, and so does Do if the head exceeds MaxHeadBytes or MaxFields. An answer whose status
// is not one of HTTP, from 200 to 599, is a *StatusError. The caller must close the body, which
// closes the connection unless the body was read completely.
func (c *Client) Do(request *http.Request, answer Answer) (*http.Response, error) {
	cancel := context.CancelFunc(func() {})
	if answer.Timeout > 0 {
		var ctx context.Context
		ctx, cancel = context.WithTimeout(request.Context(), answer.Timeout)
		request = request.WithContext(ctx)
	}
	response, err := c.http.Do(request)
	switch {
	case err != nil && isHeadTooLarge(err):
		cancel()
		return nil, c.tooLarge(request, answer, PartHead, MaxHeadBytes)
	case err != nil:
		cancel()
		return nil, abbreviate(err)
	case countFields(response.Header) > MaxFields:
		_ = response.Body.Close()
		cancel()
		return nil, c.tooLarge(request, answer, PartFields, MaxFields)
	case response.StatusCode < minStatus || response.StatusCode > maxStatus:
		_ = response.Body.Close()
		cancel()
		// Without a body the connection is idle already.
		c.CloseIdleConnections()
		return nil, &StatusError{Server: request.URL.Host, Kind: answer.Kind, Status: response.StatusCode}
	}
	body := &boundedBody{ReadCloser: response.Body, left: answer.MaxBodyBytes, cancel: cancel}
	body.tooLarge = func() error { return c.tooLarge(request, answer, PartBody, answer.MaxBodyBytes) }
	if response.ContentLength > answer.MaxBodyBytes && request.Method != http.MethodHead {
		body.err = body.tooLarge()
	}
	response.Body = body
	return response, nil
}

// BoundDecoded returns a reader of the decompressed body of an answer to request, with the
// bound maxBytes.
func (c *Client) BoundDecoded(decoded io.Reader, request *http.Request, answer Answer, maxBytes int64) io.Reader {
	body := &boundedBody{ReadCloser: io.NopCloser(decoded), left: maxBytes, cancel: func() {}}
	body.tooLarge = func() error { return c.tooLarge(request, answer, PartDecoded, maxBytes) }
	return body
}

func (c *Client) tooLarge(request *http.Request, answer Answer, part Part, limit int64) error {
	return c.config.Faults.note(&TooLargeError{Server: request.URL.Host, Kind: answer.Kind, Part: part, Limit: limit})
}

func countFields(header http.Header) int {
	count := 0
	for _, values := range header {
		count += len(values)
	}
	return count
}

// boundedBody is a body of which at most left more bytes may be read.
type boundedBody struct {
	io.ReadCloser
	left     int64
	err      error
	tooLarge func() error
	cancel   context.CancelFunc
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.left+1)])
	if int64(n) <= b.left {
		b.left -= int64(n)
		return n, err
	}
	b.err = b.tooLarge()
	return int(b.left), b.err
}

// Close implements io.Closer.
func (b *boundedBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}
