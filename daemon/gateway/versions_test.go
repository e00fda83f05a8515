package gateway

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/clock"
	"currantusher.dev/core/fleet"
	"currantusher.dev/members/gossip"
	"currantusher.dev/platform/nodefile"
	"currantusher.dev/requests/direct"
	"currantusher.dev/requests/notices"
	"currantusher.dev/requests/pauses"
	"currantusher.dev/requests/quarantine"
	"currantusher.dev/tables/watch"
)

const testInForceWithin = 8 * time.Second

// versionFixture has one server with version 1 of a model whose version 2 was
// configured at a given time.
func versionFixture(since time.Time) (*Gateway, *watch.View, *fleet.Service, *watch.Server) {
	g := &Gateway{clock: clock.New(), observations: newServerObservations(), pauses: pauses.NewSet(), registry: metrics.NewRegistry()}
	g.queueWaits = newQueueWaits(g)
	g.node.Store(&nodefile.Node{Bounds: nodefile.Bounds{VersionInForce: testInForceWithin}})
	service := engineService(16, 7400*time.Microsecond, 31900, 6)
	service.Name = "llm"
	server := &watch.Server{Server: fleet.Server{ID: "s-1", Slots: 16, Weights: map[fleet.Model]fleet.WeightsVersion{"m": 1}}}
	view := &watch.View{
		Servers: map[fleet.ServiceName][]*watch.Server{"llm": {server}},
		Targets: map[fleet.Model][]watch.TargetVersion{"m": {{Version: 1, Since: since.Add(-time.Hour)}, {Version: 2, Since: since}}},
	}
	return g, view, service, server
}

// A request that was sent 1.3 s before its weights were out of date waited 1.4 s in the
// server's queue.
func TestNoSendToOlderWeightsBesideAQueue(t *testing.T) {
	now := time.Now()
	g, view, service, server := versionFixture(now.Add(-testInForceWithin + 1300*time.Millisecond))
	g.queueWaits.estimator("llm").Sent(now.Add(-1400*time.Millisecond), "s-1", queueLoad(service, 16, "s-1", gossip.Loads{}))
	require.False(t, g.beginsInTime(now, view, service, server, "m", gossip.Loads{}))
	require.EqualValues(t, 2, g.requiredVersion(now, view, service, server, "m", gossip.Loads{}))

	server.Weights["m"] = 2
	require.True(t, g.beginsInTime(now, view, service, server, "m", gossip.Loads{}))
}

func TestServerWithOlderWeightsIsUsedUntilItsBound(t *testing.T) {
	now := time.Now()
	g, view, service, server := versionFixture(now.Add(-testInForceWithin + 3*time.Second))
	require.True(t, g.beginsInTime(now, view, service, server, "m", gossip.Loads{}))
	require.False(t, g.beginsInTime(now.Add(2*time.Second), view, service, server, "m", gossip.Loads{}))

	slow := gossip.Loads{PeerPaces: map[core.InstanceID]float64{"s-1": 7}}
	require.False(t, g.beginsInTime(now, view, service, server, "m", slow), "another entry observed that the server is slow")
}

func TestNoSendToOlderWeightsWhileEntriesDivideSlotsDifferently(t *testing.T) {
	now := time.Now()
	g, view, service, server := versionFixture(now.Add(-testInForceWithin + 3*time.Second))
	servers := view.Servers["llm"]
	for round, entries := range []int{4, 4, 2} {
		division := newSlotDivision(membersInRegions(make([]core.Region, entries)...), nil, "e-0")
		g.slotDivision.Store(&division)
		require.True(t, g.beginsInTime(now, view, service, server, "m", gossip.Loads{}))
		g.queueWaits.observeExchange(now, service, servers, gossip.Loads{At: now.Add(time.Duration(round) * gossip.RoundPeriod)})
	}
	require.False(t, g.beginsInTime(now, view, service, server, "m", gossip.Loads{}), "two of four entries left or were not heard")
}

func TestServerWithoutTheModelGetsNoRequest(t *testing.T) {
	g, view, service, server := versionFixture(time.Now())
	require.False(t, g.beginsInTime(time.Now(), view, service, server, "other", gossip.Loads{}))
	require.True(t, g.beginsInTime(time.Now(), view, service, server, "", gossip.Loads{}))
}

