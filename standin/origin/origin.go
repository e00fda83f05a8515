// Package origin is a stand-in for the origin of weights and for the weight
// store: an HTTP server of manifests and chunks with a rate limit, byte counters
// and fault injection. It keeps all content in memory.
package origin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"currantusher.dev/core"
)

const (
	headerDataCentre = "X-Data-Centre"
	maxBodyBytes     = 8 << 20
	// writeSizeBytes is the size of one write of content and the burst of the rate
	// limit.
	writeSizeBytes = 16 << 10
)

// Fault is a kind of fault in the responses to reads.
type Fault string

// Kinds of faults.
const (
	FaultNone Fault = ""
	// FaultThrottle answers 429.
	FaultThrottle Fault = "throttle"
	// FaultError answers 500.
	FaultError Fault = "error"
	// FaultSlow waits for Faults.Delay before it answers.
	FaultSlow Fault = "slow"
	// FaultTruncate sends half of the content and closes the connection.
	FaultTruncate Fault = "lost"
	// FaultCorrupt flips one bit of the content.
	FaultCorrupt Fault = "corrupt"
)

// Faults configures the injected faults of reads.
type Faults struct {
	Fault Fault
	// Every injects the fault into every n-th read; 0 and 1 mean every read.
	Every int
	// Delay is the time before the response with FaultSlow.
	Delay time.Duration
}

// Config configures an Origin.
type Config struct {
	// BytesPerSecond is the rate limit that all clients share; 0 means no limit.
	BytesPerSecond int
	// WaitForBandwidth, if set, is called before each write of content to a client
	// in the data centre and blocks until the bytes may be sent. An error aborts
	// the response.
	WaitForBandwidth func(ctx context.Context, dataCentre core.DataCentre, bytes int) error
}

// Origin is an http.Handler. It is safe for concurrent use.
type Origin struct {
	config  Config
	limiter *rate.Limiter
	mux     *http.ServeMux

	mu        sync.Mutex
	content   map[string][]byte
	sentBytes map[core.DataCentre]int64
	reads     int
	faults    Faults
}

// New returns an empty origin.
func New(config Config) *Origin {
	limit := rate.Inf
	if config.BytesPerSecond > 0 {
		limit = rate.Limit(config.BytesPerSecond)
	}
	o := &Origin{
		config:    config,
		limiter:   rate.NewLimiter(limit, writeSizeBytes),
		mux:       http.NewServeMux(),
		content:   map[string][]byte{},
		sentBytes: map[core.DataCentre]int64{},
	}
	for _, kind := range []string{"manifests", "chunks"} {
		o.mux.HandleFunc("PUT /v1/"+kind+"/{digest}", o.put)
		o.mux.HandleFunc("GET /v1/"+kind+"/{digest}", o.get)
	}
	return o
}

// ServeHTTP implements http.Handler.
func (o *Origin) ServeHTTP(w http.ResponseWriter, r *http.Request) { o.mux.ServeHTTP(w, r) }

// SetFaults replaces the faults of reads.
func (o *Origin) SetFaults(faults Faults) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults = faults
}

// SentBytes returns the number of content bytes sent to each data centre, including
// truncated responses.
func (o *Origin) SentBytes() map[core.DataCentre]int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	sent := make(map[core.DataCentre]int64, len(o.sentBytes))
	for dc, bytes := range o.sentBytes {
		sent[dc] = bytes
	}
	return sent
}

// TotalSentBytes returns the number of content bytes sent to all data centres.
func (o *Origin) TotalSentBytes() int64 {
	var total int64
	for _, bytes := range o.SentBytes() {
		total += bytes
	}
	return total
}

func (o *Origin) put(w http.ResponseWriter, r *http.Request) {
	digest, err := core.ParseDigest(r.PathValue("digest"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	if core.DigestOf(content) != digest {
		http.Error(w, fmt.Sprintf("content does not match %s", digest), http.StatusUnprocessableEntity)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.content[contentKey(r)] = content
}

func contentKey(r *http.Request) string { return strings.TrimPrefix(r.URL.Path, "/v1/") }

func (o *Origin) get(w http.ResponseWriter, r *http.Request) {
	o.mu.Lock()
	content, ok := o.content[contentKey(r)]
	o.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	if r.Method == http.MethodHead {
		return
	}
	faults := o.nextFault()
	switch faults.Fault {
	case FaultThrottle:
		w.Header().Set("Retry-After", "0")
		http.Error(w, "rate limit", http.StatusTooManyRequests)
		return
	case FaultError:
		w.Header().Set("Retry-After", "0")
		http.Error(w, "internal", http.StatusInternalServerError)
		return
	case FaultSlow:
		select {
		case <-time.After(faults.Delay):
		case <-r.Context().Done():
			return
		}
	case FaultCorrupt:
		content = append([]byte(nil), content...)
		content[len(content)/2] ^= 1
	}
	o.send(w, r, content, faults.Fault == FaultTruncate)
}

// nextFault counts a read and returns the fault to inject into it.
func (o *Origin) nextFault() Faults {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reads++
	if o.faults.Every > 1 && o.reads%o.faults.Every != 0 {
		return Faults{}
	}
	return o.faults
}

// send writes content at the allowed rate. If truncate is true, it aborts the
// connection after half of the content.
func (o *Origin) send(w http.ResponseWriter, r *http.Request, content []byte, truncate bool) {
	w.Header().Set("Content-Length", fmt.Sprint(len(content)))
	dc := core.DataCentre(r.Header.Get(headerDataCentre))
	end := len(content)
	if truncate {
		end /= 2
	}
	for from := 0; from < end; from += writeSizeBytes {
		part := content[from:min(from+writeSizeBytes, end)]
		if err := o.waitForBandwidth(r.Context(), dc, len(part)); err != nil {
			panic(http.ErrAbortHandler)
		}
		o.addSentBytes(dc, len(part))
		if _, err := w.Write(part); err != nil {
			return
		}
	}
	if truncate {
		panic(http.ErrAbortHandler)
	}
}

func (o *Origin) waitForBandwidth(ctx context.Context, dc core.DataCentre, bytes int) error {
	if err := o.limiter.WaitN(ctx, bytes); err != nil {
		return err
	}
	if o.config.WaitForBandwidth == nil {
		return nil
	}
	return o.config.WaitForBandwidth(ctx, dc, bytes)
}

func (o *Origin) addSentBytes(dc core.DataCentre, bytes int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sentBytes[dc] += int64(bytes)
}
