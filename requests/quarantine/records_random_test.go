package quarantine

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// recordFleet plays entries that keep their quarantines in a store which may go back to a copy.
type recordFleet struct {
	t       *testing.T
	random  *rand.Rand
	seconds float64
	sets    []*Set
	store   map[string]Record
	copies  []map[string]Record
	decided int
}

func newRecordFleet(t *testing.T, seed uint64) *recordFleet {
	f := &recordFleet{t: t, random: rand.New(rand.NewPCG(seed, 7)), store: map[string]Record{}}
	for range 4 {
		f.sets = append(f.sets, newTestSet())
	}
	return f
}

func (f *recordFleet) any() *Set { return f.sets[f.random.IntN(len(f.sets))] }

func (f *recordFleet) decide() {
	s, id := f.any(), fmt.Sprint("deadly-", f.decided)
	f.seconds += 4
	s.Decide(at(f.seconds), testSettle)
	f.decided++
	f.seconds = crashEvery(s, f.seconds, 1, 5, id) + 1
	s.Decide(at(f.seconds), testSettle)
	require.Contains(f.t, quarantinedIDs(s, f.seconds), id)
}

func (f *recordFleet) gossip() {
	for _, from := range f.sets {
		evidence := from.Evidence(at(f.seconds))
		for _, to := range f.sets {
			if to != from {
				to.Merge(at(f.seconds), evidence)
			}
		}
	}
}

func (f *recordFleet) write(s *Set) { store(s, f.seconds, f.store) }

func (f *recordFleet) lift() {
	for key, r := range f.store {
		if f.random.IntN(3) == 0 {
			f.store[key] = r.Lift(storeAt(f.seconds))
		}
	}
}

// kill ends entries, which start again and read the store.
func (f *recordFleet) kill(all bool) {
	for i := range f.sets {
		if all || f.random.IntN(2) == 0 {
			f.sets[i] = NewSet()
			f.sets[i].Decide(at(f.seconds), testSettle)
			read(f.sets[i], f.seconds, f.store)
		}
	}
}

// lose returns the store to a copy.
func (f *recordFleet) lose() {
	if len(f.copies) > 0 {
		f.store = maps.Clone(f.copies[f.random.IntN(len(f.copies))])
	}
}

// known returns for each trait that is quarantined anywhere whether it is released there in its
// latest generation.
func (f *recordFleet) known() map[string]bool {
	released, generations := map[string]bool{}, map[string]uint32{}
	add := func(id string, generation uint32, isReleased bool) {
		switch {
		case generation > generations[id]:
			generations[id], released[id] = generation, isReleased
		case generation == generations[id]:
			released[id] = released[id] || isReleased
		}
	}
	for _, r := range f.store {
		if r.Released && !r.IsExpired(storeAt(f.seconds)) || r.IsActive(storeAt(f.seconds)) {
			add(r.Trait.ID, r.Generation, r.Released)
		}
	}
	for _, s := range f.sets {
		for trait, q := range s.quarantines {
			if q.released && !q.isExpired(at(f.seconds)) || q.isActive(at(f.seconds)) {
				add(trait.ID, q.generation, q.released)
			}
		}
	}
	return released
}

// settle makes all entries compare what they know with the store.
func (f *recordFleet) settle() {
	for range 2 {
		for _, s := range f.sets {
			read(s, f.seconds, f.store)
			f.write(s)
		}
	}
	for _, s := range f.sets {
		s.Decide(at(f.seconds), testSettle)
	}
}

func TestQuarantinesAndLiftsThatAnyoneKnowsLast(t *testing.T) {
	for seed := range uint64(200) {
		f := newRecordFleet(t, seed)
		for step := range 60 {
			f.seconds += f.random.Float64() * 20
			f.copies = append(f.copies, maps.Clone(f.store))
			f.copies = f.copies[max(0, len(f.copies)-4):]
			switch f.random.IntN(8) {
			case 0, 1:
				f.decide()
			case 2:
				f.gossip()
			case 3:
				f.write(f.any())
			case 4:
				f.lift()
				read(f.any(), f.seconds, f.store)
			case 5:
				f.kill(f.random.IntN(2) == 0)
			case 6:
				f.lose()
			case 7:
				expected := f.known()
				f.settle()
				for i, s := range f.sets {
					for id, isReleased := range expected {
						_, _, refused := s.Quarantined(at(f.seconds), parts(id))
						require.Equal(t, !isReleased, refused, "seed %d, step %d, entry %d: %s", seed, step, i, id)
					}
				}
			}
		}
	}
}
