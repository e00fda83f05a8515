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
	pollInterval   = 2 * time.Millisecond
	inForceTimeout = 2 * time.Minute
	storeRegion    = "region-0"
)

// fleetConfig configures a fleet and the measurements.
type fleetConfig struct {
	DataCentres    int
	Regions        int
	Entries        int
	Agents         int
	Edits          int
	EditPause      time.Duration
	SettleDuration time.Duration
	QuietDuration  time.Duration
	Routes         int
}

type fleet struct {
	config        fleetConfig
	authority     *keys.Authority
	tableStore    *store.Memory
	editor        *edit.Editor
	cancel        context.CancelFunc
	daemons       []spread.Neighbour
	managers      []*spread.Manager
	endpoints     []*wire.Endpoint
	wg            sync.WaitGroup
	stallDetector stallDetector
}

func newFleet(ctx context.Context, config fleetConfig) (*fleet, error) {
	authority, err := keys.NewAuthority()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	tableStore := store.NewMemory(store.Config{})
	f := &fleet{
		config:     config,
		authority:  authority,
		tableStore: tableStore,
		editor:     edit.New(edit.Config{Tables: tableStore}),
		cancel:     cancel,
	}
	if _, err := f.editor.Apply(ctx, edit.Request{ID: "base", Set: f.initialRows()}); err != nil {
		return nil, err
	}
	if err := f.openEndpoints(); err != nil {
		return nil, err
	}
	f.wg.Go(func() { f.stallDetector.run(ctx) })
	for i := range f.daemons {
		f.startDaemon(ctx, i)
	}
	return f, nil
}

func (f *fleet) initialRows() tables.Rows {
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

// openEndpoints opens the endpoints of all daemons before the first daemon
// starts, so that each daemon is configured with the addresses of all others.
func (f *fleet) openEndpoints() error {
	for i := range f.config.Entries + f.config.Agents {
		id := core.InstanceID(fmt.Sprintf("daemon-%d", i))
		keyPair, err := f.authority.Issue(id)
		if err != nil {
			return err
		}
		tlsConfig, err := keys.TLSConfig(f.authority.CertPEM(), keyPair)
		if err != nil {
			return err
		}
		endpoint, err := wire.Listen("127.0.0.1:0", tlsConfig)
		if err != nil {
			return err
		}
		role := platform.RoleAgent
		if i < f.config.Entries {
			role = platform.RoleEntry
		}
		dataCentre := i % f.config.DataCentres
		f.endpoints = append(f.endpoints, endpoint)
		f.daemons = append(f.daemons, spread.Neighbour{
			ID:         id,
			Role:       role,
			DataCentre: core.DataCentre(fmt.Sprintf("dc-%d", dataCentre)),
			Region:     core.Region(fmt.Sprintf("region-%d", dataCentre%f.config.Regions)),
			Addr:       endpoint.Addr(),
		})
	}
	return nil
}

func (f *fleet) startDaemon(ctx context.Context, i int) {
	config := spread.Config{
		Self:        f.daemons[i],
		StoreRegion: storeRegion,
		Peer:        f.endpoints[i],
		Neighbours:  func() []spread.Neighbour { return f.daemons },
	}
	if f.daemons[i].Role == platform.RoleEntry {
		config.Loader = f.editor
		config.Objects = f.tableStore
	}
	manager := spread.New(config)
	f.managers = append(f.managers, manager)
	f.wg.Go(func() { _ = f.endpoints[i].Serve(ctx) })
	f.wg.Go(func() { _ = manager.Run(ctx) })
}

func (f *fleet) close() {
	f.cancel()
	for _, endpoint := range f.endpoints {
		_ = endpoint.Close()
	}
	f.wg.Wait()
}

func (f *fleet) size() int { return len(f.daemons) }

func (f *fleet) readUsage() processUsage {
	var rusage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &rusage)
	stats := f.tableStore.Stats()
	return processUsage{
		at:          time.Now(),
		cpu:         time.Duration(rusage.Utime.Nano() + rusage.Stime.Nano()),
		sentBytes:   loopbackSentBytes(),
		tableReads:  stats.Reads,
		tableWrites: stats.Writes,
	}
}

