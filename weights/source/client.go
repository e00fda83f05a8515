// Package source implements the HTTP client of the origin of weights and of the
// weight store, which have the same protocol.
package source

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/core/httpcall"
	"currantusher.dev/core/netdial"
	"currantusher.dev/weights"
)

const (
	// HeaderDataCentre is the header with the client's data centre.
	HeaderDataCentre = "X-Data-Centre"

	maxManifestBytes  = 4 << 20
	defaultRetryAfter = time.Second
	dialTimeout       = 2 * time.Second
	idleTimeout       = time.Minute
)

// Config holds the settings of a Client.
type Config struct {
	// URL is the base URL, such as http://10.0.0.1:8080.
	URL        string
	DataCentre core.DataCentre
	// HTTP is the client to use; nil means one with bounds on heads.
	HTTP *http.Client
}

// Client reads and writes manifests and chunks. It does not retry.
type Client struct {
	config Config
	http   *httpcall.Client
}

// New returns a client. It fails if the URL is empty.
func New(config Config) (*Client, error) {
	if config.URL == "" {
		return nil, fmt.Errorf("source URL is empty")
	}
	config.URL = strings.TrimRight(config.URL, "/")
	client := httpcall.New(httpcall.Config{Dial: netdial.New(dialTimeout).DialContext, IdleTimeout: idleTimeout})
	if config.HTTP != nil {
		client = httpcall.Wrap(config.HTTP, nil)
	}
	return &Client{config: config, http: client}, nil
}

// Manifest returns the encoded manifest of root after verifying its digest.
func (c *Client) Manifest(ctx context.Context, root core.Digest) ([]byte, error) {
	return c.get(ctx, "/v1/manifests/", root, maxManifestBytes)
}

// Chunk returns the content of a chunk after verifying its digest.
func (c *Client) Chunk(ctx context.Context, digest core.Digest) ([]byte, error) {
	return c.get(ctx, "/v1/chunks/", digest, weights.MaxChunkBytes)
}

// HasChunk implements weights.Sink.
func (c *Client) HasChunk(ctx context.Context, digest core.Digest) (bool, error) {
	response, err := c.send(ctx, http.MethodHead, "/v1/chunks/"+digest.String(), nil, maxManifestBytes)
	if err != nil {
		return false, err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotFound {
		return false, nil
	}
	return response.StatusCode == http.StatusOK, statusError(response, response.StatusCode == http.StatusOK)
}

// PutChunk implements weights.Sink.
func (c *Client) PutChunk(ctx context.Context, digest core.Digest, content []byte) error {
	return c.put(ctx, "/v1/chunks/"+digest.String(), content)
}

// PutManifest implements weights.Sink.
func (c *Client) PutManifest(ctx context.Context, root core.Digest, encoded []byte) error {
	return c.put(ctx, "/v1/manifests/"+root.String(), encoded)
}

func (c *Client) get(ctx context.Context, prefix string, digest core.Digest, limit int64) ([]byte, error) {
	response, err := c.send(ctx, http.MethodGet, prefix+digest.String(), nil, limit)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if err := statusError(response, response.StatusCode == http.StatusOK); err != nil {
		return nil, err
	}
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, core.Wrap(err, core.CodeOriginFailed, core.ExecutionUnknown, "read %s", digest.Short())
	}
	if core.DigestOf(content) != digest {
		return nil, core.NewFailure(core.CodeChunkCorrupt, core.ExecutionUnknown, "content of %s does not match its digest", digest.Short())
	}
	return content, nil
}

func (c *Client) put(ctx context.Context, path string, content []byte) error {
	response, err := c.send(ctx, http.MethodPut, path, content, maxManifestBytes)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if err := statusError(response, httpcall.IsDone(response.StatusCode)); err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return core.Wrap(err, core.CodeOriginFailed, core.ExecutionUnknown, "%s %s", http.MethodPut, path)
	}
	return nil
}

func (c *Client) send(ctx context.Context, method, path string, body []byte, maxBodyBytes int64) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.config.URL+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set(HeaderDataCentre, string(c.config.DataCentre))
	response, err := c.http.Do(request, httpcall.Answer{Kind: method + " " + path, MaxBodyBytes: maxBodyBytes})
	if err != nil {
		return nil, core.Wrap(err, core.CodeOriginFailed, core.ExecutionUnknown, "%s %s", method, path)
	}
	return response, nil
}

// statusError returns an error for a status that is not the expected one, or nil. As the
// request was refused before any content was sent, that of an error status carries
// ExecutionNotRun.
func statusError(response *http.Response, isExpected bool) error {
	if isExpected {
		return nil
	}
	if response.StatusCode < http.StatusBadRequest {
		return core.NewFailure(core.CodeOriginFailed, core.ExecutionUnknown, "source returned status %d", response.StatusCode)
	}
	retryAfter := defaultRetryAfter
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		retryAfter = time.Duration(seconds) * time.Second
	}
	return core.NewRefusal(core.CodeOriginFailed, retryAfter, "source returned status %d", response.StatusCode)
}
