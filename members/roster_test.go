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

// rosterWithAgent returns a roster that heard one leaving agent.
func rosterWithAgent() (*roster, platform.Instance) {
	self := platform.Instance{ID: "entry", Role: platform.RoleEntry, DataCentre: "north", PeerAddr: "10.0.0.1:1", HTTPAddr: "10.0.0.1:2"}
	r := newRoster(self, 1, simTiming)
	agent := platform.Instance{ID: "agent", Role: platform.RoleAgent, DataCentre: "north", Group: "workers", PeerAddr: "10.0.0.2:1"}
	r.heard(simStart, agent, wire.Heartbeat{
		Incarnation: 5, Sequence: 1, Leaving: true, Status: &wire.Status{Revision: 7, Limit: 4, Weights: core.DigestOf([]byte("w"))},
	})
	return r, agent
}

func TestSummaryRoundTrip(t *testing.T) {
	from, agent := rosterWithAgent()
	to := newRoster(platform.Instance{ID: "other", Role: platform.RoleEntry, PeerAddr: "10.0.0.3:1"}, 1, simTiming)
	now := simStart.Add(2 * time.Second)
	to.receive(now, from.summaryFor(now, "other"), false)
	got := to.records[agent.ID]
	require.NotNil(t, got)
	want := from.records[agent.ID].agent(now, false)
	require.Equal(t, want, got.agent(now, false))
	require.Equal(t, StateLeaving, got.state())

	from.receive(now, to.summaryFor(now, "entry"), false)
	require.Empty(t, from.summaryFor(now, "other").Records, "what the neighbour confirmed is not sent again")

	from.heard(now, agent, wire.Heartbeat{Incarnation: 5, Sequence: 2, Running: 3})
	beats := from.summaryFor(now, "other")
	require.Empty(t, beats.Records)
	require.Len(t, beats.Heartbeats, 1)
	to.receive(now, beats, false)
	require.Equal(t, 3, to.records[agent.ID].running)

	from.heard(now, agent, wire.Heartbeat{Incarnation: 5, Sequence: 3, Status: &wire.Status{Revision: 8, Limit: 4, Weights: core.DigestOf([]byte("w"))}})
	acks := from.summaryFor(now, "other")
	require.Empty(t, acks.Records)
	require.Len(t, acks.Acks, 1)
	to.receive(now, acks, false)
	require.Equal(t, core.Revision(8), to.records[agent.ID].revision)
}

func TestBeatOfUnknownDaemonAsksForEverything(t *testing.T) {
	r, _ := rosterWithAgent()
	r.receive(simStart, wire.MembershipSummary{From: "other", Incarnation: 1, Position: 9, Heartbeats: []wire.MemberHeartbeat{{Key: 42}}}, false)
	require.Zero(t, r.link("other").seen)
	r.receive(simStart, wire.MembershipSummary{From: "other", Incarnation: 1, Position: 9}, false)
	require.Equal(t, uint64(9), r.link("other").seen)
	r.receive(simStart, wire.MembershipSummary{From: "other", Incarnation: 1, SincePosition: 10, Position: 20}, false)
	require.Equal(t, uint64(9), r.link("other").seen, "a gap is not confirmed")
}

func TestMalformedRecordsAreIgnored(t *testing.T) {
	r, _ := rosterWithAgent()
	bad := []wire.MemberRecord{
		{ID: "x", Incarnation: 1, Role: 9},
		{ID: "x", Incarnation: 1, Weights: -1},
		{ID: "x"},
		{ID: "x", Incarnation: 1, State: 9},
	}
	r.receive(simStart, wire.MembershipSummary{From: "other", Incarnation: 1, Names: []string{""}, Digests: []core.Digest{{}}, Records: bad}, false)
	require.Nil(t, r.records["x"])
}

func TestAddresses(t *testing.T) {
	entry := func(id core.InstanceID, zone core.DataCentre, state State) Entry {
		return Entry{Member{Instance: id, DataCentre: zone, HTTPAddr: string(id), State: state}}
	}
	none := func(core.DataCentre) bool { return false }
	southOut := func(zone core.DataCentre) bool { return zone == "south" }
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
	near := ids(orderAddresses(entries, "north", none, 1))
	require.Equal(t, core.InstanceID("n1"), near[0])
	require.Equal(t, core.InstanceID("n2"), near[3], "suspected ones come last")
	require.ElementsMatch(t, []core.InstanceID{"n1", "n2", "s1", "w1"}, near)
	require.Equal(t, near, ids(orderAddresses(entries, "north", none, 1)), "the order is stable")
	require.ElementsMatch(t, []core.InstanceID{"n1", "n2", "w1"}, ids(orderAddresses(entries, "south", southOut, 1)))
	require.Equal(t, []core.InstanceID{"s1"}, ids(orderAddresses(entries[3:5], "north", southOut, 1)), "rather one that is out than none")

	first := map[core.InstanceID]int{}
	for salt := range uint64(300) {
		first[orderAddresses(entries, "east", none, salt)[0].Instance]++
	}
	require.Len(t, first, 3)
	for id, count := range first {
		require.Greater(t, count, 50, id)
	}
}

func TestChooseHomes(t *testing.T) {
	var entries []platform.Instance
	for _, zone := range []core.DataCentre{"north", "south", "west"} {
		for _, n := range []string{"1", "2", "3"} {
			entries = append(entries, platform.Instance{ID: core.InstanceID(zone) + core.InstanceID(n), Role: platform.RoleEntry, DataCentre: zone})
		}
	}
	self := platform.Instance{ID: "agent", DataCentre: "south"}
	homes := homeRule{1, 2}.choose(self, entries, nil, nil)
	require.Len(t, homes, 2)
	require.Equal(t, core.DataCentre("south"), homes[0].DataCentre)
	other := homeRule{1, 2}.choose(self, entries, map[core.InstanceID]bool{homes[0].ID: true}, nil)
	require.NotEqual(t, homes[0].ID, other[0].ID)
	require.Equal(t, homes[1], other[1])
}

