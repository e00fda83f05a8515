package main

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"currantusher.dev/wire"
)

// messageCost is the cost of one message at a steady rate.
type messageCost struct {
	Connections int     `json:"connections"`
	Messages    int64   `json:"messages"`
	Rate        float64 `json:"messages_per_second"`
	// CPU is the processor time of both sides together.
	CPU float64 `json:"cpu_microseconds_both_sides"`
	// Bytes counts both directions with all headers and acknowledgements.
	Bytes     float64 `json:"bytes_both_directions"`
	Datagrams float64 `json:"datagrams_both_directions"`
}

// session sends messages over one connection; open prepares it.
type session func() error

// pacing drives one session for each connection at an even rate.
func pacing(ctx context.Context, s settings, sessions []session) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, s.duration)
	defer cancel()
	period := time.Duration(len(sessions)) * time.Second / time.Duration(s.rate)
	var sent atomic.Int64
	var failure atomic.Pointer[error]
	var wg sync.WaitGroup
	for i, send := range sessions {
		wg.Go(func() {
			time.Sleep(period * time.Duration(i) / time.Duration(len(sessions)))
			ticker := time.NewTicker(period)
			defer ticker.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
				}
				if err := send(); err != nil {
					failure.Store(&err)
					return
				}
				sent.Add(1)
			}
		})
	}
	wg.Wait()
	if err := failure.Load(); err != nil {
		return 0, *err
	}
	return sent.Load(), nil
}

// measureMessages runs the load twice: directly for the processor time and
// through a relay for the bytes.
func measureMessages(ctx context.Context, s settings, kind wire.Kind, handler wire.Handler, open func(ctx context.Context, from *wire.Endpoint, addr string) (session, error)) (any, error) {
	n, err := newNetwork(ctx)
	if err != nil {
		return nil, err
	}
	defer n.close()
	hub, err := n.listen("hub")
	if err != nil {
		return nil, err
	}
	hub.Handle(kind, handler)
	n.serve(hub)
	result := messageCost{Connections: s.connections}
	for _, counted := range []bool{false, true} {
		addr := hub.Addr()
		var between *relay
		if counted {
			between, err = newRelay(addr, nil)
			if err != nil {
				return nil, err
			}
			defer between.close()
			addr = between.addr()
		}
		leaves, err := n.listenMany("leaf", s.connections)
		if err != nil {
			return nil, err
		}
		sessions := make([]session, 0, len(leaves))
		for _, leaf := range leaves {
			send, err := open(ctx, leaf, addr)
			if err != nil {
				return nil, err
			}
			sessions = append(sessions, send)
		}
		if err := result.measure(ctx, s, sessions, between); err != nil {
			return nil, err
		}
	}
	return result, nil
}

func (c *messageCost) measure(ctx context.Context, s settings, sessions []session, between *relay) error {
	for _, send := range sessions {
		if err := send(); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	var bytes, datagrams uint64
	if between != nil {
		bytes, datagrams = between.total.bytes.Load(), between.total.datagrams.Load()
	}
	before := cpuTime()
	sent, err := pacing(ctx, s, sessions)
	if err != nil {
		return err
	}
	if between != nil {
		c.Bytes = float64(between.total.bytes.Load()-bytes) / float64(sent)
		c.Datagrams = float64(between.total.datagrams.Load()-datagrams) / float64(sent)
		return nil
	}
	c.Messages = sent
	c.Rate = float64(sent) / s.duration.Seconds()
	c.CPU = float64((cpuTime() - before).Microseconds()) / float64(sent)
	return nil
}

func measureCalls(ctx context.Context, s settings) (any, error) {
	return measureMessages(ctx, s, wire.KindTombstone, echoTombstone,
		func(ctx context.Context, from *wire.Endpoint, addr string) (session, error) {
			return func() error { return call(ctx, from, addr) }, nil
		})
}

func drainHeartbeats(_ context.Context, stream *wire.Stream) error {
	for {
		var beat wire.Heartbeat
		if err := stream.Recv(&beat); err != nil {
			return err
		}
		if !beat.Acknowledge {
			continue
		}
		if err := stream.Send(wire.HeartbeatReply{Sequence: beat.Sequence}); err != nil {
			return err
		}
	}
}

// acknowledgeEvery is the share of heartbeats that ask for a reply.
const acknowledgeEvery = 3

func measureHeartbeats(ctx context.Context, s settings) (any, error) {
	return measureMessages(ctx, s, wire.KindHeartbeat, drainHeartbeats,
		func(ctx context.Context, from *wire.Endpoint, addr string) (session, error) {
			stream, err := from.Open(ctx, addr, wire.KindHeartbeat)
			if err != nil {
				return nil, err
			}
			go drainReplies(stream)
			var sequence uint64
			return func() error {
				sequence++
				return stream.Send(wire.Heartbeat{
					Sequence: sequence, Acknowledge: sequence%acknowledgeEvery == 0, Running: 5, ConfigAgeMillis: 700,
				})
			}, nil
		})
}

func drainReplies(stream *wire.Stream) {
	for {
		var reply wire.HeartbeatReply
		if stream.Recv(&reply) != nil {
			return
		}
	}
}
