package relay

import (
	"cmp"
	"context"
	"errors"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"currantusher.dev/core"
	"currantusher.dev/core/httpcall"
	"currantusher.dev/core/pause"
	"currantusher.dev/platform/rowstore"
)

const (
	// relaysPerDataCentre is the number of entries of a data centre that read
	// from the store.
	relaysPerDataCentre = 2
	// minEntriesForRelays is the number of entries from which a data centre has
	// relays. With fewer entries, each reads from the store.
	minEntriesForRelays = 4
	// relayPollTimeout is how long a relay's call to the store waits for changes. While
	// the store is silent for the relay alone, all daemons that read from it are behind,
	// although the store would reply to them.
	relayPollTimeout = time.Second
	// relayRetryDelay is the time for which a relay is not used that did not respond,
	// and outdatedRelayDelay for one that itself has no reply from the store.
	relayRetryDelay    = 3 * time.Second
	outdatedRelayDelay = time.Second
	// minDirectDelay and maxDirectDelay bound the time between two failed calls to the
	// store of a daemon that has relays, which doubles with each failure: the relays
	// notice first that the store replies again, and all others learn it from them.
	minDirectDelay = 500 * time.Millisecond
	maxDirectDelay = 4 * time.Second
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
	// MinIntervals is the least time between two calls to the store for the changes of
	// a table, which batches them.
	MinIntervals map[string]time.Duration
	Log          *logrus.Entry
	// Faults is told the relays' answers over their bound; it may be nil.
	Faults *httpcall.Faults
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Store reads rows from a relay, or from the platform's store if there is no
// relay or it fails. Of the relays of a data centre, each reads from those before it.
// It is safe for concurrent use.
type Store struct {
	config Config
	client *client

	mu sync.Mutex
	// era is the latest era of the store in any page. Pages of earlier ones are refused.
	era        uint64
	avoidUntil map[core.InstanceID]time.Time
	lastRelay  core.InstanceID
	// directDelay is the time between two calls to the store while they fail, and
	// directAt when the next one is allowed.
	directDelay time.Duration
	directAt    time.Time
	// lastChangesAt is when the changes of a table were last requested from the store.
	lastChangesAt map[string]time.Time
}

// errAwaitingRelay reports that no relay replies, and that this daemon's own calls to
// the store have failed recently.
var errAwaitingRelay = errors.New("no relay replies, and the store did not reply recently")

// NewStore returns a Store that reads from the platform's store through
// config.Cache.
func NewStore(config Config) *Store {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Store{config: config, client: newClient(config.Faults), avoidUntil: map[core.InstanceID]time.Time{}, lastChangesAt: map[string]time.Time{}}
}

// ReadAll returns all rows of a table.
func (s *Store) ReadAll(ctx context.Context, table string) (rowstore.Page, error) {
	calledAt := s.config.Cache.now()
	page, err := s.readFromRelay(ctx, func(addr string) (rowstore.Page, error) { return s.client.readAll(ctx, addr, table, s.latestEra()) })
	switch {
	case err == nil && s.isRelay(ctx):
		s.config.Cache.adoptAll(table, page, calledAt)
		return page, nil
	case err == nil:
		s.config.Cache.drop(table)
		return page, nil
	}
	page, err = s.readDirectly(ctx, func() (rowstore.Page, error) { return s.config.Cache.ReadAll(ctx, table) })
	if err == nil {
		err = s.noteEra(page.Era)
	}
	return page, err
}

// latestEra returns the latest era of the store that this daemon has seen.
func (s *Store) latestEra() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// noteEra records the era of rows, and refuses earlier ones than the latest.
func (s *Store) noteEra(era uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if era < s.era {
		return rowstore.ErrEarlierEra
	}
	s.era = era
	return nil
}

// Changes returns the rows of a table that changed after a position. It waits up
// to wait for the first change.
func (s *Store) Changes(ctx context.Context, table string, since rowstore.Position, wait time.Duration) (rowstore.Page, error) {
	if err := s.noteEra(since.Era); err != nil {
		return rowstore.Page{}, rowstore.ErrHistoryGone
	}
	isRelay := s.isRelay(ctx)
	if isRelay && !s.config.Cache.hasAllRowsAt(table, since) {
		// A new relay must read all rows, because other daemons may request
		// them.
		return rowstore.Page{}, rowstore.ErrHistoryGone
	}
	calledAt := s.config.Cache.now()
	page, err := s.readFromRelay(ctx, func(addr string) (rowstore.Page, error) { return s.client.readChanges(ctx, addr, table, since, wait) })
	switch {
	case err == nil && isRelay:
		s.config.Cache.adoptChanges(table, since, page, calledAt)
	case err == nil:
		s.config.Cache.drop(table)
	}
	if err == nil || errors.Is(err, rowstore.ErrHistoryGone) {
		return page, err
	}
	s.awaitInterval(ctx, table)
	if isRelay {
		wait = min(wait, relayPollTimeout)
	}
	return s.readDirectly(ctx, func() (rowstore.Page, error) { return s.config.Cache.Changes(ctx, table, since, wait) })
}

// errNoRelay reports that there is no relay to read from.
var errNoRelay = errors.New("no relay")

// readFromRelay reads from a relay.
func (s *Store) readFromRelay(ctx context.Context, call func(addr string) (rowstore.Page, error)) (rowstore.Page, error) {
	relay, ok := s.chooseRelay(ctx)
	if !ok {
		return rowstore.Page{}, errNoRelay
	}
	page, err := call(relay.Addr)
	if err == nil {
		err = s.noteEra(page.Era)
	}
	if err != nil && !errors.Is(err, rowstore.ErrHistoryGone) && ctx.Err() == nil {
		s.config.Log.WithError(err).WithField("relay", relay.ID).Warn("Relay failed; reading from another one or from the store instead.")
		delay := relayRetryDelay
		if errors.Is(err, errOutdated) {
			delay = outdatedRelayDelay
		}
		s.mu.Lock()
		s.avoidUntil[relay.ID] = s.config.Now().Add(delay)
		s.mu.Unlock()
	}
	return page, err
}

// readDirectly reads from the store. A daemon with relays that is not one itself calls
// the store less and less often while it does not reply.
func (s *Store) readDirectly(ctx context.Context, call func() (rowstore.Page, error)) (rowstore.Page, error) {
	if list := s.config.Relays(ctx); len(list) == 0 || s.isAmong(list) {
		return call()
	}
	s.mu.Lock()
	isAllowed := !s.config.Now().Before(s.directAt)
	s.mu.Unlock()
	if !isAllowed {
		return rowstore.Page{}, errAwaitingRelay
	}
	page, err := call()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil || errors.Is(err, rowstore.ErrHistoryGone) || ctx.Err() != nil {
		s.directDelay = 0
		return page, err
	}
	s.directDelay = min(max(2*s.directDelay, minDirectDelay), maxDirectDelay)
	s.directAt = s.config.Now().Add(s.directDelay/2 + rand.N(s.directDelay))
	return page, err
}

// awaitInterval waits until the store may be called for the changes of a table again.
func (s *Store) awaitInterval(ctx context.Context, table string) {
	s.mu.Lock()
	now := s.config.Now()
	at := s.lastChangesAt[table].Add(s.config.MinIntervals[table])
	if at.Before(now) {
		at = now
	}
	s.lastChangesAt[table] = at
	s.mu.Unlock()
	pause.For(ctx, at.Sub(now))
}

// chooseRelay returns the relay to read from. The preferred relay depends on the
// daemon's id, which distributes the load.
func (s *Store) chooseRelay(ctx context.Context) (Member, bool) {
	list := s.config.Relays(ctx)
	if own := slices.IndexFunc(list, func(m Member) bool { return m.ID == s.config.Self }); own >= 0 {
		list = list[:own]
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
