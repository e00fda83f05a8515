// Package service is a stand-in for a plain service whose calls must not be
// repeated, such as a registry of lot numbers: each run takes a new number.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/standin/backend"
)

const maxBodyBytes = 4 << 20

// Config configures a Server.
type Config struct {
	// Name is the prefix of the incarnation strings; "" means "service".
	Name string
	// Delay is the processing time of a request of a warm service.
	Delay time.Duration
	// WarmUp is the duration of a cold start.
	WarmUp time.Duration
	// ColdLimit and WarmLimit bound the running requests during and after a cold
	// start.
	ColdLimit int
	WarmLimit int
	// ColdGrace is the time that the agent has to detect an unannounced cold start.
	ColdGrace time.Duration
	// DataCentreOutGrace is the time in which taking a data centre out must be in
	// force.
	DataCentreOutGrace time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Answer is the body of an answer.
type Answer struct {
	RequestID string `json:"request_id"`
	// Sequence is the number that the run took.
	Sequence uint64 `json:"sequence"`
	// Echo is the digest of the request body.
	Echo core.Digest `json:"echo"`
}

// Server is one plain service. It implements http.Handler.
type Server struct {
	cfg       Config
	simulator *backend.Simulator
	handler   http.Handler

	mu             sync.Mutex
	sequence       uint64
	previousAnswer backend.Answer
}

// New returns a service whose first run takes the number 1.
func New(cfg Config) *Server {
	if cfg.Name == "" {
		cfg.Name = "service"
	}
	s := &Server{cfg: cfg}
	s.simulator = backend.NewSimulator(backend.Config{
		Name:               cfg.Name,
		WarmUp:             cfg.WarmUp,
		ColdLimit:          cfg.ColdLimit,
		WarmLimit:          cfg.WarmLimit,
		ColdGrace:          cfg.ColdGrace,
		DataCentreOutGrace: cfg.DataCentreOutGrace,
		Now:                cfg.Now,
	}, func() {})
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/state", func(w http.ResponseWriter, _ *http.Request) {
		backend.WriteJSON(w, http.StatusOK, s.simulator.State())
	})
	mux.HandleFunc("POST /", s.handlePost)
	s.simulator.RegisterBenchRoutes(mux, s.simulator.Inject)
	s.handler = s.simulator.AbortWhenDown(mux)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// Counters returns a copy of the service's counters.
func (s *Server) Counters() backend.Counters { return s.simulator.Counters() }

// MaxRuns returns the highest number of runs with the same Idempotency-Key.
func (s *Server) MaxRuns() int { return s.simulator.Counters().MaxRuns }

// RunCount returns how often the request with this key started; see
// backend.IdempotencyRunKey and backend.PromptRunKey.
func (s *Server) RunCount(key string) int { return s.simulator.RunCount(key) }

// Inject applies the faults.
func (s *Server) Inject(faults backend.Faults) error { return s.simulator.Inject(faults) }

func (s *Server) handlePost(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	run, err := s.simulator.Start(runKey(r, body), nil)
	if err != nil {
		backend.WriteStartError(w, r, err)
		return
	}
	defer run.Done()
	delay := s.cfg.Delay
	if run.Fault == backend.AnswerLate {
		delay += run.LateDelay
	}
	answer := s.nextAnswer(r, body, run.Fault)
	if err := run.Sleep(r.Context(), delay); err != nil {
		panic(http.ErrAbortHandler)
	}
	if run.Fault.IsEndless() {
		run.WriteEndless(r.Context(), w, answer, "application/json")
		return
	}
	answer.WriteTo(w, run.Fault)
}

func runKey(r *http.Request, body []byte) string {
	if key := r.Header.Get(backend.HeaderIdempotencyKey); key != "" {
		return backend.IdempotencyRunKey(core.Team(r.Header.Get(backend.HeaderTeam)), key)
	}
	return backend.PromptRunKey(core.DigestOf(body).String())
}

// nextAnswer takes the next number and returns the answer. The number is used up
// even if the answer is lost.
func (s *Server) nextAnswer(r *http.Request, body []byte, fault backend.AnswerFault) backend.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	requestID := r.Header.Get(backend.HeaderRequestID)
	encoded, err := json.Marshal(Answer{RequestID: requestID, Sequence: s.sequence, Echo: core.DigestOf(body)})
	if err != nil {
		panic(err) // Answer has only strings and numbers.
	}
	answer := backend.Answer{RequestID: requestID, Body: encoded}
	previous := s.previousAnswer
	s.previousAnswer = answer
	if fault == backend.AnswerCrossed && previous.RequestID != "" {
		return previous
	}
	return answer
}
