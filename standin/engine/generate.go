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

const eventStreamType = "text/event-stream"

// generation is the processing of one request with one version of the weights.
type generation struct {
	run        *backend.Run
	request    Request
	requestID  string
	weights    core.Digest
	seed       core.Digest
	resumeFrom int64
}

func (s *Server) postGenerate(w http.ResponseWriter, r *http.Request) {
	request, resumeFrom, err := readRequest(w, r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var current activeVersion
	run, err := s.simulator.Start(runKey(r, request), func() error {
		current = s.activeWeights()
		if current.root.IsZero() {
			return errNoWeights
		}
		return nil
	})
	if err != nil {
		backend.WriteStartError(w, r, err)
		return
	}
	defer run.Done()
	if !current.complete {
		s.simulator.CountPartialWeights()
	}
	s.writeAnswer(w, r, &generation{
		run:        run,
		request:    request,
		requestID:  r.Header.Get(backend.HeaderRequestID),
		weights:    current.root,
		seed:       outputSeed(request, current.root),
		resumeFrom: resumeFrom,
	})
}

func (s *Server) activeWeights() activeVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

func readRequest(w http.ResponseWriter, r *http.Request) (Request, int64, error) {
	var request Request
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&request); err != nil {
		return request, 0, fmt.Errorf("body: %w", err)
	}
	header := r.Header.Get(backend.HeaderResumeFrom)
	if header == "" {
		return request, 0, nil
	}
	resumeFrom, err := strconv.ParseInt(header, 10, 64)
	if err != nil || resumeFrom < 0 {
		return request, 0, fmt.Errorf("%s %q: want a number of bytes", backend.HeaderResumeFrom, header)
	}
	return request, resumeFrom, nil
}

func runKey(r *http.Request, request Request) string {
	if key := r.Header.Get(backend.HeaderIdempotencyKey); key != "" {
		return backend.IdempotencyRunKey(core.Team(r.Header.Get(backend.HeaderTeam)), key)
	}
	return backend.PromptRunKey(request.Prompt)
}

func (s *Server) writeAnswer(w http.ResponseWriter, r *http.Request, g *generation) {
	if g.run.Fault == backend.AnswerLate {
		if err := g.run.Sleep(r.Context(), g.run.LateDelay); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	streamed := strings.Contains(r.Header.Get("Accept"), eventStreamType)
	if g.run.Fault.IsEndless() {
		contentType := "application/json"
		if streamed {
			contentType = eventStreamType
		}
		g.run.WriteEndless(r.Context(), w, backend.Answer{RequestID: g.requestID, Weights: g.weights.String()}, contentType)
		return
	}
	if streamed {
		s.writeStream(w, r, g)
		return
	}
	s.writePlain(w, r, g)
}

func (s *Server) writePlain(w http.ResponseWriter, r *http.Request, g *generation) {
	for range g.request.tokenCount() {
		if err := g.run.Sleep(r.Context(), s.cfg.TokenDelay); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	body, err := json.Marshal(Answer{
		RequestID: g.requestID,
		Weights:   g.weights.String(),
		Text:      generate(g.request, g.weights),
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	answer := backend.Answer{RequestID: g.requestID, Weights: g.weights.String(), Body: body}
	s.swapAnswer(answer, g.run.Fault).WriteTo(w, g.run.Fault)
}

// swapAnswer records answer and returns it, or the answer to the previous request
// if fault is AnswerCrossed.
func (s *Server) swapAnswer(answer backend.Answer, fault backend.AnswerFault) backend.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.previousAnswer
	s.previousAnswer = answer
	if fault == backend.AnswerCrossed && previous.RequestID != "" {
		return previous
	}
	return answer
}

// writeStream writes one event per token, starting at the byte offset that the
// caller requested.
func (s *Server) writeStream(w http.ResponseWriter, r *http.Request, g *generation) {
	requestID := g.requestID
	if g.run.Fault == backend.AnswerCrossed {
		requestID += "-crossed"
	}
	w.Header().Set("Content-Type", eventStreamType)
	if g.run.Fault == backend.AnswerUnframed || g.run.Fault == backend.AnswerBrokenEvent {
		backend.SetUnframed(w.Header())
	}
	w.Header().Set(backend.HeaderRequestID, requestID)
	w.Header().Set(backend.HeaderWeights, g.weights.String())
	out := &resumedWriter{to: w, flush: http.NewResponseController(w).Flush, skipBytes: g.resumeFrom}
	tokens := g.request.tokenCount()
	for i := range tokens {
		if err := g.run.Sleep(r.Context(), s.cfg.TokenDelay); err != nil {
			panic(http.ErrAbortHandler)
		}
		if g.run.Fault == backend.AnswerCut && i >= tokens/2 {
			panic(http.ErrAbortHandler)
		}
		event := encodeEvent(requestID, g.weights, g.seed, i)
		if g.run.Fault == backend.AnswerBrokenEvent && i >= tokens/2 {
			out.write(event[:len(event)/2])
			return
		}
		out.write(event)
		if g.run.Fault == backend.AnswerDoubled {
			out.write(encodeEvent(requestID, g.weights, g.seed, i))
		}
	}
	out.write([]byte("data: " + StreamEnd + "\n\n"))
}

// resumedWriter skips the bytes that the caller has already received.
type resumedWriter struct {
	to        http.ResponseWriter
	flush     func() error
	skipBytes int64
}

func (w *resumedWriter) write(bytes []byte) {
	if w.skipBytes >= int64(len(bytes)) {
		w.skipBytes -= int64(len(bytes))
		return
	}
	_, _ = w.to.Write(bytes[w.skipBytes:])
	w.skipBytes = 0
	_ = w.flush()
}
