package members

import (
	"sort"

	"currantusher.dev/core"
)

// rankAddresses returns the addresses for a caller in dataCentre, best first:
// entries that are not suspected, then entries in the caller's data centre,
// then by a hash of salt. The same salt gives the same order; different salts
// spread callers over the entries.
//
// Entries that are leaving or in a data centre that is out of service are
// omitted, unless no other entry is left: a refusal by an entry that still runs
// is better than no address.
func rankAddresses(entries []Entry, dataCentre core.DataCentre, isOutOfService func(core.DataCentre) bool, salt uint64) []Address {
	usable := make([]Entry, 0, len(entries))
	fallback := make([]Entry, 0, len(entries))
	for _, entry := range entries {
		if entry.HTTPAddr == "" || entry.State == StateGone {
			continue
		}
		if entry.State == StateLeaving || isOutOfService(entry.DataCentre) {
			fallback = append(fallback, entry)
			continue
		}
		usable = append(usable, entry)
	}
	if len(usable) == 0 {
		usable = fallback
	}
	sort.Slice(usable, func(i, j int) bool { return addressBefore(usable[i], usable[j], dataCentre, salt) })
	addresses := make([]Address, 0, len(usable))
	for _, entry := range usable {
		addresses = append(addresses, Address{Instance: entry.Instance, DataCentre: entry.DataCentre, HTTPAddr: entry.HTTPAddr})
	}
	return addresses
}

func addressBefore(a, b Entry, dataCentre core.DataCentre, salt uint64) bool {
	aSuspected, bSuspected := a.State == StateSuspected, b.State == StateSuspected
	if aSuspected != bSuspected {
		return bSuspected
	}
	aLocal, bLocal := a.DataCentre == dataCentre, b.DataCentre == dataCentre
	if aLocal != bLocal {
		return aLocal
	}
	return addressScore(salt, a.Instance) > addressScore(salt, b.Instance)
}
