// Package stall detects backend servers that have stopped sending. A server sends an
// event on each active stream every few dozen milliseconds. When it sends nothing
// on any stream for much longer, it may have failed, be unreachable or go on soon. Other
// servers can then be asked to continue its requests long before their own timeouts. The
// package has no clock.
package stall

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"currantusher.dev/core"
)

// MinTimeout is the least time without data after which a server with active streams
// counts as stalled.
const MinTimeout = 450 * time.Millisecond

// Detector tracks the requests at all servers. It is safe for concurrent use.
type Detector struct {
	mu      sync.Mutex
	servers map[core.InstanceID]*serverActivity
}

type serverActivity struct {
	// lastActivity is when data last arrived on any request.
	lastActivity time.Time
	// lastDataAt is lastActivity without the restarts of TakeStalled.
	lastDataAt time.Time
	// timeout is the time without data after which the server counts as stalled.
	timeout time.Duration
	// activeStreams counts the requests that have received data.
	activeStreams int
	// isStalled is set from TakeStalled until data arrives.
	isStalled bool
	requests  map[*TrackedRequest]bool
}

// TrackedRequest is one request in progress at a server.
type TrackedRequest struct {
	detector    *Detector
	id          core.InstanceID
	report      func()
	hasActivity bool
}

// StalledServer is a server that has stopped sending.
type StalledServer struct {
	Server core.InstanceID
	// IdleTime is the time since data last arrived.
	IdleTime time.Duration
	// Reports report the stall to the requests at the server that other servers can
	// continue.
	Reports []func()
}

// NewDetector returns a Detector without requests.
func NewDetector() *Detector { return &Detector{servers: map[core.InstanceID]*serverActivity{}} }

// Track starts to track a request that was sent to a server, which counts as stalled
// after timeout, but at least MinTimeout, without data. report is for StalledServer; it is
// nil for requests that cannot continue at another server.
func (d *Detector) Track(now time.Time, id core.InstanceID, timeout time.Duration, report func()) *TrackedRequest {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.servers[id]
	if s == nil {
		s = &serverActivity{lastActivity: now, lastDataAt: now, requests: map[*TrackedRequest]bool{}}
		d.servers[id] = s
	}
	s.timeout = max(timeout, MinTimeout)
	request := &TrackedRequest{detector: d, id: id, report: report}
	s.requests[request] = true
	return request
}

// RecordActivity records that a part of the answer arrived. It reports whether the server
// was stalled until now.
func (r *TrackedRequest) RecordActivity(now time.Time) (resumed bool) {
	r.detector.mu.Lock()
	defer r.detector.mu.Unlock()
	s := r.detector.servers[r.id]
	if s == nil || !s.requests[r] {
		return false
	}
	s.lastActivity, s.lastDataAt = now, now
	if !r.hasActivity {
		r.hasActivity = true
		s.activeStreams++
	}
	resumed, s.isStalled = s.isStalled, false
	return resumed
}

// Suspend marks a stream that is not read for a while. It counts as active again with the
// next data.
func (r *TrackedRequest) Suspend() {
	r.detector.mu.Lock()
	defer r.detector.mu.Unlock()
	s := r.detector.servers[r.id]
	if s == nil || !s.requests[r] || !r.hasActivity {
		return
	}
	r.hasActivity = false
	s.activeStreams--
}

// Close stops tracking the request. Later calls do nothing.
func (r *TrackedRequest) Close() {
	r.detector.mu.Lock()
	defer r.detector.mu.Unlock()
	s := r.detector.servers[r.id]
	if s == nil || !s.requests[r] {
		return
	}
	delete(s.requests, r)
	if r.hasActivity {
		s.activeStreams--
	}
	if len(s.requests) == 0 {
		delete(r.detector.servers, r.id)
	}
}

// ResetTimers restarts the timeouts of all servers. It is called after this
// process itself was paused.
func (d *Detector) ResetTimers(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.servers {
		s.lastActivity, s.lastDataAt = now, now
	}
}

// Silence returns for how long a server with requests has sent nothing, or 0 if that is less
// than its timeout. Unlike a stalled server, it may be reading the prompts of all of them.
func (d *Detector) Silence(now time.Time, id core.InstanceID) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.servers[id]
	if s == nil || now.Sub(s.lastDataAt) < s.timeout {
		return 0
	}
	return now.Sub(s.lastDataAt)
}

// TakeStalled returns the servers that are stalled and restarts their timeouts.
func (d *Detector) TakeStalled(now time.Time) []StalledServer {
	d.mu.Lock()
	defer d.mu.Unlock()
	var found []StalledServer
	for id, s := range d.servers {
		idleTime := now.Sub(s.lastActivity)
		if s.activeStreams == 0 || idleTime < s.timeout {
			continue
		}
		stalled := StalledServer{Server: id, IdleTime: idleTime}
		for request := range s.requests {
			if request.report != nil {
				stalled.Reports = append(stalled.Reports, request.report)
			}
		}
		s.lastActivity, s.isStalled = now, true
		found = append(found, stalled)
	}
	slices.SortFunc(found, func(a, b StalledServer) int { return cmp.Compare(a.Server, b.Server) })
	return found
}
