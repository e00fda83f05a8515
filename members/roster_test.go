package members

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/invariant"
	"currantusher.dev/platform"
	"currantusher.dev/wire"
)

var simStart = time.Unix(1000, 0)

// rosterWithAgent returns a roster that has applied a heartbeat of one leaving
// agent.
func rosterWithAgent() (*roster, platform.Instance) {
	self := platform.Instance{ID: "entry", Role: platform.RoleEntry, DataCentre: "north", PeerAddr: "10.0.0.1:1", HTTPAddr: "10.0.0.1:2"}
	r := newRoster(self, 1, simTiming)
	agent := platform.Instance{ID: "agent", Role: platform.RoleAgent, DataCentre: "north", Group: "group-1", PeerAddr: "10.0.0.2:1"}
	r.applyHeartbeat(simStart, agent, wire.Heartbeat{
		Incarnation: 5, Sequence: 1, Leaving: true, Status: &wire.Status{Revision: 7, Limit: 4, Weights: core.DigestOf([]byte("w"))},
	})
	return r, agent
}

func TestSummaryRoundTrip(t *testing.T) {
	from, agent := rosterWithAgent()
	to := newRoster(platform.Instance{ID: "other", Role: platform.RoleEntry, PeerAddr: "10.0.0.3:1"}, 1, simTiming)
	now := simStart.Add(2 * time.Second)
	to.applySummary(now, from.buildSummary(now, "other"), false)
	got := to.records[agent.ID]
	require.NotNil(t, got)
	want := from.records[agent.ID].toAgent(now, false)
	require.Equal(t, want, got.toAgent(now, false))
	require.Equal(t, StateLeaving, got.state())

	from.applySummary(now, to.buildSummary(now, "entry"), false)
	require.Empty(t, from.buildSummary(now, "other").Records, "changes that the neighbour confirmed are not sent again")

	from.applyHeartbeat(now, agent, wire.Heartbeat{Incarnation: 5, Sequence: 2, Running: 3})
	heartbeats := from.buildSummary(now, "other")
	require.Empty(t, heartbeats.Records)
	require.Len(t, heartbeats.Heartbeats, 1)
	to.applySummary(now, heartbeats, false)
	require.Equal(t, 3, to.records[agent.ID].running)

	from.applyHeartbeat(now, agent, wire.Heartbeat{Incarnation: 5, Sequence: 3, Status: &wire.Status{Revision: 8, Limit: 4, Weights: core.DigestOf([]byte("w"))}})
	acks := from.buildSummary(now, "other")
	require.Empty(t, acks.Records)
	require.Len(t, acks.Acks, 1)
	to.applySummary(now, acks, false)
	require.Equal(t, core.Revision(8), to.records[agent.ID].revision)
}

func TestHeartbeatOfUnknownDaemonRequestsFullSummary(t *testing.T) {
	r, _ := rosterWithAgent()
	r.applySummary(simStart, wire.MembershipSummary{From: "other", Incarnation: 1, Position: 9, Heartbeats: []wire.MemberHeartbeat{{Key: 42}}}, false)
	require.Zero(t, r.exchangeWith("other").appliedPosition)
	r.applySummary(simStart, wire.MembershipSummary{From: "other", Incarnation: 1, Position: 9}, false)
	require.Equal(t, uint64(9), r.exchangeWith("other").appliedPosition)
	r.applySummary(simStart, wire.MembershipSummary{From: "other", Incarnation: 1, SincePosition: 10, Position: 20}, false)
	require.Equal(t, uint64(9), r.exchangeWith("other").appliedPosition, "a summary after a gap is not confirmed")
}

func TestMalformedRecordsAreIgnored(t *testing.T) {
	r, _ := rosterWithAgent()
	bad := []wire.MemberRecord{
		{ID: "x", Incarnation: 1, Role: 9},
		{ID: "x", Incarnation: 1, Weights: -1},
		{ID: "x"},
		{ID: "x", Incarnation: 1, State: 9},
	}
	r.applySummary(simStart, wire.MembershipSummary{From: "other", Incarnation: 1, Names: []string{""}, Digests: []core.Digest{{}}, Records: bad}, false)
	require.Nil(t, r.records["x"])
}

