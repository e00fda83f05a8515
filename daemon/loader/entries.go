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
	// entriesTTL is how long a read list of entries serves. Entries that came
	// since learn of a pause from the engine's refusals.
	entriesTTL = 20 * time.Second
	// entriesRetry is the pause after a failed reading.
	entriesRetry = 2 * time.Second
)

// entryList reads which entries there are.
type entryList struct {
	roster *roster.Roster[gossip.Member]
	log    *logrus.Entry

	mu      sync.Mutex
	known   []gossip.Member
	renewAt time.Time
}

// get returns the entries; the last known ones serve while the store does not
// answer.
func (l *entryList) get(ctx context.Context) []gossip.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Before(l.renewAt) {
		return l.known
	}
	entries, err := l.roster.Read(ctx)
	if err != nil {
		l.renewAt = now.Add(entriesRetry)
		l.log.WithError(err).WithField("known", len(l.known)).Warn("Entries not read; the last known ones are used.")
		return l.known
	}
	l.known = entries
	l.renewAt = now.Add(entriesTTL)
	if len(entries) == 0 {
		// They have just started too.
		l.renewAt = now.Add(entriesRetry)
	}
	return l.known
}

// relays returns the entries that read the store's rows for the daemons of a
// data centre.
func (l *entryList) relays(centre core.DataCentre) func(context.Context) []relay.Member {
	return func(ctx context.Context) []relay.Member { return roster.Relays(l.get(ctx), centre) }
}
