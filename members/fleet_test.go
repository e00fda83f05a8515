package members

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/keys"
	"currantusher.dev/platform"
	"currantusher.dev/wire"
)

// eventualTimeout bounds the wait for conditions that take a second or two on
// the loopback network; it does not assert a latency.
const eventualTimeout = 60 * time.Second

type fakeInstanceList struct {
	mu        sync.Mutex
	instances map[core.InstanceID]platform.Instance
}

func (l *fakeInstanceList) Instances(context.Context) ([]platform.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]platform.Instance, 0, len(l.instances))
	for _, instance := range l.instances {
		all = append(all, instance)
	}
	return all, nil
}

func (l *fakeInstanceList) Announce(_ context.Context, instance platform.Instance) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances[instance.ID] = instance
	return nil
}

type testDaemon struct {
	instance  platform.Instance
	directory *Directory
	reporter  *Reporter
	stop      context.CancelFunc
	replaced  atomic.Bool
}

type testFleet struct {
	t         *testing.T
	authority *keys.Authority
	list      *fakeInstanceList
	revision  core.Revision
}

func newTestFleet(t *testing.T) *testFleet {
	authority, err := keys.NewAuthority()
	require.NoError(t, err)
	return &testFleet{t: t, authority: authority, list: &fakeInstanceList{instances: map[core.InstanceID]platform.Instance{}}, revision: 1}
}

func (f *testFleet) startDaemon(role platform.Role, id core.InstanceID, dataCentre core.DataCentre) *testDaemon {
	return f.startIncarnation(role, id, dataCentre, 1)
}

func (f *testFleet) startIncarnation(role platform.Role, id core.InstanceID, dataCentre core.DataCentre, incarnation core.Incarnation) *testDaemon {
	keyPair, err := f.authority.Issue(id)
	require.NoError(f.t, err)
	tlsConfig, err := keys.TLSConfig(f.authority.CertPEM(), keyPair)
	require.NoError(f.t, err)
	peer, err := wire.Listen("127.0.0.1:0", tlsConfig)
	require.NoError(f.t, err)
	ctx, cancel := context.WithCancel(f.t.Context())
	d := &testDaemon{instance: platform.Instance{
		ID: id, Role: role, DataCentre: dataCentre, State: platform.InstanceLive, PeerAddr: peer.Addr(),
	}}
	if role == platform.RoleEntry {
		d.instance.HTTPAddr = peer.Addr()
		d.directory, err = NewDirectory(DirectoryConfig{Self: d.instance, Incarnation: incarnation, Peer: peer, InstanceList: f.list})
		require.NoError(f.t, err)
	} else {
		d.instance.Group = "group-1"
	}
	d.reporter, err = NewReporter(ReporterConfig{
		Self: d.instance, Incarnation: incarnation, Peer: peer, InstanceList: f.list, Directory: d.directory,
		OnReplaced: func() { d.replaced.Store(true) },
		BuildHeartbeat: func() wire.Heartbeat {
			return wire.Heartbeat{Running: 1, Status: &wire.Status{Revision: f.revision, Limit: 4}}
		},
	})
	require.NoError(f.t, err)
	var wg sync.WaitGroup
	wg.Go(func() { _ = peer.Serve(ctx) })
	wg.Go(func() { _ = d.reporter.Run(ctx) })
	if d.directory != nil {
		wg.Go(func() { _ = d.directory.Run(ctx) })
	}
	var once sync.Once
	d.stop = func() {
		once.Do(func() {
			cancel()
			_ = peer.Close()
			wg.Wait()
		})
	}
	f.t.Cleanup(d.stop)
	return d
}

func TestEntriesTrackDaemons(t *testing.T) {
	f := newTestFleet(t)
	dataCentres := []core.DataCentre{"north", "south", "west"}
	var entries, agents []*testDaemon
	for i := range 3 {
		entries = append(entries, f.startDaemon(platform.RoleEntry, core.InstanceID(fmt.Sprintf("entry-%d", i)), dataCentres[i]))
	}
	for i := range 4 {
		agents = append(agents, f.startDaemon(platform.RoleAgent, core.InstanceID(fmt.Sprintf("agent-%d", i)), dataCentres[i%3]))
	}
	for _, entry := range entries {
		require.Eventually(t, func() bool {
			inForce, _ := entry.directory.InForce(1)
			return inForce && len(entry.directory.Agents("group-1")) == 4 && len(entry.directory.Entries()) == 3
		}, eventualTimeout, 20*time.Millisecond)
	}
	require.Eventually(t, func() bool {
		return len(entries[0].directory.Neighbours()) == 2 && len(agents[0].reporter.Receivers()) == 3
	}, eventualTimeout, 20*time.Millisecond)

	require.NoError(t, agents[0].reporter.Leave(t.Context()))
	agents[1].stop()
	for _, entry := range entries {
		require.Eventually(t, func() bool {
			states := map[core.InstanceID]State{}
			for _, agent := range entry.directory.Agents("group-1") {
				states[agent.Instance] = agent.State
			}
			return states["agent-0"] == StateLeaving && states["agent-1"] == StateSuspected && states["agent-2"] == StateAlive
		}, eventualTimeout, 20*time.Millisecond)
	}
	agents[0].reporter.Left()
	require.Eventually(t, func() bool {
		return len(entries[0].directory.Agents("group-1")) < 4
	}, eventualTimeout, 20*time.Millisecond)
}

func TestReplacedDaemonIsNotified(t *testing.T) {
	f := newTestFleet(t)
	entries := []*testDaemon{f.startDaemon(platform.RoleEntry, "entry-0", "north"), f.startDaemon(platform.RoleEntry, "entry-1", "south")}
	roles := map[core.InstanceID]platform.Role{"entry-1": platform.RoleEntry, "agent-0": platform.RoleAgent}
	earlier := map[core.InstanceID]*testDaemon{"entry-1": entries[1], "agent-0": f.startDaemon(platform.RoleAgent, "agent-0", "north")}
	for id, role := range roles {
		require.Eventually(t, func() bool { return incarnationAt(entries[0], id) == 1 }, eventualTimeout, 20*time.Millisecond)
		f.startIncarnation(role, id, "north", 2)
		require.Eventually(t, func() bool {
			return earlier[id].replaced.Load() && incarnationAt(entries[0], id) == 2
		}, eventualTimeout, 20*time.Millisecond, id)
	}
}

func incarnationAt(entry *testDaemon, id core.InstanceID) core.Incarnation {
	for _, member := range entry.directory.Members() {
		if member.Instance == id {
			return member.Incarnation
		}
	}
	return 0
}
