package burst

import (
	"context"
	"sync"

	"currantusher.dev/core"
	"currantusher.dev/wire"
)

// chain answers trackers' calls so that each agent knows only the agent that
// came before it in its region. The first one draws everything from the origin.
type chain struct {
	mu      sync.Mutex
	members map[core.Region][]wire.TrackPeer
	next    map[core.Region]uint32
}

func newChain(regions int) *chain {
	return &chain{
		members: make(map[core.Region][]wire.TrackPeer, regions),
		next:    make(map[core.Region]uint32, regions),
	}
}

func (c *chain) register(peer *wire.Endpoint) {
	peer.Handle(wire.KindTrack, func(_ context.Context, stream *wire.Stream) error {
		var request wire.TrackRequest
		if err := stream.Recv(&request); err != nil {
			return err
		}
		return stream.Send(c.track(request))
	})
}

func (c *chain) track(request wire.TrackRequest) wire.TrackReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	region := request.Self.Region
	position := c.position(request.Self)
	if position > 0 {
		return wire.TrackReply{Peers: c.members[region][position-1 : position]}
	}
	if request.Extents == 0 {
		return wire.TrackReply{FetchManifest: true}
	}
	if !request.Idle || c.next[region] >= request.Extents {
		return wire.TrackReply{}
	}
	c.next[region]++
	return wire.TrackReply{AssignedExtents: []uint32{c.next[region] - 1}}
}

func (c *chain) position(self wire.TrackPeer) int {
	for i, known := range c.members[self.Region] {
		if known.ID == self.ID {
			c.members[self.Region][i] = self
			return i
		}
	}
	c.members[self.Region] = append(c.members[self.Region], self)
	return len(c.members[self.Region]) - 1
}
