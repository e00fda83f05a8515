package members

import (
	"encoding/binary"
	"hash/fnv"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/platform"
)

const (
	// refreshPerMember stretches the refresh of unchanged records with the
	// fleet, so that the bytes for it stay the same.
	refreshPerMember = 120 * time.Millisecond
	minRefresh       = 2 * time.Second
	// silentRefreshes is how many refreshes may be missed before a daemon that
	// reports to other entries is suspected.
	silentRefreshes = 4
	minSilent       = 30 * time.Second
	// announcePerMember stretches the announcements to the platform's list in
	// large fleets, listPerEntry and listPerAgent the readings by entries and
	// agents, whose size grows with the fleet.
	announcePerMember = 20 * time.Millisecond
	listPerEntry      = 90 * time.Millisecond
	listPerAgent      = 200 * time.Millisecond
)

// refreshInterval is the period at which an unchanged daemon's reports are
// passed on in a fleet of n daemons.
func refreshInterval(n int) time.Duration {
	return max(minRefresh, time.Duration(n)*refreshPerMember)
}

// silentAfter is how long no entry may pass on a report of a daemon before it
// is suspected.
func silentAfter(n int) time.Duration {
	return max(minSilent, silentRefreshes*refreshInterval(n))
}

// stretched is the period of calls to the platform's list in a fleet of n
// daemons, at least base.
func stretched(base, perMember time.Duration, n int) time.Duration {
	return max(base, time.Duration(n)*perMember)
}

// rendezvous scores a pair of daemons; each daemon ranks others by it.
func rendezvous(salt string, ids ...core.InstanceID) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(salt))
	for _, id := range ids {
		_, _ = hash.Write([]byte{0})
		_, _ = hash.Write([]byte(id))
	}
	return mix(hash.Sum64())
}

// mix spreads the low entropy of short names over all bits (the finaliser of
// MurmurHash3).
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// chooseNeighbours returns the entries that self exchanges summaries with: the
// next one on two rings of all entries and on the ring of its data centre. The
// rings have unrelated orders, so that the number of hops grows with the
// logarithm of the fleet, and each entry is chosen as often as it chooses.
func chooseNeighbours(self platform.Instance, entries []platform.Instance) []platform.Instance {
	everywhere := func(platform.Instance) bool { return true }
	sameZone := func(e platform.Instance) bool { return e.DataCentre == self.DataCentre }
	candidates := []*platform.Instance{
		ringSuccessor("ring", self, entries, everywhere),
		ringSuccessor("zone", self, entries, sameZone),
		ringSuccessor("long", self, entries, everywhere),
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
	own := rendezvous(ring, self.ID)
	var best *platform.Instance
	var bestDistance uint64
	for i := range entries {
		if entries[i].ID == self.ID || !accept(entries[i]) {
			continue
		}
		distance := rendezvous(ring, entries[i].ID) - own
		if best == nil || distance < bestDistance {
			best = &entries[i]
			bestDistance = distance
		}
	}
	return best
}

// pairScore orders addresses for one caller.
func pairScore(salt uint64, id core.InstanceID) uint64 {
	var seed [8]byte
	binary.BigEndian.PutUint64(seed[:], salt)
	return rendezvous(string(seed[:]), id)
}
