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

var published = core.DigestOf([]byte("version 1"))

// reply is how a fake entry answers one request with this body.
type reply func(w http.ResponseWriter, body []byte)

func fakeEntry(t *testing.T, answer reply) (*httptest.Server, *atomic.Int64) {
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
		answer(w, body)
	})
	server.Start()
	t.Cleanup(server.Close)
	return server, &calls
}

func text(body []byte, weights core.Digest) string {
	out, err := engine.ExpectedText(body, weights, 0)
	if err != nil {
		panic(err)
	}
	return out
}

func writeJSON(w http.ResponseWriter, value any) {
	_ = json.NewEncoder(w).Encode(value)
}

func problem(code core.Code, work core.Execution) reply {
	return func(w http.ResponseWriter, _ []byte) {
		w.Header().Set("Content-Type", "application/problem+json")
		w.WriteHeader(code.Info().HTTPStatus)
		writeJSON(w, map[string]any{"code": int(code), "name": code.Info().Name, "work": work.String(), "detail": "test"})
	}
}

func plainFrom(weights core.Digest) reply {
	return func(w http.ResponseWriter, body []byte) {
		writeJSON(w, engine.Answer{RequestID: "r", Weights: weights.String(), Text: text(body, weights)})
	}
}

// streamOf writes the events of a stream after edit changed them.
func streamOf(edit func(events []engine.Event) []engine.Event, last string) reply {
	return func(w http.ResponseWriter, body []byte) {
		w.Header().Set("Content-Type", "text/event-stream")
		var events []engine.Event
		for i, word := range strings.SplitAfter(strings.TrimSuffix(text(body, published), " "), " ") {
			if !strings.HasSuffix(word, " ") {
				word += " "
			}
			events = append(events, engine.Event{RequestID: "r", Weights: published.String(), Index: i, Text: word})
		}
		for _, event := range edit(events) {
			encoded, err := json.Marshal(event)
			if err != nil {
				panic(err)
			}
			_, _ = fmt.Fprintf(w, "data: %s\n\n", encoded)
		}
		_, _ = io.WriteString(w, last)
	}
}

func unchanged(events []engine.Event) []engine.Event { return events }

func TestOutcomeOfAnswers(t *testing.T) {
	const done = "data: [DONE]\n\n"
	plain := Route{Name: "draft", Kind: tables.PoolEngine, Share: 1}
	stream := Route{Name: "draft", Kind: tables.PoolEngine, Share: 1, StreamRatio: 1}
	lot := Route{Name: "lot", Kind: tables.PoolService, Share: 1, AtMostOnce: true}
	cases := []struct {
		name  string
		route Route
		reply reply
		want  Outcome
	}{
		{"plain whole", plain, plainFrom(published), OutcomeWhole},
		{"plain from unpublished weights", plain, plainFrom(core.DigestOf([]byte("other"))), OutcomeLost},
		{"plain of another request", plain, func(w http.ResponseWriter, body []byte) {
			plainFrom(published)(w, []byte(`{"prompt":"another","max_tokens":4}`))
		}, OutcomeLost},
		{"plain from mixed weights", plain, func(w http.ResponseWriter, body []byte) {
			writeJSON(w, engine.Answer{Weights: published.String(), Text: text(body, core.DigestOf([]byte("other")))})
		}, OutcomeLost},
		{"plain doubled", plain, func(w http.ResponseWriter, body []byte) {
			plainFrom(published)(w, body)
			plainFrom(published)(w, body)
		}, OutcomeLost},
		{"plain partial", plain, func(w http.ResponseWriter, _ []byte) { _, _ = io.WriteString(w, `{"request_id":"r",`) }, OutcomeLost},
		{"plain cut", plain, func(w http.ResponseWriter, _ []byte) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "{")
			panic(http.ErrAbortHandler)
		}, OutcomeLost},
		{"refused", plain, problem(core.CodeInvalidField, core.ExecutionNotRun), OutcomeRefused},
		{"refused until the deadline", plain, problem(core.CodeQueueFull, core.ExecutionNotRun), OutcomeRefused},
		{"unknown", plain, problem(core.CodeTimeout, core.ExecutionUnknown), OutcomeUnknown},
		{"error without a problem body", plain, func(w http.ResponseWriter, _ []byte) { http.Error(w, "x", 500) }, OutcomeLost},
		{"stream whole", stream, streamOf(unchanged, done), OutcomeWhole},
		{"stream without end", stream, streamOf(unchanged, ""), OutcomeLost},
		{"stream with a hole", stream, streamOf(func(e []engine.Event) []engine.Event { return append(e[:1:1], e[2:]...) }, done), OutcomeLost},
		{"stream short", stream, streamOf(func(e []engine.Event) []engine.Event { return e[:2] }, done), OutcomeLost},
		{"stream doubled event", stream, streamOf(func(e []engine.Event) []engine.Event { return append(e[:1:1], e...) }, done), OutcomeLost},
		{"stream crossed", stream, streamOf(func(e []engine.Event) []engine.Event { e[1].RequestID = "s"; return e }, done), OutcomeLost},
		{"stream from two versions", stream, streamOf(func(e []engine.Event) []engine.Event { e[1].Weights = core.DigestOf(nil).String(); return e }, done), OutcomeLost},
		{"stream broken with a problem", stream, streamOf(unchanged, "event: error\ndata: {\"code\":307,\"name\":\"stream-broken\",\"work\":\"unknown\",\"detail\":\"d\"}\n\n"), OutcomeUnknown},
		{"stream broken with something else", stream, streamOf(unchanged, "event: error\ndata: [DONE]\n\n"), OutcomeLost},
		{"stream with a problem after its end", stream, streamOf(unchanged, done+"event: error\ndata: {}\n\n"), OutcomeLost},
		{"stream after its end", stream, streamOf(unchanged, done+done), OutcomeLost},
		{"service whole", lot, func(w http.ResponseWriter, body []byte) {
			writeJSON(w, service.Answer{RequestID: "r", Sequence: 1, Echo: core.DigestOf(body)})
		}, OutcomeWhole},
		{"service of another request", lot, func(w http.ResponseWriter, _ []byte) {
			writeJSON(w, service.Answer{RequestID: "r", Sequence: 1, Echo: core.DigestOf(nil)})
		}, OutcomeLost},
		{"service in progress for ever", lot, problem(core.CodeInProgress, core.ExecutionUnknown), OutcomeUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server, _ := fakeEntry(t, c.reply)
			r := testRunner(server, c.route, 4)
			require.Equal(t, c.want, r.perform(t.Context(), r.newJob(time.Now())).outcome())
		})
	}
}