func TestAddresses(t *testing.T) {
	entry := func(id core.InstanceID, dataCentre core.DataCentre, state State) Entry {
		return Entry{Member{Instance: id, DataCentre: dataCentre, HTTPAddr: string(id), State: state}}
	}
	noneOut := func(core.DataCentre) bool { return false }
	southOut := func(dataCentre core.DataCentre) bool { return dataCentre == "south" }
	entries := []Entry{
		entry("n1", "north", StateAlive), entry("n2", "north", StateSuspected), entry("n3", "north", StateLeaving),
		entry("s1", "south", StateAlive), entry("s2", "south", StateGone), entry("w1", "west", StateAlive),
	}
	ids := func(addresses []Address) []core.InstanceID {
		var all []core.InstanceID
		for _, address := range addresses {
			all = append(all, address.Instance)
		}
		return all
	}
	ranked := ids(rankAddresses(entries, "north", noneOut, 1))
	require.Equal(t, core.InstanceID("n1"), ranked[0])
	require.Equal(t, core.InstanceID("n2"), ranked[3], "suspected entries come last")
	require.ElementsMatch(t, []core.InstanceID{"n1", "n2", "s1", "w1"}, ranked)
	require.Equal(t, ranked, ids(rankAddresses(entries, "north", noneOut, 1)), "the order is stable")
	require.ElementsMatch(t, []core.InstanceID{"n1", "n2", "w1"}, ids(rankAddresses(entries, "south", southOut, 1)))
	require.Equal(t, []core.InstanceID{"s1"}, ids(rankAddresses(entries[3:5], "north", southOut, 1)), "an entry in a data centre that is out of service is better than no address")

	firstCount := map[core.InstanceID]int{}
	for salt := range uint64(300) {
		firstCount[rankAddresses(entries, "east", noneOut, salt)[0].Instance]++
	}
	require.Len(t, firstCount, 3)
	for id, count := range firstCount {
		require.Greater(t, count, 50, id)
	}
}

func TestChooseReceivers(t *testing.T) {
	var entries []platform.Instance
	for _, dataCentre := range []core.DataCentre{"north", "south", "west"} {
		for _, n := range []string{"1", "2", "3"} {
			entries = append(entries, platform.Instance{ID: core.InstanceID(dataCentre) + core.InstanceID(n), Role: platform.RoleEntry, DataCentre: dataCentre})
		}
	}
	self := platform.Instance{ID: "agent", DataCentre: "south"}
	receivers := receiverPolicy{1, 2}.choose(self, entries, nil, nil)
	require.Len(t, receivers, 2)
	require.Equal(t, core.DataCentre("south"), receivers[0].DataCentre)
	other := receiverPolicy{1, 2}.choose(self, entries, map[core.InstanceID]bool{receivers[0].ID: true}, nil)
	require.NotEqual(t, receivers[0].ID, other[0].ID)
	require.Equal(t, receivers[1], other[1])
}

func TestInForceWaitsForLeaseOfSilentDaemons(t *testing.T) {
	for _, serveStale := range []bool{false, true} {
		r, agent := rosterWithAgent()
		config := DirectoryConfig{ConfigMaxAge: simMaxAge, LeaseMargin: simMargin, ServeStaleConfig: serveStale}
		r.timing.lease = config.configLease()
		r.applyList(simStart, []platform.Instance{r.self, agent})
		report := wire.Heartbeat{Incarnation: 1, Sequence: 1, Status: &wire.Status{Revision: 8}}
		now := simStart.Add(time.Minute)
		r.tick(now)
		r.applyHeartbeat(now, r.self, report)
		inForce, missing := r.inForce(now, 8)
		require.False(t, inForce)
		require.Equal(t, []core.InstanceID{agent.ID}, missing, "a suspected daemon blocks until its lease expires")
		inForce, _ = r.inForce(now.Add(config.ConfigMaxAge+config.LeaseMargin), 8)
		require.Equal(t, !serveStale, inForce)

		r.applyHeartbeat(now, agent, wire.Heartbeat{Incarnation: 5, Sequence: 2, Left: true})
		inForce, _ = r.inForce(now, 8)
		require.True(t, inForce, "a daemon that reported its exit does not block")
	}
}

func TestBalancedReceivers(t *testing.T) {
	const dataCentres, entries, agents = 3, 30, 90
	var all []platform.Instance
	for i := range entries + agents {
		role := platform.RoleEntry
		if i >= entries {
			role = platform.RoleAgent
		}
		id := core.InstanceID(fmt.Sprintf("i%03d", i))
		all = append(all, platform.Instance{ID: id, Role: role, DataCentre: core.DataCentre(fmt.Sprintf("z%d", i%dataCentres))})
	}
	policy := receiverPolicy{perDataCentre: 1, maxTotal: dataCentres}
	load := map[core.InstanceID]int{}
	for _, agent := range all[entries:] {
		receivers := policy.choose(agent, all, nil, policy.assign(agent, all))
		require.Len(t, receivers, dataCentres)
		require.Equal(t, agent.DataCentre, receivers[0].DataCentre)
		for _, receiver := range receivers {
			load[receiver.ID]++
		}
	}
	require.Len(t, load, entries)
	for id, count := range load {
		require.LessOrEqual(t, float64(count), math.Ceil(receiverLoadFactor*agents*dataCentres/entries), id)
	}
	unlisted := platform.Instance{ID: "new", Role: platform.RoleAgent, DataCentre: "z1"}
	require.Len(t, policy.assign(unlisted, all), dataCentres)
	require.Empty(t, policy.assign(unlisted, nil))
}

