package quarantine

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"currantusher.dev/core/fleet"
)

// whole returns the trait of a whole request.
func whole(id string) fleet.Trait { return fleet.Trait{ID: id} }

// Each request that waits at a crashed server is a suspect of its own.
func TestFingerprintsOfBystandersDoNotHideTheDeadlyPart(t *testing.T) {
	for _, bystanders := range []int{20, 40, 63, 64, 80, 120} {
		t.Run(fmt.Sprint(bystanders), func(t *testing.T) {
			s := newTestSet()
			for crash := range 8 {
				server, seconds := fmt.Sprint(crash), float64(crash)
				for request := range bystanders {
					id := fmt.Sprintf("%d-%d", crash, request)
					s.Crashed(at(seconds), lifetime(server), at(seconds), suspects(id, []fleet.Trait{whole(id)}))
				}
				id := fmt.Sprintf("dead-%d", crash)
				s.Crashed(at(seconds), lifetime(server), at(seconds), suspects(id, append(parts("dead"), whole(id))))
			}
			s.Decide(at(8), testSettle)
			assert.Equal(t, []string{"dead"}, quarantinedIDs(s, 8))
		})
	}
}

// Another entry must learn of the deadly part although many requests waited.
func TestFingerprintsOfBystandersDoNotKeepTheDeadlyPartFromOtherEntries(t *testing.T) {
	entries := []*Set{newTestSet(), newTestSet(), newTestSet()}
	for crash, s := range entries {
		server, seconds := fmt.Sprint(crash), 2*float64(crash)
		for request := range 40 {
			id := fmt.Sprintf("%d-%d", crash, request)
			s.Crashed(at(seconds), lifetime(server), at(seconds), suspects(id, append(parts("session-"+id), whole(id))))
		}
		id := fmt.Sprintf("dead-%d", crash)
		s.Crashed(at(seconds), lifetime(server), at(seconds), suspects(id, append(parts("zz-dead"), whole(id))))
		for round := range 5 {
			for _, from := range entries {
				for _, to := range entries {
					if from != to {
						exchange(seconds+0.3*float64(round), from, to)
					}
				}
			}
		}
	}
	for i, s := range entries {
		s.Decide(at(6), testSettle)
		assert.Equal(t, []string{"zz-dead"}, quarantinedIDs(s, 6), "entry %d", i)
	}
}

// Whole requests that are answered fill the memory of what has been answered.
func TestAnswersToOtherRequestsDoNotForgetThatAPartIsSound(t *testing.T) {
	for _, rate := range []int{50, 150, 500, 2000} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			s := newTestSet()
			s.Started(at(0), parts("rare"))
			for i := range 100 * rate {
				now := float64(i) / float64(rate)
				s.Started(at(now), append(parts("team"), whole(fmt.Sprint(i))))
			}
			crashEvery(s, 100, 1, 3, "rare")
			s.Decide(at(104), testSettle)
			assert.Empty(t, quarantinedIDs(s, 104), "an answer with the part began 100 s before")
		})
	}
}
