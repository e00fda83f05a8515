package roster

import (
	"context"
	"errors"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/platform/rowstore"
	"currantusher.dev/tables/relay"
	"currantusher.dev/tables/watch"
)

const (
	simPollInterval = 300 * time.Millisecond
	simRetryDelay   = 300 * time.Millisecond
	simMaxDelay     = 1500 * time.Millisecond
	simRelayAvoided = time.Second
)

var (
	simTables = []string{watch.OperatorTable, watch.ServersTable}
	// endedContext makes calls to a relay.Cache return without waiting.
	endedContext = func() context.Context {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		return ctx
	}()
)

// simDaemon is an entry without network: its follower, its relay and its own row.
type simDaemon struct {
	sim    *eraSim
	id     core.InstanceID
	centre core.DataCentre

	state   *watch.State
	readers map[string]*simReader
	imports []simImport
	cache   *relay.Cache
	answer  *simAnswer
	keeper  keeper
	write   *simWrite
	// reaches is whether the last call to the store succeeded.
	reaches bool
	// storeCutUntil and peersCutUntil are when the links work again.
	storeCutUntil, peersCutUntil, relayAvoidedUntil time.Time

	believed beliefs
	// eraReadAt is when the daemon first read rows of the latest era that it knows.
	eraReadAt time.Time
}

// simReader reads a table like watch.Follower.
type simReader struct {
	readAll bool
	callAt  time.Time
	call    *simCall
}

// simCall is a call whose answer arrives later.
type simCall struct {
	arrivesAt time.Time
	isDirect  bool
	isAll     bool
	since     rowstore.Position
	page      rowstore.Page
	err       error
}

type simImport struct {
	arrivesAt time.Time
	snapshot  watch.Snapshot
}

// simWrite is a write of the daemon's own row whose response arrives later.
type simWrite struct {
	arrivesAt   time.Time
	era         uint64
	knownBefore uint64
	err         error
}

// start starts a new process.
func (d *simDaemon) start() {
	d.state = watch.NewState()
	d.readers = map[string]*simReader{}
	for _, table := range simTables {
		d.readers[table] = &simReader{readAll: true, callAt: d.sim.now}
	}
	d.imports, d.write, d.keeper, d.believed = nil, nil, keeper{}, beliefs{}
	d.keeper.failed(d.sim.now, d.sim.delay(rewriteSpread))
	d.answer = &simAnswer{}
	d.cache = relay.NewCache(d.answer, func() time.Time { return d.sim.now })
}

func (d *simDaemon) isCutFromStore() bool { return d.sim.now.Before(d.storeCutUntil) }

func (d *simDaemon) isCutFromPeers() bool { return d.sim.now.Before(d.peersCutUntil) }

func (d *simDaemon) step() {
	for _, table := range simTables {
		d.receive(table)
		d.request(table)
	}
	d.importRows()
	d.keepRow()
	d.state.Expire(d.sim.now)
}

func (d *simDaemon) request(table string) {
	r := d.readers[table]
	if r.call != nil || d.sim.now.Before(r.callAt) {
		return
	}
	since, _ := d.state.Cursor(table)
	r.readAll = r.readAll || since.Era < d.state.Era()
	r.call = &simCall{arrivesAt: d.sim.now.Add(d.sim.delay(simMaxDelay)), isAll: r.readAll, since: since}
	if d.readFromRelay(table, since, r.call) {
		return
	}
	r.call.isDirect = true
	switch {
	case d.isCutFromStore():
		r.call.err = errDown
	case d.sim.isRelay(d) && !r.readAll && !d.cacheIsAt(table, since):
		r.call.err = rowstore.ErrHistoryGone
	case r.readAll:
		r.call.page, r.call.err = d.sim.store.readAll(table)
	default:
		r.call.page, r.call.err = d.sim.store.changes(table, since)
	}
}

func (d *simDaemon) cacheIsAt(table string, position rowstore.Position) bool {
	page, status := d.cache.AllRows(endedContext, table, 0)
	return status == relay.StatusServed && page.Position() == position
}

