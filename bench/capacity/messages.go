package main

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"currantusher.dev/wire"
)

// messageCost is the cost of one message at a constant rate.
type messageCost struct {
	Connections       int     `json:"connections"`
	Messages          int64   `json:"messages"`
	MessagesPerSecond float64 `json:"messages_per_second"`
	// CPUMicrosBothSides is the processor time of both sides together.
	CPUMicrosBothSides float64 `json:"cpu_microseconds_both_sides"`
	// BytesBothDirections includes IP and UDP headers and the acknowledgements of
	// the transport.
	BytesBothDirections     float64 `json:"bytes_both_directions"`
	DatagramsBothDirections float64 `json:"datagrams_both_directions"`
}

// sendFunc sends one message over a connection. It is not safe for concurrent
// use.
type sendFunc func() error

// sendAtRate calls the senders concurrently for the configured duration, so that
// all of them together send at the configured rate, spread evenly over time. It
// returns the number of messages sent.
func sendAtRate(ctx context.Context, s settings, senders []sendFunc) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, s.duration)
	defer cancel()
	interval := time.Duration(len(senders)) * time.Second / time.Duration(s.messagesPerSecond)
	var sent atomic.Int64
	var sendErr atomic.Pointer[error]
	var wg sync.WaitGroup
	for i, send := range senders {
		wg.Go(func() {
			time.Sleep(interval * time.Duration(i) / time.Duration(len(senders)))
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
				}
				if err := send(); err != nil {
					sendErr.Store(&err)
					return
				}
				sent.Add(1)
			}
		})
	}
	wg.Wait()
	if err := sendErr.Load(); err != nil {
		return 0, *err
	}
	return sent.Load(), nil
}

// measureMessages sends messages to one server from many clients, first directly
// to measure the processor time and then through a relay to measure the bytes.
func measureMessages(ctx context.Context, s settings, kind wire.Kind, handler wire.Handler, newSender func(ctx context.Context, from *wire.Endpoint, addr string) (sendFunc, error)) (any, error) {
	n, err := newNetwork(ctx)
	if err != nil {
		return nil, err
	}
	defer n.close()
	server, err := n.listen("hub")
	if err != nil {
		return nil, err
	}
	server.Handle(kind, handler)
	n.serve(server)
	result := messageCost{Connections: s.connections}
	for _, throughRelay := range []bool{false, true} {
		addr := server.Addr()
		var counter *countingRelay
		if throughRelay {
			counter, err = newCountingRelay(addr, nil)
			if err != nil {
				return nil, err
			}
			defer counter.close()
			addr = counter.addr()
		}
		clients, err := n.listenMany("leaf", s.connections)
		if err != nil {
			return nil, err
		}
		senders := make([]sendFunc, 0, len(clients))
		for _, client := range clients {
			send, err := newSender(ctx, client, addr)
			if err != nil {
				return nil, err
			}
			senders = append(senders, send)
		}
		if err := result.measure(ctx, s, senders, counter); err != nil {
			return nil, err
		}
	}
	return result, nil
}

func (c *messageCost) measure(ctx context.Context, s settings, senders []sendFunc, counter *countingRelay) error {
	for _, send := range senders {
		if err := send(); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	var bytesBefore, datagramsBefore uint64
	if counter != nil {
		bytesBefore, datagramsBefore = counter.total.bytes.Load(), counter.total.datagrams.Load()
	}
	cpuBefore := cpuTime()
	sent, err := sendAtRate(ctx, s, senders)
	if err != nil {
		return err
	}
	if counter != nil {
		c.BytesBothDirections = float64(counter.total.bytes.Load()-bytesBefore) / float64(sent)
		c.DatagramsBothDirections = float64(counter.total.datagrams.Load()-datagramsBefore) / float64(sent)
		return nil
	}
	c.Messages = sent
	c.MessagesPerSecond = float64(sent) / s.duration.Seconds()
	c.CPUMicrosBothSides = float64((cpuTime() - cpuBefore).Microseconds()) / float64(sent)
	return nil
}

func measureCalls(ctx context.Context, s settings) (any, error) {
	return measureMessages(ctx, s, wire.KindTombstone, replyToTombstone,
		func(ctx context.Context, from *wire.Endpoint, addr string) (sendFunc, error) {
			return func() error { return callTombstone(ctx, from, addr) }, nil
		})
}

func replyToHeartbeats(_ context.Context, stream *wire.Stream) error {
	for {
		var heartbeat wire.Heartbeat
		if err := stream.Recv(&heartbeat); err != nil {
			return err
		}
		if !heartbeat.Acknowledge {
			continue
		}
		if err := stream.Send(wire.HeartbeatReply{Sequence: heartbeat.Sequence}); err != nil {
			return err
		}
	}
}

// heartbeatsPerAck is the number of heartbeats per requested acknowledgement.
const heartbeatsPerAck = 3

func measureHeartbeats(ctx context.Context, s settings) (any, error) {
	return measureMessages(ctx, s, wire.KindHeartbeat, replyToHeartbeats,
		func(ctx context.Context, from *wire.Endpoint, addr string) (sendFunc, error) {
			stream, err := from.Open(ctx, addr, wire.KindHeartbeat)
			if err != nil {
				return nil, err
			}
			go discardReplies(stream)
			var sequence uint64
			return func() error {
				sequence++
				return stream.Send(wire.Heartbeat{
					Sequence: sequence, Acknowledge: sequence%heartbeatsPerAck == 0, Running: 5, ConfigAgeMillis: 700,
				})
			}, nil
		})
}

func discardReplies(stream *wire.Stream) {
	for {
		var reply wire.HeartbeatReply
		if stream.Recv(&reply) != nil {
			return
		}
	}
}
