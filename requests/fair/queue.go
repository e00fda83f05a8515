// Package fair queues requests at an entry. Teams share the capacity by
// weighted max-min fairness; within a team, requests of higher priority go
// first. A request that cannot meet its deadline is refused immediately.
package fair

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"currantusher.dev/core"
)

// Defaults of Config.
const (
	DefaultMaxQueue        = 256
	DefaultExpectedRunTime = 200 * time.Millisecond
	DefaultUpdatePeriod    = 20 * time.Millisecond
	DefaultMinRetryAfter   = 100 * time.Millisecond
	DefaultMaxRetryAfter   = 30 * time.Second
	DefaultMaxRequeues     = 16
)

// Config holds the settings of a Queue.
type Config struct {
	// Weights returns a team's share relative to other teams, at least 1.
	Weights func(core.Team) int
	// Capacity returns how many requests this entry may run at once. It is
	// called at most once per UpdatePeriod and at the end of a closure.
	Capacity func() int
	// Closure returns the closure of all servers, or nil; it is called with Capacity.
	// During a closure requests are refused immediately.
	Closure func() *Closure
	// MaxQueue bounds the waiting requests of each team.
	MaxQueue int
	// ExpectedRunTime is the initial estimate of the mean run time of a request.
	ExpectedRunTime time.Duration
	// UpdatePeriod is the period in which capacity and deadlines are re-evaluated.
	UpdatePeriod time.Duration
	// MinRetryAfter and MaxRetryAfter bound the retry delay of refusals before
	// jitter.
	MinRetryAfter, MaxRetryAfter time.Duration
	// MaxWaitFraction is the fraction of the time to its deadline for which the caller
	// of a refused request waits before it sends the request again; 0 if unknown.
	MaxWaitFraction float64
	// MaxRequeues bounds how often one request may return to the queue.
	MaxRequeues int
	// ShedsLoad reports whether requests are served on time or refused: late requests get
	// only the slots that on-time requests are not expected to need, requests of equal
	// priority are ordered by their objective, and callers return at the rate at which late
	// requests are served. It is called with Capacity; nil means never.
	ShedsLoad func() bool
	// UsualCost is the Cost of a usual request, which is charged like one slot; 0 means 1.
	UsualCost int
	// OutageWait is how long requests wait while there is no capacity, since
	// servers that load weights accept requests again soon; 0 refuses requests
	// immediately.
	OutageWait time.Duration
	// Seed is the seed of the jitter of retry delays.
	Seed uint64
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

func (c *Config) applyDefaults() {
	if c.Weights == nil {
		c.Weights = func(core.Team) int { return 1 }
	}
	if c.Capacity == nil {
		c.Capacity = func() int { return 1 }
	}
	if c.Closure == nil {
		c.Closure = func() *Closure { return nil }
	}
	if c.MaxQueue <= 0 {
		c.MaxQueue = DefaultMaxQueue
	}
	if c.ExpectedRunTime <= 0 {
		c.ExpectedRunTime = DefaultExpectedRunTime
	}
	if c.UpdatePeriod <= 0 {
		c.UpdatePeriod = DefaultUpdatePeriod
	}
	if c.MinRetryAfter <= 0 {
		c.MinRetryAfter = DefaultMinRetryAfter
	}
	if c.MaxRetryAfter < c.MinRetryAfter {
		c.MaxRetryAfter = max(DefaultMaxRetryAfter, c.MinRetryAfter)
	}
	if c.MaxRequeues <= 0 {
		c.MaxRequeues = DefaultMaxRequeues
	}
	if c.Now == nil {
		c.Now = time.Now
	}
}

// Request describes a request to be queued.
type Request struct {
	Team core.Team
	// Priority orders the requests of a team; higher values go first.
	Priority int
	// Deadline is when the final answer must be complete; zero means none.
	Deadline time.Time
	// CallerDeadline is when the caller gives up; zero means at Deadline. A caller waits for
	// a part of this time before it returns, also if Deadline is the earlier time at which
	// it expects the answer to begin.
	CallerDeadline time.Time
	// StartBy is the latest time at which the request may get a slot to meet
	// its latency objective; zero means none. A request that would miss it is
	// refused on arrival, so that the requests already waiting can meet theirs.
	StartBy time.Time
	// Late marks a request that missed its objective before it arrived. It gets a
	// slot only when no request that is not late is waiting.
	Late bool
	// Cost is the amount charged to the team for a slot; 0 means Config.UsualCost.
	Cost int
}

// Stats is a snapshot of a queue for metrics.
type Stats struct {
	Waiting     int
	Running     int
	Limit       int
	MeanRunTime time.Duration
	// LateLimit is the number of running requests from which a late one gets no slot. If
	// ShedsLoad is set, it is the number of late requests that may run at once.
	LateLimit   int
	ShedsLoad   bool
	RunningLate int
	// OnTimeRate is the rate of arrivals that may still meet their objective, in requests a
	// second, if ShedsLoad is set.
	OnTimeRate float64
	// HeldBack is the number of late requests so far that waited although a slot was free,
	// and Refusals that of refusals by reason.
	HeldBack int64
	Refusals map[RefusalReason]int64
}

// Queue grants slots to requests. It is safe for concurrent use.
type Queue struct {
	config Config

	mu         sync.Mutex
	state      *state
	lastUpdate time.Time
}

// New returns an empty queue.
func New(config Config) *Queue {
	config.applyDefaults()
	random := rand.New(rand.NewPCG(config.Seed, 0))
	return &Queue{config: config, state: newState(config, random)}
}

// Run re-evaluates capacity and deadlines every UpdatePeriod until ctx ends.
func (q *Queue) Run(ctx context.Context) error {
	ticker := time.NewTicker(q.config.UpdatePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			q.Update()
		}
	}
}

