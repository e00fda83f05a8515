package watch

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/platform/rowstore"
	"currantusher.dev/platform/standin"
)

var start = time.Unix(1000, 0)

func serverRow(id string, revision uint64, fields map[string]any) rowstore.Row {
	value := map[string]any{"service": "llm", "address": "10.0.0.1:80", "zone": "a", "state": "ready", "seq": 0, "born": 1}
	for name, field := range fields {
		value[name] = field
	}
	text, _ := json.Marshal(value)
	return rowstore.Row{Table: ServersTable, Key: id, Value: text, Revision: revision}
}

func configRow(version int64, revision uint64) rowstore.Row {
	text := standin.ConfigRow(fleet.Configuration{
		Version:  version,
		Services: []fleet.Service{{Name: "llm", ColdStart: 3 * time.Second}},
	})
	return operatorRow(standin.ConfigKey, string(text), revision)
}

func operatorRow(key, text string, revision uint64) rowstore.Row {
	return rowstore.Row{Table: OperatorTable, Key: key, Value: []byte(text), Revision: revision}
}

func page(revision uint64, rows ...rowstore.Row) rowstore.Page {
	return rowstore.Page{Rows: rows, Revision: revision}
}

func loaded(t *testing.T) *State {
	t.Helper()
	s := NewState()
	require.True(t, s.Replace(start, OperatorTable, page(5, configRow(3, 5))))
	require.True(t, s.Replace(start, ServersTable, page(6, serverRow("s-1", 6, nil))))
	return s
}

func ids(v *View) []string {
	var list []string
	for _, server := range v.Servers["llm"] {
		list = append(list, string(server.ID))
	}
	return list
}

func TestConfigurationNeverRegresses(t *testing.T) {
	s := loaded(t)
	s.Apply(start, OperatorTable, page(9, configRow(2, 9)))
	require.EqualValues(t, 3, s.View().Table.Config.Version)
	s.Apply(start, OperatorTable, page(10, operatorRow(standin.ConfigKey, "{", 10)))
	require.EqualValues(t, 3, s.View().Table.Config.Version, "an unreadable row names nothing")
	s.Apply(start, OperatorTable, page(11, configRow(7, 11)))
	require.EqualValues(t, 7, s.View().Table.Config.Version)
	require.False(t, s.Replace(start, OperatorTable, page(8, configRow(6, 8))), "an older answer")
	require.EqualValues(t, 7, s.View().Table.Config.Version)
}

func TestBrokenServerRowNamesNoServer(t *testing.T) {
	s := loaded(t)
	cases := []map[string]any{{"address": 7}, {"zone": nil}, {"state": "resting"}, {"address": "here"}}
	for i, fields := range cases {
		s.Apply(start, ServersTable, page(uint64(20+i), serverRow("s-2", uint64(20+i), fields)))
		require.Equal(t, []string{"s-1"}, ids(s.View()), "%v", fields)
	}
}

func TestOlderStateOfAServerIsIgnored(t *testing.T) {
	s := loaded(t)
	s.Apply(start, ServersTable, page(7, serverRow("s-1", 7, map[string]any{"state": "draining", "seq": 4})))
	s.Apply(start, ServersTable, page(8, serverRow("s-1", 8, map[string]any{"seq": 4})))
	require.True(t, s.View().Servers["llm"][0].Leaving, "a server that leaves does not return in its life")
	s.Apply(start, ServersTable, page(9, serverRow("s-1", 9, map[string]any{"born": 2})))
	require.False(t, s.View().Servers["llm"][0].Leaving, "a new life")
	require.True(t, s.View().Servers["llm"][0].ColdUntil.Equal(start.Add(3*time.Second)))
}

