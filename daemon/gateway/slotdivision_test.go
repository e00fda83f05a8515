package gateway

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/members/gossip"
)

func membersInRegions(regions ...core.Region) []gossip.Member {
	var list []gossip.Member
	for i, region := range regions {
		list = append(list, gossip.Member{ID: core.InstanceID(fmt.Sprintf("e-%d", i)), Region: region})
	}
	return list
}

// The shares of the entries in a server's region must add up to all free slots,
// and those of the other entries to at most remoteFraction of them.
func TestSharesOfFreeSlots(t *testing.T) {
	alive := membersInRegions("north", "north", "north", "south", "south", "east", "east")
	for free := range 17 {
		for server := range 20 {
			id := core.InstanceID(fmt.Sprintf("s-%d", server))
			regional, remote := 0, 0
			for _, self := range alive {
				share := newSlotDivision(alive, nil, self.ID).share(id, "north", free)
				if self.Region == "north" {
					regional += share
				} else {
					remote += share
				}
			}
			require.Equal(t, free, regional)
			require.LessOrEqual(t, remote, int(remoteFraction*float64(free)))
		}
	}
}

func TestRemoteEntriesShareServersWithoutRegionalEntries(t *testing.T) {
	alive := membersInRegions("south", "south", "east")
	total := 0
	for _, self := range alive {
		total += newSlotDivision(alive, nil, self.ID).share("s-1", "north", 16)
	}
	require.Equal(t, 16, total)
}

func TestOverfullServerHasNoAvailableSlots(t *testing.T) {
	alive := membersInRegions("north", "south")
	require.Negative(t, newSlotDivision(alive, nil, "e-0").share("s-1", "north", -2))
	require.LessOrEqual(t, newSlotDivision(alive, nil, "e-1").share("s-1", "north", -2), 0)
}

// With 45 entries, three servers and six slots each, every entry must be able to
// send a request.
func TestEveryEntryHasSlotsAtServersWithoutEngine(t *testing.T) {
	regions := make([]core.Region, 45)
	for i := range regions {
		regions[i] = []core.Region{"north", "south", "east"}[i%3]
	}
	alive := membersInRegions(regions...)
	const free = 6
	for _, self := range alive {
		share := newSlotDivision(alive, nil, self.ID).share("s-1", "north", free)
		require.Positive(t, availableSlots(share, free, 0, 0, false))
		require.LessOrEqual(t, availableSlots(share, free, 1, 1, false), share)
		require.LessOrEqual(t, availableSlots(0, 0, 0, 0, false), 0, "a full server has no available slots")
		require.Equal(t, share, availableSlots(share, free, 0, 0, true), "requests at engines last longer than an exchange")
	}
}
