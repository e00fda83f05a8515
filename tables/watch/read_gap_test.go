package watch

import (
	"context"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"currantusher.dev/platform/rowstore"
	"currantusher.dev/tables/relay"
)

// feedStore is a store whose feed has the last change of each row.
type feedStore struct {
	mu      sync.Mutex
	rows    map[string]rowstore.Row
	now     uint64
	changed chan struct{}
}

func (s *feedStore) put(row rowstore.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now++
	row.Revision = s.now
	s.rows[row.Key] = row
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *feedStore) ReadAll(context.Context, string) (rowstore.Page, error) {
	page, _ := s.since(0)
	return page, nil
}

func (s *feedStore) since(revision uint64) (rowstore.Page, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := rowstore.Page{Revision: s.now}
	for _, row := range s.rows {
		if row.Revision > revision {
			page.Rows = append(page.Rows, row)
		}
	}
	slices.SortFunc(page.Rows, func(a, b rowstore.Row) int { return int(a.Revision) - int(b.Revision) })
	return page, s.changed
}

func (s *feedStore) Changes(ctx context.Context, _ string, since rowstore.Position, wait time.Duration) (rowstore.Page, error) {
	timeout := time.After(wait)
	for {
		page, changed := s.since(since.Revision)
		if len(page.Rows) > 0 {
			return page, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return page, nil
		case <-ctx.Done():
			return page, ctx.Err()
		}
	}
}

// newFeedFollower returns a Follower that reads from a store with version 1.
func newFeedFollower(t *testing.T) (*Follower, *feedStore) {
	t.Helper()
	store := &feedStore{rows: map[string]rowstore.Row{}, changed: make(chan struct{})}
	store.put(versionRow(1, 0))
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return NewFollower(Config{
		Store: relay.NewStore(relay.Config{
			Self: "e", Cache: relay.NewCache(store, time.Now), Log: logrus.NewEntry(logger),
			Relays:       func(context.Context) []relay.Member { return nil },
			MinIntervals: map[string]time.Duration{OperatorTable: OperatorReadInterval},
		}),
		Tables: []string{OperatorTable}, StartPollInterval: DefaultStartPollInterval, Now: time.Now, Log: logrus.NewEntry(logger),
	}), store
}

func TestVersionAcceptedBetweenTwoReadsIsRequiredInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		follower, store := newFeedFollower(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = follower.Run(ctx) }()
		time.Sleep(10 * time.Second)
		// The first two changes are read at once. The next call waits for its time.
		store.put(configRow(1, 0))
		time.Sleep(50 * time.Millisecond)
		store.put(configRow(2, 0))
		time.Sleep(30 * time.Millisecond)
		accepted := time.Now()
		store.put(versionRow(2, 0))
		time.Sleep(50 * time.Millisecond)
		store.put(versionRow(3, 0))
		time.Sleep(time.Second)
		view := follower.View()
		require.EqualValues(t, 3, view.NewestTarget("m").Version)
		require.GreaterOrEqual(t, int(view.RequiredVersion(accepted.Add(testInForceWithin), "m", testInForceWithin)), 2)
		require.EqualValues(t, 1, view.RequiredVersion(accepted.Add(testInForceWithin-time.Second), "m", testInForceWithin))
	})
}

func TestVersionAcceptedInThePauseAfterAStartIsRequiredInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		follower, store := newFeedFollower(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = follower.Run(ctx) }()
		time.Sleep(100 * time.Millisecond)
		accepted := time.Now()
		store.put(versionRow(2, 0))
		time.Sleep(2 * time.Second)
		view := follower.View()
		require.EqualValues(t, 2, view.RequiredVersion(accepted.Add(testInForceWithin), "m", testInForceWithin))
		follower.SetVersionSince("m", 2, accepted.Add(100*time.Millisecond))
		require.Equal(t, accepted.Add(100*time.Millisecond), follower.View().NewestTarget("m").Since, "a daemon that read it knows better")
	})
}

func TestVersionReadSoonAfterALongCallCountsFromItsRead(t *testing.T) {
	for wait, readBefore := range map[time.Duration]bool{0: true, maxReadGap: false} {
		s := newLoadedState(t)
		s.markRead(OperatorTable, start.Add(-wait), start)
		readAt := start.Add(maxReadGap - 1)
		require.True(t, s.Apply(readAt, OperatorTable, newPage(6, versionRow(2, 6))))
		since := s.View().NewestTarget("m").Since
		require.Equal(t, readBefore, since.Equal(start))
		require.Equal(t, !readBefore, since.Equal(readAt))
	}
}
