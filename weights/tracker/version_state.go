// Package tracker returns the addresses of peers to the downloaders of a version
// and assigns, in each region, each extent to one downloader that fetches it from
// the origin or the weight store. All state is soft: if a tracker fails, the
// downloaders report to the next one, which rebuilds the state.
package tracker

import (
	"math/rand/v2"
	"sort"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/wire"
)

// assignment is the assignment of the manifest or of one extent to a downloader.
// An empty holder means that it is unassigned.
type assignment struct {
	holder core.InstanceID
	// lastProgress is when the extent was assigned or its holder last reported new
	// chunks.
	lastProgress time.Time
	done         bool
}

// member is a downloader that reported recently.
type member struct {
	peer       wire.TrackPeer
	lastReport time.Time
	// timesReturned counts how often the member was returned to another downloader.
	timesReturned int
}

// regionAssignments are the assignments for one version in one region.
type regionAssignments struct {
	manifest *assignment
	extents  []assignment
}

// versionState is the soft state of one version. It has no clock and does no I/O.
type versionState struct {
	members    map[core.InstanceID]*member
	regions    map[core.Region]*regionAssignments
	lastReport time.Time
}

func newVersionState() *versionState {
	return &versionState{members: map[core.InstanceID]*member{}, regions: map[core.Region]*regionAssignments{}}
}

// limits are the timeouts of soft state and the bound on fetching downloaders, as
// in Config.
type limits struct {
	memberTTL    time.Duration
	fetchTimeout time.Duration
	maxFetchers  int
}

// handleReport records a report and returns the peers and assignments for its
// sender.
func (v *versionState) handleReport(request wire.TrackRequest, now time.Time, limits limits, random *rand.Rand) wire.TrackReply {
	v.lastReport = now
	if request.Leaving {
		delete(v.members, request.Self.ID)
		return wire.TrackReply{}
	}
	if !v.updateMember(request.Self, now) {
		return wire.TrackReply{}
	}
	v.expireMembers(now, limits.memberTTL)
	reply := wire.TrackReply{Peers: v.pickPeers(request, random)}
	v.assignFetch(&reply, request, now, limits)
	return reply
}

// updateMember records a report of self. It reports false, and records nothing, if
// a later incarnation of the downloader has reported already.
func (v *versionState) updateMember(self wire.TrackPeer, now time.Time) bool {
	current := v.members[self.ID]
	if current == nil {
		current = &member{}
		v.members[self.ID] = current
	}
	if current.peer.Incarnation > self.Incarnation {
		return false
	}
	if self.ChunksDone > current.peer.ChunksDone {
		v.regionOf(self.Region).recordProgress(self.ID, now)
	}
	current.peer = self
	current.lastReport = now
	return true
}

func (v *versionState) expireMembers(now time.Time, ttl time.Duration) {
	for id, m := range v.members {
		if now.Sub(m.lastReport) > ttl {
			delete(v.members, id)
		}
	}
}

// pickPeers returns up to request.MaxNearPeers peers of the requester's region and
// up to request.MaxFarPeers peers of other regions.
func (v *versionState) pickPeers(request wire.TrackRequest, random *rand.Rand) []wire.TrackPeer {
	var near, far []*member
	for id, candidate := range v.members {
		switch {
		case id == request.Self.ID:
		case candidate.peer.Region == request.Self.Region:
			near = append(near, candidate)
		default:
			far = append(far, candidate)
		}
	}
	need := needChunks
	if request.Extents == 0 {
		need = needManifest
	}
	return append(samplePeers(near, request.MaxNearPeers, need, random), samplePeers(far, request.MaxFarPeers, need, random)...)
}

// peerNeed is what a downloader needs from its peers.
type peerNeed uint8

const (
	needManifest peerNeed = iota
	needChunks
)

