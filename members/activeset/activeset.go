// Package activeset selects the entries of a data centre that take callers'
// requests. The limits of backend servers are divided among these entries, and
// their loads are exchanged among them, so that both depend on the load and not on
// the size of the fleet. The other entries are on standby: they are ready, and
// replace an active entry once it no longer counts as alive. Times are passed in as
// arguments, and the package does no I/O.
package activeset

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"

	"currantusher.dev/core"
)

const (
	// minActive is the least number of active entries of a data centre, so that
	// the loss of one affects at most a third of its callers.
	minActive = 3
	// cpuSecondsPerRequest is the processor time of an entry for one request with a
	// stream of a few dozen events. docs/CAPACITY.md keeps the measured slope.
	cpuSecondsPerRequest = 0.002
	// maxUtilization is the fraction of the active entries' processors that the
	// expected load uses. The rest serves bursts, and the load of lost entries until
	// others replace them.
	maxUtilization = 0.3
	// defaultCores applies to entries that do not report their capacity.
	defaultCores = 0.25
)

// Entry is an entry that can take requests.
type Entry struct {
	ID core.InstanceID
	// Cores is the entry's share of a processor.
	Cores float64
	// RequestsPerSecond is the recent peak of the entry's request rate.
	RequestsPerSecond float64
}

// Select returns the entries of one data centre that take its callers' requests: as
// few as can serve the data centre's request rate, and at least minActive. Entries
// with more capacity come first. The result depends on the arguments alone, so that
// all entries with the same view select the same ones.
func Select(entries []Entry) map[core.InstanceID]bool {
	ranked := slices.Clone(entries)
	slices.SortFunc(ranked, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.cores(), a.cores()), cmp.Compare(rank(a.ID), rank(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	requestsPerSecond := 0.0
	for _, e := range entries {
		requestsPerSecond += e.RequestsPerSecond
	}
	neededCores := requestsPerSecond * cpuSecondsPerRequest / maxUtilization
	selected := map[core.InstanceID]bool{}
	cores := 0.0
	for _, e := range ranked {
		if len(selected) >= minActive && cores >= neededCores {
			break
		}
		selected[e.ID] = true
		cores += e.cores()
	}
	return selected
}

func (e Entry) cores() float64 {
	if e.Cores <= 0 || math.IsNaN(e.Cores) {
		return defaultCores
	}
	return e.Cores
}

// rank orders entries of the same capacity.
func rank(id core.InstanceID) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id))
	return hash.Sum64()
}
