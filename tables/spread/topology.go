package spread

import (
	"encoding/binary"
	"sort"

	"currantusher.dev/core"
	"currantusher.dev/platform"
)

const (
	// entriesPerRelay is the number of entries for each relay in a data centre
	// that has more than a few.
	entriesPerRelay = 4

	parentsSenior = 1
	parentsNear   = 4
	parentsRegion = 2
	parentsStore  = 2
)

// Neighbour is a daemon that this one may talk to.
type Neighbour struct {
	ID         core.InstanceID
	Role       platform.Role
	DataCentre core.DataCentre
	Region     core.Region
	Addr       string
}

// topology is the part that a daemon plays among its neighbours.
type topology struct {
	// relay is set on entries that ask the table service.
	relay bool
	// absorber is set on the first relay of each data centre in the table
	// service's region. It accepts direct edits and loads rows at once; other
	// relays give the rows time to come from a peer.
	absorber bool
	// senior are the relays of the own data centre that rank before this one.
	senior []Neighbour
	// parents are asked for news, best first.
	parents []Neighbour
	// witness is set on the first relays of the data centres in the table
	// service's region, and witnesses are the others of them.
	witness   bool
	witnesses []Neighbour
	// relays are all other relays.
	relays []Neighbour
}

// newTopology ranks daemons by rendezvous hash, so that daemons with the same
// neighbours agree without talking. A relay of unknown region counts as one of
// the table service's region, so that too few never make up a majority.
func newTopology(self Neighbour, neighbours []Neighbour, storeRegion core.Region, perDataCentre int) topology {
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
	for _, dc := range byDataCentre(entries) {
		inStore := storeRegion == "" || dc[0].Region == storeRegion || dc[0].Region == ""
		if inStore {
			witnesses = append(witnesses, dc[:min(perDataCentre, len(dc))]...)
		}
		for i, relay := range dc[:relayCount(len(dc), perDataCentre)] {
			if relay.ID != self.ID {
				t.relays = append(t.relays, relay)
				continue
			}
			t.relay = true
			t.absorber = inStore && i == 0
			t.senior = dc[:min(i, parentsSenior)]
		}
	}
	others := filter(witnesses, func(n Neighbour) bool { return n.ID != self.ID })
	if len(others) < len(witnesses) {
		t.witness = true
		t.witnesses = others
	}
	t.parents = t.chooseParents(self, entries, others)
	return t
}

func relayCount(entries, atLeast int) int {
	return min(entries, max(atLeast, (entries+entriesPerRelay-1)/entriesPerRelay))
}

// byDataCentre returns the entries of each data centre in order of rank.
func byDataCentre(entries []Neighbour) [][]Neighbour {
	grouped := map[core.DataCentre][]Neighbour{}
	var names []core.DataCentre
	for _, entry := range entries {
		if grouped[entry.DataCentre] == nil {
			names = append(names, entry.DataCentre)
		}
		grouped[entry.DataCentre] = append(grouped[entry.DataCentre], entry)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	ranked := make([][]Neighbour, 0, len(names))
	for _, name := range names {
		ranked = append(ranked, rank("relay", grouped[name]))
	}
	return ranked
}

func (t topology) chooseParents(self Neighbour, entries, witnesses []Neighbour) []Neighbour {
	key := string(self.ID)
	if t.witness {
		return rank(key, witnesses)
	}
	if t.relay {
		return append(append([]Neighbour(nil), t.senior...), rank(key, witnesses)...)
	}
	near := entries
	if self.Role == platform.RoleEntry {
		near = t.relays
	}
	chosen := newSelection(self)
	chosen.add(rank(key, filter(near, func(n Neighbour) bool { return n.DataCentre == self.DataCentre })), parentsNear)
	chosen.add(rank(key, filter(near, func(n Neighbour) bool { return n.Region == self.Region })), parentsRegion)
	chosen.add(rank(key, witnesses), parentsStore)
	if len(chosen.list) == 0 {
		chosen.add(rank(key, near), parentsNear)
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

// rank orders neighbours by the rendezvous hash of key and their id.
func rank(key string, neighbours []Neighbour) []Neighbour {
	weights := make(map[core.InstanceID]uint64, len(neighbours))
	for _, n := range neighbours {
		digest := core.DigestOf([]byte(key + "/" + string(n.ID)))
		weights[n.ID] = binary.BigEndian.Uint64(digest[:])
	}
	ranked := append([]Neighbour(nil), neighbours...)
	sort.Slice(ranked, func(i, j int) bool {
		if weights[ranked[i].ID] != weights[ranked[j].ID] {
			return weights[ranked[i].ID] > weights[ranked[j].ID]
		}
		return ranked[i].ID < ranked[j].ID
	})
	return ranked
}
