package main

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"currantusher.dev/wire"
)

const (
	// tokenBytes is the payload of one data frame of a token stream.
	tokenBytes  = 48
	tokenPeriod = 50 * time.Millisecond
)

func serveTokens(ctx context.Context, stream *wire.Stream) error {
	var request wire.Dispatch
	if err := stream.Recv(&request); err != nil {
		return err
	}
	payload := make([]byte, tokenBytes)
	ticker := time.NewTicker(tokenPeriod)
	defer ticker.Stop()
	for sequence := uint64(0); ; sequence++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if err := stream.Send(wire.AnswerFrame{Data: &wire.AnswerData{Sequence: sequence, Bytes: payload}}); err != nil {
			return err
		}
	}
}

// measureFrames streams tokens: rate frames a second over all connections, each
// stream at one frame per token period.
func measureFrames(ctx context.Context, s settings) (any, error) {
	n, err := newNetwork(ctx)
	if err != nil {
		return nil, err
	}
	defer n.close()
	entry, err := n.listen("entry")
	if err != nil {
		return nil, err
	}
	agents, err := n.listenMany("agent", s.connections)
	if err != nil {
		return nil, err
	}
	result := messageCost{Connections: s.connections}
	for _, counted := range []bool{false, true} {
		if err := streamTokens(n, s, entry, agents, counted, &result); err != nil {
			return nil, err
		}
	}
	return result, nil
}

func streamTokens(n *network, s settings, entry *wire.Endpoint, agents []*wire.Endpoint, counted bool, result *messageCost) error {
	ctx, cancel := context.WithCancel(n.ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	var received atomic.Int64
	relays := make([]*relay, 0, len(agents))
	streams := max(s.rate*int(tokenPeriod/time.Millisecond)/1000, len(agents))
	addrs := make([]string, len(agents))
	for i, agent := range agents {
		agent.Handle(wire.KindDispatch, serveTokens)
		if !counted {
			n.serve(agent)
		}
		addrs[i] = agent.Addr()
		if counted {
			between, err := newRelay(agent.Addr(), nil)
			if err != nil {
				return err
			}
			defer between.close()
			relays = append(relays, between)
			addrs[i] = between.addr()
		}
	}
	for i := range streams {
		stream, err := entry.Open(ctx, addrs[i%len(addrs)], wire.KindDispatch)
		if err != nil {
			return err
		}
		if err := stream.Send(wire.Dispatch{RequestID: "r", AttemptID: "a"}); err != nil {
			return err
		}
		stop := context.AfterFunc(ctx, stream.Cancel)
		wg.Go(func() {
			defer stop()
			var reply wire.AnswerFrame
			for stream.Recv(&reply) == nil {
				received.Add(1)
			}
		})
	}
	time.Sleep(time.Second)
	bytes, datagrams := relayed(relays)
	before, cpu := received.Load(), cpuTime()
	time.Sleep(s.duration)
	frames := float64(received.Load() - before)
	if counted {
		bytesAfter, datagramsAfter := relayed(relays)
		result.Bytes = float64(bytesAfter-bytes) / frames
		result.Datagrams = float64(datagramsAfter-datagrams) / frames
		return nil
	}
	result.Messages = int64(frames)
	result.Rate = frames / s.duration.Seconds()
	result.CPU = float64((cpuTime() - cpu).Microseconds()) / frames
	return nil
}

func relayed(relays []*relay) (bytes, datagrams uint64) {
	for _, between := range relays {
		bytes += between.total.bytes.Load()
		datagrams += between.total.datagrams.Load()
	}
	return bytes, datagrams
}
