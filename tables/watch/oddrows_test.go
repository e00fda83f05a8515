package watch

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"currantusher.dev/platform/rowstore"
	"currantusher.dev/platform/standin"
)

// maxLoggedBytes is more than the text of any event needs.
const maxLoggedBytes = 2000

// oddServerRows returns rows of a server, by what is odd about each.
func oddServerRows(id string) map[string]rowstore.Row {
	rows := map[string]rowstore.Row{}
	for name, value := range standin.OddServerRows("llm", "10.0.0.1:80") {
		rows[name] = rowstore.Row{Table: ServersTable, Key: id, Value: value}
	}
	return rows
}

// countingStore counts the reads of all rows. The first one of the servers has a number of
// rows that cannot be read.
type countingStore struct {
	outageStore
	fullReads, unreadable int
}

func (s *countingStore) ReadAll(ctx context.Context, table string) (rowstore.Page, error) {
	page, err := s.outageStore.ReadAll(ctx, table)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fullReads++
	if table == ServersTable {
		page.Unreadable = s.unreadable
	}
	return page, err
}

func at(row rowstore.Row, revision uint64) rowstore.Row {
	row.Revision = revision
	return row
}

func requireIgnoredOnce(t *testing.T, s *State, name string) {
	t.Helper()
	ignored := slices.DeleteFunc(s.TakeEvents(), func(e Event) bool { return !e.Ignored })
	require.Len(t, ignored, 1, name)
	require.Less(t, len(fmt.Sprint(ignored)), maxLoggedBytes, name)
}

func TestOddServerRowLeavesTheOthersInForce(t *testing.T) {
	for name, odd := range oddServerRows("s-2") {
		first := newPage(7, serverRow("s-1", 6, nil), at(odd, 7), serverRow("s-3", 5, nil))
		t.Run(name, func(t *testing.T) {
			s := NewState()
			require.True(t, s.Replace(start, ServersTable, first))
			require.Equal(t, []string{"s-1", "s-3"}, serverIDs(s.View()))
			requireIgnoredOnce(t, s, "the first read")
			require.True(t, s.Replace(start, ServersTable, first))
			require.True(t, s.Apply(start, ServersTable, newPage(8)))
			require.Empty(t, s.TakeEvents(), "later reads of the same row")

			peer := NewState()
			require.True(t, peer.Import(start, s.Export(ServersTable)))
			require.Equal(t, []string{"s-1", "s-3"}, serverIDs(peer.View()), "rows from a peer")

			s.Apply(start, ServersTable, newPage(9, serverRow("s-2", 9, nil)))
			require.Equal(t, []string{"s-1", "s-2", "s-3"}, serverIDs(s.View()), "a later good row")
			s.TakeEvents()
			s.Apply(start, ServersTable, newPage(11, serverRow("s-4", 10, nil), at(odd, 11), serverRow("s-5", 11, nil)))
			require.Equal(t, []string{"s-1", "s-3", "s-4", "s-5"}, serverIDs(s.View()), "an odd row through the feed")
			requireIgnoredOnce(t, s, "the feed")

			s.Apply(start, ServersTable, newPage(12, rowstore.Row{Table: ServersTable, Key: "s-2", Revision: 12, Deleted: true}))
			require.Equal(t, []string{"s-1", "s-3", "s-4", "s-5"}, serverIDs(s.View()), "the odd row is removed")
			s.Apply(start, ServersTable, newPage(13, serverRow("s-2", 13, nil)))
			require.Contains(t, serverIDs(s.View()), "s-2")
			require.True(t, s.View().Servers["llm"][0].ColdUntil.Before(start.Add(time.Hour)))
		})
	}
}

// Guards against a server that accepts requests again, or counts as newly started, after a
// row of another writer under its id.
func TestInvalidRowKeepsTheStateOfTheServerWhoseIDItHas(t *testing.T) {
	for name, odd := range oddServerRows("s-1") {
		s := newLoadedState(t)
		s.Apply(start, ServersTable, newPage(21, serverRow("s-1", 21, map[string]any{"state": "draining", "seq": 4})))
		known := s.View().Servers["llm"][0]
		s.TakeEvents()
		s.Apply(start, ServersTable, newPage(22, at(odd, 22)))
		require.NotContains(t, serverIDs(s.View()), "s-1", name)
		requireIgnoredOnce(t, s, name)
		s.Apply(start, ServersTable, newPage(23, at(odd, 23)))
		require.Empty(t, s.TakeEvents(), "%s: the same row again", name)
		s.Apply(start, ServersTable, newPage(24, serverRow("s-1", 24, map[string]any{"seq": 4})))
		require.Equal(t, known, s.View().Servers["llm"][0], name)
		s.Apply(start, ServersTable, newPage(25, serverRow("s-1", 25, map[string]any{"state": "draining", "seq": 4})))
		require.Equal(t, known, s.View().Servers["llm"][0], name)
	}
}

