package members

import (
	"sort"

	"currantusher.dev/core"
	"currantusher.dev/platform"
)

// Agents returns the agents of a group that are not gone, ordered by instance;
// "" selects all groups. An agent that only the platform's list names has
// incarnation 0 and is suspected.
func (d *Directory) Agents(group core.Group) []Agent {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.Now()
	var agents []Agent
	for _, known := range d.roster.records {
		if known.instance.Role != platform.RoleAgent || known.state() == StateGone {
			continue
		}
		if group == "" || known.instance.Group == group {
			agents = append(agents, known.agent(now, known.listedLeaving))
		}
	}
	sort.Slice(agents, func(i, j int) bool { return agents[i].Instance < agents[j].Instance })
	return agents
}

// Entries returns all entries that are not gone, this one included, ordered by
// instance.
func (d *Directory) Entries() []Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.Now()
	var entries []Entry
	for _, known := range d.roster.records {
		if known.instance.Role != platform.RoleEntry || known.state() == StateGone {
			continue
		}
		entries = append(entries, Entry{Member: known.member(now, known.listedLeaving)})
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Instance < entries[j].Instance })
	return entries
}

// Members returns all daemons, also those that are gone but remembered.
func (d *Directory) Members() []Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.Now()
	all := make([]Member, 0, len(d.roster.records))
	for _, known := range d.roster.records {
		all = append(all, known.member(now, known.listedLeaving))
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Instance < all[j].Instance })
	return all
}

// Neighbours returns the few entries that this one exchanges with.
func (d *Directory) Neighbours() []platform.Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	return chooseNeighbours(d.config.Self, d.roster.reachableEntries())
}

// InForce reports whether every daemon that may start new work runs revision
// or a later one, and names those that do not.
func (d *Directory) InForce(revision core.Revision) (bool, []core.InstanceID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.roster.inForce(d.config.Now(), revision)
}

// Addresses returns the entries that a caller in dataCentre should use, best
// first. The order is the same for each call of this entry and differs between
// entries, so that callers spread.
func (d *Directory) Addresses(dataCentre core.DataCentre, isOut func(core.DataCentre) bool) []Address {
	salt := rendezvous("addresses", d.config.Self.ID, core.InstanceID(dataCentre))
	return d.AddressesFor(dataCentre, isOut, salt)
}

// AddressesFor is Addresses with the caller's own salt, such as a hash of its
// address: the same salt gives the same order at every entry.
func (d *Directory) AddressesFor(dataCentre core.DataCentre, isOut func(core.DataCentre) bool, salt uint64) []Address {
	return orderAddresses(d.Entries(), dataCentre, isOut, salt)
}
