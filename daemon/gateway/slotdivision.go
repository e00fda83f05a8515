package gateway

import (
	"currantusher.dev/core"
	"currantusher.dev/members/gossip"
	"currantusher.dev/requests/slotshare"
)

// remoteFraction is the fraction of a server's free slots that all entries of
// other regions together may use.
const remoteFraction = slotshare.RemoteFraction

// slotDivision divides the free slots of servers among the entries.
type slotDivision struct{ slotshare.Division }

// newSlotDivision returns the division among the alive entries, which must be
// ordered by id.
func newSlotDivision(alive []gossip.Member, regions map[core.DataCentre]core.Region, self core.InstanceID) slotDivision {
	members := make([]slotshare.Member, len(alive))
	for i, m := range alive {
		members[i] = slotshare.Member{ID: m.ID, Region: m.Region}
		if m.Region == "" {
			members[i].Region = regions[m.DataCentre]
		}
	}
	return slotDivision{slotshare.New(members, self)}
}

// entries returns the number of entries among which the free slots of a server in a region
// are divided.
func (s slotDivision) entries(region core.Region) int { return s.Entries(region) }

// share returns how many of a server's free slots this entry may use. If free is
// negative, every entry gets the whole deficit.
func (s slotDivision) share(server core.InstanceID, region core.Region, free int) int {
	return s.Share(server, region, free)
}