// Guards against the use of a server whose invalid row expires during an outage.
func TestExpiryOfAnInvalidRowDuringAnOutageLeavesNoServer(t *testing.T) {
	for name, odd := range oddServerRows("s-1") {
		s := newLoadedState(t)
		s.Apply(start, ServersTable, newPage(21, at(odd, 21)))
		s.MarkStoreDown()
		s.Apply(start, ServersTable, newPage(22, rowstore.Row{Table: ServersTable, Key: "s-1", Revision: 22, Deleted: true}))
		require.NotContains(t, serverIDs(s.View()), "s-1", name)
	}
}

func TestOddOperatorRowsLeaveTheRestInForce(t *testing.T) {
	nested := strings.Repeat(`{"version":`, 100_000)
	odd := []string{
		"", "null", "[]", "7", "{}", "{", nested, `{"version":-1e400}`, `{"version":1e30}`, `{"version":9223372036854775807}`, `{"version":"9"}`,
		`{"version":9}}`, "\xff", `{"version":` + strings.Repeat("9", 1<<20) + "}",
	}
	s := newLoadedState(t)
	revision := uint64(20)
	apply := func(rows ...rowstore.Row) {
		for i := range rows {
			revision++
			rows[i].Revision = revision
		}
		require.True(t, s.Apply(start, OperatorTable, newPage(revision, rows...)))
	}
	for i, value := range odd {
		version := i + 4
		s.TakeEvents()
		apply(operatorRow(standin.ConfigKey, value, 0), operatorRow(standin.VersionKey("m"), value, 0))
		events := s.TakeEvents()
		require.Len(t, events, 2, "%.40s", value)
		require.Less(t, len(fmt.Sprint(events)), 2*maxLoggedBytes, "%.40s", value)
		require.EqualValues(t, version-1, s.View().Table.Config.Version, "%.40s", value)
		page := newPage(revision, slices.Collect(maps.Values(s.tables[OperatorTable].rows))...)
		require.True(t, s.Replace(start, OperatorTable, page))
		require.Empty(t, s.TakeEvents(), "later reads of the same rows")
		apply(operatorRow(standin.VersionKey("m"), string(standin.VersionRow("m", version)), 0), configRow(int64(version), 0))
		require.EqualValues(t, version, s.View().Table.Config.Version, "%.40s", value)
		require.EqualValues(t, version, s.View().NewestTarget("m").Version, "%.40s", value)
	}
	s.TakeEvents()
	for _, key := range []string{"", "other", "evacuate", "version", "config/x"} {
		apply(operatorRow(key, "{", 0))
		require.Empty(t, s.TakeEvents(), "%q", key)
	}
	apply(operatorRow(standin.EvacuationKey("a"), nested, 0))
	require.True(t, s.View().OutDataCentres["a"], "the key says which data centre is out")
}

// The follower reads on after odd rows, at its usual rate, and logs each once.
func TestFollowerReadsOnAfterOddRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &countingStore{outageStore: outageStore{changes: map[string][]rowstore.Row{}}}
		odd := oddServerRows("s-2")
		store.add(configRow(3, 1))
		store.add(at(odd["nested"], 2))
		store.add(serverRow("s-1", 3, nil))
		store.unreadable = 1
		logger, hook := logtest.NewNullLogger()
		f := NewFollower(Config{Store: store, Tables: []string{OperatorTable, ServersTable}, Log: logrus.NewEntry(logger), Now: time.Now})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = f.Run(ctx)
		}()
		defer func() {
			cancel()
			<-done
		}()
		time.Sleep(10 * time.Second)
		require.Equal(t, []string{"s-1"}, serverIDs(f.View()))
		store.add(at(odd[`address "10.0.0.1:65536"`], 4))
		store.add(serverRow("s-3", 5, nil))
		time.Sleep(10 * time.Second)
		require.Equal(t, []string{"s-1", "s-3"}, serverIDs(f.View()))
		store.add(serverRow("s-2", 6, nil))
		time.Sleep(10 * time.Second)
		require.Equal(t, []string{"s-1", "s-2", "s-3"}, serverIDs(f.View()))
		require.True(t, f.ReachesStore())
		require.Equal(t, 2, store.fullReads, "one for each table")
		counts := map[string]int{}
		for _, entry := range hook.AllEntries() {
			if entry.Data["key"] == "s-2" && strings.HasPrefix(entry.Message, "ignored") {
				counts["ignored"]++
			}
			counts[entry.Message]++
		}
		require.Equal(t, 2, counts["ignored"])
		require.Equal(t, 1, counts["Some rows cannot be read; ignoring them."])
	})
}
