package deployed

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/fleet"
	"currantusher.dev/daemon/roster"
	"currantusher.dev/platform/standin"
	"currantusher.dev/tables/watch"
)

// rowWith returns the row of a server with the JSON text of one field.
func rowWith(addr, field, text string) string {
	fields := map[string]string{
		"service": `"lots"`, "address": `"` + addr + `"`, "zone": `"a"`, "version": `"v1"`, "slots": "16", "state": `"ready"`, "coldLeftMs": "0", "seq": "0",
	}
	fields[field] = text
	var list []string
	for name, value := range fields {
		list = append(list, fmt.Sprintf("%q:%s", name, value))
	}
	return "{" + strings.Join(list, ",") + "}"
}

// oddValues returns values of rows that name no server to use, although most of them have
// the address of a server that listens.
func oddValues(addr string) []string {
	nested := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	row := func(field, text string) string { return rowWith(addr, field, text) }
	host, port, _ := strings.Cut(addr, ":")
	return []string{
		"", "null", "[]", nested, "\xff\xfe", "{}", row("other", nested), row("models", nested), row("zone", "\"\xff\""), row("zone", "null"),
		row("slots", "1e400"), row("slots", "9223372036854775807"), row("seq", "9223372036854775807"), row("born", "9223372036854775807"),
		row("coldLeftMs", "1e300"), row("coldLeftMs", "1e400"), row("state", `"resting"`), row("service", "7"),
		row("address", `"`+host+`:0"`), row("address", `"`+host+`:65536"`), row("address", `"`+host+`:99999999999"`), row("address", `"localhost:`+port+`"`),
	}
}

// Guards against daemons that end, or no longer follow a table, because of one row.
func TestOddRowsOfOtherWritersHaveNoEffect(t *testing.T) {
	d := startDeployment(t)
	var trapped atomic.Int64
	trap := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { trapped.Add(1) }))
	t.Cleanup(trap.Close)
	requireServed := func(odd string) {
		t.Helper()
		for entry := range d.entries {
			require.Equal(t, http.StatusOK, d.sendRequest(entry, plainHost, "POST", "/look", "b", nil).status, "%.80s", odd)
		}
	}
	d.store.Put(watch.ServersTable, "a\r\nX-Injected: 1", []byte(rowWith(trap.Listener.Addr().String(), "other", "1")))
	for i, odd := range oddValues(trap.Listener.Addr().String()) {
		d.store.Put(watch.ServersTable, fmt.Sprintf("odd-%02d", i), []byte(odd))
		d.store.Put(watch.ServersTable, "changing", []byte(odd))
		d.store.Put(roster.EntriesTable, "odd", []byte(odd))
		d.store.Put(roster.AgentsTable, "odd", []byte(odd))
		d.store.Put(watch.OperatorTable, standin.ConfigKey, []byte(odd))
		d.store.Put(watch.OperatorTable, standin.VersionKey(modelName), []byte(odd))
		requireServed(odd)
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
