package site

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"currantusher.dev/platform/headers"
)

// Call is one attempt of a caller.
type Call struct {
	// Entry is the address of the entry.
	Entry, ID, Method, Host, Path, Key string
	Body                               []byte
	// Deadline is how long the caller waits.
	Deadline time.Duration
	Header   http.Header
}

// Answer is what the caller got.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Err    error
}

// Send sends a call on a new connection.
func (c Call) Send() Answer {
	names := headers.Names()
	ctx, cancel := context.WithTimeout(context.Background(), c.Deadline)
	defer cancel()
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableKeepAlives: false, DisableCompression: true}
	defer transport.CloseIdleConnections()
	request, err := http.NewRequestWithContext(ctx, c.Method, "http://"+c.Entry+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return Answer{Err: err}
	}
	request.Host = c.Host
	for name, values := range c.Header {
		request.Header[name] = values
	}
	request.Header.Set(names.RequestID, c.ID)
	request.Header.Set(names.Deadline, strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	if c.Key != "" {
		request.Header.Set(names.APIKey, c.Key)
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return Answer{Status: response.StatusCode, Header: response.Header, Body: body, Err: err}
}
