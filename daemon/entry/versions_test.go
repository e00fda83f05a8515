package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/members"
	"currantusher.dev/requests/placement"
)

func TestVersionOverlay(t *testing.T) {
	first, second := core.DigestOf([]byte("1")), core.DigestOf([]byte("2"))
	now := time.Unix(100, 0)
	overlay := newVersionOverlay()
	overlay.now = func() time.Time { return now }
	agent := members.Agent{Weights: first, Member: members.Member{Instance: "engine-1", Incarnation: 7}}
	candidate := placement.Candidate{ID: "engine-1", Incarnation: 7, Weights: first}

	overlay.observe(candidate, second)
	agent.Age = time.Second
	require.Equal(t, second, overlay.of(agent, now), "an End frame is newer than the report")
	agent.Age = 0
	require.Equal(t, first, overlay.of(agent, now.Add(time.Second)), "a later report wins")

	overlay.observe(candidate, second)
	agent.Age = time.Second
	agent.Incarnation = 8
	require.Equal(t, first, overlay.of(agent, now), "another process carries its own version")
}

func TestChooseVersion(t *testing.T) {
	first, second := core.DigestOf([]byte("1")), core.DigestOf([]byte("2"))
	tests := []struct {
		name     string
		capacity map[core.Digest]int
		draw     float64
		want     map[core.Digest]bool
	}{
		{"nothing serves", nil, 0.5, map[core.Digest]bool{second: true}},
		{"only old", map[core.Digest]int{first: 4}, 0.99, map[core.Digest]bool{first: true}},
		{"none has a limit", map[core.Digest]int{first: 0}, 0.5, map[core.Digest]bool{second: true}},
		{"both", map[core.Digest]int{first: 1, second: 1}, 0.25, map[core.Digest]bool{first: true, second: true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.Contains(t, test.want, chooseVersion(second, test.capacity, test.draw))
		})
	}
}
