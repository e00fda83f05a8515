// Package slotshare divides the free slots of servers among the entries that send
// requests there. It has no clock and does no I/O.
package slotshare

import (
	"hash/fnv"

	"currantusher.dev/core"
)

// RemoteFraction is the fraction of a server's free slots that all entries of
// other regions together may use. They send to it only when the servers of their
// own regions are full.
const RemoteFraction = 0.6

// Member is an entry that sends requests.
type Member struct {
	ID     core.InstanceID
	Region core.Region
}

// Division divides the free slots of servers among the entries. Each entry
// uses only its own share of the slots that were free at the last exchange of
// loads, so that the entries together do not overfill a server. An entry may
// immediately reuse slots that its own requests free.
type Division struct {
	// regionalIndex is this entry's index among the entries of its region, and
	// entriesPerRegion their number by region; globalIndex and totalEntries are
	// the same over all regions.
	region           core.Region
	regionalIndex    int
	entriesPerRegion map[core.Region]int
	totalEntries     int
	globalIndex      int
}

// New returns the division among the members, which must be ordered by id, as the member
// self uses it.
func New(members []Member, self core.InstanceID) Division {
	d := Division{entriesPerRegion: map[core.Region]int{}, totalEntries: len(members)}
	for i, m := range members {
		if m.ID == self {
			d.region = m.Region
			d.regionalIndex = d.entriesPerRegion[m.Region]
			d.globalIndex = i
		}
		d.entriesPerRegion[m.Region]++
	}
	return d
}

// Entries returns the number of entries among which the free slots of a server in a region
// are divided.
func (d Division) Entries(region core.Region) int {
	if region == d.region {
		return d.entriesPerRegion[region]
	}
	return d.totalEntries
}

// Share returns how many of a server's free slots this entry may use. If free is
// negative, every entry gets the whole deficit.
func (d Division) Share(server core.InstanceID, region core.Region, free int) int {
	regionalEntries := d.entriesPerRegion[region]
	if region == d.region {
		return divide(server, free, regionalEntries, d.regionalIndex)
	}
	if regionalEntries > 0 {
		free = int(RemoteFraction * float64(max(free, 0)))
	}
	return divide(server, free, d.totalEntries, d.globalIndex)
}

// EvenShare returns how many of a server's free slots this entry may use if the entries of
// all regions need them at once, as under overload: all use them alike, so that the shares add
// up to the free slots. If the server has fewer slots than there are entries, most even shares
// would be 0; the shares are then those of Share.
func (d Division) EvenShare(server core.InstanceID, region core.Region, slots, free int) int {
	if d.totalEntries > slots {
		return d.Share(server, region, free)
	}
	return divide(server, free, d.totalEntries, d.globalIndex)
}

// divide returns the share of total for the entry with an index among count
// entries. A hash of the server decides which entries get one of the slots left
// over by the division.
func divide(server core.InstanceID, total, count, index int) int {
	if total <= 0 || count <= 0 {
		return min(total, 0)
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(server))
	rotatedIndex := (index + int(hash.Sum32()%uint32(count))) % count
	share := total / count
	if rotatedIndex < total%count {
		share++
	}
	return share
}

// Available returns how many more requests an entry may start at a server,
// given its share of the server's free slots. inFlight is its number of requests
// there now, and inFlightAtExchange at the last exchange of loads. At servers
// without an engine, an entry may always have one request if slots were free: with
// many entries and few slots most shares would be 0, and requests there end long
// before the next exchange.
func Available(share, free, inFlight, inFlightAtExchange int, isEngine bool) int {
	remaining := share - (inFlight - inFlightAtExchange)
	if !isEngine && free > 0 && inFlight == 0 {
		return max(remaining, 1)
	}
	return remaining
}