// update applies a change to the state and delivers the resulting decisions.
func (q *Queue) update(change func(now time.Time)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.config.Now()
	if q.lastUpdate.IsZero() || now.Sub(q.lastUpdate) >= q.config.UpdatePeriod || q.state.hasReopened(now) {
		q.lastUpdate = now
		q.state.setCapacity(now, q.config.Capacity())
		q.state.setClosure(now, q.config.Closure())
		q.state.shed.enabled = q.config.ShedsLoad != nil && q.config.ShedsLoad()
		q.state.sweep(now)
	}
	change(now)
	q.state.grantSlots(now)
	q.deliver()
}

func (q *Queue) deliver() {
	for _, d := range q.state.takeDecisions() {
		d.ticket.result <- d.err
	}
}

// Acquire waits for a slot. On error the request was refused or ctx ended, and
// its work did not run.
func (q *Queue) Acquire(ctx context.Context, request Request) (*Grant, error) {
	grant, err := q.Enqueue(request)
	if err != nil {
		return nil, err
	}
	return grant, grant.wait(ctx)
}

// Enqueue adds a request without waiting for its slot; Grant.Decision tells when it has
// one. On error the request was refused.
func (q *Queue) Enqueue(request Request) (*Grant, error) {
	var t *ticket
	var err error
	q.update(func(now time.Time) {
		t, err = q.state.enqueue(now, request)
	})
	if err != nil {
		return nil, err
	}
	return &Grant{queue: q, ticket: t}, nil
}

// Update grants slots, and re-evaluates capacity and deadlines if UpdatePeriod has
// passed.
func (q *Queue) Update() { q.update(func(time.Time) {}) }

// Refresh makes the next call read the capacity and the closure again.
func (q *Queue) Refresh() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastUpdate = time.Time{}
}

// Stats returns a snapshot of the queue.
func (q *Queue) Stats() Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.state.stats(q.config.Now())
}

// Grant is the slot of one running request.
type Grant struct {
	queue  *Queue
	ticket *ticket
}

// Decision delivers nil when the queued request gets its slot, or the refusal.
func (g *Grant) Decision() <-chan error { return g.ticket.result }

func (g *Grant) wait(ctx context.Context) error {
	select {
	case err := <-g.ticket.result:
		return err
	case <-ctx.Done():
	}
	g.queue.update(func(now time.Time) {
		g.queue.state.cancel(now, g.ticket)
	})
	return core.Wrap(ctx.Err(), core.CodeCancelled, core.ExecutionNotRun, "request was cancelled while queued")
}

// Release returns the slot. ran reports whether the request ran to completion,
// so that its duration updates the mean run time. Later calls do nothing.
func (g *Grant) Release(ran bool) {
	g.queue.update(func(now time.Time) {
		g.queue.state.release(now, g.ticket, ran)
	})
}

// Requeue returns the slot because the backend servers were full, and waits for
// another slot at the head of the team's queue. On error the request was refused
// or ctx ended, and it holds no slot.
func (g *Grant) Requeue(ctx context.Context) error {
	if err := g.StartRequeue(true, g.ticket.request.Deadline); err != nil {
		return err
	}
	return g.wait(ctx)
}

// RequeueUntil returns a slot for which no server could be picked, and waits for
// another slot like Requeue, but until deadline. It does not shrink the
// concurrency window, since no server refused the request.
func (g *Grant) RequeueUntil(ctx context.Context, deadline time.Time) error {
	if err := g.StartRequeue(false, deadline); err != nil {
		return err
	}
	return g.wait(ctx)
}

// Begun tells that the caller has got the first byte of the answer. Where load is shed, the
// request then waits for its next slot like one on time, whatever its StartBy, since the
// caller already waits for the rest.
func (g *Grant) Begun() {
	g.queue.mu.Lock()
	defer g.queue.mu.Unlock()
	if g.queue.state.shed.enabled {
		g.ticket.request.StartBy, g.ticket.request.Late = time.Time{}, false
	}
}

// Yield returns the slot, calls wait and, if that returns true, waits for another slot like
// RequeueUntil. The request holds a slot only if isReady is true; err is nil if wait returned
// false.
func (g *Grant) Yield(ctx context.Context, deadline time.Time, wait func() bool) (isReady bool, err error) {
	g.Release(false)
	if !wait() {
		return false, nil
	}
	g.queue.update(func(now time.Time) {
		g.ticket.request.Deadline = deadline
		err = g.queue.state.readmit(now, g.ticket)
	})
	if err != nil {
		return false, err
	}
	err = g.wait(ctx)
	return err == nil, err
}

// StartRequeue returns the slot and queues the request again until deadline, without
// waiting; see Decision. serversFull reports whether the servers refused the request.
func (g *Grant) StartRequeue(serversFull bool, deadline time.Time) error {
	var err error
	g.queue.update(func(now time.Time) {
		// Read the capacity again: the value that led to the grant is stale.
		g.queue.lastUpdate = time.Time{}
		g.ticket.request.Deadline = deadline
		err = g.queue.state.requeue(now, g.ticket, serversFull)
	})
	return err
}

// RetryAfter returns the delay after which a request of the team may be retried.
func (q *Queue) RetryAfter(team core.Team) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.state.retryAfter(team)
}
