package loader

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"currantusher.dev/core"
	"currantusher.dev/daemon/roster"
	"currantusher.dev/members/gossip"
	"currantusher.dev/tables/relay"
)

const (
	// entriesTTL is how long the list of entries is cached. Entries that have
	// joined since detect a pause when the engine refuses requests.
	entriesTTL = 20 * time.Second
	// entriesRetryDelay is the delay after a failed or empty read.
	entriesRetryDelay = 2 * time.Second
)

// entryList caches the entries of the deployment. It is safe for concurrent use.
type entryList struct {
	roster *roster.Roster[gossip.Member]
	log    *logrus.Entry

	mu        sync.Mutex
	cached    []gossip.Member
	refreshAt time.Time
}

// get returns the entries. If the store is unavailable, it returns the entries that
// were read last.
func (l *entryList) get(ctx context.Context) []gossip.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Before(l.refreshAt) {
		return l.cached
	}
	entries, err := l.roster.Read(ctx)
	if err != nil {
		l.refreshAt = now.Add(entriesRetryDelay)
		l.log.WithError(err).WithField("known", len(l.cached)).Warn("Could not read the entries; using the last known ones.")
		return l.cached
	}
	l.cached = entries
	l.refreshAt = now.Add(entriesTTL)
	if len(entries) == 0 {
		// The entries may have just started and not have written their rows yet.
		l.refreshAt = now.Add(entriesRetryDelay)
	}
	return l.cached
}

// relays returns a function that returns the entries through which the daemons of
// a data centre read the store.
func (l *entryList) relays(centre core.DataCentre) func(context.Context) []relay.Member {
	return func(ctx context.Context) []relay.Member { return roster.Relays(l.get(ctx), centre) }
}
