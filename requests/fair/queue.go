// Package fair queues requests at an entry. Teams share the capacity by
// weighted max-min fairness; within a team higher priorities go first. A
// request that cannot make its deadline is refused at once.
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
	// asked at most once a Tick.
	Capacity func() int
	// MaxQueue bounds the waiting requests of each team.
	MaxQueue int
	// ExpectedRunTime is the time that a request is expected to run before any has ended.
	ExpectedRunTime time.Duration
	// UpdatePeriod is the period in which capacity and deadlines are looked at again.
	UpdatePeriod time.Duration
	// MinRetryAfter and MaxRetryAfter bound the suggested retry delay.
	MinRetryAfter, MaxRetryAfter time.Duration
	// MaxRequeues bounds how often one request may return to the queue.
	MaxRequeues int
	// OutageWait is how long requests wait while no backend server takes any,
	// because servers that load weights are back soon; 0 refuses them at once.
	OutageWait time.Duration
	// Seed makes the jitter of retry delays.
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

// Request is one request that waits for a place.
type Request struct {
	Team core.Team
	// Priority orders requests of one team; higher goes first.
	Priority int
	// Deadline is when the final answer must be out; zero means none.
	Deadline time.Time
	// Objective is until when the request must get a place to be answered on
	// time; zero means that it has none. A request that would miss it is
	// refused when it comes, so that those that wait are in time.
	Objective time.Time
	// Late requests have missed their objective before they came. They get
	// places that no other request waits for.
	Late bool
	// Cost is the request's share of capacity; at least 1.
	Cost int
}

// Stats describes a queue for metrics.
type Stats struct {
	Waiting     int
	Running     int
	Limit       int
	MeanRunTime time.Duration
}

// Queue is safe for concurrent use.
type Queue struct {
	config Config

	mu     sync.Mutex
	state  *state
	polled time.Time
}

// New returns an empty queue.
func New(config Config) *Queue {
	config.applyDefaults()
	random := rand.New(rand.NewPCG(config.Seed, 0))
	return &Queue{config: config, state: newState(config, random)}
}

// Run looks at capacity and deadlines each Tick until ctx ends.
func (q *Queue) Run(ctx context.Context) error {
	ticker := time.NewTicker(q.config.UpdatePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			q.step(func(now time.Time) {})
		}
	}
}

// step runs one change of the state and sends its decisions.
func (q *Queue) step(change func(now time.Time)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.config.Now()
	if q.polled.IsZero() || now.Sub(q.polled) >= q.config.UpdatePeriod {
		q.polled = now
		q.state.setCapacity(now, q.config.Capacity())
		q.state.sweep(now)
	}
	change(now)
	q.state.fill(now)
	q.deliver()
}

func (q *Queue) deliver() {
	for _, d := range q.state.takeDecisions() {
		d.ticket.verdict <- d.err
	}
}

// Acquire waits for a place. The error is a refusal for work that did not run.
func (q *Queue) Acquire(ctx context.Context, item Request) (*Grant, error) {
	var t *ticket
	var err error
	q.step(func(now time.Time) {
		t, err = q.state.offer(now, item)
	})
	if err != nil {
		return nil, err
	}
	grant := &Grant{queue: q, ticket: t}
	return grant, grant.wait(ctx)
}

// Stats returns the queue's state.
func (q *Queue) Stats() Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.state.stats()
}

// Grant is the place of one running request.
type Grant struct {
	queue  *Queue
	ticket *ticket
}

func (g *Grant) wait(ctx context.Context) error {
	select {
	case err := <-g.ticket.verdict:
		return err
	case <-ctx.Done():
	}
	g.queue.step(func(now time.Time) {
		g.queue.state.abandon(now, g.ticket)
	})
	return core.Wrap(ctx.Err(), core.CodeCancelled, core.ExecutionNotRun, "cancelled in the queue")
}

// Release returns the place. ran says that the request used it to the end, so
// that its duration counts. Later calls do nothing.
func (g *Grant) Release(ran bool) {
	g.queue.step(func(now time.Time) {
		g.queue.state.release(now, g.ticket, ran)
	})
}

// Requeue returns the place because the backend servers were full, and waits
// for another one ahead of the team's queue. The error is a refusal; the place
// is then returned for good.
func (g *Grant) Requeue(ctx context.Context) error {
	return g.requeue(ctx, true, g.ticket.item.Deadline)
}

// RequeueUntil returns a place for which no server could be picked, and waits until
// deadline for another one as Requeue does. Nothing is learned of the servers.
func (g *Grant) RequeueUntil(ctx context.Context, deadline time.Time) error {
	return g.requeue(ctx, false, deadline)
}

func (g *Grant) requeue(ctx context.Context, full bool, deadline time.Time) error {
	var err error
	g.queue.step(func(now time.Time) {
		// The capacity that gave the place is out of date.
		g.queue.polled = time.Time{}
		g.ticket.item.Deadline = deadline
		err = g.queue.state.requeue(now, g.ticket, full)
	})
	if err != nil {
		return err
	}
	return g.wait(ctx)
}

// RetryAfter suggests when a request of this team may come back.
func (q *Queue) RetryAfter(team core.Team) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.state.retryAfter(team)
}
