package backend

import (
	"encoding/json"
	"errors"
	"net/http"
)

// Headers between an agent and its backend server.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderAttemptID      = "X-Attempt-Id"
	HeaderTeam           = "X-Team"
	HeaderIdempotencyKey = "X-Idempotency-Key"
	HeaderWeights        = "X-Weights"
	HeaderResumeFrom     = "X-Resume-From"
)

// benchPaths are the calls of experiments, which a crashed server still answers.
var benchPaths = map[string]bool{"/faults": true, "/counters": true, "/runs": true, "/runs/keyed": true}

// RunCount is the response body of GET /runs?key=K.
type RunCount struct {
	Count int `json:"count"`
}

// RegisterBenchRoutes adds the calls of experiments to mux: GET /counters,
// GET /runs?key=K, GET /runs/keyed and POST /faults. inject applies the faults to
// the server.
func (s *Simulator) RegisterBenchRoutes(mux *http.ServeMux, inject func(Faults) error) {
	mux.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, s.Counters())
	})
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, r *http.Request) {
		WriteJSON(w, http.StatusOK, RunCount{Count: s.RunCount(r.URL.Query().Get("key"))})
	})
	mux.HandleFunc("GET /runs/keyed", func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, s.KeyedRunCounts())
	})
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		faults, err := DecodeFaults(r)
		if err == nil {
			err = inject(faults)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
}

// AbortWhenDown aborts the connections of calls to a crashed server, except those
// of experiments.
func (s *Simulator) AbortWhenDown(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.Down() && !benchPaths[r.URL.Path] {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// WriteJSON writes a JSON response.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}

// WriteStartError writes the response for an error of Simulator.Start. It aborts the
// connection if the server is down or restarted.
func WriteStartError(w http.ResponseWriter, r *http.Request, err error) {
	if errors.Is(err, ErrDown) || errors.Is(err, ErrOverloadRestart) {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusServiceUnavailable
	if errors.Is(err, ErrOverLimit) {
		status = http.StatusTooManyRequests
	}
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	http.Error(w, err.Error(), status)
}
