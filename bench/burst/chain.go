package burst

import (
	"context"
	"sync"

	"currantusher.dev/core"
	"currantusher.dev/wire"
)

// chainTracker implements the Chain strategy. It gives each agent the agent that
// registered before it in the same region as its only peer. The first agent of a
// region fetches everything from the origin.
type chainTracker struct {
	mu         sync.Mutex
	agents     map[core.Region][]wire.TrackPeer
	nextExtent map[core.Region]uint32
}

func newChainTracker(regions int) *chainTracker {
	return &chainTracker{
		agents:     make(map[core.Region][]wire.TrackPeer, regions),
		nextExtent: make(map[core.Region]uint32, regions),
	}
}

func (c *chainTracker) register(endpoint *wire.Endpoint) {
	endpoint.Handle(wire.KindTrack, func(_ context.Context, stream *wire.Stream) error {
		var request wire.TrackRequest
		if err := stream.Recv(&request); err != nil {
			return err
		}
		return stream.Send(c.assign(request))
	})
}

func (c *chainTracker) assign(request wire.TrackRequest) wire.TrackReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	region := request.Self.Region
	index := c.index(request.Self)
	if index > 0 {
		return wire.TrackReply{Peers: c.agents[region][index-1 : index]}
	}
	if request.Extents == 0 {
		return wire.TrackReply{FetchManifest: true}
	}
	if !request.Idle || c.nextExtent[region] >= request.Extents {
		return wire.TrackReply{}
	}
	c.nextExtent[region]++
	return wire.TrackReply{AssignedExtents: []uint32{c.nextExtent[region] - 1}}
}

func (c *chainTracker) index(self wire.TrackPeer) int {
	for i, known := range c.agents[self.Region] {
		if known.ID == self.ID {
			c.agents[self.Region][i] = self
			return i
		}
	}
	c.agents[self.Region] = append(c.agents[self.Region], self)
	return len(c.agents[self.Region]) - 1
}
