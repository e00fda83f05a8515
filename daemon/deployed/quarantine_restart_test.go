package deployed

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/daemon/quarantinerows"
	"currantusher.dev/platform/nodefile"
	"currantusher.dev/platform/rowstore"
	"currantusher.dev/platform/standin"
)

// replaceEntries stops all entries, and starts as many that can learn nothing from them.
func (d *deployment) replaceEntries() {
	d.t.Helper()
	old := d.entries
	for _, stop := range d.entryStops {
		stop()
	}
	for _, entry := range old {
		d.eventually(func() bool { return isFree(entry) }, "entry %s does not stop", entry.Instance)
	}
	d.entries, d.metricsAddrs, d.entryStops = nil, nil, nil
	for _, entry := range old {
		d.runEntry(d.newNode(string(entry.Instance), string(entry.DataCentre), d.storeAddr))
	}
}

func isFree(entry nodefile.Node) bool {
	socket, err := net.ListenPacket("udp", entry.PeerAddr)
	if err != nil {
		return false
	}
	_ = socket.Close()
	return true
}

// startOnlyMortalPool starts a pool that takes all requests, and waits until all entries know it.
func (d *deployment) startOnlyMortalPool() mortalPool {
	d.t.Helper()
	for _, server := range d.plainServers {
		server.Drain()
	}
	pool := d.startMortalPool(3)
	runs := func() int {
		return len(d.plainServers[0].ExecutedRequests()) + len(d.plainServers[1].ExecutedRequests())
	}
	for entry := range d.entries {
		d.eventually(func() bool {
			before := runs()
			sound := d.sendRequest(entry, plainHost, "GET", "/look?lot=7", "sound", nil)
			return sound.status == http.StatusOK && runs() == before
		}, "entry %d does not know the servers", entry)
	}
	return pool
}

// quarantineRequest sends the deadly request until all entries refuse it.
func (d *deployment) quarantineRequest(pool mortalPool) {
	d.t.Helper()
	sent := 0
	d.eventually(func() bool {
		if pool.isUp() {
			d.sendDeadly(sent % len(d.entries))
			sent++
		}
		time.Sleep(crashGap)
		return d.isRefusing(0) && d.isRefusing(1)
	}, "the entries keep sending the deadly request")
	d.eventually(pool.isUp, "servers are not back")
}

func (d *deployment) sendDeadly(entry int) callResult {
	return d.sendRequest(entry, plainHost, "GET", "/look?lot=7", deadlyBody, nil)
}

func TestQuarantinedRequestStaysAwayFromServersAfterAllEntriesHaveEnded(t *testing.T) {
	d := startDeployment(t)
	pool := d.startOnlyMortalPool()
	d.quarantineRequest(pool)
	crashes := pool.crashes()
	for range 2 {
		d.replaceEntries()
		for entry := range d.entries {
			d.eventually(func() bool { return standin.IsReady(d.entries[entry].ReadyAddr) }, "entry %d is not ready", entry)
			require.Equal(t, http.StatusServiceUnavailable, d.sendDeadly(entry).status)
		}
	}
	require.Equal(t, crashes, pool.crashes(), "servers that ended after the quarantine")
}

func TestEntriesThatStartInAnOutageOfTheStoreLearnQuarantinesLater(t *testing.T) {
	d := startDeployment(t)
	pool := d.startOnlyMortalPool()
	d.store.SetDown(true)
	d.quarantineRequest(pool)
	d.store.SetDown(false)
	d.eventually(func() bool { return len(d.readRows(quarantinerows.Table)) == 1 }, "the quarantine is not written after the outage")

	d.store.SetDown(true)
	d.replaceEntries()
	d.store.SetDown(false)
	for entry := range d.entries {
		d.eventually(func() bool { return standin.IsReady(d.entries[entry].ReadyAddr) }, "entry %d is not ready", entry)
		require.Equal(t, http.StatusServiceUnavailable, d.sendDeadly(entry).status)
	}
}

func TestLiftedQuarantineIsLiftedAtRunningEntriesAndAfterTheirEnd(t *testing.T) {
	d := startDeployment(t)
	pool := d.startOnlyMortalPool()
	d.quarantineRequest(pool)
	d.eventually(func() bool { return len(d.readRows(quarantinerows.Table)) == 1 }, "the quarantine is not written")
	store := rowstore.New(d.storeAddr)
	stored, err := quarantinerows.Read(t.Context(), store)
	require.NoError(t, err)
	_, err = quarantinerows.Lift(t.Context(), store, stored.Records[0].Trait.ID)
	require.NoError(t, err)
	for entry := range d.entries {
		d.eventually(func() bool { return d.gauge(entry, "currantusher_quarantine_traits") == 0 }, "entry %d keeps the lifted quarantine", entry)
	}
	d.replaceEntries()
	for entry := range d.entries {
		d.eventually(func() bool { return standin.IsReady(d.entries[entry].ReadyAddr) }, "entry %d is not ready", entry)
		require.Zero(t, max(0, d.gauge(entry, "currantusher_quarantine_traits")))
	}
}
