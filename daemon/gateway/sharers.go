package gateway

import (
	"hash/fnv"

	"currantusher.dev/core"
	"currantusher.dev/members/gossip"
)

// remotePart is the part of a server's free slots that entries of other regions
// may take together. They send there only when their own servers are full.
const remotePart = 0.6

// sharers are the entries that compete for the free slots of servers. Each
// takes its own part of what was free at the last exchange of loads, so that
// together they do not fill a server's queue. What an entry's own requests
// free, it may use again at once.
type sharers struct {
	// place is this entry's place among those of its region, local their
	// number, by region; all and allPlace are the same over all regions.
	region   core.Region
	place    int
	local    map[core.Region]int
	all      int
	allPlace int
}

// newSharers returns the sharers among living entries, ordered by id.
func newSharers(alive []gossip.Member, regions map[core.DataCentre]core.Region, self core.InstanceID) sharers {
	s := sharers{local: map[core.Region]int{}, all: len(alive)}
	for i, m := range alive {
		region := m.Region
		if region == "" {
			region = regions[m.DataCentre]
		}
		if m.ID == self {
			s.region = region
			s.place = s.local[region]
			s.allPlace = i
		}
		s.local[region]++
	}
	return s
}

// share returns how many of a server's free slots this entry may take. A
// negative number of free slots is owed by all alike.
func (s sharers) share(server core.InstanceID, region core.Region, free int) int {
	local := s.local[region]
	if region == s.region {
		return part(server, free, local, s.place)
	}
	if local > 0 {
		free = int(remotePart * float64(max(free, 0)))
	}
	return part(server, free, s.all, s.allPlace)
}

// part divides total among count entries. Who gets one of the rest differs by
// server.
func part(server core.InstanceID, total, count, place int) int {
	if total <= 0 || count <= 0 {
		return min(total, 0)
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(server))
	turn := (place + int(hash.Sum32()%uint32(count))) % count
	share := total / count
	if turn < total%count {
		share++
	}
	return share
}
