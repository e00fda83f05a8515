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

	"currantusher.dev/tables/watch"
)

const (
	// peersPeriod is how often the entry looks whether others know more. A
	// change must be in force within two seconds, the feed's own delay is a
	// few hundred milliseconds.
	peersPeriod = 250 * time.Millisecond
	// peerTimeout bounds a question to another entry.
	peerTimeout = time.Second
	// maxSnapshotBytes bounds a table that a peer hands over.
	maxSnapshotBytes = 8 << 20
	pathRows         = "/rows/"
)

// join introduces this entry to the others, and them to it.
func (g *Gateway) join(ctx context.Context) error {
	for _, ip := range g.config.Node.SeedIPs {
		g.gossip.Introduce(net.JoinHostPort(ip, strconv.Itoa(g.config.Node.PeerPort)))
	}
	joining, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		// A row that is written after the entry left would name it for ever.
		_ = every(joining, leavePoll, func() {
			if g.leaving.Load() {
				stop()
			}
		})
	}()
	if err := g.roster.WriteWithRetry(joining, string(g.config.Node.Instance), g.self()); err != nil {
		return err
	}
	entries, ok := g.roster.ReadWithRetry(joining)
	for _, member := range entries {
		g.gossip.Introduce(member.PeerAddr)
	}
	g.knowsEntries.Store(ok)
	return nil
}

// followPeers takes rows from other entries that know later ones, which
// happens while the store does not answer this entry.
func (g *Gateway) followPeers(ctx context.Context) error {
	client := &http.Client{Timeout: peerTimeout}
	behind := map[string]int{}
	return every(ctx, peersPeriod, func() {
		for table, revision := range g.revisions() {
			addr := g.gossip.Ahead(table, revision)
			if addr == "" {
				behind[table] = 0
				continue
			}
			// The feed usually brings the change before the next look.
			behind[table]++
			if behind[table] < 2 {
				continue
			}
			behind[table] = 0
			if err := g.pull(ctx, client, addr, table); err != nil {
				g.log.WithError(err).WithField("peer", addr).Warn("Rows not taken from a peer.")
			}
		}
	})
}

func (g *Gateway) pull(ctx context.Context, client *http.Client, addr, table string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+pathRows+table, nil)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxSnapshotBytes))
	if err != nil {
		return err
	}
	var snapshot watch.Snapshot
	if err := cbor.Unmarshal(body, &snapshot); err != nil {
		return fmt.Errorf("unreadable rows: %w", err)
	}
	if g.follower.Import(snapshot) {
		g.log.WithField("peer", addr).WithField("table", table).WithField("revision", snapshot.Content).Info("Rows taken from a peer.")
	}
	return nil
}

// serveRows hands a table to another entry.
func (g *Gateway) serveRows(w http.ResponseWriter, r *http.Request) {
	table := r.PathValue("table")
	if table != watch.OperatorTable && table != watch.ServersTable {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body, err := cbor.Marshal(g.follower.Export(table))
	if err != nil {
		g.log.WithError(err).Error("Rows not encoded.")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	// A failed write concerns the asking entry, which asks again.
	_, _ = w.Write(body)
}
