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
	// relays is how many entries of a data centre read from the store.
	relays = 2
	// fewest is the number of entries in a data centre from which on the others
	// read from these.
	fewest = 4
	// avoidFor is how long a relay that failed is not asked.
	avoidFor = 3 * time.Second
)

// Member is an entry that may relay.
type Member struct {
	ID         core.InstanceID
	DataCentre core.DataCentre
	Addr       string
}

// Relays returns the entries of a data centre that read from the store for the
// others there; nil when all read for themselves. All daemons that know the same
// members choose the same ones.
func Relays(members []Member, centre core.DataCentre) []Member {
	var local []Member
	for _, m := range members {
		if m.DataCentre == centre {
			local = append(local, m)
		}
	}
	if len(local) < fewest {
		return nil
	}
	slices.SortFunc(local, func(a, b Member) int {
		return cmp.Or(cmp.Compare(hash(a.ID), hash(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	return local[:relays]
}

func hash(id core.InstanceID) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	x := h.Sum32()
	// The last bytes of FNV-1a change its high bits little.
	x ^= x >> 16
	return x * 0x85ebca6b
}

// Config holds the parts of a Store.
type Config struct {
	Self  core.InstanceID
	Cache *Cache
	// Relays returns the entries that read for this daemon; none when it reads
	// for itself.
	Relays func(ctx context.Context) []Member
	Log    *logrus.Entry
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Store reads rows from a relay, or from the platform's store where there is
// none that answers. It is safe for concurrent use.
type Store struct {
	config Config
	client *client

	mu    sync.Mutex
	avoid map[core.InstanceID]time.Time
	last  core.InstanceID
}

// NewStore returns a Store.
func NewStore(config Config) *Store {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Store{config: config, client: newClient(), avoid: map[core.InstanceID]time.Time{}}
}

// ReadAll returns all rows of a table.
func (s *Store) ReadAll(ctx context.Context, table string) (rowstore.Page, error) {
	page, err, asked := s.ask(ctx, func(addr string) (rowstore.Page, error) { return s.client.all(ctx, addr, table) })
	if asked && err == nil {
		return page, nil
	}
	return s.config.Cache.ReadAll(ctx, table)
}

// Changes returns the rows that changed after a revision.
func (s *Store) Changes(ctx context.Context, table string, since uint64, wait time.Duration) (rowstore.Page, error) {
	page, err, asked := s.ask(ctx, func(addr string) (rowstore.Page, error) { return s.client.since(ctx, addr, table, since, wait) })
	if asked && (err == nil || errors.Is(err, rowstore.ErrHistoryGone)) {
		return page, err
	}
	if s.isRelay(ctx) && !s.config.Cache.holds(table, since) {
		// A new relay reads all rows, which the others may ask for.
		return rowstore.Page{}, rowstore.ErrHistoryGone
	}
	return s.config.Cache.Changes(ctx, table, since, wait)
}

// ask asks a relay, if there is one to ask.
func (s *Store) ask(ctx context.Context, call func(addr string) (rowstore.Page, error)) (rowstore.Page, error, bool) {
	relay, ok := s.choose(ctx)
	if !ok {
		return rowstore.Page{}, nil, false
	}
	page, err := call(relay.Addr)
	if err != nil && !errors.Is(err, rowstore.ErrHistoryGone) && ctx.Err() == nil {
		s.config.Log.WithError(err).WithField("relay", relay.ID).Warn("Relay did not answer; the store is asked.")
		s.mu.Lock()
		s.avoid[relay.ID] = s.config.Now().Add(avoidFor)
		s.mu.Unlock()
	}
	return page, err, true
}

// choose returns the relay to ask. Daemons begin with different ones.
func (s *Store) choose(ctx context.Context) (Member, bool) {
	list := s.config.Relays(ctx)
	if s.isAmong(list) {
		list = nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	first := int(hash(s.config.Self) % uint32(max(len(list), 1)))
	for i := range list {
		relay := list[(first+i)%len(list)]
		if s.config.Now().Before(s.avoid[relay.ID]) {
			continue
		}
		s.note(relay.ID)
		return relay, true
	}
	s.note("")
	return Member{}, false
}

// isRelay reports whether this daemon reads for others.
func (s *Store) isRelay(ctx context.Context) bool { return s.isAmong(s.config.Relays(ctx)) }

func (s *Store) isAmong(list []Member) bool {
	return slices.ContainsFunc(list, func(m Member) bool { return m.ID == s.config.Self })
}

// note logs a change of where the rows come from. The caller holds the lock.
func (s *Store) note(relay core.InstanceID) {
	if s.last != relay {
		s.last = relay
		s.config.Log.WithField("relay", relay).Info("Rows come from another source; without a relay it is the store.")
	}
}
