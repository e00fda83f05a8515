package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/members"
	"currantusher.dev/requests/placement"
)

func TestWeightsObservations(t *testing.T) {
	first, second := core.DigestOf([]byte("1")), core.DigestOf([]byte("2"))
	now := time.Unix(100, 0)
	observations := newWeightsObservations()
	observations.now = func() time.Time { return now }
	agent := members.Agent{Weights: first, Member: members.Member{Instance: "engine-1", Incarnation: 7}}
	candidate := placement.Candidate{ID: "engine-1", Incarnation: 7, Weights: first}

	observations.observe(candidate, second)
	agent.Age = time.Second
	require.Equal(t, second, observations.currentWeights(agent, now), "the End frame is newer than the report")
	agent.Age = 0
	require.Equal(t, first, observations.currentWeights(agent, now.Add(time.Second)), "the later report replaces the observation")

	observations.observe(candidate, second)
	agent.Age = time.Second
	agent.Incarnation = 8
	require.Equal(t, first, observations.currentWeights(agent, now), "observations of an earlier incarnation do not apply")
}

func TestPickWeightsByCapacity(t *testing.T) {
	first, second := core.DigestOf([]byte("1")), core.DigestOf([]byte("2"))
	tests := []struct {
		name     string
		capacity map[core.Digest]int
		random   float64
		want     map[core.Digest]bool
	}{
		{"no agent serves", nil, 0.5, map[core.Digest]bool{second: true}},
		{"only the old version", map[core.Digest]int{first: 4}, 0.99, map[core.Digest]bool{first: true}},
		{"limit 0", map[core.Digest]int{first: 0}, 0.5, map[core.Digest]bool{second: true}},
		{"both versions", map[core.Digest]int{first: 1, second: 1}, 0.25, map[core.Digest]bool{first: true, second: true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.Contains(t, test.want, pickWeightsByCapacity(second, test.capacity, test.random))
		})
	}
}
