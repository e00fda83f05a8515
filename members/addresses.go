package members

import (
	"sort"

	"currantusher.dev/core"
)

// orderAddresses ranks entries for a caller in dataCentre. Entries that are
// leaving, gone or in a data centre that is out are left out, unless none
// other is left: then the leaving ones that still run are given, since a
// refusal is better than no address. salt spreads callers: the same salt gives
// the same order.
func orderAddresses(entries []Entry, dataCentre core.DataCentre, isOut func(core.DataCentre) bool, salt uint64) []Address {
	usable := make([]Entry, 0, len(entries))
	fallback := make([]Entry, 0, len(entries))
	for _, entry := range entries {
		if entry.HTTPAddr == "" || entry.State == StateGone {
			continue
		}
		if entry.State == StateLeaving || isOut(entry.DataCentre) {
			fallback = append(fallback, entry)
			continue
		}
		usable = append(usable, entry)
	}
	if len(usable) == 0 {
		usable = fallback
	}
	sort.Slice(usable, func(i, j int) bool { return preferAddress(usable[i], usable[j], dataCentre, salt) })
	addresses := make([]Address, 0, len(usable))
	for _, entry := range usable {
		addresses = append(addresses, Address{Instance: entry.Instance, DataCentre: entry.DataCentre, HTTPAddr: entry.HTTPAddr})
	}
	return addresses
}

func preferAddress(a, b Entry, dataCentre core.DataCentre, salt uint64) bool {
	aSuspected, bSuspected := a.State == StateSuspected, b.State == StateSuspected
	if aSuspected != bSuspected {
		return bSuspected
	}
	aNear, bNear := a.DataCentre == dataCentre, b.DataCentre == dataCentre
	if aNear != bNear {
		return aNear
	}
	return pairScore(salt, a.Instance) > pairScore(salt, b.Instance)
}
