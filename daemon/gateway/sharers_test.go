package gateway

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/members/gossip"
)

func entriesOf(regions ...core.Region) []gossip.Member {
	var list []gossip.Member
	for i, region := range regions {
		list = append(list, gossip.Member{ID: core.InstanceID(fmt.Sprintf("e-%d", i)), Region: region})
	}
	return list
}

// Together the entries must not take more than is free, and those near a server
// must be able to take all of it.
func TestSharesOfFreeSlots(t *testing.T) {
	alive := entriesOf("north", "north", "north", "south", "south", "east", "east")
	for free := range 17 {
		for server := range 20 {
			id := core.InstanceID(fmt.Sprintf("s-%d", server))
			near, far := 0, 0
			for _, self := range alive {
				share := newSharers(alive, nil, self.ID).share(id, "north", free)
				if self.Region == "north" {
					near += share
				} else {
					far += share
				}
			}
			require.Equal(t, free, near)
			require.LessOrEqual(t, far, int(remotePart*float64(free)))
		}
	}
}

func TestFarEntriesShareServersWithoutNearOnes(t *testing.T) {
	alive := entriesOf("south", "south", "east")
	total := 0
	for _, self := range alive {
		total += newSharers(alive, nil, self.ID).share("s-1", "north", 16)
	}
	require.Equal(t, 16, total)
}

func TestOverfullServerHasNoRoom(t *testing.T) {
	alive := entriesOf("north", "south")
	require.Negative(t, newSharers(alive, nil, "e-0").share("s-1", "north", -2))
	require.LessOrEqual(t, newSharers(alive, nil, "e-1").share("s-1", "north", -2), 0)
}

// 45 entries before three servers with six slots: each must be able to send.
func TestEveryEntryHasRoomAtPlainServers(t *testing.T) {
	regions := make([]core.Region, 45)
	for i := range regions {
		regions[i] = []core.Region{"north", "south", "east"}[i%3]
	}
	alive := entriesOf(regions...)
	const free = 6
	for _, self := range alive {
		share := newSharers(alive, nil, self.ID).share("s-1", "north", free)
		require.Positive(t, room(share, free, 0, 0, false))
		require.LessOrEqual(t, room(share, free, 1, 1, false), share)
		require.LessOrEqual(t, room(0, 0, 0, 0, false), 0, "a full server has no room")
		require.Equal(t, share, room(share, free, 0, 0, true), "engines hold requests for long")
	}
}
