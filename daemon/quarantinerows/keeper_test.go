package quarantinerows

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/platform/rowstore"
	"currantusher.dev/platform/standin"
	"currantusher.dev/requests/notices"
	"currantusher.dev/requests/quarantine"
)

// countedStore counts the calls and may lose the next response to a write.
type countedStore struct {
	*rowstore.Client
	commits, reads int
	// late holds the writes without a response, which are performed later, while loses is set.
	loses bool
	late  []rowstore.Transaction
}

func (s *countedStore) ReadAll(ctx context.Context, table string) (rowstore.Page, error) {
	s.reads++
	return s.Client.ReadAll(ctx, table)
}

func (s *countedStore) Commit(ctx context.Context, tx rowstore.Transaction) (rowstore.Outcome, error) {
	s.commits++
	if s.loses {
		s.late = append(s.late, tx)
		return rowstore.Outcome{}, core.NewFailure(core.CodeStoreUnavailable, core.ExecutionUnknown, "no response")
	}
	return s.Client.Commit(ctx, tx)
}

// fixture is a store and a clock that entries share.
type fixture struct {
	t      *testing.T
	store  *standin.Store
	client *countedStore
	now    time.Time
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, now: time.Unix(1_000_000, 0)}
	f.store = standin.NewStoreWithClock(func() time.Time { return f.now })
	server := httptest.NewServer(f.store)
	t.Cleanup(server.Close)
	f.client = &countedStore{Client: rowstore.New(server.Listener.Addr().String())}
	return f
}

// entry is an entry whose times differ from the store's.
type entry struct {
	*Keeper
	f    *fixture
	rank int
	skew time.Duration
}

func (f *fixture) newEntry(rank int) *entry {
	e := &entry{f: f, rank: rank, skew: time.Duration(rank*1000) * time.Hour}
	log := logrus.New()
	log.SetOutput(f.t.Output())
	set := quarantine.NewSet()
	set.Decide(e.now().Add(-time.Minute), 0)
	e.Keeper = NewKeeper(Config{
		Store: f.client, Set: set, Rank: func() (int, bool) { return e.rank, e.rank >= 0 }, Apply: func([]quarantine.Change) {},
		Now: e.now, Log: logrus.NewEntry(log),
	})
	return e
}

func (e *entry) now() time.Time { return e.f.now.Add(e.skew) }

func (f *fixture) loadedEntry(rank int) *entry {
	f.t.Helper()
	e := f.newEntry(rank)
	require.NoError(f.t, e.read(f.t.Context()))
	return e
}

func (f *fixture) pass(d time.Duration) { f.now = f.now.Add(d) }

func trait(i int) fleet.Trait { return fleet.Trait{ID: fmt.Sprint("deadly-", i)} }

// decide makes the entry quarantine traits.
func (e *entry) decide(traits ...fleet.Trait) {
	e.f.t.Helper()
	for i := range 3 {
		for _, suspect := range traits {
			server := notices.Lifetime{Server: core.InstanceID(fmt.Sprint(suspect.ID, i, e.now()))}
			e.config.Set.Crashed(e.now(), server, e.now(), []fleet.Suspect{{Trait: suspect, Request: uint32(i), Position: 255}})
		}
		e.f.pass(time.Second)
	}
	e.config.Set.Decide(e.now(), 300*time.Millisecond)
	for _, suspect := range traits {
		require.True(e.f.t, e.refuses(suspect), suspect.ID)
	}
}

func (e *entry) refuses(t fleet.Trait) bool {
	_, _, found := e.config.Set.Quarantined(e.now(), []fleet.Trait{t})
	return found
}

func (e *entry) hearFrom(other *entry) {
	e.config.Set.Merge(e.now(), other.config.Set.Evidence(other.now()))
}

func (e *entry) writeAll() {
	for e.write(e.f.t.Context()) {
	}
}

func (f *fixture) stored() map[string]quarantine.Record {
	page, err := f.client.Client.ReadAll(f.t.Context(), Table)
	require.NoError(f.t, err)
	records := map[string]quarantine.Record{}
	for _, row := range page.Rows {
		record, err := quarantine.DecodeRecord(row.Key, row.Value)
		require.NoError(f.t, err)
		records[record.Trait.ID] = record
	}
	return records
}

func TestQuarantineOutlivesAllEntriesInTheStore(t *testing.T) {
	f := newFixture(t)
	a := f.loadedEntry(0)
	a.decide(trait(0))
	a.writeAll()
	f.pass(10 * time.Second)
	fresh := f.loadedEntry(3)
	require.True(t, fresh.HasLoaded())
	require.True(t, fresh.refuses(trait(0)))
	f.pass(5 * time.Minute)
	require.False(t, fresh.refuses(trait(0)), "its end")
}

func TestOneEntryWritesAQuarantineOnce(t *testing.T) {
	f := newFixture(t)
	var entries []*entry
	for rank := range 9 {
		entries = append(entries, f.loadedEntry(rank))
	}
	entries[4].decide(trait(0))
	for _, e := range entries {
		if e != entries[4] {
			e.hearFrom(entries[4])
		}
	}
	for range 3 {
		for _, e := range entries {
			e.writeAll()
		}
		f.pass(time.Second)
		for _, e := range entries {
			if f.client.commits > 0 && len(e.rows.records) == 0 {
				require.NoError(t, e.read(t.Context()))
			}
		}
	}
	require.Equal(t, 1, f.client.commits)
	require.Len(t, f.stored(), 1)
}

