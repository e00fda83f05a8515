package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"currantusher.dev/core/httpcall"
	"currantusher.dev/core/netdial"
	"currantusher.dev/tables/watch"
)

const (
	// peerSyncPeriod is how often this entry's revisions are compared with those
	// of the other entries. A change must be in force within two seconds; the
	// store's feed delivers it within a few hundred milliseconds.
	peerSyncPeriod = 250 * time.Millisecond
	// peerTimeout bounds a request to another entry.
	peerTimeout = time.Second
	// maxSnapshotBytes bounds the encoded snapshot of a table from a peer.
	maxSnapshotBytes = 8 << 20
	rowsPath         = "/rows/"
	// idlePeerTimeout is how long a connection to another entry is kept for the next table.
	idlePeerTimeout = 5 * time.Second
)

var snapshotAnswer = httpcall.Answer{Kind: "entry's rows", MaxBodyBytes: maxSnapshotBytes, Timeout: peerTimeout}

// join registers this entry in the store, reads the other entries' rows and
// contacts them by gossip.
func (g *Gateway) join(ctx context.Context) error {
	for _, ip := range g.config.Node.SeedIPs {
		g.gossip.AddPeerAddrs(net.JoinHostPort(ip, strconv.Itoa(g.config.Node.PeerPort)))
	}
	joinCtx, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		// Stops the retries when the entry leaves: a row written after its removal
		// would never be deleted.
		_ = runPeriodically(joinCtx, leavePollPeriod, func() {
			if g.leaving.Load() {
				stop()
			}
		})
	}()
	if err := g.roster.WriteWithRetry(joinCtx, string(g.config.Node.Instance), g.selfMember()); err != nil {
		return err
	}
	entries, ok := g.roster.ReadWithRetry(joinCtx)
	g.gossip.Introduce(entries)
	g.entriesLoaded.Store(ok)
	return nil
}

// keepRow writes this entry's row again after losses of the store.
func (g *Gateway) keepRow(ctx context.Context) error {
	return g.roster.Keep(ctx, func() uint64 { return g.follower.View().Era })
}

// syncFromPeers fetches tables from entries with a later revision, which happens
// while this entry cannot reach the store.
func (g *Gateway) syncFromPeers(ctx context.Context) error {
	client := httpcall.New(httpcall.Config{Dial: netdial.New(peerTimeout).DialContext, MaxIdleConns: 1, IdleTimeout: idlePeerTimeout, Faults: g.faults})
	checksBehind := map[string]int{}
	return runPeriodically(ctx, peerSyncPeriod, func() {
		for table, position := range positions(g.follower.View()) {
			addr := g.gossip.PeerWithNewerRevision(table, position.Era, position.Revision)
			if addr == "" {
				checksBehind[table] = 0
				continue
			}
			// The store's feed usually delivers the change before the next check.
			checksBehind[table]++
			if checksBehind[table] < 2 {
				continue
			}
			checksBehind[table] = 0
			if err := g.fetchTable(ctx, client, addr, table); err != nil {
				g.log.WithError(err).WithField("peer", addr).Warn("Could not fetch rows from a peer.")
			}
		}
	})
}

// fetchTable imports a peer's snapshot of a table if it is newer.
func (g *Gateway) fetchTable(ctx context.Context, client *httpcall.Client, addr, table string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+rowsPath+table, nil)
	if err != nil {
		return err
	}
	response, err := client.Do(request, snapshotAnswer)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("the peer returned status %d", response.StatusCode)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	var snapshot watch.Snapshot
	if err := cbor.Unmarshal(body, &snapshot); err != nil {
		return fmt.Errorf("decode snapshot from peer: %w", err)
	}
	if g.follower.Import(snapshot) {
		g.log.WithFields(logrus.Fields{"peer": addr, "table": table, "era": snapshot.Era, "revision": snapshot.NewestRevision}).Info("Fetched rows from a peer.")
	}
	return nil
}

// serveRows sends a snapshot of a table to another entry.
func (g *Gateway) serveRows(w http.ResponseWriter, r *http.Request) {
	table := r.PathValue("table")
	if table != watch.OperatorTable && table != watch.ServersTable && table != watch.LostRows {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body, err := cbor.Marshal(g.follower.Export(table))
	if err != nil {
		g.log.WithError(err).Error("Could not encode rows for a peer.")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	// If the write fails, the requesting entry retries.
	_, _ = w.Write(body)
}
