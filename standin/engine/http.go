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
	s.gate.Register(mux, s.Inject)
	return mux
}

func (s *Server) getState(w http.ResponseWriter, _ *http.Request) {
	state := s.gate.State()
	s.mu.Lock()
	if !s.active.root.IsZero() {
		state.Weights = s.active.root.String()
	}
	state.Fence = uint64(s.fence)
	s.mu.Unlock()
	backend.WriteJSON(w, http.StatusOK, state)
}

// readVerified reads a body whose digest is in the path.
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

// readBody reads into a buffer of the announced length, which stays staged.
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

// ActivateOrder is the body of POST /v1/activate.
type ActivateOrder struct {
	Root  core.Digest       `json:"root"`
	Fence core.FencingToken `json:"fence"`
}

// EvictOrder is the body of POST /v1/evict.
type EvictOrder struct {
	Keep  []core.Digest     `json:"keep"`
	Fence core.FencingToken `json:"fence"`
}

func readOrder[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var order T
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return order, false
	}
	return order, true
}

func (s *Server) postActivate(w http.ResponseWriter, r *http.Request) {
	order, ok := readOrder[ActivateOrder](w, r)
	if !ok {
		return
	}
	answerOrder(w, s.activate(order.Root, order.Fence))
}

func (s *Server) postEvict(w http.ResponseWriter, r *http.Request) {
	order, ok := readOrder[EvictOrder](w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.checkOrder(order.Fence)
	if err == nil {
		s.staging.evict(order.Keep)
	}
	answerOrder(w, err)
}

func answerOrder(w http.ResponseWriter, err error) {
	switch {
	case err == nil:
		backend.WriteJSON(w, http.StatusOK, struct{}{})
	case errors.Is(err, errStaleFence):
		http.Error(w, err.Error(), http.StatusConflict)
	default:
		http.Error(w, err.Error(), http.StatusUnprocessableEntity)
	}
}
