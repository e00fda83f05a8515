package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/standin/engine"
	"currantusher.dev/standin/service"
	"currantusher.dev/tables"
)

var publishedRoot = core.DigestOf([]byte("version 1"))

// replyFunc writes a fake entry's response to a request with the given body.
type replyFunc func(w http.ResponseWriter, body []byte)

func fakeEntry(t *testing.T, reply replyFunc) (*httptest.Server, *atomic.Int64) {
	t.Helper()
	var calls atomic.Int64
	mux := http.NewServeMux()
	server := httptest.NewUnstartedServer(mux)
	mux.HandleFunc("GET /v1/entries", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"ttl_seconds": 60, "entries": [{"address": %q, "data_centre": "a"}]}`, server.Listener.Addr())
	})
	mux.HandleFunc("POST /v1/requests/{route}", func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(err)
		}
		reply(w, body)
	})
	server.Start()
	t.Cleanup(server.Close)
	return server, &calls
}

func expectedText(body []byte, weights core.Digest) string {
	text, err := engine.ExpectedText(body, weights, 0)
	if err != nil {
		panic(err)
	}
	return text
}

func writeJSON(w http.ResponseWriter, value any) {
	_ = json.NewEncoder(w).Encode(value)
}

func problemReply(code core.Code, work core.Execution) replyFunc {
	return func(w http.ResponseWriter, _ []byte) {
		w.Header().Set("Content-Type", "application/problem+json")
		w.WriteHeader(code.Info().HTTPStatus)
		writeJSON(w, map[string]any{"code": int(code), "name": code.Info().Name, "work": work.String(), "detail": "test"})
	}
}

func plainReply(weights core.Digest) replyFunc {
	return func(w http.ResponseWriter, body []byte) {
		writeJSON(w, engine.Answer{RequestID: "r", Weights: weights.String(), Text: expectedText(body, weights)})
	}
}

// streamReply streams the correct events, changed by edit, and then ending.
func streamReply(edit func(events []engine.Event) []engine.Event, ending string) replyFunc {
	return func(w http.ResponseWriter, body []byte) {
		w.Header().Set("Content-Type", "text/event-stream")
		var events []engine.Event
		for i, word := range strings.SplitAfter(strings.TrimSuffix(expectedText(body, publishedRoot), " "), " ") {
			if !strings.HasSuffix(word, " ") {
				word += " "
			}
			events = append(events, engine.Event{RequestID: "r", Weights: publishedRoot.String(), Index: i, Text: word})
		}
		for _, event := range edit(events) {
			encoded, err := json.Marshal(event)
			if err != nil {
				panic(err)
			}
			_, _ = fmt.Fprintf(w, "data: %s\n\n", encoded)
		}
		_, _ = io.WriteString(w, ending)
	}
}

func unchanged(events []engine.Event) []engine.Event { return events }

func TestRequestOutcomes(t *testing.T) {
	const done = "data: [DONE]\n\n"
	plainRoute := Route{Name: "draft", Kind: tables.PoolEngine, Share: 1}
	streamRoute := Route{Name: "draft", Kind: tables.PoolEngine, Share: 1, StreamRatio: 1}
	serviceRoute := Route{Name: "lot", Kind: tables.PoolService, Share: 1, AtMostOnce: true}
	cases := []struct {
		name  string
		route Route
		reply replyFunc
		want  Outcome
	}{
		{"plain complete", plainRoute, plainReply(publishedRoot), OutcomeWhole},
		{"plain from unpublished weights", plainRoute, plainReply(core.DigestOf([]byte("other"))), OutcomeLost},
		{"plain of another request", plainRoute, func(w http.ResponseWriter, body []byte) {
			plainReply(publishedRoot)(w, []byte(`{"prompt":"another","max_tokens":4}`))
		}, OutcomeLost},
		{"plain from mixed weights", plainRoute, func(w http.ResponseWriter, body []byte) {
			writeJSON(w, engine.Answer{Weights: publishedRoot.String(), Text: expectedText(body, core.DigestOf([]byte("other")))})
		}, OutcomeLost},
		{"plain sent twice", plainRoute, func(w http.ResponseWriter, body []byte) {
			plainReply(publishedRoot)(w, body)
			plainReply(publishedRoot)(w, body)
		}, OutcomeLost},
		{"plain partial", plainRoute, func(w http.ResponseWriter, _ []byte) { _, _ = io.WriteString(w, `{"request_id":"r",`) }, OutcomeLost},
		{"plain cut", plainRoute, func(w http.ResponseWriter, _ []byte) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "{")
			panic(http.ErrAbortHandler)
		}, OutcomeLost},
		{"refused", plainRoute, problemReply(core.CodeInvalidField, core.ExecutionNotRun), OutcomeRefused},
		{"refused until the deadline", plainRoute, problemReply(core.CodeQueueFull, core.ExecutionNotRun), OutcomeRefused},
		{"unknown", plainRoute, problemReply(core.CodeTimeout, core.ExecutionUnknown), OutcomeUnknown},
		{"error without a problem body", plainRoute, func(w http.ResponseWriter, _ []byte) { http.Error(w, "x", 500) }, OutcomeLost},
		{"stream complete", streamRoute, streamReply(unchanged, done), OutcomeWhole},
		{"stream without end", streamRoute, streamReply(unchanged, ""), OutcomeLost},
		{"stream with a missing event", streamRoute, streamReply(func(e []engine.Event) []engine.Event { return append(e[:1:1], e[2:]...) }, done), OutcomeLost},
		{"stream truncated", streamRoute, streamReply(func(e []engine.Event) []engine.Event { return e[:2] }, done), OutcomeLost},
		{"stream with a duplicate event", streamRoute, streamReply(func(e []engine.Event) []engine.Event { return append(e[:1:1], e...) }, done), OutcomeLost},
		{"stream with an event of another request", streamRoute, streamReply(func(e []engine.Event) []engine.Event { e[1].RequestID = "s"; return e }, done), OutcomeLost},
		{"stream from two versions", streamRoute, streamReply(func(e []engine.Event) []engine.Event { e[1].Weights = core.DigestOf(nil).String(); return e }, done), OutcomeLost},
		{"stream ended by a problem", streamRoute, streamReply(unchanged, "event: error\ndata: {\"code\":307,\"name\":\"stream-broken\",\"work\":\"unknown\",\"detail\":\"d\"}\n\n"), OutcomeUnknown},
		{"stream error event without a problem", streamRoute, streamReply(unchanged, "event: error\ndata: [DONE]\n\n"), OutcomeLost},
		{"problem after the end of the stream", streamRoute, streamReply(unchanged, done+"event: error\ndata: {}\n\n"), OutcomeLost},
		{"second end of the stream", streamRoute, streamReply(unchanged, done+done), OutcomeLost},
		{"service complete", serviceRoute, func(w http.ResponseWriter, body []byte) {
			writeJSON(w, service.Answer{RequestID: "r", Sequence: 1, Echo: core.DigestOf(body)})
		}, OutcomeWhole},
		{"service of another request", serviceRoute, func(w http.ResponseWriter, _ []byte) {
			writeJSON(w, service.Answer{RequestID: "r", Sequence: 1, Echo: core.DigestOf(nil)})
		}, OutcomeLost},
		{"service always in progress", serviceRoute, problemReply(core.CodeInProgress, core.ExecutionUnknown), OutcomeUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server, _ := fakeEntry(t, c.reply)
			r := newTestRunner(server, c.route, 4)
			require.Equal(t, c.want, r.sendWithRetries(t.Context(), r.newRequest(time.Now())).outcome())
		})
	}
}

func newTestRunner(server *httptest.Server, route Route, attempts int) *runner {
	cfg := Config{
		Entries:     []string{server.Listener.Addr().String()},
		DataCentres: []core.DataCentre{"a"},
		Routes:      []Route{route},
		Teams:       WeightedTeams([]core.Team{"t-1", "t-2", "t-3"}),
		Deadline:    time.Minute,
		MaxAttempts: attempts,
		MaxTokens:   5,
		IsPublished: func(d core.Digest) bool { return d == publishedRoot },
	}
	cfg.applyDefaults()
	return newRunner(cfg)
}

func TestRetryHonoursRetryAfter(t *testing.T) {
	req := newRunner(Config{Routes: []Route{{Share: 1}}, Teams: []Team{{Share: 1}}, DataCentres: []core.DataCentre{"a"}}).newRequest(time.Now())
	h := requestHistory{attempts: 1, last: attempt{outcome: attemptRefused, code: core.CodeQueueFull, retryAfter: 3 * time.Second}}
	require.GreaterOrEqual(t, req.retryDelay(h), 3*time.Second)
	require.True(t, req.shouldRetry(h.last))
	require.False(t, req.shouldRetry(attempt{outcome: attemptRefused, code: core.CodeUnknownRoute}))
}

func TestUnknownOutcomeOfAtMostOnceIsNotRetried(t *testing.T) {
	server, calls := fakeEntry(t, problemReply(core.CodeOutcomeUnknown, core.ExecutionUnknown))
	r := newTestRunner(server, Route{Name: "lot", Kind: tables.PoolService, Share: 1, AtMostOnce: true}, 5)
	require.Equal(t, OutcomeUnknown, r.sendWithRetries(t.Context(), r.newRequest(time.Now())).outcome())
	require.EqualValues(t, 1, calls.Load())
}

func TestRefusalAfterUnknownAttemptIsUnknown(t *testing.T) {
	var calls atomic.Int64
	server, _ := fakeEntry(t, func(w http.ResponseWriter, body []byte) {
		if calls.Add(1) == 1 {
			problemReply(core.CodeEngineFailed, core.ExecutionUnknown)(w, body)
			return
		}
		problemReply(core.CodeQueueFull, core.ExecutionNotRun)(w, body)
	})
	r := newTestRunner(server, Route{Name: "draft", Kind: tables.PoolEngine, Share: 1}, 2)
	require.Equal(t, OutcomeUnknown, r.sendWithRetries(t.Context(), r.newRequest(time.Now())).outcome())
}

func TestRunCountsFalseRefusals(t *testing.T) {
	server, calls := fakeEntry(t, problemReply(core.CodeInvalidField, core.ExecutionNotRun))
	cfg := newTestRunner(server, Route{Name: "draft", Kind: tables.PoolEngine, Share: 1}, 1).cfg
	cfg.MaxInFlight = 1
	var queries atomic.Int64
	cfg.CountRuns = func(string) (int, error) {
		switch queries.Add(1) {
		case 1:
			return 1, nil
		case 2:
			return 0, errors.New("stand-in does not answer")
		default:
			return 0, nil
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for calls.Load() < 3 {
			time.Sleep(20 * time.Millisecond)
		}
		cancel()
	}()
	result, err := Run(ctx, cfg)
	require.NoError(t, err)
	require.Equal(t, 1, result.FalseRefusals)
	require.Equal(t, result.Total, result.Refused)
	require.NotEmpty(t, result.Examples)
}

func TestUnreachableEntryIsAvoidedAndRequestIsLost(t *testing.T) {
	server, _ := fakeEntry(t, plainReply(publishedRoot))
	server.Close()
	r := newTestRunner(server, Route{Name: "draft", Kind: tables.PoolEngine, Share: 1}, 2)
	req := r.newRequest(time.Now())
	h := r.sendWithRetries(t.Context(), req)
	require.Equal(t, OutcomeLost, h.outcome())
	require.False(t, h.mayHaveRun)
	require.NotEmpty(t, req.addresses.avoidUntil)
}
