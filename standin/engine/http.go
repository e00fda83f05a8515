package engine

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"currantusher.dev/core"
	"currantusher.dev/standin/backend"
	"currantusher.dev/weights"
)

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/state", s.getState)
	mux.HandleFunc("PUT /v1/staging/manifests/{root}", s.putManifest)
	mux.HandleFunc("PUT /v1/staging/chunks/{digest}", s.putChunk)
	mux.HandleFunc("GET /v1/staging/chunks/{digest}", s.getChunk)
	mux.HandleFunc("GET /v1/staging/chunks", s.listChunks)
	mux.HandleFunc("POST /v1/activate", s.postActivate)
	mux.HandleFunc("POST /v1/evict", s.postEvict)
	mux.HandleFunc("POST /v1/generate", s.postGenerate)
	s.simulator.RegisterBenchRoutes(mux, s.Inject)
	return mux
}

func (s *Server) getState(w http.ResponseWriter, _ *http.Request) {
	state := s.simulator.State()
	s.mu.Lock()
	if !s.active.root.IsZero() {
		state.Weights = s.active.root.String()
	}
	state.Fence = uint64(s.fence)
	s.mu.Unlock()
	backend.WriteJSON(w, http.StatusOK, state)
}

// readVerified reads a body and checks it against the digest in the path value
// name. If it returns false, it has written an error response.
func readVerified(w http.ResponseWriter, r *http.Request, name string) (core.Digest, []byte, bool) {
	digest, err := core.ParseDigest(r.PathValue(name))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return core.Digest{}, nil, false
	}
	body, err := readBody(w, r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return core.Digest{}, nil, false
	}
	if core.DigestOf(body) != digest {
		http.Error(w, errWrongDigest.Error(), http.StatusUnprocessableEntity)
		return core.Digest{}, nil, false
	}
	return digest, body, true
}

// readBody reads into a buffer of exactly the content length, because the buffer
// is kept as a staged chunk.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	limited := http.MaxBytesReader(w, r.Body, maxBodyBytes)
	if r.ContentLength < 0 || r.ContentLength > maxBodyBytes {
		return io.ReadAll(limited)
	}
	body := make([]byte, r.ContentLength)
	_, err := io.ReadFull(limited, body)
	return body, err
}

func (s *Server) putManifest(w http.ResponseWriter, r *http.Request) {
	root, body, ok := readVerified(w, r, "root")
	if !ok {
		return
	}
	manifest, err := weights.DecodeManifest(body, root)
	if err != nil {
		http.Error(w, core.DetailOf(err), http.StatusUnprocessableEntity)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staging.manifests[root] = manifest
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) putChunk(w http.ResponseWriter, r *http.Request) {
	digest, body, ok := readVerified(w, r, "digest")
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staging.putChunk(digest, body)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getChunk(w http.ResponseWriter, r *http.Request) {
	digest, err := core.ParseDigest(r.PathValue("digest"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	bytes, staged := s.staging.chunks[digest]
	s.mu.Unlock()
	if !staged {
		http.Error(w, errNotStaged.Error(), http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(bytes)
}

func (s *Server) listChunks(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	digests := s.staging.digests()
	s.mu.Unlock()
	backend.WriteJSON(w, http.StatusOK, digests)
}

// ActivateRequest is the body of POST /v1/activate.
type ActivateRequest struct {
	Root  core.Digest       `json:"root"`
	Fence core.FencingToken `json:"fence"`
}

// EvictRequest is the body of POST /v1/evict.
type EvictRequest struct {
	Keep  []core.Digest     `json:"keep"`
	Fence core.FencingToken `json:"fence"`
}

// readJSON decodes the body. If it returns false, it has written an error response.
func readJSON[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var body T
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return body, false
	}
	return body, true
}

func (s *Server) postActivate(w http.ResponseWriter, r *http.Request) {
	request, ok := readJSON[ActivateRequest](w, r)
	if !ok {
		return
	}
	writeCommandResult(w, s.activate(request.Root, request.Fence))
}

func (s *Server) postEvict(w http.ResponseWriter, r *http.Request) {
	request, ok := readJSON[EvictRequest](w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.checkFencingToken(request.Fence)
	if err == nil {
		s.staging.evict(request.Keep)
	}
	writeCommandResult(w, err)
}

func writeCommandResult(w http.ResponseWriter, err error) {
	switch {
	case err == nil:
		backend.WriteJSON(w, http.StatusOK, struct{}{})
	case errors.Is(err, errStaleFence):
		http.Error(w, err.Error(), http.StatusConflict)
	default:
		http.Error(w, err.Error(), http.StatusUnprocessableEntity)
	}
}