// samplePeers returns up to count members. It prefers members that can deliver what
// is needed, then those that were returned least often, which spreads the uploads.
// Ties are broken at random.
func samplePeers(members []*member, count int, need peerNeed, random *rand.Rand) []wire.TrackPeer {
	sort.Slice(members, func(i, j int) bool { return members[i].peer.ID < members[j].peer.ID })
	random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	sort.SliceStable(members, func(i, j int) bool {
		rankI, rankJ := members[i].rank(need), members[j].rank(need)
		if rankI != rankJ {
			return rankI > rankJ
		}
		return members[i].timesReturned < members[j].timesReturned
	})
	var peers []wire.TrackPeer
	for _, chosen := range members[:min(max(count, 0), len(members))] {
		chosen.timesReturned++
		peers = append(peers, chosen.peer)
	}
	return peers
}

// rank is 1 for a member that can deliver what is needed, otherwise 0. A member can
// deliver chunks if it has any and has upload budget left.
func (m *member) rank(need peerNeed) int {
	switch {
	case need == needManifest && m.peer.ChunksTotal > 0:
		return 1
	case need == needChunks && m.peer.ChunksDone > 0 && m.peer.BudgetLeftBytes > 0:
		return 1
	default:
		return 0
	}
}

// assignFetch records the fetched extents of the request and, if the requester is
// to fetch the manifest or another extent from a source, sets that in reply.
func (v *versionState) assignFetch(reply *wire.TrackReply, request wire.TrackRequest, now time.Time, limits limits) {
	timeout := limits.fetchTimeout
	region := v.regionOf(request.Self.Region)
	if request.Extents == 0 {
		reply.FetchManifest = region.assignManifest(request.Self.ID, now, timeout)
		return
	}
	region.resizeExtents(int(request.Extents))
	for _, extent := range request.CompletedExtents {
		if int(extent) < len(region.extents) {
			region.extents[extent].done = true
		}
	}
	if !request.Idle || region.countActiveFetches(now, timeout) >= limits.maxFetchers {
		return
	}
	if extent, ok := region.nextExtent(now, timeout); ok {
		reply.AssignedExtents = []uint32{uint32(extent)}
		reply.Takeover = region.extents[extent].holder != ""
		region.extents[extent] = assignment{holder: request.Self.ID, lastProgress: now}
	}
}

func (v *versionState) regionOf(name core.Region) *regionAssignments {
	region := v.regions[name]
	if region == nil {
		region = &regionAssignments{}
		v.regions[name] = region
	}
	return region
}

// recordProgress restarts the fetch timeout of all extents assigned to holder, which
// reported new chunks.
func (r *regionAssignments) recordProgress(holder core.InstanceID, now time.Time) {
	for i := range r.extents {
		if r.extents[i].holder == holder {
			r.extents[i].lastProgress = now
		}
	}
}

// assignManifest assigns the manifest to holder unless another downloader was
// assigned it within timeout.
func (r *regionAssignments) assignManifest(holder core.InstanceID, now time.Time, timeout time.Duration) bool {
	if r.manifest != nil && r.manifest.holder != holder && now.Sub(r.manifest.lastProgress) < timeout {
		return false
	}
	r.manifest = &assignment{holder: holder, lastProgress: now}
	return true
}

// resizeExtents sets the number of extents. A change of the number drops all
// assignments; numbers above maxExtents are ignored.
func (r *regionAssignments) resizeExtents(extents int) {
	if extents > maxExtents || len(r.extents) == extents {
		return
	}
	r.extents = make([]assignment, extents)
}

// countActiveFetches counts the extents that are being fetched and not past timeout.
func (r *regionAssignments) countActiveFetches(now time.Time, timeout time.Duration) int {
	count := 0
	for _, extent := range r.extents {
		if extent.holder != "" && !extent.done && now.Sub(extent.lastProgress) < timeout {
			count++
		}
	}
	return count
}

// nextExtent returns an unassigned extent or, if there is none, the extent past
// timeout whose holder made no progress for the longest time.
func (r *regionAssignments) nextExtent(now time.Time, timeout time.Duration) (int, bool) {
	chosen := -1
	for i, extent := range r.extents {
		if extent.done {
			continue
		}
		if extent.holder == "" {
			chosen = i
			break
		}
		late := now.Sub(extent.lastProgress) >= timeout
		if late && (chosen < 0 || extent.lastProgress.Before(r.extents[chosen].lastProgress)) {
			chosen = i
		}
	}
	return chosen, chosen >= 0
}
