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
	// named counts how often the member was named to others.
	named int
}

// regionState is the share-out of one version in one region.
type regionState struct {
	manifest *assignment
	extents  []assignment
}

// version is the soft state of one version. It has no clock and does no I/O.
type version struct {
	members map[core.InstanceID]*member
	regions map[core.Region]*regionState
	seen    time.Time
}

func newVersion() *version {
	return &version{members: map[core.InstanceID]*member{}, regions: map[core.Region]*regionState{}}
}

// limits are the times after which soft state is dropped.
type limits struct {
	member   time.Duration
	fetch    time.Duration
	fetchers int
}

func (v *version) track(request wire.TrackRequest, now time.Time, limits limits, random *rand.Rand) wire.TrackReply {
	v.seen = now
	if request.Leaving {
		delete(v.members, request.Self.ID)
		return wire.TrackReply{}
	}
	if !v.update(request.Self, now) {
		return wire.TrackReply{}
	}
	v.expire(now, limits.member)
	reply := wire.TrackReply{Peers: v.pick(request, random)}
	v.assign(&reply, request, now, limits)
	return reply
}

// update records a report. It reports false for a process that was replaced.
func (v *version) update(self wire.TrackPeer, now time.Time) bool {
	known := v.members[self.ID]
	if known == nil {
		known = &member{}
		v.members[self.ID] = known
	}
	if known.peer.Incarnation > self.Incarnation {
		return false
	}
	if self.ChunksDone > known.peer.ChunksDone {
		v.region(self.Region).progress(self.ID, now)
	}
	known.peer = self
	known.seen = now
	return true
}

func (v *version) expire(now time.Time, after time.Duration) {
	for id, known := range v.members {
		if now.Sub(known.seen) > after {
			delete(v.members, id)
		}
	}
}

// pick returns peers of the requester's region and of others.
func (v *version) pick(request wire.TrackRequest, random *rand.Rand) []wire.TrackPeer {
	var near, far []*member
	for id, known := range v.members {
		switch {
		case id == request.Self.ID:
		case known.peer.Region == request.Self.Region:
			near = append(near, known)
		default:
			far = append(far, known)
		}
	}
	want := wantChunks
	if request.Extents == 0 {
		want = wantManifest
	}
	return append(sample(near, request.MaxLocalPeers, want, random), sample(far, request.MaxRemotePeers, want, random)...)
}

// need is what a downloader asks its peers for.
type need uint8

const (
	wantManifest need = iota
	wantChunks
)

// sample draws the members that can help: those that have what is wanted and an
// upload budget left come first, then those named least so far. Naming all
// equally often spreads the uploads.
func sample(members []*member, count int, want need, random *rand.Rand) []wire.TrackPeer {
	sort.Slice(members, func(i, j int) bool { return members[i].peer.ID < members[j].peer.ID })
	random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	sort.SliceStable(members, func(i, j int) bool {
		level, other := members[i].level(want), members[j].level(want)
		if level != other {
			return level > other
		}
		return members[i].named < members[j].named
	})
	var peers []wire.TrackPeer
	for _, known := range members[:min(max(count, 0), len(members))] {
		known.named++
		peers = append(peers, known.peer)
	}
	return peers
}

// level ranks a member by how much it can help.
func (m *member) level(want need) int {
	switch {
	case want == wantManifest && m.peer.ChunksTotal > 0:
		return 1
	case want == wantChunks && m.peer.ChunksDone > 0 && m.peer.BudgetLeftBytes > 0:
		return 1
	default:
		return 0
	}
}

func (v *version) assign(reply *wire.TrackReply, request wire.TrackRequest, now time.Time, limits limits) {
	timeout := limits.fetch
	region := v.region(request.Self.Region)
	if request.Extents == 0 {
		reply.FetchManifest = region.assignManifest(request.Self.ID, now, timeout)
		return
	}
	region.resize(int(request.Extents))
	for _, extent := range request.CompletedExtents {
		if int(extent) < len(region.extents) {
			region.extents[extent].done = true
		}
	}
	if !request.Idle || region.fetchers(now, timeout) >= limits.fetchers {
		return
	}
	if extent, ok := region.nextExtent(now, timeout); ok {
		reply.AssignedExtents = []uint32{uint32(extent)}
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

// fetchers counts the downloaders that are fetching an extent in time.
func (r *regionState) fetchers(now time.Time, timeout time.Duration) int {
	count := 0
	for _, extent := range r.extents {
		if extent.holder != "" && !extent.done && now.Sub(extent.at) < timeout {
			count++
		}
	}
	return count
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
