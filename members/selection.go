package members

import (
	"encoding/binary"
	"hash/fnv"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/platform"
)

const (
	// refreshIntervalPerDaemon scales the refresh interval of unchanged records
	// with the number of daemons, so that the bandwidth for refreshes stays
	// constant.
	refreshIntervalPerDaemon = 120 * time.Millisecond
	minRefreshInterval       = 2 * time.Second
	// maxMissedRefreshes is the number of refresh intervals without a report
	// after which a daemon that reports to other entries is suspected.
	maxMissedRefreshes      = 4
	minIndirectSuspectAfter = 30 * time.Second
	// These constants scale the periods of calls to the platform's instance
	// list with the number of daemons, since the size of the list grows with
	// it: announcePeriodPerDaemon for announcements, entryListPeriodPerDaemon
	// and agentListPeriodPerDaemon for reads by entries and agents.
	announcePeriodPerDaemon  = 20 * time.Millisecond
	entryListPeriodPerDaemon = 90 * time.Millisecond
	agentListPeriodPerDaemon = 200 * time.Millisecond
)

// refreshInterval returns the interval at which reports of an unchanged daemon
// are spread in a fleet of n daemons.
func refreshInterval(n int) time.Duration {
	return max(minRefreshInterval, time.Duration(n)*refreshIntervalPerDaemon)
}

// indirectSuspectAfter returns the time without a report from any entry after
// which a daemon is suspected, in a fleet of n daemons.
func indirectSuspectAfter(n int) time.Duration {
	return max(minIndirectSuspectAfter, maxMissedRefreshes*refreshInterval(n))
}

// scaledPeriod returns the period of calls to the platform's instance list in a
// fleet of n daemons. It is at least base.
func scaledPeriod(base, perDaemon time.Duration, n int) time.Duration {
	return max(base, time.Duration(n)*perDaemon)
}

// rendezvousHash returns the rendezvous hash of a combination of IDs. salt
// separates the uses.
func rendezvousHash(salt string, ids ...core.InstanceID) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(salt))
	for _, id := range ids {
		_, _ = hash.Write([]byte{0})
		_, _ = hash.Write([]byte(id))
	}
	return fmix64(hash.Sum64())
}

// fmix64 is the finaliser of MurmurHash3. It distributes the low entropy of
// short names over all bits.
func fmix64(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// chooseNeighbours returns the entries with which self exchanges summaries: its
// successor on two rings of all entries and on one ring of its data centre. The
// orders of the rings are unrelated, so the number of hops between two entries
// grows with the logarithm of the number of entries, and each entry is chosen
// as often as it chooses.
func chooseNeighbours(self platform.Instance, entries []platform.Instance) []platform.Instance {
	anyEntry := func(platform.Instance) bool { return true }
	sameDataCentre := func(e platform.Instance) bool { return e.DataCentre == self.DataCentre }
	candidates := []*platform.Instance{
		ringSuccessor("ring", self, entries, anyEntry),
		ringSuccessor("zone", self, entries, sameDataCentre),
		ringSuccessor("long", self, entries, anyEntry),
	}
	var chosen []platform.Instance
	seen := map[core.InstanceID]bool{self.ID: true}
	for _, candidate := range candidates {
		if candidate == nil || seen[candidate.ID] {
			continue
		}
		seen[candidate.ID] = true
		chosen = append(chosen, *candidate)
	}
	return chosen
}

func ringSuccessor(ring string, self platform.Instance, entries []platform.Instance, accept func(platform.Instance) bool) *platform.Instance {
	ownHash := rendezvousHash(ring, self.ID)
	var best *platform.Instance
	var bestDistance uint64
	for i := range entries {
		if entries[i].ID == self.ID || !accept(entries[i]) {
			continue
		}
		distance := rendezvousHash(ring, entries[i].ID) - ownHash
		if best == nil || distance < bestDistance {
			best = &entries[i]
			bestDistance = distance
		}
	}
	return best
}

// addressScore returns the score by which addresses are ordered for one salt.
func addressScore(salt uint64, id core.InstanceID) uint64 {
	var seed [8]byte
	binary.BigEndian.PutUint64(seed[:], salt)
	return rendezvousHash(string(seed[:]), id)
}
