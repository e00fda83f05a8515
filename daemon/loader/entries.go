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
	// maxLoggedEntries bounds the entries that a log line names.
	maxLoggedEntries = 8
)

// entryList caches the entries of the deployment. It is safe for concurrent use.
type entryList struct {
	// stored reads the rows from the store, and relayed through the relays, which are
	// entries themselves. The first read is from the store.
	stored, relayed *roster.Roster[gossip.Member]
	log             *logrus.Entry

	// refreshMu is held while the rows are read.
	refreshMu sync.Mutex

	mu        sync.Mutex
	cached    []gossip.Member
	refreshAt time.Time
}

// get returns the entries. If the store is unavailable, it returns the entries that
// were read last.
func (l *entryList) get(ctx context.Context) []gossip.Member {
	l.refreshMu.Lock()
	defer l.refreshMu.Unlock()
	cached, isFresh := l.lastRead()
	if isFresh {
		return cached
	}
	source := l.relayed
	if len(cached) == 0 {
		source = l.stored
	}
	entries, err := source.Read(ctx)
	if err != nil {
		l.log.WithError(err).WithField("known", len(cached)).Warn("Could not read the entries; using the last known ones.")
		l.store(cached, entriesRetryDelay)
		return cached
	}
	ttl := entriesTTL
	if len(entries) == 0 {
		// The entries may have just started and not have written their rows yet.
		ttl = entriesRetryDelay
	}
	l.logChange(cached, entries)
	l.store(entries, ttl)
	return entries
}

// known returns the entries that were read last, or reads them if there are none.
func (l *entryList) known(ctx context.Context) []gossip.Member {
	if entries, _ := l.lastRead(); len(entries) > 0 {
		return entries
	}
	return l.get(ctx)
}

// logChange logs which entries a read added and removed. Entries that are not on the
// list get no announcements.
func (l *entryList) logChange(before, after []gossip.Member) {
	added, removed := missingIDs(after, before), missingIDs(before, after)
	if len(added)+len(removed) == 0 {
		return
	}
	l.log.WithFields(logrus.Fields{
		"entries": len(after), "added": len(added), "removed": len(removed),
		"added_ids": added[:min(len(added), maxLoggedEntries)], "removed_ids": removed[:min(len(removed), maxLoggedEntries)],
	}).Info("The list of entries changed.")
}

// missingIDs returns the ids of the entries of list that are not in other.
func missingIDs(list, other []gossip.Member) []core.InstanceID {
	known := map[core.InstanceID]bool{}
	for _, entry := range other {
		known[entry.ID] = true
	}
	var missing []core.InstanceID
	for _, entry := range list {
		if !known[entry.ID] {
			missing = append(missing, entry.ID)
		}
	}
	return missing
}

func (l *entryList) lastRead() (entries []gossip.Member, isFresh bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cached, time.Now().Before(l.refreshAt)
}

func (l *entryList) store(entries []gossip.Member, ttl time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cached, l.refreshAt = entries, time.Now().Add(ttl)
}

// relays returns a function that returns the entries through which the daemons of
// a data centre read the store. Except for the first time it does not wait for a
// read, which may itself go through a relay.
func (l *entryList) relays(centre core.DataCentre) func(context.Context) []relay.Member {
	return func(ctx context.Context) []relay.Member {
		entries, isFresh := l.lastRead()
		switch {
		case len(entries) == 0:
			entries = l.get(ctx)
		case !isFresh && l.refreshMu.TryLock():
			l.refreshMu.Unlock()
			go l.get(context.WithoutCancel(ctx))
		}
		return roster.Relays(entries, centre)
	}
}