// A server that becomes slow after the send holds the request for longer than estimated.
func TestWaitingRequestIsRecalledBeforeAVersionIsInForce(t *testing.T) {
	sentAt := time.Now()
	g, view, service, server := versionFixture(sentAt.Add(-testInForceWithin + 3*time.Second))
	load := queueLoad(service, 16, "s-1", gossip.Loads{})
	track := func(recall direct.Recall) *trackedWait {
		w := &trackedWait{waits: g.queueWaits, request: g.queueWaits.estimator("llm").Sent(sentAt, "s-1", load),
			service: "llm", server: "s-1", model: "m", sentAt: sentAt, recall: recall, listed: server}
		g.queueWaits.pending[w] = true
		return w
	}
	recall := func(direct.RecallReason) bool { return true }
	waiting, begun, fixed := track(recall), track(recall), track(nil)
	begun.dataReceived()
	begun.dataReceived()
	late := func(now time.Time) []*trackedWait { return g.recallLate(now, view) }
	require.Empty(t, late(sentAt.Add(2*time.Second)))
	require.Equal(t, []*trackedWait{waiting}, late(sentAt.Add(3*time.Second-recallLead)))
	require.Empty(t, late(sentAt.Add(4*time.Second)), "a request that cannot be recalled stays")
	fixed.close(false)
	require.Empty(t, g.queueWaits.pending)
}

// A server whose row lapsed while it stood still kept the requests that it had not begun.
func TestRequestAtAServerWhoseRowLapsedIsRecalled(t *testing.T) {
	sentAt := time.Now()
	g, view, _, server := versionFixture(sentAt.Add(-testInForceWithin + 3*time.Second))
	recall := func(direct.RecallReason) bool { return true }
	w := &trackedWait{waits: g.queueWaits, service: "llm", server: "s-1", model: "m", sentAt: sentAt, recall: recall, listed: server}
	delete(view.Servers, "llm")
	require.False(t, g.isLate(sentAt.Add(2*time.Second), view, w))
	require.True(t, g.isLate(sentAt.Add(3*time.Second-recallLead), view, w))

	w.listed = &watch.Server{Server: fleet.Server{ID: "s-1", Weights: map[fleet.Model]fleet.WeightsVersion{"m": 2}}}
	require.False(t, g.isLate(sentAt.Add(time.Hour), view, w), "the server has the new version")
}

func TestExcessOfTheWaitBoundIsMeasured(t *testing.T) {
	g, _, service, server := versionFixture(time.Now())
	sentAt := g.clock.Now().Add(-2 * time.Minute)
	w := &trackedWait{waits: g.queueWaits, service: "llm", server: "s-1", listed: server,
		request: g.queueWaits.estimator("llm").Sent(sentAt, "s-1", queueLoad(service, 16, "s-1", gossip.Loads{}))}
	w.dataReceived()
	w.dataReceived()
	require.EqualValues(t, 1, g.histogram("queue_wait.bound_excess_millis.llm").Count())
	require.EqualValues(t, 1, metrics.GetOrRegisterCounter("queue_wait.bound_exceeded.llm", g.registry).Count())
}

// Leaving full engines with older weights out by their bound refused a tenth more of the
// callers around a version.
func TestFullServerWithOlderWeightsServesRequestsThatCanBeRecalled(t *testing.T) {
	g, view, service, server := versionFixture(time.Now())
	full := gossip.Loads{Peers: map[core.InstanceID]int{"s-1": 16}, PeerPaces: map[core.InstanceID]float64{"s-1": 7}}
	recallable := requirements{service: "llm", model: "m", recallable: true}
	at := func(left time.Duration) time.Time { return view.Targets["m"][1].Since.Add(testInForceWithin - left) }
	const inTime, tooLate = recallableWait + 100*time.Millisecond, recallableWait - 100*time.Millisecond
	require.True(t, g.mayServe(at(inTime), view, service, server, recallable, full))
	require.False(t, g.mayServe(at(tooLate), view, service, server, recallable, full))
	once := requirements{service: "llm", model: "m"}
	require.False(t, g.mayServe(at(inTime), view, service, server, once, full), "a recall ends a request that must not run twice")
}