func TestLapsedRowsAfterAnOutage(t *testing.T) {
	gone := rowstore.Row{Table: ServersTable, Key: "s-1", Revision: 9, Deleted: true}

	s := loaded(t)
	s.Apply(start, ServersTable, page(9, gone))
	require.Empty(t, ids(s.View()), "without an outage a server is gone at once")

	s = loaded(t)
	s.StoreAway()
	back := start.Add(5 * time.Second)
	s.StoreBack(back)
	s.Apply(back, ServersTable, page(9, gone))
	require.Equal(t, []string{"s-1"}, ids(s.View()))
	s.Expire(back.Add(lapseGrace - time.Millisecond))
	require.Equal(t, []string{"s-1"}, ids(s.View()))
	s.Expire(back.Add(lapseGrace))
	require.Empty(t, ids(s.View()))

	s = loaded(t)
	s.StoreAway()
	s.StoreBack(back)
	s.Apply(back, ServersTable, page(9, gone))
	s.Apply(back, ServersTable, page(10, serverRow("s-1", 10, nil)))
	s.Expire(back.Add(lapseGrace))
	require.Equal(t, []string{"s-1"}, ids(s.View()), "it wrote its row again")
}

func TestEvacuationAndReturn(t *testing.T) {
	s := loaded(t)
	s.Apply(start, OperatorTable, page(7, operatorRow(standin.EvacuationKey("a"), "{}", 7)))
	require.True(t, s.View().OutDataCentres["a"])
	later := start.Add(time.Minute)
	s.Apply(later, OperatorTable, page(8, rowstore.Row{Table: OperatorTable, Key: standin.EvacuationKey("a"), Revision: 8, Deleted: true}))
	require.False(t, s.View().OutDataCentres["a"])
	require.True(t, s.View().Servers["llm"][0].ColdUntil.Equal(later.Add(3*time.Second)), "servers may be cold on return")
}

func TestEachVersionKeepsItsOwnTime(t *testing.T) {
	s := loaded(t)
	name := func(version int, at time.Time, revision uint64) {
		text := string(standin.VersionRow("m", version))
		s.Apply(at, OperatorTable, page(revision, operatorRow(standin.VersionKey("m"), text, revision)))
	}
	name(2, start, 7)
	name(3, start.Add(2*time.Second), 8)
	v := s.View()
	const inForce = 8 * time.Second
	require.EqualValues(t, 0, v.RequiredVersion(start.Add(7*time.Second), "m", inForce))
	require.EqualValues(t, 2, v.RequiredVersion(start.Add(8*time.Second), "m", inForce), "a newer version puts off none")
	require.EqualValues(t, 3, v.RequiredVersion(start.Add(10*time.Second), "m", inForce))
	require.EqualValues(t, 3, v.NewestTarget("m").Version)
}

func TestPeersHandOverNewerRows(t *testing.T) {
	ahead, behind := loaded(t), loaded(t)
	ahead.Apply(start, OperatorTable, page(9, configRow(8, 9), operatorRow(standin.EvacuationKey("a"), "{}", 9)))
	require.True(t, behind.Import(start, ahead.Export(OperatorTable)))
	require.EqualValues(t, 8, behind.View().Table.Config.Version)
	require.True(t, behind.View().OutDataCentres[core.DataCentre("a")])
	require.False(t, behind.Import(start, ahead.Export(OperatorTable)), "it is no newer now")
	require.False(t, ahead.Import(start, loaded(t).Export(OperatorTable)), "older rows change nothing")
	require.EqualValues(t, ahead.Content(OperatorTable), behind.Content(OperatorTable))
}

func TestRequiredOfUnknownModel(t *testing.T) {
	require.Zero(t, loaded(t).View().RequiredVersion(start, fleet.Model("x"), 0))
}

// An entry that starts while a version is on its way must not refuse servers
// that need not have it yet.
func TestNewDaemonLearnsSinceWhenAVersionIsNamed(t *testing.T) {
	const inForce = 8 * time.Second
	s := NewState()
	s.Replace(start, OperatorTable, page(5, rowstore.Row{
		Table: OperatorTable, Key: standin.VersionKey("m"), Revision: 5, Value: standin.VersionRow("m", 2),
	}))
	require.EqualValues(t, 2, s.View().RequiredVersion(start, "m", inForce), "nothing is known of its time")
	require.False(t, s.LearnSince("m", 3, start))
	require.True(t, s.LearnSince("m", 2, start.Add(-3*time.Second)))
	require.Zero(t, s.View().RequiredVersion(start, "m", inForce))
	require.EqualValues(t, 2, s.View().RequiredVersion(start.Add(5*time.Second), "m", inForce))
	require.False(t, s.LearnSince("m", 2, start), "what is known stays")
}
