package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"currantusher.dev/core/fleet"
)

// simPair is two Sets that hear of different events and exchange messages.
type simPair struct {
	sets     [2]*Set
	now      float64
	inFlight [2][]fleet.CrashEvidence
	requests int
}

func newSimPair() *simPair { return &simPair{sets: [2]*Set{newTestSet(), newTestSet()}, now: 1} }

func (p *simPair) actions() map[string]func(*rapid.T) {
	index := rapid.IntRange(0, 1)
	names := rapid.SampledFrom([]string{"dead1", "dead2", "team1", "team2", "rare1", "rare2"})
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			for _, s := range p.sets {
				requireBounds(t, s)
			}
		},
		"pass": func(t *rapid.T) { p.now += rapid.Float64Range(0.001, 2).Draw(t, "seconds") },
		"decide": func(t *rapid.T) {
			p.sets[index.Draw(t, "set")].Decide(at(p.now), testSettle)
		},
		"crash": func(t *rapid.T) {
			p.requests++
			server := fmt.Sprint(rapid.IntRange(0, 40).Draw(t, "server"))
			ids := slices.Compact(rapid.SliceOfN(names, 1, 3).Draw(t, "parts"))
			request := fmt.Sprint(p.requests - rapid.IntRange(0, 1).Draw(t, "sent again"))
			crashWith(p.sets[index.Draw(t, "set")], p.now, server, request, ids...)
		},
		"start": func(t *rapid.T) {
			id := rapid.SampledFrom([]string{"team1", "team2", "rare1", "rare2"}).Draw(t, "part")
			p.sets[index.Draw(t, "set")].Started(at(p.now), parts(id))
		},
		"send": func(t *rapid.T) {
			to := index.Draw(t, "to")
			p.inFlight[to] = append(p.inFlight[to], p.sets[1-to].Evidence(at(p.now)))
		},
		"receive": func(t *rapid.T) {
			to := index.Draw(t, "to")
			if len(p.inFlight[to]) == 0 {
				return
			}
			i := rapid.IntRange(0, len(p.inFlight[to])-1).Draw(t, "message")
			p.sets[to].Merge(at(p.now), p.inFlight[to][i])
			if !rapid.Bool().Draw(t, "again") {
				p.inFlight[to] = slices.Delete(p.inFlight[to], i, i+1)
			}
		},
	}
}

// exchangeAll lets all evidence count as news and exchanges it until nothing changes.
func (p *simPair) exchangeAll() (changes [][]Change) {
	for range 40 {
		p.now += 0.05
		for _, s := range p.sets {
			s.refresh(at(p.now))
		}
		var round []Change
		for to := range p.sets {
			merged, _ := exchange(p.now, p.sets[1-to], p.sets[to])
			round = append(append(round, merged...), p.sets[to].Decide(at(p.now), 0)...)
		}
		changes = append(changes, round)
	}
	return changes
}

// refresh marks everything that a Set keeps as news.
func (s *Set) refresh(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.crashes.crashes {
		for _, suspicion := range c.suspects {
			suspicion.changedAt = now
		}
	}
	for _, q := range s.quarantines {
		q.changedAt = now
	}
	s.undecided = true
}

func TestSetsThatExchangeEverythingQuarantineTheSameParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newSimPair()
		t.Repeat(p.actions())
		changes := p.exchangeAll()
		require.Equal(t, p.refused(0), p.refused(1))
		for _, round := range changes[len(changes)-5:] {
			require.Empty(t, round, "quarantines change without new evidence")
		}
	})
}

// refused returns the quarantined parts of a Set with the parts that a refused request
// holds too.
func (p *simPair) refused(index int) []string {
	s := p.sets[index]
	var list []string
	for part, q := range s.quarantines {
		if q.isActive(at(p.now)) {
			list = append(list, fmt.Sprint(part.ID, " with ", q.with))
		}
	}
	slices.Sort(list)
	return list
}
