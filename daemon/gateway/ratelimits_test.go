package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/sharedlimit"
	"currantusher.dev/tables/watch"
)

// The operators' bound on the requests to a server that names a rate: in a window, at most
// the overshoot of what the rate allows, and the slack.
const (
	rateBoundWindow    = 4 * time.Second
	rateBoundOvershoot = 1.5
	rateBoundSlack     = 5
)

// rateTraffic sends requests of a simulated fleet to servers that name a rate.
type rateTraffic struct {
	fleet     *simulatedFleet
	perSecond float64
	servers   []*watch.Server
	ledgers   map[core.InstanceID]*sharedlimit.Ledger
	// incarnations tells which ledgers belong to earlier processes.
	incarnations map[core.InstanceID]core.Incarnation
	arrivals     [][]time.Time
}

func newRateTraffic(f *simulatedFleet, perSecond float64, centres int) *rateTraffic {
	r := &rateTraffic{fleet: f, perSecond: perSecond, ledgers: map[core.InstanceID]*sharedlimit.Ledger{}, incarnations: map[core.InstanceID]core.Incarnation{}}
	for i := range centres {
		r.servers = append(r.servers, &watch.Server{Server: fleet.Server{ID: core.InstanceID(fmt.Sprintf("s-%d", i)), DataCentre: core.DataCentre(fmt.Sprintf("dc-%d", i))}})
	}
	r.arrivals = make([][]time.Time, len(r.servers))
	return r
}

func (r *rateTraffic) ledger(e *simulatedEntry) *sharedlimit.Ledger {
	id := e.member.ID
	if r.incarnations[id] != e.member.Incarnation {
		r.incarnations[id], r.ledgers[id] = e.member.Incarnation, sharedlimit.NewLedger(id, r.fleet.now)
	}
	return r.ledgers[id]
}

func (r *rateTraffic) rate(e *simulatedEntry, server *watch.Server) (sharedlimit.Sharers, sharedlimit.Limit) {
	senders, hasPart := e.state.Senders(r.fleet.now), e.activity.HoldsShares()
	if !hasPart {
		senders.Count--
	}
	return newLimitSharing(e.member, senders, hasPart, nil).rate(server, r.perSecond)
}

// send lets an entry send a request to a server, in its own part or in that of another
// entry which it reaches.
func (r *rateTraffic) send(e *simulatedEntry, i int) {
	f, server, ledger := r.fleet, r.servers[i], r.ledger(e)
	near, limit := r.rate(e, server)
	parts := []sharedlimit.Part{near.Part(server.ID, limit)}
	reservation, ok := ledger.Reserve(f.now, server.ID, parts)
	if !ok {
		ledger.Await(f.now, server.ID)
		if !r.borrow(e, server, near.Holders(server.ID, limit)) {
			return
		}
		ledger.Receive(f.now, server.ID, f.now)
		if reservation, ok = ledger.Reserve(f.now, server.ID, parts); !ok {
			return
		}
	}
	reservation.Sent(f.now)
	r.arrivals[i] = append(r.arrivals[i], f.now)
}

func (r *rateTraffic) borrow(e *simulatedEntry, server *watch.Server, holders []core.InstanceID) bool {
	if len(holders) == 0 {
		return false
	}
	f, id := r.fleet, holders[r.fleet.random.IntN(len(holders))]
	for _, other := range f.entries {
		if other.member.ID != id || !f.isRunning(other) || f.isCut(other) || f.isCut(e) {
			continue
		}
		near, limit := r.rate(other, server)
		given, _ := r.ledger(other).Give(f.now, server.ID, near.Part(server.ID, limit), e.member.ID)
		return given
	}
	return false
}

// runRound runs a round of the fleet and some requests at random entries.
func (r *rateTraffic) runRound() {
	r.fleet.runRound()
	for range 40 {
		e := r.fleet.entries[r.fleet.random.IntN(len(r.fleet.entries))]
		if r.fleet.isRunning(e) {
			r.send(e, r.fleet.random.IntN(len(r.servers)))
		}
	}
}

// maxArrivals returns the largest number of requests to a server in any window.
func (r *rateTraffic) maxArrivals() int {
	most := 0
	for _, arrivals := range r.arrivals {
		for i, first := range arrivals {
			n := 0
			for _, at := range arrivals[i:] {
				if at.Sub(first) <= rateBoundWindow {
					n++
				}
			}
			most = max(most, n)
		}
	}
	return most
}

// Servers that name a limit must not get more while entries crash, restart, are cut off
// and return. Requests of the disturbed entries count too.
func TestRatesHoldWhileEntriesCrashAndAreCutOff(t *testing.T) {
	for _, fleet := range []struct {
		size, centres, rounds int
		seeds                 int
	}{{2, 1, 300, 3}, {9, 3, 300, 3}, {45, 3, 150, 1}, {149, 5, 70, 1}} {
		for _, perSecond := range []float64{0.5, 1.9, 20} {
			for seed := range uint64(fleet.seeds) {
				t.Run(fmt.Sprintf("%d entries, %v a second, seed %d", fleet.size, perSecond, seed), func(t *testing.T) {
					t.Parallel()
					f := newSimulatedFleet(fleet.size, fleet.centres, seed)
					traffic := newRateTraffic(f, perSecond, fleet.centres)
					for round := range fleet.rounds {
						if round >= 28 && f.random.IntN(12) == 0 {
							f.disturb()
						}
						traffic.runRound()
					}
					allowed := int(rateBoundOvershoot*perSecond*rateBoundWindow.Seconds() + rateBoundSlack)
					require.LessOrEqual(t, traffic.maxArrivals(), allowed)
				})
			}
		}
	}
}

// freezeSome lets random entries stand still.
func (f *simulatedFleet) freezeSome() {
	for _, e := range f.entries {
		if f.random.IntN(2) == 0 {
			e.frozenUntil = f.now.Add(time.Duration(f.random.Int64N(int64(maxSimulatedCut))))
		}
	}
}

// Half of the entries stand still and go on with what they knew.
func TestRatesHoldWhileEntriesStandStill(t *testing.T) {
	for _, fleet := range []struct{ size, centres, rounds int }{{2, 1, 300}, {8, 2, 300}, {40, 3, 150}, {150, 5, 70}} {
		for _, perSecond := range []float64{0.5, 1.9} {
			t.Run(fmt.Sprintf("%d entries, %v a second", fleet.size, perSecond), func(t *testing.T) {
				t.Parallel()
				f := newSimulatedFleet(fleet.size, fleet.centres, 1)
				traffic := newRateTraffic(f, perSecond, fleet.centres)
				for round := range fleet.rounds {
					if round >= 28 && f.random.IntN(40) == 0 {
						f.freezeSome()
					}
					traffic.runRound()
				}
				allowed := int(rateBoundOvershoot*perSecond*rateBoundWindow.Seconds() + rateBoundSlack)
				require.LessOrEqual(t, traffic.maxArrivals(), allowed)
			})
		}
	}
}
