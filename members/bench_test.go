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

// benchRoster returns the roster of an entry in a fleet of the target size.
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
		r.heard(simStart, instance, benchBeat(1, 1))
	}
	return r
}

func benchBeat(sequence uint64, revision core.Revision) wire.Heartbeat {
	digest := core.DigestOf([]byte("weights"))
	return wire.Heartbeat{
		Incarnation: 1700000000000000000, Sequence: sequence, Running: 5,
		Status: &wire.Status{Revision: revision, Limit: 16, Temperature: wire.TemperatureWarm, Weights: digest, Target: digest},
	}
}

func instances(r *roster) []platform.Instance {
	var all []platform.Instance
	for _, known := range r.records {
		all = append(all, known.instance)
	}
	return all
}

// summaryOf returns what a neighbour that had everything gets after change.
func summaryOf(b *testing.B, change func(r *roster, now time.Time)) (*roster, wire.MembershipSummary) {
	from := benchRoster("instance-0000")
	from.receive(simStart, wire.MembershipSummary{From: "other", Incarnation: 1, AppliedPosition: from.position, AppliedIncarnation: from.incarnation}, false)
	change(from, simStart.Add(time.Hour))
	return from, from.summaryFor(simStart.Add(time.Hour), "other")
}

func BenchmarkSummary(b *testing.B) {
	kinds := []struct {
		name   string
		change func(r *roster, now time.Time)
	}{
		{"unchanged", func(*roster, time.Time) {}},
		{"950 beats", func(r *roster, now time.Time) {
			for _, instance := range instances(r) {
				r.heard(now, instance, wire.Heartbeat{Incarnation: 1700000000000000000, Sequence: 1000, Running: 5})
			}
		}},
		{"950 acknowledgements", func(r *roster, now time.Time) {
			for _, instance := range instances(r) {
				r.heard(now, instance, benchBeat(1000, 2))
			}
		}},
		{"950 records", func(r *roster, _ time.Time) { r.links = map[core.InstanceID]*link{} }},
	}
	for _, kind := range kinds {
		b.Run(kind.name, func(b *testing.B) {
			from, summary := summaryOf(b, kind.change)
			encoded, err := cbor.Marshal(summary)
			require.NoError(b, err)
			to := benchRoster("other")
			for b.Loop() {
				built := from.summaryFor(simStart.Add(time.Hour), "other")
				body, _ := cbor.Marshal(built)
				var decoded wire.MembershipSummary
				_ = cbor.Unmarshal(body, &decoded)
				to.receive(simStart.Add(time.Hour), decoded, false)
			}
			b.ReportMetric(float64(len(encoded)), "bytes")
		})
	}
}

func BenchmarkHeartbeat(b *testing.B) {
	r := benchRoster("instance-0000")
	all := instances(r)
	sequence := uint64(1)
	now := simStart
	for b.Loop() {
		sequence++
		now = now.Add(time.Millisecond)
		r.heard(now, all[sequence%uint64(len(all))], wire.Heartbeat{Incarnation: 1700000000000000000, Sequence: sequence, Running: 5})
	}
	plain, err := cbor.Marshal(wire.Heartbeat{Sequence: 100000, Running: 5, ConfigAgeMillis: 700})
	require.NoError(b, err)
	full, err := cbor.Marshal(benchBeat(1, 1))
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
	all := instances(benchRoster("other"))
	self := platform.Instance{ID: "zzz", Role: platform.RoleAgent, DataCentre: "data-centre-1"}
	for b.Loop() {
		homeRule{perDataCentre: 1, limit: 3}.balance(self, all)
	}
}
