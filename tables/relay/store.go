package relay

import (
	"cmp"
	"context"
	"errors"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"currantusher.dev/core"
	"currantusher.dev/platform/rowstore"
)

const (
	// relaysPerDataCentre is the number of entries of a data centre that read
	// from the store.
	relaysPerDataCentre = 2
	// minEntriesForRelays is the number of entries from which a data centre has
	// relays. With fewer entries, each reads from the store.
	minEntriesForRelays = 4
	// relayRetryDelay is the time for which a failed relay is not used.
	relayRetryDelay = 3 * time.Second
)

// Member is an entry that may be a relay.
type Member struct {
	ID         core.InstanceID
	DataCentre core.DataCentre
	Addr       string
}

// Relays returns the relays of a data centre, or nil if each daemon there reads
// from the store. The result is the same for all daemons with the same members.
func Relays(members []Member, centre core.DataCentre) []Member {
	var local []Member
	for _, m := range members {
		if m.DataCentre == centre {
			local = append(local, m)
		}
	}
	if len(local) < minEntriesForRelays {
		return nil
	}
	slices.SortFunc(local, func(a, b Member) int {
		return cmp.Or(cmp.Compare(hashID(a.ID), hashID(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	return local[:relaysPerDataCentre]
}

func hashID(id core.InstanceID) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	x := h.Sum32()
	// The last bytes of the input hardly change the high bits of FNV-1a.
	x ^= x >> 16
	return x * 0x85ebca6b
}

// Config holds the dependencies of a Store.
type Config struct {
	Self  core.InstanceID
	Cache *Cache
	// Relays returns the relays of this daemon's data centre; none if it reads
	// from the store itself.
	Relays func(ctx context.Context) []Member
	Log    *logrus.Entry
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Store reads rows from a relay, or from the platform's store if there is no
// relay or it fails. It is safe for concurrent use.
type Store struct {
	config Config
	client *client

	mu         sync.Mutex
	avoidUntil map[core.InstanceID]time.Time
	lastRelay  core.InstanceID
}

// NewStore returns a Store that reads from the platform's store through
// config.Cache.
func NewStore(config Config) *Store {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Store{config: config, client: newClient(), avoidUntil: map[core.InstanceID]time.Time{}}
}

// ReadAll returns all rows of a table.
func (s *Store) ReadAll(ctx context.Context, table string) (rowstore.Page, error) {
	page, err, attempted := s.readFromRelay(ctx, func(addr string) (rowstore.Page, error) { return s.client.readAll(ctx, addr, table) })
	if attempted && err == nil {
		return page, nil
	}
	return s.config.Cache.ReadAll(ctx, table)
}

// Changes returns the rows of a table that changed after a revision. It waits up
// to wait for the first change.
func (s *Store) Changes(ctx context.Context, table string, since uint64, wait time.Duration) (rowstore.Page, error) {
	page, err, attempted := s.readFromRelay(ctx, func(addr string) (rowstore.Page, error) { return s.client.readChanges(ctx, addr, table, since, wait) })
	if attempted && (err == nil || errors.Is(err, rowstore.ErrHistoryGone)) {
		return page, err
	}
	if s.isRelay(ctx) && !s.config.Cache.hasAllRowsAt(table, since) {
		// A new relay must read all rows, because other daemons may request
		// them.
		return rowstore.Page{}, rowstore.ErrHistoryGone
	}
	return s.config.Cache.Changes(ctx, table, since, wait)
}

// readFromRelay reads from a relay. The last result is false if there is none.
func (s *Store) readFromRelay(ctx context.Context, call func(addr string) (rowstore.Page, error)) (rowstore.Page, error, bool) {
	relay, ok := s.chooseRelay(ctx)
	if !ok {
		return rowstore.Page{}, nil, false
	}
	page, err := call(relay.Addr)
	if err != nil && !errors.Is(err, rowstore.ErrHistoryGone) && ctx.Err() == nil {
		s.config.Log.WithError(err).WithField("relay", relay.ID).Warn("Relay failed; reading from the store instead.")
		s.mu.Lock()
		s.avoidUntil[relay.ID] = s.config.Now().Add(relayRetryDelay)
		s.mu.Unlock()
	}
	return page, err, true
}

// chooseRelay returns the relay to read from. The preferred relay depends on the
// daemon's id, which distributes the load.
func (s *Store) chooseRelay(ctx context.Context) (Member, bool) {
	list := s.config.Relays(ctx)
	if s.isAmong(list) {
		list = nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	first := int(hashID(s.config.Self) % uint32(max(len(list), 1)))
	for i := range list {
		relay := list[(first+i)%len(list)]
		if s.config.Now().Before(s.avoidUntil[relay.ID]) {
			continue
		}
		s.logSourceChange(relay.ID)
		return relay, true
	}
	s.logSourceChange("")
	return Member{}, false
}

// isRelay reports whether this daemon is a relay.
func (s *Store) isRelay(ctx context.Context) bool { return s.isAmong(s.config.Relays(ctx)) }

func (s *Store) isAmong(list []Member) bool {
	return slices.ContainsFunc(list, func(m Member) bool { return m.ID == s.config.Self })
}

// logSourceChange logs a change of the source of rows. The caller holds mu.
func (s *Store) logSourceChange(relay core.InstanceID) {
	if s.lastRelay != relay {
		s.lastRelay = relay
		s.config.Log.WithField("relay", relay).Info("Source of rows changed; it is the store if no relay is given.")
	}
}
