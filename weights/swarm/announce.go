package swarm

import (
	"context"
	"math/rand/v2"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/wire"
)

const (
	announceTimeout  = 3 * time.Second
	trackerRetry     = 3 * time.Second
	trackersPerRound = 3
)

// announcer reports to the best ranked tracker that answers. It is used by one
// goroutine.
type announcer struct {
	manager *Manager
	root    core.Digest
	failed  map[string]time.Time
}

func newAnnouncer(m *Manager, root core.Digest) *announcer {
	return &announcer{manager: m, root: root, failed: map[string]time.Time{}}
}

func (a *announcer) announce(ctx context.Context, request wire.TrackRequest) (wire.TrackReply, error) {
	err := error(core.NewRefusal(core.CodeNoBackend, 0, "no entry tracks %s", a.root.Short()))
	for _, addr := range a.ranked(time.Now()) {
		var reply wire.TrackReply
		calling, cancel := context.WithTimeout(ctx, min(announceTimeout, a.manager.config.ChunkTimeout))
		a.manager.counters.messages.Add(2)
		reply, err = wire.Call[wire.TrackReply](calling, a.manager.config.Peer, addr, wire.KindTrack, request)
		cancel()
		if err == nil {
			delete(a.failed, addr)
			return reply, nil
		}
		if ctx.Err() != nil {
			return wire.TrackReply{}, ctx.Err()
		}
		a.failed[addr] = time.Now()
	}
	return wire.TrackReply{}, err
}

// ranked returns the trackers to try: those that did not fail lately, or else
// one of the others.
func (a *announcer) ranked(now time.Time) []string {
	var usable, failed []string
	for _, addr := range a.manager.config.TrackerAddrs(a.root) {
		at, known := a.failed[addr]
		if known && now.Sub(at) < trackerRetry {
			failed = append(failed, addr)
			continue
		}
		usable = append(usable, addr)
	}
	if len(usable) == 0 && len(failed) > 0 {
		return []string{failed[rand.IntN(len(failed))]}
	}
	return usable[:min(len(usable), trackersPerRound)]
}

// report describes this downloader to a tracker.
func (s *session) report(near int) wire.TrackRequest {
	self := wire.TrackPeer{
		ID:          s.config.Self,
		Addr:        s.config.AdvertiseAddr,
		DataCentre:  s.config.DataCentre,
		Region:      s.config.Region,
		Incarnation: s.config.Incarnation,
	}
	request := wire.TrackRequest{Root: s.root, Self: self, MaxLocalPeers: near, MaxRemotePeers: s.config.FarPeers}
	if near == 0 {
		request.MaxRemotePeers = 0
	}
	_, done, total := s.progress()
	if total > 0 {
		request.Self.ChunksDone, request.Self.ChunksTotal = uint32(done), uint32(total)
		request.Self.BudgetLeftBytes = s.left()
		request.Extents = uint32(extentCount(total))
	}
	return request
}