func TestInForceWaitsForTheLeaseOfSilentDaemons(t *testing.T) {
	for _, servesStale := range []bool{false, true} {
		r, agent := rosterWithAgent()
		config := DirectoryConfig{ConfigMaxAge: simMaxAge, LeaseMargin: simMargin, ServeStaleConfig: servesStale}
		r.timing.lease = config.lease()
		r.list(simStart, []platform.Instance{r.self, agent})
		report := wire.Heartbeat{Incarnation: 1, Sequence: 1, Status: &wire.Status{Revision: 8}}
		now := simStart.Add(time.Minute)
		r.tick(now)
		r.heard(now, r.self, report)
		inForce, missing := r.inForce(now, 8)
		require.False(t, inForce)
		require.Equal(t, []core.InstanceID{agent.ID}, missing, "a suspected daemon counts until its lease ends")
		inForce, _ = r.inForce(now.Add(config.ConfigMaxAge+config.LeaseMargin), 8)
		require.Equal(t, !servesStale, inForce)

		r.heard(now, agent, wire.Heartbeat{Incarnation: 5, Sequence: 2, Left: true})
		inForce, _ = r.inForce(now, 8)
		require.True(t, inForce, "one that said that it ended does not count")
	}
}

func TestBalancedHomes(t *testing.T) {
	const zones, entries, agents = 3, 30, 90
	var all []platform.Instance
	for i := range entries + agents {
		role := platform.RoleEntry
		if i >= entries {
			role = platform.RoleAgent
		}
		id := core.InstanceID(fmt.Sprintf("i%03d", i))
		all = append(all, platform.Instance{ID: id, Role: role, DataCentre: core.DataCentre(fmt.Sprintf("z%d", i%zones))})
	}
	rule := homeRule{perDataCentre: 1, limit: zones}
	load := map[core.InstanceID]int{}
	for _, agent := range all[entries:] {
		homes := rule.choose(agent, all, nil, rule.balance(agent, all))
		require.Len(t, homes, zones)
		require.Equal(t, agent.DataCentre, homes[0].DataCentre)
		for _, home := range homes {
			load[home.ID]++
		}
	}
	require.Len(t, load, entries)
	for id, count := range load {
		require.LessOrEqual(t, float64(count), math.Ceil(homeLoadFactor*agents*zones/entries), id)
	}
	unlisted := platform.Instance{ID: "new", Role: platform.RoleAgent, DataCentre: "z1"}
	require.Len(t, rule.balance(unlisted, all), zones)
	require.Empty(t, rule.balance(unlisted, nil))
}

// TestSpreadIsLogarithmic counts the rounds until every entry knows of a new
// agent when all exchanges of a round start from the state before it.
func TestSpreadIsLogarithmic(t *testing.T) {
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
		r.list(simStart, listed)
		rosters[instance.ID] = r
	}
	agent := platform.Instance{ID: "agent", Role: platform.RoleAgent, PeerAddr: "agent"}
	rosters[listed[0].ID].heard(simStart, agent, wire.Heartbeat{Incarnation: 1, Sequence: 1})
	rounds := 0
	for ; rounds < bound && !allKnow(rosters, agent.ID); rounds++ {
		exchangeAll(rosters, listed)
	}
	require.True(t, allKnow(rosters, agent.ID), "after %d rounds", rounds)
}

func allKnow(rosters map[core.InstanceID]*roster, id core.InstanceID) bool {
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
		for _, partner := range from.partners() {
			calls = append(calls, call{from, rosters[partner.ID], from.summaryFor(simStart, partner.ID)})
		}
	}
	replies := make([]wire.MembershipSummary, len(calls))
	for i, c := range calls {
		replies[i] = c.to.summaryFor(simStart, c.from.self.ID)
	}
	for i, c := range calls {
		c.to.receive(simStart, c.request, false)
		c.from.receive(simStart, replies[i], true)
	}
}

func TestReplacedProcessLearnsIt(t *testing.T) {
	r, agent := rosterWithAgent()
	require.True(t, r.heard(simStart, agent, wire.Heartbeat{Incarnation: 6, Sequence: 1}))
	require.False(t, r.heard(simStart, agent, wire.Heartbeat{Incarnation: 5, Sequence: 99}))
	require.Equal(t, core.Incarnation(6), r.records[agent.ID].incarnation)

	r.heard(simStart, r.self, wire.Heartbeat{Incarnation: 1, Sequence: 1})
	r.heard(simStart, r.self, wire.Heartbeat{Incarnation: 2, Sequence: 1})
	require.True(t, r.replaced)
}

// FuzzSummary feeds arbitrary frames to a roster: they must neither panic nor
// break what is final.
func FuzzSummary(f *testing.F) {
	r, _ := rosterWithAgent()
	seed, err := cbor.Marshal(r.summaryFor(simStart, "other"))
	require.NoError(f, err)
	f.Add(seed)
	f.Fuzz(func(t *testing.T, frame []byte) {
		var summary wire.MembershipSummary
		if cbor.Unmarshal(frame, &summary) != nil {
			return
		}
		r, agent := rosterWithAgent()
		before := invariant.TotalViolations()
		_ = r.answer(simStart, summary)
		r.receive(simStart, summary, true)
		r.tick(simStart.Add(time.Minute))
		_ = r.summaryFor(simStart, summary.From)
		require.Equal(t, before, invariant.TotalViolations())
		require.GreaterOrEqual(t, r.records[agent.ID].incarnation, core.Incarnation(5))
	})
}
