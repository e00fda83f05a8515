package members

import (
	"cmp"
	"slices"

	"currantusher.dev/core"
	"currantusher.dev/platform"
)

// selected returns the records that accept takes, ordered by instance.
func (r *roster) selected(accept func(*record) bool) []*record {
	var chosen []*record
	for _, known := range r.records {
		if accept(known) {
			chosen = append(chosen, known)
		}
	}
	slices.SortFunc(chosen, func(a, b *record) int { return cmp.Compare(a.instance.ID, b.instance.ID) })
	return chosen
}

// Agents returns the agents of a group that are not gone, ordered by instance;
// "" selects all groups. An agent that only the platform's list names has
// incarnation 0 and is suspected.
func (d *Directory) Agents(group core.Group) []Agent {
	d.mu.Lock()
	defer d.mu.Unlock()
	chosen := d.roster.selected(func(known *record) bool {
		inGroup := group == "" || known.instance.Group == group
		return inGroup && known.instance.Role == platform.RoleAgent && known.state() != StateGone
	})
	now := d.config.Now()
	agents := make([]Agent, 0, len(chosen))
	for _, known := range chosen {
		agents = append(agents, known.agent(now, known.listedLeaving))
	}
	return agents
}

// Entries returns all entries that are not gone, this one included, ordered by
// instance.
func (d *Directory) Entries() []Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	chosen := d.roster.selected(func(known *record) bool {
		return known.instance.Role == platform.RoleEntry && known.state() != StateGone
	})
	now := d.config.Now()
	entries := make([]Entry, 0, len(chosen))
	for _, known := range chosen {
		entries = append(entries, Entry{Member: known.member(now, known.listedLeaving)})
	}
	return entries
}

// Members returns all daemons, also those that are gone but remembered.
func (d *Directory) Members() []Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	chosen := d.roster.selected(func(*record) bool { return true })
	now := d.config.Now()
	all := make([]Member, 0, len(chosen))
	for _, known := range chosen {
		all = append(all, known.member(now, known.listedLeaving))
	}
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
	return d.AddressesWithSalt(dataCentre, isOut, salt)
}

// AddressesWithSalt is Addresses with the caller's own salt, such as a hash of its
// address: the same salt gives the same order at every entry.
func (d *Directory) AddressesWithSalt(dataCentre core.DataCentre, isOut func(core.DataCentre) bool, salt uint64) []Address {
	return orderAddresses(d.Entries(), dataCentre, isOut, salt)
}
