package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"currantusher.dev/core"
	"currantusher.dev/standin/backend"
)

// job is one generation on one version of the weights.
type job struct {
	run       *backend.Run
	request   Request
	requestID string
	weights   core.Digest
	seed      core.Digest
	resume    int64
}

func (s *Server) postGenerate(w http.ResponseWriter, r *http.Request) {
	request, resume, err := readRequest(w, r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var current version
	run, err := s.gate.Start(runKey(r, request), func() error {
		current = s.inUse()
		if current.root.IsZero() {
			return errNoWeights
		}
		return nil
	})
	if err != nil {
		backend.RefuseStart(w, err)
		return
	}
	defer run.Done()
	if !current.whole {
		s.gate.CountPartialWeights()
	}
	s.answer(w, r, &job{
		run:       run,
		request:   request,
		requestID: r.Header.Get(backend.HeaderRequestID),
		weights:   current.root,
		seed:      outputSeed(request, current.root),
		resume:    resume,
	})
}

func (s *Server) inUse() version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

func readRequest(w http.ResponseWriter, r *http.Request) (Request, int64, error) {
	var request Request
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&request); err != nil {
		return request, 0, fmt.Errorf("body: %w", err)
	}
	from := r.Header.Get(backend.HeaderResumeFrom)
	if from == "" {
		return request, 0, nil
	}
	resume, err := strconv.ParseInt(from, 10, 64)
	if err != nil || resume < 0 {
		return request, 0, fmt.Errorf("%s %q: want a number of bytes", backend.HeaderResumeFrom, from)
	}
	return request, resume, nil
}

func runKey(r *http.Request, request Request) string {
	if key := r.Header.Get(backend.HeaderIdempotencyKey); key != "" {
		return backend.IdempotencyRunKey(core.Team(r.Header.Get(backend.HeaderTeam)), key)
	}
	return backend.PromptRunKey(request.Prompt)
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, j *job) {
	if j.run.Fault == backend.AnswerLate {
		if err := j.run.Sleep(r.Context(), j.run.Late); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	if strings.Contains(r.Header.Get("Accept"), "text/event-stream") {
		s.stream(w, r, j)
		return
	}
	s.plain(w, r, j)
}

func (s *Server) plain(w http.ResponseWriter, r *http.Request, j *job) {
	for range j.request.tokens() {
		if err := j.run.Sleep(r.Context(), s.cfg.TokenDelay); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	body, err := json.Marshal(Answer{
		RequestID: j.requestID,
		Weights:   j.weights.String(),
		Text:      generate(j.request, j.weights),
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	answer := backend.Answer{RequestID: j.requestID, Weights: j.weights.String(), Body: body}
	s.cross(answer, j.run.Fault).WriteTo(w, j.run.Fault)
}

// cross remembers answer and returns the one of the request before it when the
// fault says so.
func (s *Server) cross(answer backend.Answer, fault backend.AnswerFault) backend.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.previous
	s.previous = answer
	if fault == backend.AnswerCrossed && previous.RequestID != "" {
		return previous
	}
	return answer
}

// stream writes one event for each token, from the byte that the caller asked
// for on.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, j *job) {
	requestID := j.requestID
	if j.run.Fault == backend.AnswerCrossed {
		requestID += "-crossed"
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(backend.HeaderRequestID, requestID)
	w.Header().Set(backend.HeaderWeights, j.weights.String())
	out := &resumedWriter{to: w, flush: http.NewResponseController(w).Flush, skip: j.resume}
	tokens := j.request.tokens()
	for i := range tokens {
		if err := j.run.Sleep(r.Context(), s.cfg.TokenDelay); err != nil {
			panic(http.ErrAbortHandler)
		}
		if j.run.Fault == backend.AnswerCut && i >= tokens/2 {
			panic(http.ErrAbortHandler)
		}
		out.write(event(requestID, j.weights, j.seed, i))
		if j.run.Fault == backend.AnswerDoubled {
			out.write(event(requestID, j.weights, j.seed, i))
		}
	}
	out.write([]byte("data: " + StreamEnd + "\n\n"))
}

// resumedWriter leaves out the bytes that the caller already has.
type resumedWriter struct {
	to    http.ResponseWriter
	flush func() error
	skip  int64
}

func (w *resumedWriter) write(bytes []byte) {
	if w.skip >= int64(len(bytes)) {
		w.skip -= int64(len(bytes))
		return
	}
	_, _ = w.to.Write(bytes[w.skip:])
	w.skip = 0
	_ = w.flush()
}
