package main

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"sync"
	"syscall"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/core/keys"
	"currantusher.dev/platform"
	"currantusher.dev/standin/store"
	"currantusher.dev/tables"
	"currantusher.dev/tables/edit"
	"currantusher.dev/tables/spread"
	"currantusher.dev/wire"
)

const (
	pollPeriod   = 2 * time.Millisecond
	readyTimeout = 2 * time.Minute
	storeRegion  = "region-0"
)

// fleetConfig sizes a fleet and its run.
type fleetConfig struct {
	DataCentres int
	Regions     int
	Entries     int
	Agents      int
	Edits       int
	Pause       time.Duration
	Settle      time.Duration
	Quiet       time.Duration
	Routes      int
}

type fleet struct {
	config    fleetConfig
	authority *keys.Authority
	memory    *store.Memory
	editor    *edit.Editor
	cancel    context.CancelFunc
	members   []spread.Neighbour
	managers  []*spread.Manager
	peers     []*wire.Endpoint
	running   sync.WaitGroup
	stalls    stallWatch
}

func newFleet(ctx context.Context, config fleetConfig) (*fleet, error) {
	authority, err := keys.NewAuthority()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	memory := store.NewMemory(store.Config{})
	f := &fleet{
		config:    config,
		authority: authority,
		memory:    memory,
		editor:    edit.New(edit.Config{Tables: memory}),
		cancel:    cancel,
	}
	if _, err := f.editor.Apply(ctx, edit.Request{ID: "base", Set: f.base()}); err != nil {
		return nil, err
	}
	if err := f.listen(); err != nil {
		return nil, err
	}
	f.running.Go(func() { f.stalls.run(ctx) })
	for i := range f.members {
		f.start(ctx, i)
	}
	return f, nil
}

func (f *fleet) base() tables.Rows {
	rows := tables.Rows{Teams: []tables.TeamRow{{Name: "team", Weight: 1}}}
	for i := range f.config.Routes {
		pool := core.PoolName(fmt.Sprintf("pool-%d", i))
		rows.Pools = append(rows.Pools, tables.Pool{
			Name:    pool,
			Group:   core.Group(pool),
			Kind:    tables.PoolEngine,
			Weights: core.DigestOf([]byte(pool)),
			Limits:  tables.Limits{ColdRequests: 1, WarmRequests: 8},
		})
		rows.Routes = append(rows.Routes, tables.Route{Name: core.RouteName(fmt.Sprintf("route-%d", i)), Pool: pool, DeadlineMillis: 10000})
	}
	return rows
}

// listen opens all endpoints, so that every daemon knows all addresses from
// the start.
func (f *fleet) listen() error {
	for i := range f.config.Entries + f.config.Agents {
		id := core.InstanceID(fmt.Sprintf("daemon-%d", i))
		pair, err := f.authority.Issue(id)
		if err != nil {
			return err
		}
		settings, err := keys.TLSConfig(f.authority.CertPEM(), pair)
		if err != nil {
			return err
		}
		peer, err := wire.Listen("127.0.0.1:0", settings)
		if err != nil {
			return err
		}
		role := platform.RoleAgent
		if i < f.config.Entries {
			role = platform.RoleEntry
		}
		place := i % f.config.DataCentres
		f.peers = append(f.peers, peer)
		f.members = append(f.members, spread.Neighbour{
			ID:         id,
			Role:       role,
			DataCentre: core.DataCentre(fmt.Sprintf("dc-%d", place)),
			Region:     core.Region(fmt.Sprintf("region-%d", place%f.config.Regions)),
			Addr:       peer.Addr(),
		})
	}
	return nil
}

func (f *fleet) start(ctx context.Context, i int) {
	settings := spread.Config{
		Self:        f.members[i],
		StoreRegion: storeRegion,
		Peer:        f.peers[i],
		Neighbours:  func() []spread.Neighbour { return f.members },
	}
	if f.members[i].Role == platform.RoleEntry {
		settings.Loader = f.editor
		settings.Objects = f.memory
	}
	manager := spread.New(settings)
	f.managers = append(f.managers, manager)
	f.running.Go(func() { _ = f.peers[i].Serve(ctx) })
	f.running.Go(func() { _ = manager.Run(ctx) })
}

