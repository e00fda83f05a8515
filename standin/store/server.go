package store

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"

	"currantusher.dev/core"
	"currantusher.dev/platform"
	"currantusher.dev/platform/rest"
)

// Paths of the faults and the counts.
const (
	PathFaults = "/faults"
	PathStats  = "/stats"
)

// Server serves a Memory over HTTP. At PathFaults, GET returns the faults and PUT
// replaces all of them. At PathStats, GET returns the counts.
type Server struct {
	*Memory
	mux *http.ServeMux
}

// New returns an empty, healthy server.
func New(config Config) *Server {
	s := &Server{Memory: NewMemory(config), mux: http.NewServeMux()}
	s.mux.HandleFunc("POST "+rest.PathGet, s.serveGet)
	s.mux.HandleFunc("POST "+rest.PathScan, s.serveScan)
	s.mux.HandleFunc("POST "+rest.PathCommit, s.serveCommit)
	s.mux.HandleFunc("GET "+rest.PathObjects, s.serveGetObject)
	s.mux.HandleFunc("PUT "+rest.PathObjects, s.servePutObject)
	s.mux.HandleFunc("GET "+rest.PathInstances, s.serveInstances)
	s.mux.HandleFunc("POST "+rest.PathInstances, s.serveAnnounce)
	s.mux.HandleFunc("GET "+PathFaults, s.serveFaults)
	s.mux.HandleFunc("PUT "+PathFaults, s.serveSetFaults)
	s.mux.HandleFunc("GET "+PathStats, s.serveStats)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) serveGet(w http.ResponseWriter, r *http.Request) {
	var request rest.GetRequest
	if !readJSON(w, r, &request) {
		return
	}
	rows, err := s.Get(r.Context(), request.Keys...)
	writeReply(w, rest.RowsReply{Rows: rows}, err)
}

func (s *Server) serveScan(w http.ResponseWriter, r *http.Request) {
	var request rest.ScanRequest
	if !readJSON(w, r, &request) {
		return
	}
	rows, err := s.Scan(r.Context(), request.Tables...)
	writeReply(w, rest.RowsReply{Rows: rows}, err)
}

func (s *Server) serveCommit(w http.ResponseWriter, r *http.Request) {
	var txn platform.Transaction
	if !readJSON(w, r, &txn) {
		return
	}
	writeReply(w, struct{}{}, s.Commit(r.Context(), txn))
}

func objectName(r *http.Request) (string, error) {
	return url.PathUnescape(strings.TrimPrefix(r.URL.EscapedPath(), rest.PathObjects))
}

func (s *Server) serveGetObject(w http.ResponseWriter, r *http.Request) {
	name, err := objectName(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	content, err := s.GetObject(r.Context(), name)
	if err != nil {
		writeError(w, err)
		return
	}
	_, _ = w.Write(content)
}

func (s *Server) servePutObject(w http.ResponseWriter, r *http.Request) {
	name, err := objectName(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, rest.MaxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeReply(w, struct{}{}, s.PutObject(r.Context(), name, content))
}

func (s *Server) serveInstances(w http.ResponseWriter, r *http.Request) {
	instances, err := s.Instances(r.Context())
	writeReply(w, rest.InstancesReply{Instances: instances}, err)
}

func (s *Server) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	var instance platform.Instance
	if !readJSON(w, r, &instance) {
		return
	}
	writeReply(w, struct{}{}, s.Announce(r.Context(), instance))
}

func (s *Server) serveFaults(w http.ResponseWriter, _ *http.Request) {
	writeReply(w, s.Faults(), nil)
}

func (s *Server) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !readJSON(w, r, &faults) {
		return
	}
	s.SetFaults(faults)
	writeReply(w, faults, nil)
}

func (s *Server) serveStats(w http.ResponseWriter, _ *http.Request) {
	writeReply(w, s.Stats(), nil)
}

// readJSON decodes the body. If it returns false, it has written an error response.
func readJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, rest.MaxBodyBytes)).Decode(target)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeReply(w http.ResponseWriter, body any, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// writeError writes the HTTP status for the result code of err. For a lost answer it
// aborts the connection.
func writeError(w http.ResponseWriter, err error) {
	switch core.CodeOf(err) {
	case core.CodeStoreOutcomeLost:
		panic(http.ErrAbortHandler)
	case core.CodeStoreConflict:
		http.Error(w, core.DetailOf(err), http.StatusConflict)
	case core.CodeStoreThrottled:
		http.Error(w, core.DetailOf(err), http.StatusTooManyRequests)
	case core.CodeUnknownEntity:
		http.Error(w, core.DetailOf(err), http.StatusNotFound)
	default:
		http.Error(w, core.DetailOf(err), http.StatusServiceUnavailable)
	}
}
