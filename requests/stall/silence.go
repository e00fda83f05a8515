// Package stall finds backend servers that fell silent. One that makes
// streams sends an event of each every few dozen milliseconds; when nothing
// comes on any of them for much longer, it is lost or cut off, and its requests
// go on elsewhere long before their own time-outs. Watch has no clock.
package stall

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"currantusher.dev/core"
)

// Timeout is how long a server with streams sends nothing until it counts as
// silent. An engine at its limits makes an event of each stream every 0.15 s.
const Timeout = 450 * time.Millisecond

// Detector is safe for concurrent use.
type Detector struct {
	mu      sync.Mutex
	servers map[core.InstanceID]*server
}

type server struct {
	// heard is when the last byte came on any line.
	heard time.Time
	// streams counts the lines on which something has come.
	streams int
	lines   map[*TrackedRequest]bool
}

// TrackedRequest is one request at a server.
type TrackedRequest struct {
	watch   *Detector
	id      core.InstanceID
	cancel  func()
	streams bool
}

// StalledServer is a server that fell silent.
type StalledServer struct {
	Server core.InstanceID
	// IdleTime is how long nothing came.
	IdleTime time.Duration
	// Cancels give up the requests at the server, so that they go on elsewhere.
	Cancels []func()
}

// NewDetector returns a Watch that knows no server.
func NewDetector() *Detector { return &Detector{servers: map[core.InstanceID]*server{}} }

// Track notes a request that was sent to a server. cancel gives it up when the
// server falls silent; nil keeps it, since it may run once only.
func (w *Detector) Track(now time.Time, id core.InstanceID, cancel func()) *TrackedRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.servers[id]
	if s == nil {
		s = &server{heard: now, lines: map[*TrackedRequest]bool{}}
		w.servers[id] = s
	}
	line := &TrackedRequest{watch: w, id: id, cancel: cancel}
	s.lines[line] = true
	return line
}

// RecordActivity notes that a part of the answer came.
func (l *TrackedRequest) RecordActivity(now time.Time) {
	l.watch.mu.Lock()
	defer l.watch.mu.Unlock()
	s := l.watch.servers[l.id]
	if s == nil || !s.lines[l] {
		return
	}
	s.heard = now
	if !l.streams {
		l.streams = true
		s.streams++
	}
}

// Close notes that the request ended. Later calls do nothing.
func (l *TrackedRequest) Close() {
	l.watch.mu.Lock()
	defer l.watch.mu.Unlock()
	s := l.watch.servers[l.id]
	if s == nil || !s.lines[l] {
		return
	}
	delete(s.lines, l)
	if l.streams {
		s.streams--
	}
	if len(s.lines) == 0 {
		delete(l.watch.servers, l.id)
	}
}

// ResetTimers starts all waits anew, after this process itself was held up.
func (w *Detector) ResetTimers(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers {
		s.heard = now
	}
}

// TakeStalled returns the servers that are silent. Each is returned again only after
// another time of silence.
func (w *Detector) TakeStalled(now time.Time) []StalledServer {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []StalledServer
	for id, s := range w.servers {
		quiet := now.Sub(s.heard)
		if s.streams == 0 || quiet < Timeout {
			continue
		}
		silent := StalledServer{Server: id, IdleTime: quiet}
		for line := range s.lines {
			if line.cancel != nil {
				silent.Cancels = append(silent.Cancels, line.cancel)
			}
		}
		s.heard = now
		found = append(found, silent)
	}
	slices.SortFunc(found, func(a, b StalledServer) int { return cmp.Compare(a.Server, b.Server) })
	return found
}
