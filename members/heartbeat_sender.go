package members

import (
	"context"
	"errors"
	"time"

	"currantusher.dev/platform"
	"currantusher.dev/wire"
)

const (
	// heartbeatsPerAck is the number of heartbeats per requested
	// acknowledgement.
	heartbeatsPerAck = 3
	// maxPeriodsWithoutAck is the number of heartbeat periods without an
	// acknowledgement after which the daemon reports to another entry.
	maxPeriodsWithoutAck = 2*heartbeatsPerAck + 1
	openStreamTimeout    = 3 * time.Second
)

var (
	errNoAcknowledgement = errors.New("members: entry does not acknowledge heartbeats")
	errReplaced          = errors.New("members: a later process has replaced this daemon")
)

// heartbeatSender sends heartbeats to one entry on one stream.
type heartbeatSender struct {
	config ReporterConfig
	entry  platform.Instance
	// pending holds the next heartbeat to send. It is closed when the daemon
	// stops reporting to the entry.
	pending chan wire.Heartbeat
	// sentStatus is the status that was last sent to the entry.
	sentStatus wire.Status
	sentCount  uint64
}

func newHeartbeatSender(config ReporterConfig, entry platform.Instance) *heartbeatSender {
	return &heartbeatSender{config: config, entry: entry, pending: make(chan wire.Heartbeat, 1)}
}

// enqueue makes heartbeat the next to be sent, in place of one that has not
// been sent yet.
func (s *heartbeatSender) enqueue(heartbeat wire.Heartbeat) {
	for {
		select {
		case s.pending <- heartbeat:
			return
		default:
		}
		select {
		case <-s.pending:
		default:
		}
	}
}

// run sends heartbeats until pending is closed and then returns nil. It returns
// an error if the stream fails or the entry stops acknowledging.
func (s *heartbeatSender) run(ctx context.Context) error {
	stream, err := s.openStream(ctx)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, stream.Cancel)
	defer stop()
	replies := make(chan error, 1)
	acknowledged := make(chan struct{}, 1)
	go func() { replies <- readReplies(stream, acknowledged) }()
	err = s.sendHeartbeats(stream, replies, acknowledged)
	if err != nil {
		stream.Cancel()
		return err
	}
	return stream.CloseSend()
}

func (s *heartbeatSender) openStream(ctx context.Context) (*wire.Stream, error) {
	ctx, cancel := context.WithTimeout(ctx, openStreamTimeout)
	defer cancel()
	return s.config.Peer.Open(ctx, s.entry.PeerAddr, wire.KindHeartbeat)
}

func readReplies(stream *wire.Stream, acknowledged chan<- struct{}) error {
	for {
		var reply wire.HeartbeatReply
		if err := stream.Recv(&reply); err != nil {
			return err
		}
		if reply.Replaced {
			return errReplaced
		}
		select {
		case acknowledged <- struct{}{}:
		default:
		}
	}
}

func (s *heartbeatSender) sendHeartbeats(stream *wire.Stream, replies <-chan error, acknowledged <-chan struct{}) error {
	ackTimeout := maxPeriodsWithoutAck * s.config.HeartbeatPeriod
	ackTimer := time.NewTimer(ackTimeout)
	defer ackTimer.Stop()
	for {
		select {
		case heartbeat, ok := <-s.pending:
			if !ok {
				return nil
			}
			if err := stream.Send(s.omitUnchanged(heartbeat)); err != nil {
				return err
			}
		case err := <-replies:
			return err
		case <-acknowledged:
			ackTimer.Reset(ackTimeout)
		case <-ackTimer.C:
			return errNoAcknowledgement
		}
	}
}

// omitUnchanged removes the fields that were already sent on this stream and
// have not changed.
func (s *heartbeatSender) omitUnchanged(heartbeat wire.Heartbeat) wire.Heartbeat {
	first := s.sentCount == 0
	s.sentCount++
	heartbeat.Acknowledge = s.sentCount%heartbeatsPerAck == 0
	heartbeat.Instance = nil
	if first {
		instance := s.config.Self
		instance.State = platform.InstanceLive
		heartbeat.Instance = &instance
	} else {
		heartbeat.Incarnation = 0
	}
	if heartbeat.Status == nil {
		return heartbeat
	}
	if !first && *heartbeat.Status == s.sentStatus {
		heartbeat.Status = nil
		return heartbeat
	}
	s.sentStatus = *heartbeat.Status
	return heartbeat
}
