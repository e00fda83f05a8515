package members

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/platform"
	"currantusher.dev/wire"
)

const (
	benchEntries = 350
	benchAgents  = 600
)

// benchRoster returns the roster of an entry in a fleet of benchEntries entries
// and benchAgents agents, the target size.
func benchRoster(id core.InstanceID) *roster {
	r := newRoster(platform.Instance{ID: id, Role: platform.RoleEntry, PeerAddr: "10.9.9.9:7000"}, 1, simTiming)
	for i := range benchEntries + benchAgents {
		role, group := platform.RoleEntry, core.Group("")
		if i >= benchEntries {
			role, group = platform.RoleAgent, "label-llm"
		}
		instance := platform.Instance{
			ID: core.InstanceID(fmt.Sprintf("instance-%04d", i)), Role: role, Group: group,
			DataCentre: core.DataCentre(fmt.Sprintf("data-centre-%d", i%7)),
			PeerAddr:   fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
		}
		r.applyHeartbeat(simStart, instance, benchHeartbeat(1, 1))
	}
	return r
}

func benchHeartbeat(sequence uint64, revision core.Revision) wire.Heartbeat {
	digest := core.DigestOf([]byte("weights"))
	return wire.Heartbeat{
		Incarnation: 1700000000000000000, Sequence: sequence, Running: 5,
		Status: &wire.Status{Revision: revision, Limit: 16, Temperature: wire.TemperatureWarm, Weights: digest, Target: digest},
	}
}

func allInstances(r *roster) []platform.Instance {
	var all []platform.Instance
	for _, rec := range r.records {
		all = append(all, rec.instance)
	}
	return all
}

// summaryAfter returns the summary for a neighbour that had confirmed the whole
// log before change.
func summaryAfter(b *testing.B, change func(r *roster, now time.Time)) (*roster, wire.MembershipSummary) {
	from := benchRoster("instance-0000")
	from.applySummary(simStart, wire.MembershipSummary{From: "other", Incarnation: 1, AppliedPosition: from.logPosition, AppliedIncarnation: from.incarnation}, false)
	change(from, simStart.Add(time.Hour))
	return from, from.buildSummary(simStart.Add(time.Hour), "other")
}

func BenchmarkSummary(b *testing.B) {
	cases := []struct {
		name   string
		change func(r *roster, now time.Time)
	}{
		{"unchanged", func(*roster, time.Time) {}},
		{"950 heartbeats", func(r *roster, now time.Time) {
			for _, instance := range allInstances(r) {
				r.applyHeartbeat(now, instance, wire.Heartbeat{Incarnation: 1700000000000000000, Sequence: 1000, Running: 5})
			}
		}},
		{"950 acknowledgements", func(r *roster, now time.Time) {
			for _, instance := range allInstances(r) {
				r.applyHeartbeat(now, instance, benchHeartbeat(1000, 2))
			}
		}},
		{"950 records", func(r *roster, _ time.Time) { r.exchanges = map[core.InstanceID]*exchangeState{} }},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			from, summary := summaryAfter(b, c.change)
			encoded, err := cbor.Marshal(summary)
			require.NoError(b, err)
			to := benchRoster("other")
			for b.Loop() {
				built := from.buildSummary(simStart.Add(time.Hour), "other")
				body, _ := cbor.Marshal(built)
				var decoded wire.MembershipSummary
				_ = cbor.Unmarshal(body, &decoded)
				to.applySummary(simStart.Add(time.Hour), decoded, false)
			}
			b.ReportMetric(float64(len(encoded)), "bytes")
		})
	}
}

func BenchmarkHeartbeat(b *testing.B) {
	r := benchRoster("instance-0000")
	all := allInstances(r)
	sequence := uint64(1)
	now := simStart
	for b.Loop() {
		sequence++
		now = now.Add(time.Millisecond)
		r.applyHeartbeat(now, all[sequence%uint64(len(all))], wire.Heartbeat{Incarnation: 1700000000000000000, Sequence: sequence, Running: 5})
	}
	plain, err := cbor.Marshal(wire.Heartbeat{Sequence: 100000, Running: 5, ConfigAgeMillis: 700})
	require.NoError(b, err)
	full, err := cbor.Marshal(benchHeartbeat(1, 1))
	require.NoError(b, err)
	b.ReportMetric(float64(len(plain)), "bytes")
	b.ReportMetric(float64(len(full)), "bytes-with-status")
}

func BenchmarkQueries(b *testing.B) {
	r := benchRoster("instance-0000")
	d := &Directory{config: DirectoryConfig{Self: r.self, Now: func() time.Time { return simStart }}, roster: r}
	b.Run("agents", func(b *testing.B) {
		for b.Loop() {
			d.Agents("label-llm")
		}
	})
	b.Run("addresses", func(b *testing.B) {
		for b.Loop() {
			d.Addresses("data-centre-1", func(core.DataCentre) bool { return false })
		}
	})
	b.Run("in-force", func(b *testing.B) {
		for b.Loop() {
			d.InForce(1)
		}
	})
	b.Run("tick", func(b *testing.B) {
		for b.Loop() {
			r.tick(simStart)
		}
	})
}

func BenchmarkBalance(b *testing.B) {
	all := allInstances(benchRoster("other"))
	self := platform.Instance{ID: "zzz", Role: platform.RoleAgent, DataCentre: "data-centre-1"}
	for b.Loop() {
		receiverPolicy{perDataCentre: 1, maxTotal: 3}.assign(self, all)
	}
}
