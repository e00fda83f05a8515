package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/wire"
)

const (
	defaultPath       = "/v1/generate"
	headerRequestID   = "X-Request-Id"
	headerAttemptID   = "X-Attempt-Id"
	headerTeam        = "X-Team"
	headerPriority    = "X-Priority"
	headerKey         = "X-Idempotency-Key"
	headerResume      = "X-Resume-From"
	headerWeights     = "X-Weights"
	eventStream       = "text/event-stream"
	maxStateBytes     = 64 << 10
	maxIdleConns      = 64
	backendDialBudget = 2 * time.Second
)

// streamEnd is the last event of a complete stream.
var streamEnd = []byte("data: [DONE]\n\n")

// BackendState is what a backend server reports of itself.
type BackendState struct {
	Incarnation string            `json:"incarnation"`
	Weights     core.Digest       `json:"weights"`
	Fence       core.FencingToken `json:"fence"`
	Running     int               `json:"running"`
	Warm        bool              `json:"warm"`
}

// backend is the HTTP client of the one backend server in the agent's slot.
type backend struct {
	base   string
	client *http.Client
}

func newBackend(base string) *backend {
	dialer := &net.Dialer{Timeout: backendDialBudget}
	return &backend{
		base: strings.TrimSuffix(base, "/"),
		client: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: maxIdleConns,
			DisableCompression:  true,
		}},
	}
}

// state reads the backend server's own report.
func (b *backend) state(ctx context.Context) (BackendState, error) {
	var state BackendState
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, b.base+"/v1/state", nil)
	if err != nil {
		return state, err
	}
	response, err := b.client.Do(request)
	if err != nil {
		return state, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return state, fmt.Errorf("state: status %d", response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxStateBytes)).Decode(&state)
	return state, err
}

// answer is a backend server's answer whose header was checked.
type answer struct {
	body        io.ReadCloser
	contentType string
	weights     core.Digest
	stream      bool
}

// run sends one attempt. Its error says WorkNotRun only when no connection to
// the backend server was made.
func (b *backend) run(ctx context.Context, d wire.Dispatch) (*answer, error) {
	request, err := b.newRequest(ctx, d)
	if err != nil {
		return nil, core.Wrap(err, core.CodeInternal, core.ExecutionNotRun, "build request")
	}
	response, err := b.client.Do(request)
	if err != nil {
		return nil, classify(ctx, err)
	}
	checked, err := checkHeader(response, d)
	if err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return checked, nil
}

func (b *backend) newRequest(ctx context.Context, d wire.Dispatch) (*http.Request, error) {
	path := d.Path
	if path == "" {
		path = defaultPath
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, b.base+path, bytes.NewReader(d.Body))
	if err != nil {
		return nil, err
	}
	// Without GetBody net/http never sends the body a second time, which it
	// otherwise does for requests with an idempotency key.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(headerRequestID, d.RequestID)
	request.Header.Set(headerAttemptID, d.AttemptID)
	request.Header.Set(headerTeam, string(d.Team))
	request.Header.Set(headerPriority, strconv.Itoa(d.Priority))
	if d.IdempotencyKey != "" {
		request.Header.Set(headerKey, d.IdempotencyKey)
	}
	if d.Stream {
		request.Header.Set("Accept", eventStream)
	}
	if d.ResumeOffset > 0 {
		request.Header.Set(headerResume, strconv.FormatInt(d.ResumeOffset, 10))
	}
	return request, nil
}

func classify(ctx context.Context, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return core.Wrap(err, core.CodeEngineNotServing, core.ExecutionNotRun, "backend server not reached")
	}
	if ctx.Err() != nil {
		return core.Wrap(err, core.CodeTimeout, core.ExecutionUnknown, "deadline passed at the backend server")
	}
	return core.Wrap(err, core.CodeEngineFailed, core.ExecutionUnknown, "backend server failed")
}

func checkHeader(response *http.Response, d wire.Dispatch) (*answer, error) {
	if response.StatusCode != http.StatusOK {
		return nil, statusError(response)
	}
	if echoed := response.Header.Get(headerRequestID); echoed != d.RequestID {
		return nil, core.NewFailure(core.CodeCrossedAnswer, core.ExecutionUnknown, "answer for request %q, want %q", echoed, d.RequestID)
	}
	var weights core.Digest
	if text := response.Header.Get(headerWeights); text != "" {
		parsed, err := core.ParseDigest(text)
		if err != nil {
			return nil, core.Wrap(err, core.CodeCrossedAnswer, core.ExecutionUnknown, "header %s", headerWeights)
		}
		weights = parsed
	}
	if weights != d.Weights {
		return nil, core.NewFailure(core.CodeDigestMismatch, core.ExecutionUnknown, "answer from weights %s, want %s", weights.Short(), d.Weights.Short())
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return nil, core.NewFailure(core.CodeIncomplete, core.ExecutionUnknown, "answer without a length or chunked encoding")
	}
	contentType := response.Header.Get("Content-Type")
	return &answer{
		body:        response.Body,
		contentType: contentType,
		weights:     weights,
		stream:      strings.HasPrefix(contentType, eventStream),
	}, nil
}

// statusError maps an error status. 429 is the backend server's own word that
// it did not take the request.
func statusError(response *http.Response) error {
	if response.StatusCode == http.StatusTooManyRequests {
		return core.NewRefusal(core.CodeLimitReached, time.Second, "backend server is full")
	}
	return core.NewFailure(core.CodeEngineFailed, core.ExecutionUnknown, "backend server answered with status %d", response.StatusCode)
}