// readFromRelay reports whether a relay answered the call.
func (d *simDaemon) readFromRelay(table string, since rowstore.Position, call *simCall) bool {
	from := d.sim.relayFor(d)
	if from == nil || d.sim.now.Before(d.relayAvoidedUntil) || d.isCutFromPeers() || from.isCutFromPeers() {
		return false
	}
	var status relay.Status
	if call.isAll {
		call.page, status = from.cache.AllRows(endedContext, table, d.state.Era())
	} else {
		call.page, status = from.cache.ChangesSince(endedContext, table, since)
	}
	switch status {
	case relay.StatusTooOld:
		call.err = rowstore.ErrHistoryGone
	case relay.StatusNotCurrent:
		d.relayAvoidedUntil = d.sim.now.Add(simRelayAvoided)
		return false
	}
	return true
}

// receive handles an answer like watch.Follower.
func (d *simDaemon) receive(table string) {
	r := d.readers[table]
	call := r.call
	if call == nil || d.sim.now.Before(call.arrivesAt) {
		return
	}
	r.call = nil
	r.callAt = d.sim.now.Add(simPollInterval)
	page, err := call.page, call.err
	if call.isDirect && d.sim.isRelay(d) {
		page, err = d.passThroughCache(table, call)
	}
	applied := false
	if err == nil {
		d.state.MarkStoreUp(d.sim.now)
		if call.isAll {
			applied = d.state.Replace(d.sim.now, table, page)
		} else {
			applied = d.state.Apply(d.sim.now, table, page)
		}
	}
	switch {
	case err == nil && applied:
		r.readAll = false
		d.reaches = true
	case errors.Is(err, rowstore.ErrHistoryGone), err == nil && !call.isAll:
		r.readAll = true
		r.callAt = d.sim.now
	default:
		r.callAt = d.sim.now.Add(simRetryDelay)
		d.reaches = false
		if !d.sim.othersReachStore(d) {
			d.state.MarkStoreDown()
		}
	}
}

func (d *simDaemon) passThroughCache(table string, call *simCall) (rowstore.Page, error) {
	d.answer.page, d.answer.err = call.page, call.err
	if call.isAll {
		return d.cache.ReadAll(endedContext, table)
	}
	return d.cache.Changes(endedContext, table, call.since, 0)
}

// importRows takes over rows from a random peer that has later ones.
func (d *simDaemon) importRows() {
	for len(d.imports) > 0 && !d.sim.now.Before(d.imports[0].arrivesAt) {
		d.state.Import(d.sim.now, d.imports[0].snapshot)
		d.imports = d.imports[1:]
	}
	peer := d.sim.daemons[d.sim.random.IntN(len(d.sim.daemons))]
	if len(d.imports) > 0 || peer == d || d.isCutFromPeers() || peer.isCutFromPeers() {
		return
	}
	for _, table := range simTables {
		if peer.state.NewestChange(table).Compare(d.state.NewestChange(table)) > 0 {
			d.imports = append(d.imports, simImport{d.sim.now.Add(d.sim.delay(simMaxDelay)), peer.state.Export(table)})
			return
		}
	}
}

// keepRow writes the daemon's row like Roster.Keep.
func (d *simDaemon) keepRow() {
	now := d.sim.now
	if d.write != nil {
		if now.Before(d.write.arrivesAt) {
			return
		}
		if d.write.err == nil {
			d.keeper.accepted(d.write.era, d.write.knownBefore)
		} else {
			d.keeper.failed(now, rewriteSpread/2+d.sim.delay(rewriteSpread))
		}
		d.write = nil
	}
	d.keeper.see(now, d.state.Era(), d.sim.delay(rewriteSpread))
	if !d.keeper.isDue(now) {
		return
	}
	d.write = &simWrite{arrivesAt: now.Add(d.sim.delay(simMaxDelay)), knownBefore: d.keeper.seen, err: errDown}
	if d.isCutFromStore() {
		return
	}
	store := d.sim.store
	store.ownWrites = append(store.ownWrites, now)
	if store.down {
		return
	}
	store.write(rowstore.Row{Table: EntriesTable, Key: string(d.id), Value: []byte(d.id)})
	// The response may be lost although the row was written.
	if d.sim.random.IntN(10) > 0 {
		d.write.era, d.write.err = store.era, nil
	}
}
