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

var errNoInstance = errors.New("members: first heartbeat of a stream has no instance or no incarnation")

// serveHeartbeats receives the heartbeats of one daemon. If the stream ends
// without an error, the daemon reports to another entry from now on.
func (d *Directory) serveHeartbeats(_ context.Context, stream *wire.Stream) error {
	var instance platform.Instance
	var incarnation core.Incarnation
	for {
		var heartbeat wire.Heartbeat
		if err := stream.Recv(&heartbeat); err != nil {
			if errors.Is(err, io.EOF) {
				d.update(func(r *roster, _ time.Time) { r.stopObserving(instance.ID, incarnation) })
				return nil
			}
			return err
		}
		if heartbeat.Instance != nil {
			instance = *heartbeat.Instance
			incarnation = heartbeat.Incarnation
		}
		if instance.ID == "" || incarnation == 0 {
			return errNoInstance
		}
		heartbeat.Incarnation = incarnation
		if !d.applyHeartbeat(instance, heartbeat) {
			d.lateHeartbeats.Inc(1)
			return stream.Send(wire.HeartbeatReply{Sequence: heartbeat.Sequence, Replaced: true})
		}
		if !heartbeat.Acknowledge {
			continue
		}
		if err := stream.Send(wire.HeartbeatReply{Sequence: heartbeat.Sequence}); err != nil {
			return err
		}
	}
}

func (d *Directory) applyHeartbeat(instance platform.Instance, heartbeat wire.Heartbeat) bool {
	var accepted bool
	d.update(func(r *roster, now time.Time) { accepted = r.applyHeartbeat(now, instance, heartbeat) })
	return accepted
}

// serveSummary applies the summary of another entry and replies with this
// entry's summary.
func (d *Directory) serveSummary(_ context.Context, stream *wire.Stream) error {
	var incoming wire.MembershipSummary
	if err := stream.Recv(&incoming); err != nil {
		return err
	}
	var reply wire.MembershipSummary
	d.update(func(r *roster, now time.Time) { reply = r.answerSummary(now, incoming) })
	return stream.Send(reply)
}