// TestPropagationIsLogarithmic counts the rounds until every entry has a record
// of a new agent. All exchanges of a round start from the state before the
// round.
func TestPropagationIsLogarithmic(t *testing.T) {
	const entries, bound = 350, 5
	var listed []platform.Instance
	for i := range entries {
		id := core.InstanceID(fmt.Sprintf("e%03d", i))
		listed = append(listed, platform.Instance{
			ID: id, Role: platform.RoleEntry, DataCentre: core.DataCentre(fmt.Sprintf("z%d", i%7)), PeerAddr: string(id),
		})
	}
	rosters := map[core.InstanceID]*roster{}
	for _, instance := range listed {
		r := newRoster(instance, 1, simTiming)
		r.applyList(simStart, listed)
		rosters[instance.ID] = r
	}
	agent := platform.Instance{ID: "agent", Role: platform.RoleAgent, PeerAddr: "agent"}
	rosters[listed[0].ID].applyHeartbeat(simStart, agent, wire.Heartbeat{Incarnation: 1, Sequence: 1})
	rounds := 0
	for ; rounds < bound && !allHaveRecord(rosters, agent.ID); rounds++ {
		exchangeAll(rosters, listed)
	}
	require.True(t, allHaveRecord(rosters, agent.ID), "after %d exchange rounds", rounds)
}

func allHaveRecord(rosters map[core.InstanceID]*roster, id core.InstanceID) bool {
	for _, r := range rosters {
		if r.records[id] == nil {
			return false
		}
	}
	return true
}

func exchangeAll(rosters map[core.InstanceID]*roster, order []platform.Instance) {
	type call struct {
		from, to *roster
		request  wire.MembershipSummary
	}
	var calls []call
	for _, instance := range order {
		from := rosters[instance.ID]
		for _, neighbour := range from.updateNeighbours() {
			calls = append(calls, call{from, rosters[neighbour.ID], from.buildSummary(simStart, neighbour.ID)})
		}
	}
	replies := make([]wire.MembershipSummary, len(calls))
	for i, c := range calls {
		replies[i] = c.to.buildSummary(simStart, c.from.self.ID)
	}
	for i, c := range calls {
		c.to.applySummary(simStart, c.request, false)
		c.from.applySummary(simStart, replies[i], true)
	}
}

func TestReplacedProcessIsRejected(t *testing.T) {
	r, agent := rosterWithAgent()
	require.True(t, r.applyHeartbeat(simStart, agent, wire.Heartbeat{Incarnation: 6, Sequence: 1}))
	require.False(t, r.applyHeartbeat(simStart, agent, wire.Heartbeat{Incarnation: 5, Sequence: 99}))
	require.Equal(t, core.Incarnation(6), r.records[agent.ID].incarnation)

	r.applyHeartbeat(simStart, r.self, wire.Heartbeat{Incarnation: 1, Sequence: 1})
	r.applyHeartbeat(simStart, r.self, wire.Heartbeat{Incarnation: 2, Sequence: 1})
	require.True(t, r.replaced)
}

// FuzzSummary applies arbitrary frames to a roster: they must not cause a panic
// or violate an invariant.
func FuzzSummary(f *testing.F) {
	r, _ := rosterWithAgent()
	seed, err := cbor.Marshal(r.buildSummary(simStart, "other"))
	require.NoError(f, err)
	f.Add(seed)
	f.Fuzz(func(t *testing.T, frame []byte) {
		var summary wire.MembershipSummary
		if cbor.Unmarshal(frame, &summary) != nil {
			return
		}
		r, agent := rosterWithAgent()
		violations := invariant.TotalViolations()
		_ = r.answerSummary(simStart, summary)
		r.applySummary(simStart, summary, true)
		r.tick(simStart.Add(time.Minute))
		_ = r.buildSummary(simStart, summary.From)
		require.Equal(t, violations, invariant.TotalViolations())
		require.GreaterOrEqual(t, r.records[agent.ID].incarnation, core.Incarnation(5))
	})
}
