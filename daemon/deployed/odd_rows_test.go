package deployed

import (
	"cmp"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/fleet"
	"currantusher.dev/daemon/roster"
	"currantusher.dev/platform/standin"
	"currantusher.dev/tables/watch"
)

// Guards against daemons that end, or no longer follow a table, because of one row.
func TestOddRowsOfOtherWritersHaveNoEffect(t *testing.T) {
	d := startDeployment(t)
	var trapped atomic.Int64
	trap := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { trapped.Add(1) }))
	t.Cleanup(trap.Close)
	requireServed := func(when string) {
		t.Helper()
		for entry := range d.entries {
			require.Equal(t, http.StatusOK, d.sendRequest(entry, plainHost, "POST", "/look", "b", nil).status, when)
		}
	}
	d.store.Put(watch.ServersTable, "a\r\nX-Injected: 1", standin.ServerRow("lots", trap.Listener.Addr().String()))
	oddRows := standin.OddServerRows("lots", trap.Listener.Addr().String())
	// The largest one is last and stays under all names.
	bySize := func(a, b string) int { return cmp.Or(cmp.Compare(len(oddRows[a]), len(oddRows[b])), cmp.Compare(a, b)) }
	for _, name := range slices.SortedFunc(maps.Keys(oddRows), bySize) {
		odd := oddRows[name]
		d.store.Put(watch.ServersTable, "odd "+name, odd)
		d.store.Put(watch.ServersTable, "changing", odd)
		d.store.Put(roster.EntriesTable, "odd", odd)
		d.store.Put(roster.AgentsTable, "odd", odd)
		d.store.Put(watch.OperatorTable, standin.ConfigKey, odd)
		d.store.Put(watch.OperatorTable, standin.VersionKey(modelName), odd)
		requireServed(name)
	}
	added := d.startBackend("lots", "", "a", 7)
	d.eventually(func() bool {
		requireServed("a good row follows")
		return len(added.ExecutedRequests()) > 0
	}, "a later row is not followed")
	d.store.PutVersion(modelName, 2)
	for _, engine := range d.engines {
		d.eventually(func() bool { return engine.Version() == 2 }, "a later version is not followed")
	}
	changed := d.config
	changed.Version = 2
	changed.Routes = append(changed.Routes, fleet.Route{
		Name: "r-new", Host: "new.example", Prefix: "/", Kind: fleet.RouteSafe, Timeout: waitTimeout, Targets: []fleet.Target{{Service: "lots", Weight: 1}}, MaxAttempts: 2,
	})
	d.store.PutConfig(changed)
	for entry := range d.entries {
		d.eventually(func() bool {
			return d.sendRequest(entry, "new.example", "POST", "/x", "b", nil).status == http.StatusOK
		}, "a later configuration is not followed")
	}
	d.store.Remove(watch.ServersTable, "changing")
	requireServed("an odd row is removed")
	require.Zero(t, trapped.Load(), "requests to the server that odd rows name")
}
