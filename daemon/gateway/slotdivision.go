package gateway

import (
	"hash/fnv"

	"currantusher.dev/core"
	"currantusher.dev/members/gossip"
)

// remoteFraction is the fraction of a server's free slots that all entries of
// other regions together may use. They send to it only when the servers of their
// own regions are full.
const remoteFraction = 0.6

// slotDivision divides the free slots of servers among the entries. Each entry
// uses only its own share of the slots that were free at the last exchange of
// loads, so that the entries together do not overfill a server. An entry may
// immediately reuse slots that its own requests free.
type slotDivision struct {
	// regionalIndex is this entry's index among the entries of its region, and
	// entriesPerRegion their number by region; globalIndex and totalEntries are
	// the same over all regions.
	region           core.Region
	regionalIndex    int
	entriesPerRegion map[core.Region]int
	totalEntries     int
	globalIndex      int
}

// newSlotDivision returns the division among the alive entries, which must be
// ordered by id.
func newSlotDivision(alive []gossip.Member, regions map[core.DataCentre]core.Region, self core.InstanceID) slotDivision {
	s := slotDivision{entriesPerRegion: map[core.Region]int{}, totalEntries: len(alive)}
	for i, m := range alive {
		region := m.Region
		if region == "" {
			region = regions[m.DataCentre]
		}
		if m.ID == self {
			s.region = region
			s.regionalIndex = s.entriesPerRegion[region]
			s.globalIndex = i
		}
		s.entriesPerRegion[region]++
	}
	return s
}

// entries returns the number of entries among which the free slots of a server in a region
// are divided.
func (s slotDivision) entries(region core.Region) int {
	if region == s.region {
		return s.entriesPerRegion[region]
	}
	return s.totalEntries
}

// share returns how many of a server's free slots this entry may use. If free is
// negative, every entry gets the whole deficit.
func (s slotDivision) share(server core.InstanceID, region core.Region, free int) int {
	regionalEntries := s.entriesPerRegion[region]
	if region == s.region {
		return divide(server, free, regionalEntries, s.regionalIndex)
	}
	if regionalEntries > 0 {
		free = int(remoteFraction * float64(max(free, 0)))
	}
	return divide(server, free, s.totalEntries, s.globalIndex)
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
