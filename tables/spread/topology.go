package spread

import (
	"encoding/binary"
	"sort"

	"currantusher.dev/core"
	"currantusher.dev/platform"
)

const (
	// entriesPerRelay bounds the entries for each relay in a large data
	// centre, where the minimum number of relays is too low.
	entriesPerRelay = 4

	maxHigherRelays      = 1
	maxDataCentreParents = 4
	maxRegionParents     = 2
	maxWitnessParents    = 2
)

// Neighbour is a daemon from which this one may pull, or to which it may push.
type Neighbour struct {
	ID         core.InstanceID
	Role       platform.Role
	DataCentre core.DataCentre
	Region     core.Region
	Addr       string
}

// topology holds a daemon's roles and peers, as derived from its neighbours.
type topology struct {
	// isRelay is set on entries that poll the table service.
	isRelay bool
	// acceptsDirectEdits is set on the first relay of each data centre in the
	// table service's region. It accepts direct edits, loads the rows of a new
	// head immediately and writes snapshots. Other relays first wait for a peer
	// to send the rows.
	acceptsDirectEdits bool
	// higherRelays are relays of the same data centre that rank before this
	// one, at most maxHigherRelays.
	higherRelays []Neighbour
	// parents are the peers from which this daemon pulls, in order of
	// preference.
	parents []Neighbour
	// isWitness is set on the first relays of each data centre in the table
	// service's region. Witnesses confirm the configuration by majority during
	// an outage of the table service. witnesses excludes this daemon.
	isWitness bool
	witnesses []Neighbour
	// relays are the relays of all data centres except this daemon.
	relays []Neighbour
}

// newTopology ranks entries by rendezvous hash, so that daemons with the same
// neighbours choose the same relays without coordination. An entry with an
// unknown region counts as one in the table service's region: otherwise too few
// witnesses could form a majority.
func newTopology(self Neighbour, neighbours []Neighbour, storeRegion core.Region, minRelays int) topology {
	entries := []Neighbour{}
	for _, n := range neighbours {
		if n.Role == platform.RoleEntry && n.ID != self.ID {
			entries = append(entries, n)
		}
	}
	if self.Role == platform.RoleEntry {
		entries = append(entries, self)
	}
	t := topology{}
	var witnesses []Neighbour
	for _, centreEntries := range rankByDataCentre(entries) {
		inStoreRegion := storeRegion == "" || centreEntries[0].Region == storeRegion || centreEntries[0].Region == ""
		if inStoreRegion {
			witnesses = append(witnesses, centreEntries[:min(minRelays, len(centreEntries))]...)
		}
		for i, relay := range centreEntries[:relayCount(len(centreEntries), minRelays)] {
			if relay.ID != self.ID {
				t.relays = append(t.relays, relay)
				continue
			}
			t.isRelay = true
			t.acceptsDirectEdits = inStoreRegion && i == 0
			t.higherRelays = centreEntries[:min(i, maxHigherRelays)]
		}
	}
	otherWitnesses := filter(witnesses, func(n Neighbour) bool { return n.ID != self.ID })
	if len(otherWitnesses) < len(witnesses) {
		t.isWitness = true
		t.witnesses = otherWitnesses
	}
	t.parents = t.chooseParents(self, entries, otherWitnesses)
	return t
}

func relayCount(entries, minRelays int) int {
	return min(entries, max(minRelays, (entries+entriesPerRelay-1)/entriesPerRelay))
}

// rankByDataCentre returns the entries of each data centre in order of rank. The
// data centres are ordered by name.
func rankByDataCentre(entries []Neighbour) [][]Neighbour {
	byName := map[core.DataCentre][]Neighbour{}
	var names []core.DataCentre
	for _, entry := range entries {
		if byName[entry.DataCentre] == nil {
			names = append(names, entry.DataCentre)
		}
		byName[entry.DataCentre] = append(byName[entry.DataCentre], entry)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	ranked := make([][]Neighbour, 0, len(names))
	for _, name := range names {
		ranked = append(ranked, rankByHash("relay", byName[name]))
	}
	return ranked
}

func (t topology) chooseParents(self Neighbour, entries, witnesses []Neighbour) []Neighbour {
	key := string(self.ID)
	if t.isWitness {
		return rankByHash(key, witnesses)
	}
	if t.isRelay {
		return append(append([]Neighbour(nil), t.higherRelays...), rankByHash(key, witnesses)...)
	}
	candidates := entries
	if self.Role == platform.RoleEntry {
		candidates = t.relays
	}
	chosen := newSelection(self)
	chosen.add(rankByHash(key, filter(candidates, func(n Neighbour) bool { return n.DataCentre == self.DataCentre })), maxDataCentreParents)
	chosen.add(rankByHash(key, filter(candidates, func(n Neighbour) bool { return n.Region == self.Region })), maxRegionParents)
	chosen.add(rankByHash(key, witnesses), maxWitnessParents)
	if len(chosen.list) == 0 {
		chosen.add(rankByHash(key, candidates), maxDataCentreParents)
	}
	return chosen.list
}

type selection struct {
	seen map[core.InstanceID]bool
	list []Neighbour
}

func newSelection(self Neighbour) *selection {
	return &selection{seen: map[core.InstanceID]bool{self.ID: true}}
}

func (s *selection) add(candidates []Neighbour, limit int) {
	for _, n := range candidates {
		if limit == 0 {
			return
		}
		if s.seen[n.ID] {
			continue
		}
		s.seen[n.ID] = true
		s.list = append(s.list, n)
		limit--
	}
}

func filter(all []Neighbour, keep func(Neighbour) bool) []Neighbour {
	var kept []Neighbour
	for _, n := range all {
		if keep(n) {
			kept = append(kept, n)
		}
	}
	return kept
}

// rankByHash orders neighbours by the rendezvous hash of key and their id,
// highest first.
func rankByHash(key string, neighbours []Neighbour) []Neighbour {
	hashes := make(map[core.InstanceID]uint64, len(neighbours))
	for _, n := range neighbours {
		digest := core.DigestOf([]byte(key + "/" + string(n.ID)))
		hashes[n.ID] = binary.BigEndian.Uint64(digest[:])
	}
	ranked := append([]Neighbour(nil), neighbours...)
	sort.Slice(ranked, func(i, j int) bool {
		if hashes[ranked[i].ID] != hashes[ranked[j].ID] {
			return hashes[ranked[i].ID] > hashes[ranked[j].ID]
		}
		return ranked[i].ID < ranked[j].ID
	})
	return ranked
}
