package members

import (
	"context"
	"errors"
	"io"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/platform"
	"currantusher.dev/wire"
)

var errNoInstance = errors.New("members: heartbeat stream begins without an instance")

// serveHeartbeats reads one daemon's reports. A stream that ends cleanly means
// that the daemon reports to another entry from now on.
func (d *Directory) serveHeartbeats(_ context.Context, stream *wire.Stream) error {
	var instance platform.Instance
	var incarnation core.Incarnation
	for {
		var beat wire.Heartbeat
		if err := stream.Recv(&beat); err != nil {
			if errors.Is(err, io.EOF) {
				d.update(func(r *roster, _ time.Time) { r.unobserve(instance.ID, incarnation) })
				return nil
			}
			return err
		}
		if beat.Instance != nil {
			instance = *beat.Instance
			incarnation = beat.Incarnation
		}
		if instance.ID == "" || incarnation == 0 {
			return errNoInstance
		}
		beat.Incarnation = incarnation
		if !d.heard(instance, beat) {
			d.rejected.Inc(1)
			return stream.Send(wire.HeartbeatReply{Sequence: beat.Sequence, Replaced: true})
		}
		if !beat.Acknowledge {
			continue
		}
		if err := stream.Send(wire.HeartbeatReply{Sequence: beat.Sequence}); err != nil {
			return err
		}
	}
}

func (d *Directory) heard(instance platform.Instance, beat wire.Heartbeat) bool {
	var accepted bool
	d.update(func(r *roster, now time.Time) { accepted = r.heard(now, instance, beat) })
	return accepted
}

// serveSummary answers a neighbour's summary with the own one.
func (d *Directory) serveSummary(_ context.Context, stream *wire.Stream) error {
	var incoming wire.MembershipSummary
	if err := stream.Recv(&incoming); err != nil {
		return err
	}
	var reply wire.MembershipSummary
	d.update(func(r *roster, now time.Time) { reply = r.answer(now, incoming) })
	return stream.Send(reply)
}