// A request whose server's row lapsed before it was sent was not recalled at all.
func TestRequestIsRecalledIfTheRowOfItsServerLapsedBeforeTheSend(t *testing.T) {
	l := newListedGateway(t, "a")
	store := l.servers[0].Store
	store.PutConfig(fleet.Configuration{Version: 2, IsOpen: true, Services: []fleet.Service{{Name: testService, MaxConns: 100, Engine: engineService(16, 7400*time.Microsecond, 31900, 6).Engine}}})
	store.PutVersion("m", 2)
	l.read()
	node := *l.node.Load()
	node.Bounds.VersionInForce = testInForceWithin
	l.node.Store(&node)
	now := l.clock.Now()
	l.follower.SetVersionSince("m", 2, now.Add(-testInForceWithin+2*time.Second))
	for expected, isRecalled := range map[fleet.WeightsVersion]bool{0: true, 1: true, 2: false} {
		w := l.queueWaits.track(now, observer{gateway: l.Gateway, service: testService, model: "m"}, direct.Attempt{
			Server: notices.Lifetime{Server: "s-lapsed"}, ExpectedVersion: expected, Recall: func(direct.RecallReason) bool { return true },
		})
		require.NotNil(t, w)
		require.False(t, l.isLate(now.Add(time.Second), l.follower.View(), w))
		require.Equal(t, isRecalled, l.isLate(now.Add(2*time.Second), l.follower.View(), w), "expected version %d", expected)
	}
}

// A quarantine that left a last attempt at its server kept the recall from seeing it later.
func TestLastAttemptThatAQuarantineLeavesIsRecalledFromOutdatedWeights(t *testing.T) {
	sentAt := time.Now()
	g, view, _, server := versionFixture(sentAt.Add(-testInForceWithin + 3*time.Second))
	g.crashGuard = &crashGuard{gateway: g}
	trait := fleet.Trait{Model: "m", ID: "p"}
	var reasons []direct.RecallReason
	w := &trackedWait{waits: g.queueWaits, service: "llm", server: "s-1", model: "m", traits: []fleet.Trait{trait}, sentAt: sentAt, listed: server,
		recall: func(reason direct.RecallReason) bool {
			reasons = append(reasons, reason)
			return reason == direct.RecallOutdated
		}}
	g.queueWaits.pending[w] = true
	require.Zero(t, g.crashGuard.recall(quarantine.Change{Trait: trait, Until: sentAt.Add(time.Hour)}))
	require.Len(t, g.recallLate(sentAt.Add(3*time.Second), view), 1)
	require.Equal(t, []direct.RecallReason{direct.RecallQuarantined, direct.RecallOutdated}, reasons)
	require.Empty(t, g.recallLate(sentAt.Add(4*time.Second), view))
}

// An engine was taken to have the version that the engine before it at the same address had
// announced, and kept its requests.
func TestRequestAtAnEngineWithAUsedAddressIsRecalled(t *testing.T) {
	now := time.Now()
	g, view, _, server := versionFixture(now.Add(-testInForceWithin))
	server.Addr, server.StartedAt = "10.0.0.1:8000", now.Add(-time.Second)
	w := &trackedWait{waits: g.queueWaits, service: "llm", server: "s-1", model: "m", sentAt: now, listed: server}
	loaded := fleet.PauseNotice{Addr: server.Addr, Model: "m", Version: 2, Sequence: 1, Ended: true}
	require.True(t, g.pauses.Record(server.StartedAt.Add(-time.Millisecond), loaded))
	require.True(t, g.isLate(now, view, w))
	loaded.Sequence++
	require.True(t, g.pauses.Record(server.StartedAt.Add(time.Millisecond), loaded))
	require.False(t, g.isLate(now, view, w), "the announcement is its own")
}

// The next process under an id may have an older version or none.
func TestVersionOfAFormerProcessDoesNotCountForTheNextOne(t *testing.T) {
	g, view, service, server := versionFixture(time.Now())
	due := view.Targets["m"][1].Since.Add(testInForceWithin)
	former := *server
	server.Addr, server.StartedAt, former.StartedAt = "10.0.0.1:8000", due.Add(-2*time.Second), due.Add(-time.Hour)
	w := &trackedWait{waits: g.queueWaits, service: "llm", server: "s-1", model: "m", sentAt: due.Add(-time.Second), listed: server}
	o := observer{gateway: g, service: "llm", model: "m"}
	o.AnswerReceived(lifetimeOf(&former), "m", 2, 0)
	require.False(t, g.isLate(due, view, &trackedWait{waits: g.queueWaits, service: "llm", server: "s-lapsed", model: "m", listed: &former}))
	require.True(t, g.isLate(due, view, w), "it would begin on version 1")
	require.False(t, g.mayServe(due, view, service, server, requirements{service: "llm", model: "m"}, gossip.Loads{}))
	require.True(t, g.pauses.Record(due, fleet.PauseNotice{Addr: server.Addr, Model: "m", Version: 2, Sequence: 1}))
	require.Equal(t, due, g.pauseStart(due, server, "m"), "it loads version 2 now")
	server.Weights = nil
	require.False(t, g.beginsInTime(due, view, service, server, "m", gossip.Loads{}), "it has no weights")

	o.AnswerReceived(lifetimeOf(server), "m", 2, 0)
	o.AnswerReceived(lifetimeOf(&former), "m", 1, 0)
	require.False(t, g.isLate(due, view, w), "an answer of the former process that arrives late changes nothing")
}

