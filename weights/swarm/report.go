package swarm

import (
	"time"

	"currantusher.dev/wire"
)

// updateReport prepares the next report to the tracker.
func (d *download) updateReport() {
	request := d.report(d.config.Peers)
	request.Idle = len(d.extents) == 0
	request.Fetched = append([]uint32(nil), d.fetched...)
	d.reportMu.Lock()
	defer d.reportMu.Unlock()
	d.reporting = request
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
		timer := time.NewTimer(d.config.Announce)
		select {
		case <-d.ctx.Done():
		case <-timer.C:
		case <-d.kick:
		}
		timer.Stop()
	}
}
