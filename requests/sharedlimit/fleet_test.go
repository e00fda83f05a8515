package sharedlimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
)

// The operators' bound on the requests in 4 s to a server that names a limit.
const (
	boundWindow    = 4 * time.Second
	boundOvershoot = 1.5
	boundSlack     = 5
)

type simulatedServer struct {
	id       core.InstanceID
	centre   core.DataCentre
	arrivals []time.Time
	// served counts the arrivals by the data centre of their entry.
	served map[core.DataCentre]int
}

// simulatedFleet sends requests to servers all of which name the same limit.
type simulatedFleet struct {
	random    *rand.Rand
	now       time.Time
	perSecond float64
	entries   []Sharer
	ledgers   map[core.InstanceID]*Ledger
	// views are the sharers that each entry knows. They may differ for a while.
	views   map[core.InstanceID][]Sharer
	servers []*simulatedServer
}

func newSimulatedFleet(seed uint64, entries, servers, centres int, perSecond float64) *simulatedFleet {
	f := &simulatedFleet{
		random: rand.New(rand.NewPCG(seed, 0)), now: testStart, perSecond: perSecond,
		entries: testSharers(entries, centres), ledgers: map[core.InstanceID]*Ledger{}, views: map[core.InstanceID][]Sharer{},
	}
	for _, e := range f.entries {
		f.ledgers[e.ID], f.views[e.ID] = NewLedger(e.ID, testStart.Add(-time.Hour)), f.entries
	}
	for i := range servers {
		centre := core.DataCentre(fmt.Sprintf("dc-%d", i%centres))
		f.servers = append(f.servers, &simulatedServer{id: core.InstanceID(fmt.Sprintf("s-%d", i)), centre: centre, served: map[core.DataCentre]int{}})
	}
	return f
}

// sharers returns the sharers that an entry knows.
func (f *simulatedFleet) sharers(self Sharer) Sharers {
	view := f.views[self.ID]
	return NewSharers(self.ID, view, len(view))
}

// request sends one request of an entry to a server with a place, if it gets one.
func (f *simulatedFleet) request(e Sharer) bool {
	sharers, ledger, limit := f.sharers(e), f.ledgers[e.ID], Rate(f.perSecond)
	order := f.random.Perm(len(f.servers))
	for _, i := range order {
		s := f.servers[i]
		near := sharers.Near(s.centre, core.Region(s.centre))
		if r, ok := ledger.Reserve(f.now, s.id, []Part{near.Part(s.id, limit)}); ok {
			f.arrive(s, e, r)
			return true
		}
	}
	s := f.servers[order[0]]
	near := sharers.Near(s.centre, core.Region(s.centre))
	ledger.Await(f.now, s.id)
	holders := near.Holders(s.id, limit)
	if len(holders) == 0 {
		return false
	}
	holder := holders[f.random.IntN(len(holders))]
	for _, other := range f.entries {
		if other.ID != holder {
			continue
		}
		part := f.sharers(other).Near(s.centre, core.Region(s.centre)).Part(s.id, limit)
		if given, _ := f.ledgers[holder].Give(f.now, s.id, part, e.ID); !given {
			return false
		}
		ledger.Receive(f.now, s.id, f.now.Add(time.Second))
		r, ok := ledger.Reserve(f.now, s.id, []Part{near.Part(s.id, limit)})
		if ok {
			f.arrive(s, e, r)
		}
		return ok
	}
	return false
}

func (f *simulatedFleet) arrive(s *simulatedServer, e Sharer, r *Reservation) {
	r.Sent(f.now)
	s.arrivals = append(s.arrivals, f.now)
	s.served[e.DataCentre]++
}

// run lets requests come at random moments, a number a second in all.
func (f *simulatedFleet) run(d time.Duration, perSecond float64) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second)))
		f.request(f.entries[f.random.IntN(len(f.entries))])
	}
}

func (f *simulatedFleet) entriesByCentre() map[core.DataCentre]int {
	count := map[core.DataCentre]int{}
	for _, e := range f.entries {
		count[e.DataCentre]++
	}
	return count
}

// maxArrivals returns the largest number of arrivals in a window.
func (s *simulatedServer) maxArrivals() int {
	most, first := 0, 0
	for i, at := range s.arrivals {
		for at.Sub(s.arrivals[first]) > boundWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func (f *simulatedFleet) requireBounds(t *testing.T) {
	t.Helper()
	allowed := int(boundOvershoot*f.perSecond*boundWindow.Seconds() + boundSlack)
	for _, s := range f.servers {
		require.LessOrEqual(t, s.maxArrivals(), allowed, "%s", s.id)
	}
}

// Servers under a limit must get nearly all that it allows, but no more, whatever the
// number of entries, and callers of all data centres must be served.
func TestServersGetNearlyAllThatTheirLimitsAllow(t *testing.T) {
	const simulated = time.Minute
	for _, entries := range []int{2, 8, 40, 150} {
		for _, perSecond := range []float64{0.5, 1.9, 20} {
			for _, servers := range []int{1, 9} {
				t.Run(fmt.Sprintf("%d entries, %d servers, %v a second", entries, servers, perSecond), func(t *testing.T) {
					t.Parallel()
					centres := min(3, entries)
					f := newSimulatedFleet(4, entries, servers, centres, perSecond)
					allowed := perSecond * float64(servers)
					f.run(simulated, 3*allowed+10)
					f.requireBounds(t)
					total, byCentre := 0, map[core.DataCentre]int{}
					for _, s := range f.servers {
						total += len(s.arrivals)
						for centre, n := range s.served {
							byCentre[centre] += n
						}
					}
					fraction := float64(total) / (allowed * simulated.Seconds())
					t.Logf("%.3f of the limit used; by data centre %v", fraction, byCentre)
					require.Greater(t, fraction, 0.85)
					for centre, n := range f.entriesByCentre() {
						require.Greater(t, 2*byCentre[centre]*entries, total*n, "%s", centre)
					}
				})
			}
		}
	}
}

// Half of the entries go and come back. The others learn of it at different moments.
func TestLimitsHoldWhileEntriesDisagreeOnWhoSharesThem(t *testing.T) {
	for seed := range uint64(2) {
		for _, entries := range []int{8, 40, 150} {
			for _, perSecond := range []float64{0.5, 1.9, 20} {
				t.Run(fmt.Sprintf("seed %d, %d entries, %v a second", seed, entries, perSecond), func(t *testing.T) {
					t.Parallel()
					f := newSimulatedFleet(seed, entries, 6, 3, perSecond)
					for range 8 {
						view := f.randomHalf()
						for _, i := range f.random.Perm(entries) {
							f.views[f.entries[i].ID] = view
							f.run(20*time.Millisecond, 200)
						}
						f.run(5*time.Second, 200)
					}
					f.requireBounds(t)
				})
			}
		}
	}
}

// randomHalf returns each sharer with a probability of one half.
func (f *simulatedFleet) randomHalf() []Sharer {
	var list []Sharer
	for _, e := range f.entries {
		if f.random.IntN(2) == 0 {
			list = append(list, e)
		}
	}
	return list
}
