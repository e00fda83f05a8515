// Package silence finds backend servers that fell silent. One that makes
// streams sends an event of each every few dozen milliseconds; when nothing
// comes on any of them for much longer, it is lost or cut off, and its requests
// go on elsewhere long before their own time-outs. Watch has no clock.
package silence

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"currantusher.dev/core"
)

// After is how long a server with streams sends nothing until it counts as
// silent. An engine at its limits makes an event of each stream every 0.15 s.
const After = 450 * time.Millisecond

// Watch is safe for concurrent use.
type Watch struct {
	mu      sync.Mutex
	servers map[core.InstanceID]*server
}

type server struct {
	// heard is when the last byte came on any line.
	heard time.Time
	// streams counts the lines on which something has come.
	streams int
	lines   map[*Line]bool
}

// Line is one request at a server.
type Line struct {
	watch   *Watch
	id      core.InstanceID
	cancel  func()
	streams bool
}

// Silent is a server that fell silent.
type Silent struct {
	Server core.InstanceID
	// For is how long nothing came.
	For time.Duration
	// Cancels give up the requests at the server, so that they go on elsewhere.
	Cancels []func()
}

// NewWatch returns a Watch that knows no server.
func NewWatch() *Watch { return &Watch{servers: map[core.InstanceID]*server{}} }

// Open notes a request that was sent to a server. cancel gives it up when the
// server falls silent; nil keeps it, since it may run once only.
func (w *Watch) Open(now time.Time, id core.InstanceID, cancel func()) *Line {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.servers[id]
	if s == nil {
		s = &server{heard: now, lines: map[*Line]bool{}}
		w.servers[id] = s
	}
	line := &Line{watch: w, id: id, cancel: cancel}
	s.lines[line] = true
	return line
}

// Heard notes that a part of the answer came.
func (l *Line) Heard(now time.Time) {
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
func (l *Line) Close() {
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

// Resume starts all waits anew, after this process itself was held up.
func (w *Watch) Resume(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers {
		s.heard = now
	}
}

// Take returns the servers that are silent. Each is returned again only after
// another time of silence.
func (w *Watch) Take(now time.Time) []Silent {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []Silent
	for id, s := range w.servers {
		quiet := now.Sub(s.heard)
		if s.streams == 0 || quiet < After {
			continue
		}
		silent := Silent{Server: id, For: quiet}
		for line := range s.lines {
			if line.cancel != nil {
				silent.Cancels = append(silent.Cancels, line.cancel)
			}
		}
		s.heard = now
		found = append(found, silent)
	}
	slices.SortFunc(found, func(a, b Silent) int { return cmp.Compare(a.Server, b.Server) })
	return found
}