// waitUntilInForce waits until every daemon uses the revision or a later one and
// its configuration is fresh.
func (f *fleet) waitUntilInForce(ctx context.Context, revision core.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	for _, manager := range f.managers {
		for !isInForce(manager, revision) {
			if err := sleep(ctx, pollInterval); err != nil {
				return fmt.Errorf("revision %d is not in force everywhere: %w", revision, err)
			}
		}
	}
	return nil
}

func isInForce(manager *spread.Manager, revision core.Revision) bool {
	config := manager.Current()
	return config != nil && config.Revision() >= revision && manager.CheckFresh(time.Now()) == nil
}

// measureEdits alternates between edits through an entry and direct edits of the
// tables. It measures the time from the commit until the revision is in force at
// all daemons.
func (f *fleet) measureEdits(ctx context.Context) error {
	durations := map[string][]time.Duration{}
	var longestStalls []time.Duration
	for editNumber := range f.config.Edits {
		description, applyEdit := "edit through an entry", f.editThroughEntry
		if editNumber%2 == 1 {
			description, applyEdit = "direct edit", f.editTablesDirectly
		}
		f.stallDetector.takeLongest()
		committedAt, revision, err := applyEdit(ctx, editNumber)
		if err != nil {
			return err
		}
		if err := f.waitUntilInForce(ctx, revision); err != nil {
			return err
		}
		durations[description] = append(durations[description], time.Since(committedAt))
		longestStalls = append(longestStalls, f.stallDetector.takeLongest())
		if err := sleep(ctx, f.config.EditPause); err != nil {
			return err
		}
	}
	for _, description := range []string{"edit through an entry", "direct edit"} {
		fmt.Printf("%s: in force everywhere after %s\n", description, formatDurations(durations[description]))
	}
	fmt.Printf("longest stall of the whole process during an edit: %s\n", formatDurations(longestStalls))
	return nil
}

func (f *fleet) editThroughEntry(ctx context.Context, editNumber int) (time.Time, core.Revision, error) {
	result, err := f.editor.Apply(ctx, edit.Request{
		ID:  fmt.Sprintf("edit-%d", editNumber),
		Set: tables.Rows{Teams: []tables.TeamRow{{Name: "team", Weight: editNumber + 2}}},
	})
	committedAt := time.Now()
	if err == nil {
		f.managers[editNumber%f.config.Entries].PublishEdit(ctx, result.Rows)
	}
	return committedAt, result.Revision, err
}

func (f *fleet) editTablesDirectly(ctx context.Context, editNumber int) (time.Time, core.Revision, error) {
	head, err := f.editor.Head(ctx)
	if err != nil {
		return time.Time{}, 0, err
	}
	value, err := json.Marshal(tables.TeamRow{Name: "team", Weight: editNumber + 2})
	if err != nil {
		return time.Time{}, 0, err
	}
	err = f.tableStore.Commit(ctx, platform.Transaction{Puts: []platform.Put{{
		RowKey: platform.RowKey{Table: tables.TableTeams, Key: "team"},
		Value:  value,
	}}})
	return time.Now(), head + 1, err
}

func (f *fleet) configAges() string {
	var ages []time.Duration
	for _, manager := range f.managers {
		ages = append(ages, manager.Age())
	}
	return formatDurations(ages)
}

func formatDurations(durations []time.Duration) string {
	if len(durations) == 0 {
		return "none"
	}
	sort.Slice(durations, func(i, j int) bool { return durations[i] < durations[j] })
	return fmt.Sprintf("%v at the median, %v at most, of %d", durations[len(durations)/2].Round(time.Millisecond), durations[len(durations)-1].Round(time.Millisecond), len(durations))
}
