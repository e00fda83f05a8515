package spread_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/keys"
	"currantusher.dev/platform"
	"currantusher.dev/standin/store"
	"currantusher.dev/tables"
	"currantusher.dev/tables/edit"
	"currantusher.dev/tables/spread"
	"currantusher.dev/wire"
)

// waitLimit bounds the wait for a condition.
const waitLimit = 30 * time.Second

type fleet struct {
	t         *testing.T
	authority *keys.Authority
	memory    *store.Memory
	editor    *edit.Editor

	mu        sync.Mutex
	members   []spread.Neighbour
	managers  map[core.InstanceID]*spread.Manager
	stops     map[core.InstanceID]func()
	configure func(*spread.Config)
}

func newFleet(t *testing.T) *fleet {
	authority, err := keys.NewAuthority()
	require.NoError(t, err)
	memory := store.NewMemory(store.Config{Seed: 1})
	return &fleet{
		t:         t,
		authority: authority,
		memory:    memory,
		editor:    edit.New(edit.Config{Tables: memory}),
		managers:  map[core.InstanceID]*spread.Manager{},
		stops:     map[core.InstanceID]func(){},
	}
}

func (f *fleet) neighbours() []spread.Neighbour {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]spread.Neighbour(nil), f.members...)
}

func (f *fleet) start(id core.InstanceID, role platform.Role, dc core.DataCentre) *spread.Manager {
	f.t.Helper()
	pair, err := f.authority.Issue(id)
	require.NoError(f.t, err)
	config, err := keys.TLSConfig(f.authority.CertPEM(), pair)
	require.NoError(f.t, err)
	peer, err := wire.Listen("127.0.0.1:0", config)
	require.NoError(f.t, err)
	self := spread.Neighbour{ID: id, Role: role, DataCentre: dc, Region: core.Region(dc), Addr: peer.Addr()}
	settings := spread.Config{
		Self:        self,
		StoreRegion: "north",
		Peer:        peer,
		Objects:     f.memory,
		Neighbours:  f.neighbours,
	}
	if role == platform.RoleEntry {
		settings.Loader = f.editor
	}
	if f.configure != nil {
		f.configure(&settings)
	}
	manager := spread.New(settings)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	go func() { _ = peer.Serve(ctx); done <- struct{}{} }()
	go func() { _ = manager.Run(ctx); done <- struct{}{} }()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = append(f.members, self)
	f.managers[id] = manager
	stop := sync.OnceFunc(func() {
		cancel()
		_ = peer.Close()
		<-done
		<-done
	})
	f.stops[id] = stop
	f.t.Cleanup(stop)
	return manager
}

func (f *fleet) startAll() {
	for _, dc := range []core.DataCentre{"north", "south"} {
		for i := range 2 {
			f.start(core.InstanceID(fmt.Sprintf("entry-%s-%d", dc, i)), platform.RoleEntry, dc)
			f.start(core.InstanceID(fmt.Sprintf("agent-%s-%d", dc, i)), platform.RoleAgent, dc)
		}
	}
}

func (f *fleet) applyEdit(id string) tables.Rows {
	f.t.Helper()
	result, err := f.editor.Apply(f.t.Context(), edit.Request{ID: id, Set: tables.Rows{
		DataCentres: []tables.DataCentreRow{{Name: "south", Region: "south", State: tables.DataCentreOut}},
	}})
	require.NoError(f.t, err)
	return result.Rows
}

func (f *fleet) requireInForce(revision core.Revision) {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		for _, manager := range f.managers {
			if manager.Current() == nil || manager.Current().Revision() < revision || manager.CheckFresh(time.Now()) != nil {
				return false
			}
		}
		return true
	}, waitLimit, 10*time.Millisecond)
}

func TestRevisionsReachAllDaemons(t *testing.T) {
	f := newFleet(t)
	f.applyEdit("e1")
	f.startAll()
	f.requireInForce(1)

	revisions := make(chan core.Revision, 8)
	f.managers["agent-south-0"].Subscribe(func(config *tables.Config) { revisions <- config.Revision() })
	require.Equal(t, core.Revision(1), <-revisions)
	f.managers["entry-south-1"].PublishEdit(t.Context(), f.applyEdit("e2"))
	f.requireInForce(2)
	require.Equal(t, core.Revision(2), <-revisions)

	value := []byte(`{"name":"red","weight":3}`)
	require.NoError(t, f.memory.Commit(t.Context(), platform.Transaction{Puts: []platform.Put{
		{RowKey: platform.RowKey{Table: tables.TableTeams, Key: "red"}, Value: value},
		{RowKey: platform.RowKey{Table: tables.TableTeams, Key: "bad"}, Value: value},
	}}))
	f.requireInForce(3)
	require.Eventually(t, func() bool {
		for _, manager := range f.managers {
			if len(manager.RowFaults()) == 1 {
				return true
			}
		}
		return false
	}, waitLimit, 10*time.Millisecond)
}

// TestStoreOutageKeepsDaemonsServing stops the table service for longer than the
// maximum age. All daemons must stay fresh, and a daemon that joins during the
// outage must become fresh.
func TestStoreOutageKeepsDaemonsServing(t *testing.T) {
	f := newFleet(t)
	f.configure = func(c *spread.Config) { c.MaxAge = 2 * time.Second }
	f.applyEdit("e1")
	f.startAll()
	f.requireInForce(1)
	f.memory.SetFaults(store.Faults{Down: true})
	time.Sleep(3 * time.Second)
	f.requireInForce(1)
	f.start("agent-new", platform.RoleAgent, "south")
	f.requireInForce(1)
}

// TestIsolatedDaemonBecomesStale stops all daemons but two agents, which then
// have no entry to pull from. An agent must reject new work when its
// configuration is stale, unless its policy is OnStaleServe.
func TestIsolatedDaemonBecomesStale(t *testing.T) {
	f := newFleet(t)
	f.configure = func(c *spread.Config) {
		c.MaxAge = time.Second
		if c.Self.ID == "agent-north-1" {
			c.OnStale = spread.OnStaleServe
		}
	}
	f.applyEdit("e1")
	require.Equal(t, core.CodeNotReady, core.CodeOf(f.start("agent-alone", platform.RoleAgent, "north").CheckFresh(time.Now())))
	f.startAll()
	f.requireInForce(1)
	for id, stop := range f.stops {
		if id != "agent-north-0" && id != "agent-north-1" {
			stop()
		}
	}
	require.Eventually(t, func() bool {
		err := f.managers["agent-north-0"].CheckFresh(time.Now())
		return core.CodeOf(err) == core.CodeConfigStale && core.ExecutionOf(err) == core.ExecutionNotRun
	}, waitLimit, 10*time.Millisecond)
	require.NoError(t, f.managers["agent-north-1"].CheckFresh(time.Now()), "its policy is OnStaleServe")
}
