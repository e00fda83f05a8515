package quarantine

import (
	"context"
	"errors"
	"math"
	"sync"
	"syscall"
	"time"

	"currantusher.dev/core/fleet"
	"currantusher.dev/core/pause"
	"currantusher.dev/requests/notices"
)

const (
	// confirmDelay is the time from the loss of a connection to the check of the server,
	// in which a process that ends closes its listener too.
	confirmDelay = 20 * time.Millisecond
	// maxWaiting bounds the requests of a running check.
	maxWaiting = 768
)

// Confirmer tells crashes from lost connections: it connects to the server again. One
// that refuses has ended; one that accepts has only dropped a connection. One that does
// not respond may be cut off, which says nothing.
type Confirmer struct {
	dial   func(ctx context.Context, addr string) error
	report func(server notices.Lifetime, at time.Time, waiting []fleet.Suspect)

	mu      sync.Mutex
	checks  map[notices.Lifetime]*check
	crashed map[notices.Lifetime]time.Time
}

// check is a running check of a server.
type check struct {
	at      time.Time
	waiting []waitingRequest
}

// waitingRequest is a request that waited at a server.
type waitingRequest struct {
	id     string
	traits []fleet.Trait
}

// suspects returns the suspects of all waiting requests.
func (c *check) suspects() []fleet.Suspect {
	var list []fleet.Suspect
	for _, w := range c.waiting {
		list = append(list, suspects(w.id, w.traits)...)
	}
	return list
}

// NewConfirmer returns a Confirmer that connects with dial and calls report with the
// requests that waited at a crashed server, more than once if their connections end one
// after the other.
func NewConfirmer(dial func(ctx context.Context, addr string) error, report func(server notices.Lifetime, at time.Time, waiting []fleet.Suspect)) *Confirmer {
	return &Confirmer{dial: dial, report: report, checks: map[notices.Lifetime]*check{}, crashed: map[notices.Lifetime]time.Time{}}
}

// Lost handles the end of a connection by a server before the answer to a request with
// these traits began.
func (c *Confirmer) Lost(ctx context.Context, now time.Time, server notices.Lifetime, addr, requestID string, traits []fleet.Trait) {
	if len(traits) == 0 {
		return
	}
	crashedAt, isKnown, isFirst := c.add(now, server, waitingRequest{id: requestID, traits: traits})
	switch {
	case isKnown:
		c.report(server, crashedAt, suspects(requestID, traits))
	case isFirst:
		go c.check(context.WithoutCancel(ctx), server, addr)
	}
}

// add adds a request to the check of a server. It reports whether the server is known to
// have crashed just now instead, and whether the check is to be started.
func (c *Confirmer) add(now time.Time, server notices.Lifetime, waiting waitingRequest) (crashedAt time.Time, isKnown, isFirst bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropOldCrashes(now)
	if at, ok := c.crashed[server]; ok {
		return at, true, false
	}
	if running := c.checks[server]; running != nil {
		if len(running.waiting) < maxWaiting {
			running.waiting = append(running.waiting, waiting)
		}
		return time.Time{}, false, false
	}
	c.checks[server] = &check{at: now, waiting: []waitingRequest{waiting}}
	return time.Time{}, false, true
}

func suspects(requestID string, traits []fleet.Trait) []fleet.Suspect {
	list := make([]fleet.Suspect, len(traits))
	for i, p := range traits {
		list[i] = fleet.Suspect{Trait: p, Request: hashRequest(requestID), Position: uint8(min(i, math.MaxUint8))}
		if p.IsRequest() {
			list[i].Position = math.MaxUint8
		}
	}
	return list
}

func (c *Confirmer) dropOldCrashes(now time.Time) {
	for server, at := range c.crashed {
		if now.Sub(at) > mergePeriod {
			delete(c.crashed, server)
		}
	}
}

func (c *Confirmer) check(ctx context.Context, server notices.Lifetime, addr string) {
	pause.For(ctx, confirmDelay)
	err := c.dial(ctx, addr)
	hasCrashed := errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	if done := c.end(server, hasCrashed); hasCrashed {
		c.report(server, done.at, done.suspects())
	}
}

func (c *Confirmer) end(server notices.Lifetime, hasCrashed bool) *check {
	c.mu.Lock()
	defer c.mu.Unlock()
	done := c.checks[server]
	delete(c.checks, server)
	if hasCrashed {
		c.crashed[server] = done.at
	}
	return done
}
