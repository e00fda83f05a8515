// Package tracker tells downloaders of a version about each other and shares
// out, in each region, which downloader draws which extent from the origin or
// the weight store. All of its state is soft: downloaders report it again to
// the next tracker.
package tracker

import (
	"math/rand/v2"
	"sort"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/wire"
)

// assignment is one extent that a downloader was asked to fetch.
type assignment struct {
	holder core.InstanceID
	at     time.Time
	done   bool
}

type member struct {
	peer wire.TrackPeer
	seen time.Time
}

// regionState is the share-out of one version in one region.
type regionState struct {
	manifest *assignment
	extents  []assignment
}

// version is the soft state of one version. It has no clock and does no I/O.
type version struct {
	members map[core.InstanceID]member
	regions map[core.Region]*regionState
	seen    time.Time
}

func newVersion() *version {
	return &version{members: map[core.InstanceID]member{}, regions: map[core.Region]*regionState{}}
}

// limits are the times after which soft state is dropped.
type limits struct {
	member     time.Duration
	fetch      time.Duration
	oneFetcher bool
}

func (v *version) track(request wire.TrackRequest, now time.Time, limits limits, random *rand.Rand) wire.TrackReply {
	v.seen = now
	if request.Leaving {
		delete(v.members, request.Self.ID)
		return wire.TrackReply{}
	}
	if known, ok := v.members[request.Self.ID]; ok && known.peer.Incarnation > request.Self.Incarnation {
		return wire.TrackReply{}
	}
	if request.Self.Done > v.members[request.Self.ID].peer.Done {
		v.region(request.Self.Region).progress(request.Self.ID, now)
	}
	v.members[request.Self.ID] = member{peer: request.Self, seen: now}
	v.expire(now, limits.member)
	reply := wire.TrackReply{Peers: v.pick(request, random)}
	v.assign(&reply, request, now, limits)
	return reply
}

func (v *version) expire(now time.Time, after time.Duration) {
	for id, known := range v.members {
		if now.Sub(known.seen) > after {
			delete(v.members, id)
		}
	}
}

// pick returns a random sample of peers, those with upload budget left first.
func (v *version) pick(request wire.TrackRequest, random *rand.Rand) []wire.TrackPeer {
	var near, far []wire.TrackPeer
	for id, known := range v.members {
		switch {
		case id == request.Self.ID:
		case known.peer.Region == request.Self.Region:
			near = append(near, known.peer)
		default:
			far = append(far, known.peer)
		}
	}
	return append(sample(near, request.Near, random), sample(far, request.Far, random)...)
}

func sample(peers []wire.TrackPeer, want int, random *rand.Rand) []wire.TrackPeer {
	sort.Slice(peers, func(i, j int) bool { return peers[i].ID < peers[j].ID })
	random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	sort.SliceStable(peers, func(i, j int) bool { return peers[i].Left > 0 && peers[j].Left <= 0 })
	if want < 0 {
		want = 0
	}
	if len(peers) > want {
		peers = peers[:want]
	}
	return peers
}

func (v *version) assign(reply *wire.TrackReply, request wire.TrackRequest, now time.Time, limits limits) {
	timeout := limits.fetch
	region := v.region(request.Self.Region)
	if request.Extents == 0 {
		reply.FetchManifest = region.assignManifest(request.Self.ID, now, timeout)
		return
	}
	region.resize(int(request.Extents))
	for _, extent := range request.Fetched {
		if int(extent) < len(region.extents) {
			region.extents[extent].done = true
		}
	}
	if !request.Idle || limits.oneFetcher && region.taken(request.Self.ID) {
		return
	}
	if extent, ok := region.nextExtent(now, timeout); ok {
		reply.Fetch = []uint32{uint32(extent)}
		reply.Takeover = region.extents[extent].holder != ""
		region.extents[extent] = assignment{holder: request.Self.ID, at: now}
	}
}

func (v *version) region(name core.Region) *regionState {
	region := v.regions[name]
	if region == nil {
		region = &regionState{}
		v.regions[name] = region
	}
	return region
}

// progress extends the extents of a downloader that gets on.
func (r *regionState) progress(holder core.InstanceID, now time.Time) {
	for i := range r.extents {
		if r.extents[i].holder == holder {
			r.extents[i].at = now
		}
	}
}

func (r *regionState) assignManifest(holder core.InstanceID, now time.Time, timeout time.Duration) bool {
	if r.manifest != nil && r.manifest.holder != holder && now.Sub(r.manifest.at) < timeout {
		return false
	}
	r.manifest = &assignment{holder: holder, at: now}
	return true
}

func (r *regionState) resize(extents int) {
	if extents > maxExtents || len(r.extents) == extents {
		return
	}
	r.extents = make([]assignment, extents)
}

// taken reports whether the first extent is with another downloader.
func (r *regionState) taken(by core.InstanceID) bool {
	first := r.extents[0].holder
	return first != "" && first != by
}

// nextExtent prefers an extent that nobody was asked for, then one whose holder
// is late.
func (r *regionState) nextExtent(now time.Time, timeout time.Duration) (int, bool) {
	chosen := -1
	for i, extent := range r.extents {
		if extent.done {
			continue
		}
		if extent.holder == "" {
			chosen = i
			break
		}
		late := now.Sub(extent.at) >= timeout
		if late && (chosen < 0 || extent.at.Before(r.extents[chosen].at)) {
			chosen = i
		}
	}
	return chosen, chosen >= 0
}
