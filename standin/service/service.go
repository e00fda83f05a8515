// Package service is a stand-in for a plain service whose calls may not be
// repeated, such as a registry of lot numbers: each run draws a new number.
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

// Config sets up a Server.
type Config struct {
	// Name starts the incarnation strings; "" means "service".
	Name string
	// Delay is the running time of a request once warm.
	Delay time.Duration
	// WarmUp is the length of a cold start.
	WarmUp time.Duration
	// ColdLimit and WarmLimit bound running requests.
	ColdLimit int
	WarmLimit int
	// ColdGrace is the time to notice an unannounced cold start.
	ColdGrace time.Duration
	// DataCentreOutGrace is the time for taking a data centre out to be in force.
	DataCentreOutGrace time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Answer is the body of an answer. Sequence is the drawn number.
type Answer struct {
	RequestID string `json:"request_id"`
	Sequence  uint64 `json:"sequence"`
	// Echo is the digest of the request's body.
	Echo core.Digest `json:"echo"`
}

// Server is one plain service. It implements http.Handler.
type Server struct {
	cfg     Config
	gate    *backend.Gate
	handler http.Handler

	mu       sync.Mutex
	sequence uint64
	previous backend.Answer
}

// New returns a service that has drawn no number.
func New(cfg Config) *Server {
	if cfg.Name == "" {
		cfg.Name = "service"
	}
	s := &Server{cfg: cfg}
	s.gate = backend.NewGate(backend.Config{
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
		backend.WriteJSON(w, http.StatusOK, s.gate.State())
	})
	mux.HandleFunc("POST /", s.post)
	s.gate.Register(mux, s.gate.Inject)
	s.handler = s.gate.AbortWhenDown(mux)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// Counters returns what the service counted.
func (s *Server) Counters() backend.Counters { return s.gate.Counters() }

// MaxRuns returns the highest number of runs with one Idempotency-Key.
func (s *Server) MaxRuns() int { return s.gate.Counters().MaxRuns }

// RunCount returns how often the request with this key started; see
// backend.KeyedRun and backend.PromptRun.
func (s *Server) RunCount(key string) int { return s.gate.RunCount(key) }

// Inject applies fault switches.
func (s *Server) Inject(faults backend.Faults) error { return s.gate.Inject(faults) }

func (s *Server) post(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	run, err := s.gate.Start(runKey(r, body), nil)
	if err != nil {
		backend.RefuseStart(w, err)
		return
	}
	defer run.Done()
	delay := s.cfg.Delay
	if run.Fault == backend.AnswerLate {
		delay += run.Late
	}
	answer := s.draw(r, body, run.Fault)
	if err := run.Sleep(r.Context(), delay); err != nil {
		panic(http.ErrAbortHandler)
	}
	answer.WriteTo(w, run.Fault)
}

func runKey(r *http.Request, body []byte) string {
	if key := r.Header.Get(backend.HeaderIdempotencyKey); key != "" {
		return backend.IdempotencyRunKey(core.Team(r.Header.Get(backend.HeaderTeam)), key)
	}
	return backend.PromptRunKey(core.DigestOf(body).String())
}

// draw takes the next number: from here on the request has had its effect,
// whatever happens to the answer.
func (s *Server) draw(r *http.Request, body []byte, fault backend.AnswerFault) backend.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	requestID := r.Header.Get(backend.HeaderRequestID)
	encoded, err := json.Marshal(Answer{RequestID: requestID, Sequence: s.sequence, Echo: core.DigestOf(body)})
	if err != nil {
		panic(err) // Answer has only strings and numbers.
	}
	answer := backend.Answer{RequestID: requestID, Body: encoded}
	previous := s.previous
	s.previous = answer
	if fault == backend.AnswerCrossed && previous.RequestID != "" {
		return previous
	}
	return answer
}
