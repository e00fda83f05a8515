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

// eventually bounds waits for conditions that the loopback network brings
// about in a second or two; it is no latency bound.
const eventually = 60 * time.Second

type memoryList struct {
	mu        sync.Mutex
	instances map[core.InstanceID]platform.Instance
}

func (l *memoryList) Instances(context.Context) ([]platform.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]platform.Instance, 0, len(l.instances))
	for _, instance := range l.instances {
		all = append(all, instance)
	}
	return all, nil
}

func (l *memoryList) Announce(_ context.Context, instance platform.Instance) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances[instance.ID] = instance
	return nil
}

type daemon struct {
	instance  platform.Instance
	directory *Directory
	reporter  *Reporter
	stop      context.CancelFunc
	replaced  atomic.Bool
}

type fleet struct {
	t         *testing.T
	authority *keys.Authority
	list      *memoryList
	revision  core.Revision
}

func newFleet(t *testing.T) *fleet {
	authority, err := keys.NewAuthority()
	require.NoError(t, err)
	return &fleet{t: t, authority: authority, list: &memoryList{instances: map[core.InstanceID]platform.Instance{}}, revision: 1}
}

func (f *fleet) start(role platform.Role, id core.InstanceID, zone core.DataCentre) *daemon {
	return f.startAs(role, id, zone, 1)
}

func (f *fleet) startAs(role platform.Role, id core.InstanceID, zone core.DataCentre, incarnation core.Incarnation) *daemon {
	pair, err := f.authority.Issue(id)
	require.NoError(f.t, err)
	tls, err := keys.TLSConfig(f.authority.CertPEM(), pair)
	require.NoError(f.t, err)
	peer, err := wire.Listen("127.0.0.1:0", tls)
	require.NoError(f.t, err)
	ctx, cancel := context.WithCancel(f.t.Context())
	d := &daemon{instance: platform.Instance{
		ID: id, Role: role, DataCentre: zone, State: platform.InstanceLive, PeerAddr: peer.Addr(),
	}}
	if role == platform.RoleEntry {
		d.instance.HTTPAddr = peer.Addr()
		d.directory, err = NewDirectory(DirectoryConfig{Self: d.instance, Incarnation: incarnation, Peer: peer, InstanceList: f.list})
		require.NoError(f.t, err)
	} else {
		d.instance.Group = "workers"
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

func TestFleet(t *testing.T) {
	f := newFleet(t)
	zones := []core.DataCentre{"north", "south", "west"}
	var entries, agents []*daemon
	for i := range 3 {
		entries = append(entries, f.start(platform.RoleEntry, core.InstanceID(fmt.Sprintf("entry-%d", i)), zones[i]))
	}
	for i := range 4 {
		agents = append(agents, f.start(platform.RoleAgent, core.InstanceID(fmt.Sprintf("agent-%d", i)), zones[i%3]))
	}
	for _, entry := range entries {
		require.Eventually(t, func() bool {
			inForce, _ := entry.directory.InForce(1)
			return inForce && len(entry.directory.Agents("workers")) == 4 && len(entry.directory.Entries()) == 3
		}, eventually, 20*time.Millisecond)
	}
	require.Eventually(t, func() bool {
		return len(entries[0].directory.Neighbours()) == 2 && len(agents[0].reporter.Homes()) == 3
	}, eventually, 20*time.Millisecond)

	require.NoError(t, agents[0].reporter.Leave(t.Context()))
	agents[1].stop()
	for _, entry := range entries {
		require.Eventually(t, func() bool {
			known := map[core.InstanceID]State{}
			for _, agent := range entry.directory.Agents("workers") {
				known[agent.Instance] = agent.State
			}
			return known["agent-0"] == StateLeaving && known["agent-1"] == StateSuspected && known["agent-2"] == StateAlive
		}, eventually, 20*time.Millisecond)
	}
	agents[0].reporter.Left()
	require.Eventually(t, func() bool {
		return len(entries[0].directory.Agents("workers")) < 4
	}, eventually, 20*time.Millisecond)
}

func TestReplacedDaemonIsTold(t *testing.T) {
	f := newFleet(t)
	entries := []*daemon{f.start(platform.RoleEntry, "entry-0", "north"), f.start(platform.RoleEntry, "entry-1", "south")}
	roles := map[core.InstanceID]platform.Role{"entry-1": platform.RoleEntry, "agent-0": platform.RoleAgent}
	earlier := map[core.InstanceID]*daemon{"entry-1": entries[1], "agent-0": f.start(platform.RoleAgent, "agent-0", "north")}
	for id, role := range roles {
		require.Eventually(t, func() bool { return incarnationAt(entries[0], id) == 1 }, eventually, 20*time.Millisecond)
		f.startAs(role, id, "north", 2)
		require.Eventually(t, func() bool {
			return earlier[id].replaced.Load() && incarnationAt(entries[0], id) == 2
		}, eventually, 20*time.Millisecond, id)
	}
}

func incarnationAt(entry *daemon, id core.InstanceID) core.Incarnation {
	for _, member := range entry.directory.Members() {
		if member.Instance == id {
			return member.Incarnation
		}
	}
	return 0
}
