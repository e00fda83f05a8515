package members

import (
	"context"
	"errors"
	"time"

	"currantusher.dev/platform"
	"currantusher.dev/wire"
)

const (
	// acknowledgeEvery is the number of reports between two that ask for an
	// acknowledgement.
	acknowledgeEvery = 3
	// silentPeriods is how many periods may pass without an acknowledgement
	// before another entry is chosen.
	silentPeriods = 2*acknowledgeEvery + 1
	openTimeout   = 3 * time.Second
)

var (
	errNoAcknowledgement = errors.New("members: entry does not acknowledge reports")
	errReplaced          = errors.New("members: a later process runs in this daemon's place")
)

// home sends reports to one entry over one stream.
type home struct {
	config ReporterConfig
	entry  platform.Instance
	// beats is closed when the entry is no longer chosen.
	beats chan wire.Heartbeat
	// lastStatus is what the entry has.
	lastStatus wire.Status
	sent       uint64
}

func newHome(config ReporterConfig, entry platform.Instance) *home {
	return &home{config: config, entry: entry, beats: make(chan wire.Heartbeat, 1)}
}

// offer hands over the newest report; an older one that was not sent yet is
// dropped.
func (h *home) offer(beat wire.Heartbeat) {
	for {
		select {
		case h.beats <- beat:
			return
		default:
		}
		select {
		case <-h.beats:
		default:
		}
	}
}

// run sends reports until the entry is no longer chosen, which gives nil, or
// until it fails.
func (h *home) run(ctx context.Context) error {
	stream, err := h.open(ctx)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, stream.Cancel)
	defer stop()
	replies := make(chan error, 1)
	acknowledged := make(chan struct{}, 1)
	go func() { replies <- readReplies(stream, acknowledged) }()
	err = h.send(stream, replies, acknowledged)
	if err != nil {
		stream.Cancel()
		return err
	}
	return stream.CloseSend()
}

func (h *home) open(ctx context.Context) (*wire.Stream, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	return h.config.Peer.Open(ctx, h.entry.PeerAddr, wire.KindHeartbeat)
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

func (h *home) send(stream *wire.Stream, replies <-chan error, acknowledged <-chan struct{}) error {
	limit := silentPeriods * h.config.HeartbeatPeriod
	silence := time.NewTimer(limit)
	defer silence.Stop()
	for {
		select {
		case beat, ok := <-h.beats:
			if !ok {
				return nil
			}
			if err := stream.Send(h.compact(beat)); err != nil {
				return err
			}
		case err := <-replies:
			return err
		case <-acknowledged:
			silence.Reset(limit)
		case <-silence.C:
			return errNoAcknowledgement
		}
	}
}

// compact drops the parts of a report that the entry already has.
func (h *home) compact(beat wire.Heartbeat) wire.Heartbeat {
	first := h.sent == 0
	h.sent++
	beat.Acknowledge = h.sent%acknowledgeEvery == 0
	beat.Instance = nil
	if first {
		instance := h.config.Self
		instance.State = platform.InstanceLive
		beat.Instance = &instance
	} else {
		beat.Incarnation = 0
	}
	if beat.Status == nil {
		return beat
	}
	if !first && *beat.Status == h.lastStatus {
		beat.Status = nil
		return beat
	}
	h.lastStatus = *beat.Status
	return beat
}
