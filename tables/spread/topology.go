package spread

import (
	"encoding/binary"
	"sort"

	"currantusher.dev/core"
	"currantusher.dev/platform"
)

const (
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
	// absorber is set on the relays that accept direct edits.
	absorber bool
	// parents are asked for news, best first.
	parents []Neighbour
	// witnesses are the other relays of the table service's region; set on
	// relays of that region only.
	witnesses []Neighbour
	// relays are all other relays.
	relays []Neighbour
}

// newTopology ranks daemons by rendezvous hash, so that daemons with the same
// neighbours agree without talking.
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
	relays := chooseRelays(entries, perDataCentre)
	t := topology{}
	var storeRelays []Neighbour
	for _, relay := range relays {
		inStore := storeRegion == "" || relay.Region == storeRegion
		if inStore && relay.ID != self.ID {
			storeRelays = append(storeRelays, relay)
		}
		if relay.ID != self.ID {
			t.relays = append(t.relays, relay)
			continue
		}
		t.relay = true
		t.absorber = inStore && rankOf(relays, relay) == 0
	}
	if t.relay && (storeRegion == "" || self.Region == storeRegion) {
		t.witnesses = storeRelays
	}
	t.parents = t.chooseParents(self, entries, storeRelays)
	return t
}

// chooseRelays returns the relays of every data centre, each data centre's in
// order of rank.
func chooseRelays(entries []Neighbour, perDataCentre int) []Neighbour {
	byDataCentre := map[core.DataCentre][]Neighbour{}
	var names []core.DataCentre
	for _, entry := range entries {
		if byDataCentre[entry.DataCentre] == nil {
			names = append(names, entry.DataCentre)
		}
		byDataCentre[entry.DataCentre] = append(byDataCentre[entry.DataCentre], entry)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	var relays []Neighbour
	for _, name := range names {
		ranked := rank("relay", byDataCentre[name])
		relays = append(relays, ranked[:min(perDataCentre, len(ranked))]...)
	}
	return relays
}

func rankOf(relays []Neighbour, relay Neighbour) int {
	position := 0
	for _, other := range relays {
		if other.ID == relay.ID {
			return position
		}
		if other.DataCentre == relay.DataCentre {
			position++
		}
	}
	return position
}

func (t topology) chooseParents(self Neighbour, entries, storeRelays []Neighbour) []Neighbour {
	key := string(self.ID)
	if t.relay {
		return rank(key, storeRelays)
	}
	near := entries
	if self.Role == platform.RoleEntry {
		near = t.relays
	}
	chosen := newSelection(self)
	chosen.add(rank(key, filter(near, func(n Neighbour) bool { return n.DataCentre == self.DataCentre })), parentsNear)
	chosen.add(rank(key, filter(near, func(n Neighbour) bool { return n.Region == self.Region })), parentsRegion)
	chosen.add(rank(key, storeRelays), parentsStore)
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