func testRunner(server *httptest.Server, route Route, attempts int) *runner {
	cfg := Config{
		Entries:      []string{server.Listener.Addr().String()},
		DataCentres:  []core.DataCentre{"a"},
		Routes:       []Route{route},
		Teams:        Teams([]core.Team{"t-1", "t-2", "t-3"}),
		Deadline:     time.Minute,
		MaxAttempts:  attempts,
		MaxTokens:    5,
		KnownWeights: func(d core.Digest) bool { return d == published },
	}
	cfg.applyDefaults()
	return newRunner(cfg)
}

func TestRetryHonoursRetryAfter(t *testing.T) {
	j := newRunner(Config{Routes: []Route{{Share: 1}}, Teams: []Team{{Share: 1}}, DataCentres: []core.DataCentre{"a"}}).newJob(time.Now())
	h := history{attempts: 1, last: attempt{verdict: verdictRefused, code: core.CodeQueueFull, retryAfter: 3 * time.Second}}
	require.GreaterOrEqual(t, j.pause(h), 3*time.Second)
	require.True(t, j.mayRetry(h.last))
	require.False(t, j.mayRetry(attempt{verdict: verdictRefused, code: core.CodeUnknownRoute}))
}

func TestUnknownOfAtMostOnceIsFinal(t *testing.T) {
	server, calls := fakeEntry(t, problem(core.CodeOutcomeUnknown, core.ExecutionUnknown))
	r := testRunner(server, Route{Name: "lot", Kind: tables.PoolService, Share: 1, AtMostOnce: true}, 5)
	require.Equal(t, OutcomeUnknown, r.perform(t.Context(), r.newJob(time.Now())).outcome())
	require.EqualValues(t, 1, calls.Load())
}

func TestRefusalAfterUnknownIsUnknown(t *testing.T) {
	var calls atomic.Int64
	server, _ := fakeEntry(t, func(w http.ResponseWriter, body []byte) {
		if calls.Add(1) == 1 {
			problem(core.CodeEngineFailed, core.ExecutionUnknown)(w, body)
			return
		}
		problem(core.CodeQueueFull, core.ExecutionNotRun)(w, body)
	})
	r := testRunner(server, Route{Name: "draft", Kind: tables.PoolEngine, Share: 1}, 2)
	require.Equal(t, OutcomeUnknown, r.perform(t.Context(), r.newJob(time.Now())).outcome())
}

func TestRunCountsFalseRefusals(t *testing.T) {
	server, _ := fakeEntry(t, problem(core.CodeInvalidField, core.ExecutionNotRun))
	cfg := testRunner(server, Route{Name: "draft", Kind: tables.PoolEngine, Share: 1}, 1).cfg
	cfg.Outstanding = 1
	var asked atomic.Int64
	cfg.Runs = func(string) (int, error) {
		switch asked.Add(1) {
		case 1:
			return 1, nil
		case 2:
			return 0, errors.New("stand-in is gone")
		default:
			return 0, nil
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for asked.Load() == 0 {
			time.Sleep(20 * time.Millisecond)
			cancel()
		}
	}()
	result, err := Run(ctx, cfg)
	require.NoError(t, err)
	require.Equal(t, 1, result.FalseRefusals)
	require.Equal(t, result.Total, result.Refused)
	require.NotEmpty(t, result.Examples)
}

func TestUnreachedEntryIsAvoidedAndLost(t *testing.T) {
	server, _ := fakeEntry(t, plainFrom(published))
	server.Close()
	r := testRunner(server, Route{Name: "draft", Kind: tables.PoolEngine, Share: 1}, 2)
	j := r.newJob(time.Now())
	h := r.perform(t.Context(), j)
	require.Equal(t, OutcomeLost, h.outcome())
	require.False(t, h.unsure)
	require.NotEmpty(t, j.directory.avoided)
}