func (f *fleet) close() {
	f.cancel()
	for _, peer := range f.peers {
		_ = peer.Close()
	}
	f.running.Wait()
}

func (f *fleet) size() int { return len(f.members) }

func (f *fleet) usage() usage {
	var counted syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &counted)
	stats := f.memory.Stats()
	return usage{
		at:        time.Now(),
		processor: time.Duration(counted.Utime.Nano() + counted.Stime.Nano()),
		bytes:     loopbackBytes(),
		reads:     stats.Reads,
		writes:    stats.Writes,
	}
}

// waitFor waits until the revision is in force and fresh at every daemon.
func (f *fleet) waitFor(ctx context.Context, revision core.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, manager := range f.managers {
		for !inForce(manager, revision) {
			if err := sleep(ctx, pollPeriod); err != nil {
				return fmt.Errorf("revision %d is not in force everywhere: %w", revision, err)
			}
		}
	}
	return nil
}

func inForce(manager *spread.Manager, revision core.Revision) bool {
	config := manager.Current()
	return config != nil && config.Revision() >= revision && manager.CheckFresh(time.Now()) == nil
}

// timeEdits times edits through an entry and direct edits of the tables in
// turn, from the commit to the last daemon.
func (f *fleet) timeEdits(ctx context.Context) error {
	times := map[string][]time.Duration{}
	var stalls []time.Duration
	for n := range f.config.Edits {
		kind, edit := "edit through an entry", f.throughEntry
		if n%2 == 1 {
			kind, edit = "direct edit", f.direct
		}
		f.stalls.take()
		committed, revision, err := edit(ctx, n)
		if err != nil {
			return err
		}
		if err := f.waitFor(ctx, revision); err != nil {
			return err
		}
		times[kind] = append(times[kind], time.Since(committed))
		stalls = append(stalls, f.stalls.take())
		if err := sleep(ctx, f.config.Pause); err != nil {
			return err
		}
	}
	for _, kind := range []string{"edit through an entry", "direct edit"} {
		fmt.Printf("%s: in force everywhere after %s\n", kind, summary(times[kind]))
	}
	fmt.Printf("time that the whole process stood still during an edit: %s\n", summary(stalls))
	return nil
}

func (f *fleet) throughEntry(ctx context.Context, n int) (time.Time, core.Revision, error) {
	result, err := f.editor.Apply(ctx, edit.Request{
		ID:  fmt.Sprintf("edit-%d", n),
		Set: tables.Rows{Teams: []tables.TeamRow{{Name: "team", Weight: n + 2}}},
	})
	committed := time.Now()
	if err == nil {
		f.managers[n%f.config.Entries].PublishEdit(ctx, result.Rows)
	}
	return committed, result.Revision, err
}

func (f *fleet) direct(ctx context.Context, n int) (time.Time, core.Revision, error) {
	head, err := f.editor.Head(ctx)
	if err != nil {
		return time.Time{}, 0, err
	}
	value, err := json.Marshal(tables.TeamRow{Name: "team", Weight: n + 2})
	if err != nil {
		return time.Time{}, 0, err
	}
	err = f.memory.Commit(ctx, platform.Transaction{Puts: []platform.Put{{
		RowKey: platform.RowKey{Table: tables.TableTeams, Key: "team"},
		Value:  value,
	}}})
	return time.Now(), head + 1, err
}

func (f *fleet) ages() string {
	var ages []time.Duration
	for _, manager := range f.managers {
		ages = append(ages, manager.Age())
	}
	return summary(ages)
}

func summary(times []time.Duration) string {
	if len(times) == 0 {
		return "none"
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	return fmt.Sprintf("%v at the median, %v at most, of %d", times[len(times)/2].Round(time.Millisecond), times[len(times)-1].Round(time.Millisecond), len(times))
}
