// Package engine implements the HTTP client of an inference engine, for its
// staging area and for orders. docs/design/backend-protocol.md describes the
// protocol.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/core/httpcall"
	"currantusher.dev/core/netdial"
	"currantusher.dev/weights"
)

const (
	maxChunkListBytes = 64 << 20
	// maxStateBytes bounds the answers that hold no chunks.
	maxStateBytes = 64 << 10
	dialTimeout   = 2 * time.Second
	idleTimeout   = time.Minute
)

// State is the response of GET /v1/state.
type State struct {
	// Incarnation changes with each restart of the engine.
	Incarnation string `json:"incarnation"`
	// Weights is the root digest of the active version.
	Weights core.Digest `json:"weights"`
	// Fence is the highest fencing token that the engine has received.
	Fence   core.FencingToken `json:"fence"`
	Running int               `json:"running"`
	Warm    bool              `json:"warm"`
}

// Client is the client of one engine. It does not retry.
type Client struct {
	url  string
	http *httpcall.Client
}

// New returns a client of the engine at url. A nil client means one whose connections
// carry no call after a refusal.
func New(url string, client *http.Client) *Client {
	bounded := httpcall.New(httpcall.Config{Dial: netdial.OneRefusal(netdial.New(dialTimeout).DialContext), IdleTimeout: idleTimeout})
	if client != nil {
		bounded = httpcall.Wrap(client, nil)
	}
	return &Client{url: strings.TrimRight(url, "/"), http: bounded}
}

// State returns the engine's state.
func (c *Client) State(ctx context.Context) (State, error) {
	var state State
	content, err := c.do(ctx, http.MethodGet, "/v1/state", nil, core.CodeStagingFailed)
	if err != nil {
		return state, err
	}
	if err := json.Unmarshal(content, &state); err != nil {
		return state, core.Wrap(err, core.CodeStagingFailed, core.ExecutionUnknown, "decode engine state")
	}
	return state, nil
}

// PutManifest stages a manifest.
func (c *Client) PutManifest(ctx context.Context, root core.Digest, encoded []byte) error {
	_, err := c.do(ctx, http.MethodPut, "/v1/staging/manifests/"+root.String(), encoded, core.CodeStagingFailed)
	return err
}

// PutChunk stages a chunk.
func (c *Client) PutChunk(ctx context.Context, digest core.Digest, content []byte) error {
	_, err := c.do(ctx, http.MethodPut, "/v1/staging/chunks/"+digest.String(), content, core.CodeStagingFailed)
	return err
}

// GetChunk returns the content of a staged chunk. The caller must verify its
// digest.
func (c *Client) GetChunk(ctx context.Context, digest core.Digest) ([]byte, error) {
	return c.do(ctx, http.MethodGet, "/v1/staging/chunks/"+digest.String(), nil, core.CodeStagingFailed)
}

// ListChunks returns the digests of all staged chunks.
func (c *Client) ListChunks(ctx context.Context) ([]core.Digest, error) {
	content, err := c.do(ctx, http.MethodGet, "/v1/staging/chunks", nil, core.CodeStagingFailed)
	if err != nil {
		return nil, err
	}
	var digests []core.Digest
	if err := json.Unmarshal(content, &digests); err != nil {
		return nil, core.Wrap(err, core.CodeStagingFailed, core.ExecutionUnknown, "decode chunk list")
	}
	return digests, nil
}

type activateRequest struct {
	Root  core.Digest       `json:"root"`
	Fence core.FencingToken `json:"fence"`
}

// Activate makes a staged version the active version. With a stale fencing token
// the error carries CodeFenced.
func (c *Client) Activate(ctx context.Context, root core.Digest, fence core.FencingToken) error {
	return c.post(ctx, "/v1/activate", activateRequest{Root: root, Fence: fence}, core.CodeActivationFailed)
}

type evictRequest struct {
	Keep  []core.Digest     `json:"keep"`
	Fence core.FencingToken `json:"fence"`
}

// Evict deletes the staged chunks that no version in keep refers to.
func (c *Client) Evict(ctx context.Context, keep []core.Digest, fence core.FencingToken) error {
	return c.post(ctx, "/v1/evict", evictRequest{Keep: keep, Fence: fence}, core.CodeStagingFailed)
}

func (c *Client) post(ctx context.Context, path string, payload any, code core.Code) error {
	body, err := json.Marshal(payload)
	if err != nil {
		return err
	}
	_, err = c.do(ctx, http.MethodPost, path, body, code)
	return err
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, code core.Code) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.url+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := c.http.Do(request, httpcall.Answer{Kind: method + " " + path, MaxBodyBytes: maxResponseBytes(method, path)})
	if err != nil {
		return nil, core.Wrap(err, code, core.ExecutionUnknown, "%s %s", method, path)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, core.Wrap(err, code, core.ExecutionUnknown, "%s %s", method, path)
	}
	isSuccess := response.StatusCode == http.StatusOK || method != http.MethodGet && httpcall.IsDone(response.StatusCode)
	if !isSuccess {
		return nil, statusError(response.StatusCode, code, fmt.Sprintf("%s %s", method, path))
	}
	return content, nil
}

func maxResponseBytes(method, path string) int64 {
	switch {
	case path == "/v1/staging/chunks":
		return maxChunkListBytes
	case method == http.MethodGet && strings.HasPrefix(path, "/v1/staging/chunks/"):
		return weights.MaxChunkBytes
	default:
		return maxStateBytes
	}
}

func statusError(status int, code core.Code, call string) error {
	if !httpcall.IsRefused(status) {
		return core.NewFailure(code, core.ExecutionUnknown, "engine returned status %d for %s", status, call)
	}
	if status == http.StatusConflict {
		code = core.CodeFenced
	}
	return core.NewRefusal(code, 0, "engine returned status %d for %s", status, call)
}