func TestEntryOfTheNextRankWritesInPlaceOfAnother(t *testing.T) {
	f := newFixture(t)
	e := f.loadedEntry(1)
	e.decide(trait(0))
	e.writeAll()
	require.Empty(t, f.stored())
	f.pass(rankDelay)
	e.writeAll()
	require.Len(t, f.stored(), 1)
}

func TestHundredDecisionsNeedFewTransactions(t *testing.T) {
	f := newFixture(t)
	e := f.loadedEntry(0)
	log := make([]quarantine.Record, 100)
	for i := range log {
		log[i] = quarantine.Record{Trait: trait(i), Generation: 1, DecidedMs: f.now.UnixMilli(), Crashes: 3}
	}
	e.config.Set.MergeRecords(e.now(), f.now.UnixMilli(), log, true)
	e.writeAll()
	require.Len(t, f.stored(), 100)
	require.LessOrEqual(t, f.client.commits, 3)
}

func TestQuarantineIsStoredAfterAnOutage(t *testing.T) {
	f := newFixture(t)
	f.store.SetDown(true)
	e := f.newEntry(0)
	require.Error(t, e.read(t.Context()))
	require.False(t, e.HasLoaded())
	e.decide(trait(0))
	e.writeAll()
	require.Zero(t, f.client.commits, "the rows are not known")
	f.store.SetDown(false)
	require.NoError(t, e.read(t.Context()))
	f.store.SetDown(true)
	e.writeAll()
	require.Equal(t, 1, f.client.commits)
	e.writeAll()
	require.Equal(t, 1, f.client.commits, "a failed write is not repeated at once")
	f.store.SetDown(false)
	f.pass(2 * maxRetryDelay)
	e.rows.readAt = e.now()
	e.writeAll()
	require.Contains(t, f.stored(), trait(0).ID)
}

func TestQuarantineLostByTheStoreIsWrittenAgain(t *testing.T) {
	f := newFixture(t)
	e := f.loadedEntry(0)
	e.decide(trait(0))
	e.writeAll()
	require.NoError(t, e.read(t.Context()))
	f.pass(time.Second)
	f.store.Lose(3 * time.Second)
	require.Empty(t, f.stored())
	require.NoError(t, e.read(t.Context()))
	require.True(t, e.refuses(trait(0)))
	e.writeAll()
	require.True(t, f.stored()[trait(0).ID].IsActive(f.now.UnixMilli()))
}

func TestLateWriteDoesNotUndoALift(t *testing.T) {
	f := newFixture(t)
	a, b := f.loadedEntry(0), f.loadedEntry(1)
	a.decide(trait(0))
	f.client.loses = true
	a.writeAll()
	f.client.loses = false
	b.hearFrom(a)
	b.writeAll()
	f.pass(rankDelay)
	b.writeAll()
	lifted, err := Lift(t.Context(), f.client, trait(0).ID)
	require.NoError(t, err)
	require.Len(t, lifted, 1)
	for _, tx := range f.client.late {
		_, err := f.client.Commit(t.Context(), tx)
		require.Equal(t, core.CodeStoreConflict, core.CodeOf(err))
	}
	require.NoError(t, a.read(t.Context()))
	require.False(t, a.refuses(trait(0)))
	a.config.Set.Decide(a.now(), 300*time.Millisecond)
	require.False(t, a.refuses(trait(0)))
	f.pass(2 * maxRetryDelay)
	a.rows.readAt = a.now()
	a.writeAll()
	require.True(t, f.stored()[trait(0).ID].Lifted)
	require.False(t, f.loadedEntry(2).refuses(trait(0)))
}

func TestLiftThatTheStoreLostIsWrittenAgain(t *testing.T) {
	f := newFixture(t)
	e := f.loadedEntry(0)
	e.decide(trait(0))
	e.writeAll()
	require.NoError(t, e.read(t.Context()))
	f.pass(5 * time.Second)
	_, err := Lift(t.Context(), f.client, trait(0).ID)
	require.NoError(t, err)
	require.NoError(t, e.read(t.Context()))
	f.pass(time.Second)
	f.store.Lose(2 * time.Second)
	require.False(t, f.stored()[trait(0).ID].Released)
	require.NoError(t, e.read(t.Context()))
	require.False(t, e.refuses(trait(0)))
	e.writeAll()
	require.True(t, f.stored()[trait(0).ID].Lifted)
}

func TestLiftOfAnUnknownQuarantineFails(t *testing.T) {
	f := newFixture(t)
	_, err := Lift(t.Context(), f.client, "unknown")
	require.ErrorIs(t, err, ErrUnknown)
}

func TestEntryThatDoesNotKeepTheRowsWritesNothing(t *testing.T) {
	f := newFixture(t)
	e := f.loadedEntry(-1)
	e.decide(trait(0))
	e.writeAll()
	require.Zero(t, f.client.commits)
}

func TestOddRowsOfQuarantinesAreIgnored(t *testing.T) {
	f := newFixture(t)
	f.store.Put(Table, "odd", []byte("?"))
	f.store.Put(Table, quarantine.RecordKey(trait(0)), []byte("?"))
	e := f.loadedEntry(0)
	e.decide(trait(0))
	e.writeAll()
	require.NoError(t, e.read(t.Context()))
	require.Contains(t, e.rows.records, quarantine.RecordKey(trait(0)))
}

func TestExpiredRowsAreRemoved(t *testing.T) {
	f := newFixture(t)
	a := f.loadedEntry(0)
	a.decide(trait(0))
	a.writeAll()
	f.pass(3 * time.Hour)
	b := f.loadedEntry(0)
	require.False(t, b.refuses(trait(0)))
	b.writeAll()
	require.Empty(t, f.stored())
}
