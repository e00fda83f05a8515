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
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/core/httpcall"
	"currantusher.dev/requests/eventstream"
	"currantusher.dev/wire"
)

const (
	defaultRequestPath   = "/v1/generate"
	headerRequestID      = "X-Request-Id"
	headerAttemptID      = "X-Attempt-Id"
	headerTeam           = "X-Team"
	headerPriority       = "X-Priority"
	headerIdempotencyKey = "X-Idempotency-Key"
	headerResumeFrom     = "X-Resume-From"
	headerWeights        = "X-Weights"
	eventStreamType      = eventstream.MediaType
	maxStateBytes        = 64 << 10
	maxIdleBackendConns  = 64
	backendDialTimeout   = 2 * time.Second
)

// streamEndEvent is the last event of every complete stream.
var streamEndEvent = []byte("data: [DONE]\n\n")

// BackendState is the state that a backend server reports about itself.
type BackendState struct {
	Incarnation string            `json:"incarnation"`
	Weights     core.Digest       `json:"weights"`
	Fence       core.FencingToken `json:"fence"`
	Running     int               `json:"running"`
	Warm        bool              `json:"warm"`
}

// backend is the HTTP client for the agent's backend server.
type backend struct {
	baseURL string
	client  *httpcall.Client
}

func newBackend(baseURL string) *backend {
	dialer := &net.Dialer{Timeout: backendDialTimeout}
	return &backend{
		baseURL: strings.TrimSuffix(baseURL, "/"),
		client:  httpcall.New(httpcall.Config{Dial: dialer.DialContext, MaxIdleConns: maxIdleBackendConns}),
	}
}

// readState fetches the state that the backend server reports.
func (b *backend) readState(ctx context.Context) (BackendState, error) {
	var state BackendState
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, b.baseURL+"/v1/state", nil)
	if err != nil {
		return state, err
	}
	response, err := b.client.Do(request, httpcall.Answer{Kind: "state", MaxBodyBytes: maxStateBytes})
	if err != nil {
		return state, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return state, fmt.Errorf("GET /v1/state: unexpected HTTP status %d", response.StatusCode)
	}
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return state, err
	}
	return state, json.Unmarshal(content, &state)
}

// answer is a backend server's answer with a verified header.
type answer struct {
	body        io.ReadCloser
	contentType string
	weights     core.Digest
	stream      bool
}

// sendAttempt sends one attempt and verifies the header of the answer. The error
// carries core.ExecutionNotRun only if the request was not sent or the backend
// server refused it with status 429. Such an answer may omit the request id if the
// connection has carried no other request.
func (b *backend) sendAttempt(ctx context.Context, d wire.Dispatch) (*answer, error) {
	request, err := b.newRequest(ctx, d)
	if err != nil {
		return nil, core.Wrap(err, core.CodeInternal, core.ExecutionNotRun, "build request")
	}
	var isFirstRequest atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { isFirstRequest.Store(!info.Reused) }}
	response, err := b.client.Do(request.WithContext(httptrace.WithClientTrace(ctx, trace)), httpcall.Answer{Kind: "answer", MaxBodyBytes: httpcall.Unbounded})
	if err != nil {
		return nil, classifySendError(ctx, err)
	}
	checked, err := checkHeader(response, d, isFirstRequest.Load())
	if err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return checked, nil
}

func (b *backend) newRequest(ctx context.Context, d wire.Dispatch) (*http.Request, error) {
	path := d.Path
	if path == "" {
		path = defaultRequestPath
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, b.baseURL+path, bytes.NewReader(d.Body))
	if err != nil {
		return nil, err
	}
	// net/http retries a request with an idempotency key on a new connection if
	// GetBody is set. Without GetBody it never sends the body twice.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(headerRequestID, d.RequestID)
	request.Header.Set(headerAttemptID, d.AttemptID)
	request.Header.Set(headerTeam, string(d.Team))
	request.Header.Set(headerPriority, strconv.Itoa(d.Priority))
	if d.IdempotencyKey != "" {
		request.Header.Set(headerIdempotencyKey, d.IdempotencyKey)
	}
	if d.Stream {
		request.Header.Set("Accept", eventStreamType)
	}
	if d.ResumeOffset > 0 {
		request.Header.Set(headerResumeFrom, strconv.FormatInt(d.ResumeOffset, 10))
	}
	return request, nil
}

func classifySendError(ctx context.Context, err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return core.Wrap(err, core.CodeEngineNotServing, core.ExecutionNotRun, "could not connect to the backend server")
	}
	if ctx.Err() != nil {
		return core.Wrap(err, core.CodeTimeout, core.ExecutionUnknown, "deadline passed or request cancelled before the backend server answered")
	}
	return core.Wrap(err, core.CodeEngineFailed, core.ExecutionUnknown, "connection to the backend server failed")
}

func checkHeader(response *http.Response, d wire.Dispatch, isFirstRequest bool) (*answer, error) {
	requestID := response.Header.Get(headerRequestID)
	if response.StatusCode != http.StatusOK {
		isOwn := requestID == d.RequestID || requestID == "" && isFirstRequest
		return nil, statusError(response, isOwn)
	}
	if requestID != d.RequestID {
		return nil, core.NewFailure(core.CodeCrossedAnswer, core.ExecutionUnknown, "backend server answered request %q, want %q", requestID, d.RequestID)
	}
	var weights core.Digest
	if text := response.Header.Get(headerWeights); text != "" {
		parsed, err := core.ParseDigest(text)
		if err != nil {
			return nil, core.Wrap(err, core.CodeCrossedAnswer, core.ExecutionUnknown, "invalid answer header %s", headerWeights)
		}
		weights = parsed
	}
	if weights != d.Weights {
		return nil, core.NewFailure(core.CodeDigestMismatch, core.ExecutionUnknown, "backend server answered from weights %s, want %s", weights.Short(), d.Weights.Short())
	}
	contentType := response.Header.Get("Content-Type")
	stream := strings.HasPrefix(contentType, eventStreamType)
	if !stream && d.ResumeOffset > 0 {
		return nil, core.NewFailure(core.CodeIncomplete, core.ExecutionUnknown, "backend server continued a stream with content type %q", contentType)
	}
	// A stream names its own end; any other answer could be truncated unnoticed.
	if !stream && response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return nil, core.NewFailure(core.CodeIncomplete, core.ExecutionUnknown, "answer has neither a Content-Length nor chunked encoding")
	}
	return &answer{
		body:        response.Body,
		contentType: contentType,
		weights:     weights,
		stream:      stream,
	}, nil
}

// statusError returns the error for a status other than 200. With status 429 the
// backend server refuses a request without running it, unless the answer may belong to
// another request.
func statusError(response *http.Response, isOwn bool) error {
	if response.StatusCode == http.StatusTooManyRequests && isOwn {
		return core.NewRefusal(core.CodeLimitReached, time.Second, "backend server is full")
	}
	return core.NewFailure(core.CodeEngineFailed, core.ExecutionUnknown, "backend server answered with status %d", response.StatusCode)
}
