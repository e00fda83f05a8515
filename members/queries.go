package members

import (
	"cmp"
	"slices"

	"currantusher.dev/core"
	"currantusher.dev/platform"
)

// selectRecords returns the records that match filter, ordered by instance.
func (r *roster) selectRecords(filter func(*record) bool) []*record {
	var selected []*record
	for _, rec := range r.records {
		if filter(rec) {
			selected = append(selected, rec)
		}
	}
	slices.SortFunc(selected, func(a, b *record) int { return cmp.Compare(a.instance.ID, b.instance.ID) })
	return selected
}

// Agents returns the agents of a group that are not gone, ordered by instance;
// the empty group selects all groups. An agent that is known only from the
// platform's instance list has incarnation 0 and is suspected.
func (d *Directory) Agents(group core.Group) []Agent {
	d.mu.Lock()
	defer d.mu.Unlock()
	records := d.roster.selectRecords(func(rec *record) bool {
		inGroup := group == "" || rec.instance.Group == group
		return inGroup && rec.instance.Role == platform.RoleAgent && rec.state() != StateGone
	})
	now := d.config.Now()
	agents := make([]Agent, 0, len(records))
	for _, rec := range records {
		agents = append(agents, rec.toAgent(now, rec.listedLeaving))
	}
	return agents
}

// Entries returns all entries that are not gone, this one included, ordered by
// instance.
func (d *Directory) Entries() []Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	records := d.roster.selectRecords(func(rec *record) bool {
		return rec.instance.Role == platform.RoleEntry && rec.state() != StateGone
	})
	now := d.config.Now()
	entries := make([]Entry, 0, len(records))
	for _, rec := range records {
		entries = append(entries, Entry{Member: rec.toMember(now, rec.listedLeaving)})
	}
	return entries
}

// Members returns all daemons, including those that are gone but whose records
// are kept, ordered by instance.
func (d *Directory) Members() []Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	records := d.roster.selectRecords(func(*record) bool { return true })
	now := d.config.Now()
	all := make([]Member, 0, len(records))
	for _, rec := range records {
		all = append(all, rec.toMember(now, rec.listedLeaving))
	}
	return all
}

// Neighbours returns the entries with which this entry exchanges summaries.
func (d *Directory) Neighbours() []platform.Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	return chooseNeighbours(d.config.Self, d.roster.otherEntries())
}

// InForce reports whether every daemon that may start new work runs revision or
// a later one, and returns the IDs of the daemons that do not.
func (d *Directory) InForce(revision core.Revision) (bool, []core.InstanceID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.roster.inForce(d.config.Now(), revision)
}

// Addresses returns the entries that a caller in dataCentre should connect to,
// best first. The order is the same for each call on one entry and differs
// between entries, to spread callers.
func (d *Directory) Addresses(dataCentre core.DataCentre, isOutOfService func(core.DataCentre) bool) []Address {
	salt := rendezvousHash("addresses", d.config.Self.ID, core.InstanceID(dataCentre))
	return d.AddressesWithSalt(dataCentre, isOutOfService, salt)
}

// AddressesWithSalt is like Addresses, with the salt chosen by the caller, such
// as a hash of a client address: the same salt gives the same order at every
// entry.
func (d *Directory) AddressesWithSalt(dataCentre core.DataCentre, isOutOfService func(core.DataCentre) bool, salt uint64) []Address {
	return rankAddresses(d.Entries(), dataCentre, isOutOfService, salt)
}
