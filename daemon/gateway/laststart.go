package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/grace"
)

// routeDurations holds how long the last requests of each route took. It is safe for
// concurrent use.
type routeDurations struct {
	mu     sync.Mutex
	routes map[core.RouteName]*grace.Durations
}

func newRouteDurations() *routeDurations {
	return &routeDurations{routes: map[core.RouteName]*grace.Durations{}}
}

func (r *routeDurations) add(route core.RouteName, duration time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.routes[route] == nil {
		r.routes[route] = &grace.Durations{}
	}
	r.routes[route].Add(duration)
}

func (r *routeDurations) of(route core.RouteName) grace.Durations {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.routes[route] == nil {
		return grace.Durations{}
	}
	return r.routes[route].Clone()
}

// lastStart returns the latest time at which this entry, which leaves, may send a call to
// a server.
func (g *Gateway) lastStart(schedule grace.Schedule, c *call) time.Time {
	return schedule.LastStart(grace.Request{
		Deadline:   c.deadline,
		Repeatable: c.route.IsRepeatable(),
		Stream:     c.route.Kind == fleet.RouteStreaming,
		Objective:  c.route.LatencyObjective,
		Predicted:  c.predicted,
		Durations:  g.durations.of(c.route.Name),
	})
}

// isTooLate reports whether this entry leaves and a call that is sent to a server now could
// not be answered before.
func (g *Gateway) isTooLate(c *call) bool {
	schedule := g.schedule.Load()
	return schedule != nil && time.Now().After(g.lastStart(*schedule, c))
}

// atLastStart calls act once this entry leaves and it is too late to send a call to a
// server. act is not called after stop, which reports whether it was, has returned.
func (g *Gateway) atLastStart(c *call, act func()) (stop func() bool) {
	var mu sync.Mutex
	var timer *time.Timer
	isStopped, wasCalled := false, false
	guarded := func() {
		mu.Lock()
		defer mu.Unlock()
		if !isStopped {
			wasCalled = true
			act()
		}
	}
	keep := context.AfterFunc(g.leaveBegun, func() {
		mu.Lock()
		defer mu.Unlock()
		if isStopped {
			return
		}
		timer = time.AfterFunc(time.Until(g.lastStart(*g.schedule.Load(), c)), guarded)
	})
	return func() bool {
		keep()
		mu.Lock()
		defer mu.Unlock()
		isStopped = true
		if timer != nil {
			timer.Stop()
		}
		return wasCalled
	}
}

// closeIfLeaving makes the caller use another entry for its next request.
func (g *Gateway) closeIfLeaving(w http.ResponseWriter) {
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
}

// leaveDecision names what a leaving entry did with a call, for logs and metrics.
func (o *outcome) leaveDecision() string {
	switch {
	case o.stopCause == errTooLate && o.status == http.StatusServiceUnavailable:
		return "refused_late"
	case o.stopCause != nil:
		return "stopped"
	case o.err != nil:
		return "failed"
	default:
		return "answered"
	}
}
