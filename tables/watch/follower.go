package watch

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"currantusher.dev/core/fleet"
	"currantusher.dev/core/pause"
	"currantusher.dev/platform/rowstore"
)

// Defaults of Config.
const (
	// DefaultWait is how long one call waits for changes. A connection that
	// went silent is noticed by then at the latest.
	DefaultWait = 5 * time.Second
	// DefaultSettle is the pause between two calls, in which changes gather.
	// It is a small part of the two seconds in which a change must be in force.
	DefaultSettle = 200 * time.Millisecond
	// DefaultRetry is the mean pause after a call that failed.
	DefaultRetry = 300 * time.Millisecond
	// expirePeriod is how often lapsed servers are looked at.
	expirePeriod = 100 * time.Millisecond
)

// Store is what a Follower needs of the platform's store.
type Store interface {
	ReadAll(ctx context.Context, table string) (rowstore.Page, error)
	Changes(ctx context.Context, table string, since uint64, wait time.Duration) (rowstore.Page, error)
}

// Config holds the parts and settings of a Follower.
type Config struct {
	Store  Store
	Tables []string
	Wait   time.Duration
	Settle time.Duration
	Retry  time.Duration
	Log    *logrus.Entry
	// OthersReachStore reports whether the store answers other daemons. Rows that go
	// while it answers any are gone for good; nil means that nobody is asked.
	OthersReachStore func() bool
	// Changed is called after each change of the view.
	Changed func(*View)
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

func (c *Config) applyDefaults() {
	if c.Wait <= 0 {
		c.Wait = DefaultWait
	}
	if c.Settle <= 0 {
		c.Settle = DefaultSettle
	}
	if c.Retry <= 0 {
		c.Retry = DefaultRetry
	}
	if c.Changed == nil {
		c.Changed = func(*View) {}
	}
	if c.Now == nil {
		c.Now = time.Now
	}
}

// Follower keeps a View of the platform's tables. It is safe for concurrent use.
type Follower struct {
	config Config
	view   atomic.Pointer[View]
	// contact is when the store last answered, in nanoseconds of the clock.
	contact atomic.Int64

	mu    sync.Mutex
	state *State
	// failing counts the tables whose last call failed.
	failing map[string]bool
}

// NewFollower returns a Follower that knows nothing.
func NewFollower(config Config) *Follower {
	config.applyDefaults()
	f := &Follower{config: config, state: NewState(), failing: map[string]bool{}}
	f.view.Store(f.state.View())
	return f
}

// View returns what is known now.
func (f *Follower) View() *View { return f.view.Load() }

// SinceLastReply returns how long ago the store last answered.
func (f *Follower) SinceLastReply() time.Duration {
	at := f.contact.Load()
	if at == 0 {
		return 0
	}
	return f.config.Now().Sub(time.Unix(0, at))
}

// Run follows all tables until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, name := range f.config.Tables {
		group.Go(func() error { return f.follow(ctx, name) })
	}
	group.Go(func() error { return f.expire(ctx) })
	return group.Wait()
}

func (f *Follower) follow(ctx context.Context, name string) error {
	reread := true
	for ctx.Err() == nil {
		var err error
		if reread {
			err = f.readAll(ctx, name)
		} else {
			err = f.readChanges(ctx, name)
		}
		wait := f.config.Settle
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, rowstore.ErrHistoryGone):
			f.config.Log.WithField("table", name).Warn("History is gone; reading all rows.")
			reread = true
			wait = 0
		case err != nil:
			f.lost(name, err)
			wait = f.config.Retry/2 + rand.N(f.config.Retry)
		default:
			f.regained(name)
			reread = false
		}
		pause.For(ctx, wait)
	}
	return nil
}

var errOldAnswer = errors.New("the store answered with an older state than it did before")

func (f *Follower) readAll(ctx context.Context, name string) error {
	page, err := f.config.Store.ReadAll(ctx, name)
	if err != nil {
		return err
	}
	taken := true
	f.update(func(now time.Time) {
		f.state.StoreBack(now)
		taken = f.state.Replace(now, name, page)
	})
	if !taken {
		return errOldAnswer
	}
	return nil
}

func (f *Follower) readChanges(ctx context.Context, name string) error {
	f.mu.Lock()
	since, _ := f.state.Cursor(name)
	f.mu.Unlock()
	page, err := f.config.Store.Changes(ctx, name, since, f.config.Wait)
	if err != nil {
		return err
	}
	f.update(func(now time.Time) {
		f.state.StoreBack(now)
		f.state.Apply(now, name, page)
	})
	return nil
}

// update changes the state, publishes the view and logs what changed.
func (f *Follower) update(change func(now time.Time)) {
	f.mu.Lock()
	now := f.config.Now()
	wasLoaded := f.view.Load().Loaded
	change(now)
	events := f.state.TakeEvents()
	var view *View
	_, operatorLoaded := f.state.Cursor(OperatorTable)
	if len(events) > 0 || !wasLoaded && operatorLoaded || f.hasNewRows() {
		view = f.state.View()
		f.view.Store(view)
	}
	f.mu.Unlock()
	for _, event := range events {
		f.config.Log.WithFields(logrus.Fields{
			"subject": event.Subject, "key": event.Key, "revision": event.Revision,
		}).Info(event.Detail)
	}
	if view != nil {
		f.config.Changed(view)
	}
}

// hasNewRows reports whether rows came that gave no event, such as a server's
// count of orders.
func (f *Follower) hasNewRows() bool {
	view := f.view.Load()
	return f.state.Content(OperatorTable) != view.OperatorRevision || f.state.Content(ServersTable) != view.ServerRevision
}

func (f *Follower) lost(name string, err error) {
	f.mu.Lock()
	first := !f.failing[name]
	f.failing[name] = true
	if f.config.OthersReachStore == nil || !f.config.OthersReachStore() {
		f.state.StoreAway()
	}
	f.mu.Unlock()
	if first {
		f.config.Log.WithField("table", name).WithError(err).Warn("Store lost.")
	}
}

// ReachesStore reports whether the last calls to the store were answered.
func (f *Follower) ReachesStore() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, failing := range f.failing {
		if failing {
			return false
		}
	}
	return f.contact.Load() != 0
}

func (f *Follower) regained(name string) {
	f.contact.Store(f.config.Now().UnixNano())
	f.mu.Lock()
	was := f.failing[name]
	f.failing[name] = false
	f.mu.Unlock()
	if was {
		f.config.Log.WithField("table", name).Info("Store regained.")
	}
}

func (f *Follower) expire(ctx context.Context) error {
	ticker := time.NewTicker(expirePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		f.mu.Lock()
		pending := f.state.HasLapsed()
		f.mu.Unlock()
		if pending {
			f.update(func(now time.Time) { f.state.Expire(now) })
		}
	}
}

// Export returns a table for a peer.
func (f *Follower) Export(name string) Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Export(name)
}

// SetVersionSince takes since when another daemon knows of a version that was named
// before this one started.
func (f *Follower) SetVersionSince(model fleet.Model, version fleet.WeightsVersion, since time.Time) {
	if target := f.View().NewestTarget(model); target.Version != version || !target.Since.IsZero() {
		return
	}
	f.update(func(time.Time) { f.state.LearnSince(model, version, since) })
}

// Import takes a peer's table when it is newer, and reports whether it was.
func (f *Follower) Import(snapshot Snapshot) bool {
	taken := false
	f.update(func(now time.Time) { taken = f.state.Import(now, snapshot) })
	return taken
}
