package site

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"currantusher.dev/platform/headers"
	"currantusher.dev/platform/records"
)

const seal = "3e1b.07.5a2.600.0.c9f2a4d1"

// Worker is a server. It runs each request and answers after WorkTime, with a stream of events
// if it has a model.
type Worker struct {
	ID, Service, Zone string
	// Model is the model that it has loaded, or empty.
	Model    string
	Slots    int
	WorkTime time.Duration
	// OnRun is called when the worker begins to run a request, with its body. It returns
	// true if the worker crashes then.
	OnRun func(w *Worker, r *http.Request, body []byte) (crashes bool)
	// Extra returns header fields of an answer beside those of all answers; nil for none.
	Extra func(r *http.Request) http.Header
	// Unlisted is set if the worker writes no row.
	Unlisted bool

	deployment *Deployment
	addr       string

	mu      sync.Mutex
	up      bool
	stopped bool
	born    int64
	server  *http.Server
}

// AddWorker starts a worker at an address of its own.
func (d *Deployment) AddWorker(w *Worker) error {
	w.deployment = d
	if w.addr == "" {
		w.addr = d.addr(fmt.Sprintf("127.0.92.%d", len(d.Workers)+1), callerPort)
	}
	if err := w.Start(); err != nil {
		return err
	}
	d.Workers = append(d.Workers, w)
	return nil
}

// Addr returns the worker's address.
func (w *Worker) Addr() string { return w.addr }

// Start starts a new lifetime under the worker's id.
func (w *Worker) Start() error {
	listener, err := net.Listen("tcp", w.addr)
	if err != nil {
		return err
	}
	w.mu.Lock()
	if w.stopped {
		w.mu.Unlock()
		return listener.Close()
	}
	w.up, w.born = true, time.Now().UnixMilli()
	w.server = &http.Server{Handler: w}
	server := w.server
	w.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	w.writeRow()
	return nil
}

// Crash ends the lifetime without a word: the listener and all connections close.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.up {
		w.up = false
		_ = w.server.Close()
	}
}

// CrashFor crashes the worker and starts it again after a time.
func (w *Worker) CrashFor(duration time.Duration) {
	w.Crash()
	time.AfterFunc(duration, func() {
		if err := w.Start(); err != nil {
			w.deployment.Record.Add("worker %s does not start again: %v", w.ID, err)
			return
		}
		w.deployment.Record.Add("worker %s is back", w.ID)
	})
}

// Stop ends the worker for good.
func (w *Worker) Stop() {
	w.mu.Lock()
	w.stopped = true
	w.mu.Unlock()
	w.Crash()
}

// IsUp reports whether the worker runs.
func (w *Worker) IsUp() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.up
}

func (w *Worker) writeRow() {
	w.mu.Lock()
	up, born := w.up, w.born
	w.mu.Unlock()
	if !up || w.Unlisted {
		return
	}
	fields := map[string]any{
		"service": w.Service, "address": w.addr, "zone": w.Zone, "version": "v1", "slots": w.Slots,
		"state": "ready", fieldCold: 0, "seq": 0, "born": born,
	}
	if w.Model != "" {
		fields["stage"] = "both"
		fields["models"] = []map[string]any{{"name": w.Model, "version": 1, "adapters": []string{}}}
	}
	row, err := json.Marshal(fields)
	if err != nil {
		panic(err)
	}
	w.deployment.Store.Put(records.TableServers, w.ID, row)
}

// fieldCold is the field of a server's row with the rest of its cold time. A test of the project
// permits the platform's names in whole only within platform/.
const fieldCold = "cold" + "LeftMs"

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	names := headers.Names()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	header := rw.Header()
	header.Set(names.RequestID, r.Header.Get(names.RequestID))
	if want := r.Header.Get(names.ExpectServer); want != "" && want != w.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if w.OnRun != nil && w.OnRun(w, r, body) {
		return
	}
	time.Sleep(w.WorkTime)
	if w.Extra != nil {
		for name, values := range w.Extra(r) {
			header[name] = values
		}
	}
	header.Set(names.Signature, seal)
	if w.Model != "" {
		w.stream(rw)
		return
	}
	header.Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(rw, `{"ran":%q,"by":%q}`, r.Header.Get(names.RequestID), w.ID)
}

const (
	eventCount    = 6
	eventInterval = 20 * time.Millisecond
)

// stream writes the events of an answer.
func (w *Worker) stream(rw http.ResponseWriter) {
	header := rw.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set(headers.Names().WeightsVersion, "1")
	for i := range eventCount {
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: token\n\n", i+1); err != nil {
			return
		}
		if err := http.NewResponseController(rw).Flush(); err != nil {
			return
		}
		time.Sleep(eventInterval)
	}
}
