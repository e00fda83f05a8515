package swarm

import (
	"time"

	"currantusher.dev/wire"
)

// updateTrackRequest prepares the next report to the tracker.
func (d *download) updateTrackRequest() {
	useful := d.countUsefulPeers()
	request := d.newTrackRequest(max(1, d.config.MaxNearPeers-useful))
	if !d.farPeersNeeded {
		request.MaxFarPeers = 0
	}
	request.Idle = len(d.activeExtents) == 0
	request.CompletedExtents = append([]uint32(nil), d.completedExtents...)
	d.trackRequestMu.Lock()
	defer d.trackRequestMu.Unlock()
	d.trackRequest = request
}

// countUsefulPeers counts the near peers that can deliver a missing chunk.
func (d *download) countUsefulPeers() int {
	count := 0
	for addr := range d.subscriptions {
		if !d.planner.peers[addr].far && d.planner.isUseful(addr) {
			count++
		}
	}
	return count
}

func (d *download) currentTrackRequest() wire.TrackRequest {
	d.trackRequestMu.Lock()
	defer d.trackRequestMu.Unlock()
	return d.trackRequest
}

// triggerAnnounce makes announceLoop send the next report without delay.
func (d *download) triggerAnnounce() {
	select {
	case d.announceNow <- struct{}{}:
	default:
	}
}

// announceLoop reports to the tracker until the download ends.
func (d *download) announceLoop() {
	for d.ctx.Err() == nil {
		reply, err := d.announcer.announce(d.ctx, d.currentTrackRequest())
		if err == nil && !d.post(trackerReplied{reply: reply}) {
			return
		}
		timer := time.NewTimer(d.config.AnnounceInterval)
		select {
		case <-d.ctx.Done():
		case <-timer.C:
		case <-d.announceNow:
		}
		timer.Stop()
	}
}
