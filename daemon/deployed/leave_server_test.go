package deployed

import (
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/fleet"
	"currantusher.dev/members/gossip"
	"currantusher.dev/platform/standin"
	"currantusher.dev/tables/watch"
)

const (
	// leavingEvents make streams that last until a new version is in force.
	leavingEvents = 80
	// nextEventInterval makes streams of the next servers that outlast those of the first.
	nextEventInterval = 3 * silenceEventInterval
	// stopDistance is the time between the stop of an entry and a change before or after it.
	stopDistance = 200 * time.Millisecond
	// stopsBesideAChange is the number of entries that stop before, at and after a change.
	stopsBesideAChange = 3
)

// leaveReason is what makes entries send requests of a server to others, and a text in
// the log of an entry that has learned of it.
type leaveReason struct {
	act    func(d *deployment, first *standin.Backend)
	logged string
}

var leaveReasons = map[string]leaveReason{
	"silence":    {func(_ *deployment, first *standin.Backend) { first.Silence() }, "Server stopped responding"},
	"pause":      {(*deployment).announcePause, "Pause of a server announced."},
	"weights":    {func(d *deployment, _ *standin.Backend) { d.store.PutVersion(modelName, 2) }, "version 2 configured"},
	"ejection":   {(*deployment).ejectByFailures, "engine-failed"},
	"draining":   {func(_ *deployment, first *standin.Backend) { first.Drain() }, "leaving true"},
	"removal":    {func(d *deployment, first *standin.Backend) { d.store.Remove(watch.ServersTable, first.ID) }, "msg=gone"},
	"evacuation": {func(d *deployment, _ *standin.Backend) { d.store.Evacuate("a") }, "evacuate/a"},
	"route":      {func(d *deployment, _ *standin.Backend) { d.moveStreamRoute() }, "version 2 adopted"},
}

// nextServers says how the servers behave that are asked next.
type nextServers struct {
	refusal                standin.Refusal
	maxAttempts            int
	retryRatio, retrySlack float64
	areFull                bool
}

var nextKinds = map[string]nextServers{
	"421":              {refusal: standin.RefuseMisdirected, maxAttempts: 3, retryRatio: 1, retrySlack: 1000},
	"503":              {refusal: standin.RefuseNotExecuted, maxAttempts: 3, retryRatio: 1, retrySlack: 1000},
	"no room":          {areFull: true, maxAttempts: 3, retryRatio: 1, retrySlack: 1000},
	"no retry":         {refusal: standin.RefuseNotExecuted, maxAttempts: 3},
	"no attempts left": {refusal: standin.RefuseNotExecuted, maxAttempts: 1, retryRatio: 1, retrySlack: 1000},
}

// announcePause tells the entries that a server pauses now.
func (d *deployment) announcePause(server *standin.Backend) {
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(d.t, err)
	defer func() { _ = socket.Close() }()
	notice := fleet.PauseNotice{Addr: server.Addr, Model: modelName, Version: 2, Sequence: 1}
	for _, entry := range d.entries {
		require.NoError(d.t, gossip.SendPauseNotice(socket, entry.PeerAddr, notice))
	}
}

// ejectByFailures lets requests of each entry fail at a server.
func (d *deployment) ejectByFailures(server *standin.Backend) {
	const failures = 8
	server.FailNextRequests(failures * len(d.entries))
	for entry := range d.entries {
		for range failures {
			d.startStreamOf(entry)
		}
	}
}

// moveStreamRoute gives the streams' route to a service without servers.
func (d *deployment) moveStreamRoute() {
	config := silenceConfig(2, d.originAddr, 3)
	moved := config.Services[0]
	moved.Name = "llm-moved"
	config.Services = append(config.Services, moved)
	config.Routes[0].Targets = []fleet.Target{{Service: moved.Name, Weight: 1}}
	d.store.PutConfig(config)
}

// startNextServers starts two engines beside the first one and waits until each entry has
// asked each of them.
func (d *deployment) startNextServers(kind nextServers) {
	d.t.Helper()
	for i := 1; i <= 2; i++ {
		next := &standin.Backend{
			ID: fmt.Sprint("llm-", i), Service: "llm", Zone: "a", Model: modelName,
			EventCount: leavingEvents, EventInterval: nextEventInterval,
		}
		if kind.areFull {
			next.Slots = len(d.entries)
		}
		next.Refuse(kind.refusal)
		d.startSilentBackend(next)
		d.engines = append(d.engines, next)
	}
	for entry := range d.entries {
		for _, next := range d.engines[1:] {
			d.eventually(func() bool { return d.reaches(entry, next) }, "entry %d does not ask %s", entry, next.ID)
		}
	}
}

// reaches starts a stream and reports whether it reaches a server. Only one that the server
// runs is kept.
func (d *deployment) reaches(entry int, next *standin.Backend) bool {
	call := d.startStreamOf(entry)
	d.eventually(func() bool { return call.hasEnded() || call.hasRunAtAny(d.engines) }, "a stream reaches no server")
	if hasExecuted(next, call.body) {
		return true
	}
	call.cancel()
	return slices.Contains(next.RefusedRequests(), call.id)
}

func (d *deployment) startStreamOf(entry int) *runningCall {
	return d.startCall(d.entries[entry].CallerAddr, streamHost, silentRoutePrefix+"x")
}

// startStreamAt starts a stream of an entry that a server runs.
func (d *deployment) startStreamAt(entry int, server *standin.Backend) *runningCall {
	d.t.Helper()
	var stream *runningCall
	d.eventually(func() bool {
		stream = d.startStreamOf(entry)
		d.eventually(func() bool { return stream.hasEnded() || stream.hasRunAtAny(d.engines) }, "a stream reaches no server")
		return hasExecuted(server, stream.body)
	}, "no stream reaches %s", server.ID)
	stream.awaitEvents(eventsBeforeSilence)
	return stream
}

// Two streams of one server were cut 0.4 s after the SIGTERM of their entry, when the next
// servers had refused them.
func TestStreamsThatLeaveAServerAreNotCutBesideAStop(t *testing.T) {
	t.Parallel()
	for name, reason := range leaveReasons {
		for kindName, kind := range nextKinds {
			t.Run(name+", "+kindName, func(t *testing.T) {
				t.Parallel()
				d := startSilenceDeployment(t, silenceSettings{
					entries: stopsBesideAChange, servers: 1, maxAttempts: kind.maxAttempts,
					retryRatio: kind.retryRatio, retrySlack: kind.retrySlack, events: leavingEvents,
				})
				d.startNextServers(kind)
				d.requireWholeBesideStops(reason)
			})
		}
	}
}

// requireWholeBesideStops stops one entry before a server is to be left, one at that time
// and one after it, and checks two streams of each at that server.
func (d *deployment) requireWholeBesideStops(reason leaveReason) {
	d.t.Helper()
	first := d.engines[0]
	var streams []*runningCall
	for entry := range d.entries {
		streams = append(streams, d.startStreamAt(entry, first), d.startStreamAt(entry, first))
	}
	d.stopEntry(0)
	time.Sleep(stopDistance)
	d.stopEntry(1)
	reason.act(d, first)
	time.Sleep(stopDistance)
	d.stopEntry(2)
	for entry := range d.entries {
		d.awaitLogLine(reason.logged, fmt.Sprint("instance=entry-", entry))
	}
	// The next servers refuse while the first one is silent.
	time.Sleep(time.Second)
	first.Resume()
	for _, stream := range streams {
		stream.requireAnswer(true)
	}
}
