package loader

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"currantusher.dev/core/clock"
	"currantusher.dev/core/fleet"
	"currantusher.dev/core/httpcall"
	"currantusher.dev/members/gossip"
	"currantusher.dev/tables/versionages"
	"currantusher.dev/tables/watch"
)

const (
	// ageExchangePeriod is the mean time between two exchanges of versions' ages while one
	// has been configured recently.
	ageExchangePeriod = time.Second
	// ageRetryPeriod is the same after an exchange in which no entry replied: entries that
	// have just started refuse callers until they know the ages.
	ageRetryPeriod = 200 * time.Millisecond
	// ageExchangeEntries is the number of entries of each exchange. Others learn the ages
	// from them.
	ageExchangeEntries = 2
)

// ageExchange exchanges the ages of versions with entries for as long as the newest version
// may not have to be in force yet: this agent may have read it late, and entries that have
// restarted do not know its age.
type ageExchange struct {
	// inForceWithin is the time after which a version must be in force, and how long ages
	// are exchanged after one was read.
	inForceWithin time.Duration
	clock         *clock.Clock
	client        *versionages.Client
	// follower is set before run is called.
	follower *watch.Follower
	// entries returns the entries of the deployment.
	entries func(context.Context) []gossip.Member
	// onReply is called with each entry that replies. It never blocks.
	onReply func(gossip.Member)
	log     *logrus.Entry
	// versionRead has an item after a version was read.
	versionRead chan struct{}

	mu     sync.Mutex
	newest map[fleet.Model]fleet.WeightsVersion
	until  time.Time
	// failing is true if no entry replied in the last exchange.
	failing bool
}

func newAgeExchange(inForceWithin time.Duration, clock *clock.Clock, entries func(context.Context) []gossip.Member, onReply func(gossip.Member), faults *httpcall.Faults, log *logrus.Entry) *ageExchange {
	return &ageExchange{
		inForceWithin: inForceWithin, clock: clock, client: versionages.NewClient(faults), entries: entries, onReply: onReply, log: log,
		versionRead: make(chan struct{}, 1), newest: map[fleet.Model]fleet.WeightsVersion{},
	}
}

// onChange handles a new view of the tables. It never blocks.
func (e *ageExchange) onChange(view *watch.View) {
	if !e.noteVersions(view) {
		return
	}
	select {
	case e.versionRead <- struct{}{}:
	default:
	}
}

// noteVersions reports whether a view has a newer version than those before.
func (e *ageExchange) noteVersions(view *watch.View) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	hasNewer := false
	for model := range view.Targets {
		if version := view.NewestTarget(model).Version; version > e.newest[model] {
			e.newest[model], hasNewer = version, true
		}
	}
	if hasNewer {
		e.until = e.clock.Now().Add(e.inForceWithin)
	}
	return hasNewer
}

func (e *ageExchange) run(ctx context.Context) error {
	timer := time.NewTimer(e.nextExchangeIn())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-e.versionRead:
		}
		if e.isActive() {
			e.exchange(ctx)
		}
		timer.Reset(e.nextExchangeIn())
	}
}

// nextExchangeIn returns a random time, so that agents that start together do not leave the
// entries without an exchange for a whole period.
func (e *ageExchange) nextExchangeIn() time.Duration {
	period := ageExchangePeriod
	if e.isActive() && e.hasFailed() {
		period = ageRetryPeriod
	}
	return period/2 + rand.N(period)
}

func (e *ageExchange) isActive() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.clock.Now().Before(e.until)
}

// exchange exchanges ages with some entries.
func (e *ageExchange) exchange(ctx context.Context) {
	entries := e.entries(ctx)
	if len(entries) == 0 {
		return
	}
	var wait sync.WaitGroup
	var mu sync.Mutex
	var errs []error
	order := rand.Perm(len(entries))
	order = order[:min(len(order), ageExchangeEntries)]
	for _, i := range order {
		wait.Go(func() {
			if err := e.exchangeWith(ctx, entries[i]); err != nil {
				mu.Lock()
				defer mu.Unlock()
				errs = append(errs, err)
			}
		})
	}
	wait.Wait()
	e.logFailure(len(errs) == len(order) && ctx.Err() == nil, errors.Join(errs...))
}

func (e *ageExchange) exchangeWith(ctx context.Context, entry gossip.Member) error {
	calledAt := e.clock.Now()
	ages, err := e.client.Exchange(ctx, entry.PeerAddr, func() []versionages.Age {
		return versionages.Known(e.follower.View(), e.clock.Now(), e.inForceWithin)
	})
	if err != nil {
		return err
	}
	versionages.Report(e.follower, watch.SourceEntry, ages, e.clock.Now(), calledAt)
	e.onReply(entry)
	return nil
}

// hasFailed reports whether no entry replied in the last exchange.
func (e *ageExchange) hasFailed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.failing
}

// logFailure logs when no entry replies any more, and when one does again.
func (e *ageExchange) logFailure(failed bool, err error) {
	e.mu.Lock()
	changed := e.failing != failed
	e.failing = failed
	e.mu.Unlock()
	switch {
	case changed && failed:
		e.log.WithError(err).Warn("No entry tells the ages of versions; counting from when this agent read them.")
	case changed:
		e.log.Info("An entry tells the ages of versions again.")
	}
}
