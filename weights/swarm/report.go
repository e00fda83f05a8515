package swarm

import (
	"time"

	"currantusher.dev/wire"
)

// updateReport prepares the next report to the tracker.
func (d *download) updateReport() {
	useful := d.usefulPeers()
	request := d.report(max(1, d.config.MaxNearPeers-useful))
	if !d.wantFar {
		request.MaxRemotePeers = 0
	}
	request.Idle = len(d.extents) == 0
	request.CompletedExtents = append([]uint32(nil), d.fetched...)
	d.reportMu.Lock()
	defer d.reportMu.Unlock()
	d.reporting = request
}

// usefulPeers counts the near peers that can deliver a missing chunk.
func (d *download) usefulPeers() int {
	count := 0
	for addr := range d.watches {
		if !d.plan.peers[addr].far && d.plan.useful(addr) {
			count++
		}
	}
	return count
}

func (d *download) nextReport() wire.TrackRequest {
	d.reportMu.Lock()
	defer d.reportMu.Unlock()
	return d.reporting
}

// nudge brings the next report forward.
func (d *download) nudge() {
	select {
	case d.kick <- struct{}{}:
	default:
	}
}

// announceLoop reports to the tracker until the download ends.
func (d *download) announceLoop() {
	for d.ctx.Err() == nil {
		reply, err := d.tracker.announce(d.ctx, d.nextReport())
		if err == nil && !d.post(tracked{reply: reply}) {
			return
		}
		timer := time.NewTimer(d.config.AnnounceInterval)
		select {
		case <-d.ctx.Done():
		case <-timer.C:
		case <-d.kick:
		}
		timer.Stop()
	}
}