// Copies are forwarded for seconds, and an entry that stood still reads them late.
func TestLateCopyOfAnAnnouncementOfAFormerProcessDoesNotCount(t *testing.T) {
	g, view, _, server := versionFixture(time.Now())
	due := view.Targets["m"][1].Since.Add(testInForceWithin)
	server.Addr, server.StartedAt = "10.0.0.1:8000", time.UnixMilli(due.Add(-time.Second).UnixMilli())
	w := &trackedWait{waits: g.queueWaits, service: "llm", server: "s-1", model: "m", sentAt: due, listed: server}
	loaded := fleet.PauseNotice{Addr: server.Addr, Model: "m", Version: 2, Sequence: 1, Ended: true, StartedAtMillis: server.StartedAt.UnixMilli() - 1}
	require.True(t, g.pauses.Record(due, loaded))
	require.True(t, g.isLate(due, view, w), "it would begin on version 1")
	loaded.Sequence, loaded.StartedAtMillis = 2, server.StartedAt.UnixMilli()
	require.True(t, g.pauses.Record(due, loaded))
	require.False(t, g.isLate(due, view, w), "the announcement is its own")
}

// It is so until the server's next answer; the incident page of 2026-12-06 tells why.
func TestServerThatAnswersWithAVersionThatIsNotNamedIsTakenForANewerOne(t *testing.T) {
	l := newListedGateway(t, "a")
	store := l.servers[0].Store
	store.PutConfig(fleet.Configuration{Version: 2, IsOpen: true, Services: []fleet.Service{{Name: testService, MaxConns: 100, Engine: engineService(16, 7400*time.Microsecond, 31900, 6).Engine}}})
	store.PutVersion("m", 2)
	l.read()
	node := *l.node.Load()
	node.Bounds.VersionInForce = testInForceWithin
	l.node.Store(&node)
	now, needs := l.clock.Now(), requirements{service: testService, model: "m"}
	server := l.follower.View().Server(testService, "s-0")
	w := &trackedWait{waits: l.queueWaits, service: testService, server: "s-0", model: "m", listed: server}
	answered := func(version fleet.WeightsVersion) (mayServe, isLate bool, expected fleet.WeightsVersion) {
		observer{gateway: l.Gateway, service: testService, model: "m"}.AnswerReceived(lifetimeOf(server), "m", version, 0)
		view := l.follower.View()
		mayServe = l.mayServe(now, view, view.Table.Service(testService), server, needs, gossip.Loads{})
		return mayServe, l.isLate(view.NewestTarget("m").Since.Add(testInForceWithin), view, w), l.expectedVersion(needs, "s-0")
	}
	type result struct {
		mayServe, isLate bool
		expected         fleet.WeightsVersion
	}
	require.True(t, l.pauses.Record(now, fleet.PauseNotice{Addr: server.Addr, Model: "m", Version: 2, Sequence: 1, StartsIn: time.Hour}))
	const wrong = 1 << 40
	for _, c := range []struct {
		left time.Duration
		want map[fleet.WeightsVersion]result
	}{
		{testInForceWithin, map[fleet.WeightsVersion]result{1: {true, true, 0}, 2: {true, false, 0}, wrong: {true, false, 0}}},
		{0, map[fleet.WeightsVersion]result{1: {false, true, 2}, 2: {true, false, 2}, wrong: {true, false, wrong}}},
	} {
		l.follower.SetVersionSince("m", 2, now.Add(c.left-testInForceWithin))
		for version, want := range c.want {
			mayServe, isLate, expected := answered(version)
			require.Equal(t, want, result{mayServe, isLate, expected}, "%v before the bound, version %d", c.left, version)
			require.Equal(t, version == 1, !l.pauseStart(now, server, "m").IsZero(), "the pause to load version 2, after an answer with %d", version)
		}
	}
}
