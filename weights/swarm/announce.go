package swarm

import (
	"context"
	"math/rand/v2"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/wire"
)

const (
	announceTimeout = 3 * time.Second
	// trackerBackoff is how long a tracker is not tried after a failed call.
	trackerBackoff         = 3 * time.Second
	maxTrackersPerAnnounce = 3
)

// announcer reports to the first tracker in rank order that answers. It must be
// used by one goroutine at a time.
type announcer struct {
	manager *Manager
	root    core.Digest
	// failedAt holds the time of the last failed call by tracker address.
	failedAt map[string]time.Time
}

func newAnnouncer(m *Manager, root core.Digest) *announcer {
	return &announcer{manager: m, root: root, failedAt: map[string]time.Time{}}
}

// announce sends a report and returns the reply of the first tracker that answers,
// or the error of the last one tried.
func (a *announcer) announce(ctx context.Context, request wire.TrackRequest) (wire.TrackReply, error) {
	err := error(core.NewRefusal(core.CodeNoBackend, 0, "no entry tracks version %s", a.root.Short()))
	for _, addr := range a.candidates(time.Now()) {
		var reply wire.TrackReply
		callCtx, cancel := context.WithTimeout(ctx, min(announceTimeout, a.manager.config.ChunkTimeout))
		a.manager.counters.controlMessages.Add(2)
		reply, err = wire.Call[wire.TrackReply](callCtx, a.manager.config.Peer, addr, wire.KindTrack, request)
		cancel()
		if err == nil {
			delete(a.failedAt, addr)
			return reply, nil
		}
		if ctx.Err() != nil {
			return wire.TrackReply{}, ctx.Err()
		}
		a.failedAt[addr] = time.Now()
	}
	return wire.TrackReply{}, err
}

// candidates returns the trackers to try: those that did not fail within
// trackerBackoff. If all of them did, it returns a random one.
func (a *announcer) candidates(now time.Time) []string {
	var usable, recentlyFailed []string
	for _, addr := range a.manager.config.TrackerAddrs(a.root) {
		lastFailure, hasFailed := a.failedAt[addr]
		if hasFailed && now.Sub(lastFailure) < trackerBackoff {
			recentlyFailed = append(recentlyFailed, addr)
			continue
		}
		usable = append(usable, addr)
	}
	if len(usable) == 0 && len(recentlyFailed) > 0 {
		return []string{recentlyFailed[rand.IntN(len(recentlyFailed))]}
	}
	return usable[:min(len(usable), maxTrackersPerAnnounce)]
}

// newTrackRequest returns a report of this downloader's progress that requests
// up to maxNear peers of the same region. With maxNear 0 no peers are requested.
func (s *session) newTrackRequest(maxNear int) wire.TrackRequest {
	self := wire.TrackPeer{
		ID:          s.config.Self,
		Addr:        s.config.AdvertiseAddr,
		DataCentre:  s.config.DataCentre,
		Region:      s.config.Region,
		Incarnation: s.config.Incarnation,
	}
	request := wire.TrackRequest{Root: s.root, Self: self, MaxNearPeers: maxNear, MaxFarPeers: s.config.MaxFarPeers}
	if maxNear == 0 {
		request.MaxFarPeers = 0
	}
	_, done, total := s.progress()
	if total > 0 {
		request.Self.ChunksDone, request.Self.ChunksTotal = uint32(done), uint32(total)
		request.Self.BudgetLeftBytes = s.uploadBytesLeft()
		request.Extents = uint32(extentCount(total))
	}
	return request
}
