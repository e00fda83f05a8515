package main

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"currantusher.dev/wire"
)

const (
	// tokenFrameBytes is the size of the payload of one data frame.
	tokenFrameBytes = 48
	tokenInterval   = 50 * time.Millisecond
)

func serveTokens(ctx context.Context, stream *wire.Stream) error {
	var request wire.Dispatch
	if err := stream.Recv(&request); err != nil {
		return err
	}
	payload := make([]byte, tokenFrameBytes)
	ticker := time.NewTicker(tokenInterval)
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

// measureFrames measures the cost of the frames of token streams. Each stream
// sends one frame per tokenInterval. The number of streams is chosen so that all
// of them together send messagesPerSecond frames per second.
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
	for _, throughRelay := range []bool{false, true} {
		if err := streamTokens(n, s, entry, agents, throughRelay, &result); err != nil {
			return nil, err
		}
	}
	return result, nil
}

func streamTokens(n *network, s settings, entry *wire.Endpoint, agents []*wire.Endpoint, throughRelay bool, result *messageCost) error {
	ctx, cancel := context.WithCancel(n.ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	var received atomic.Int64
	relays := make([]*countingRelay, 0, len(agents))
	streams := max(s.messagesPerSecond*int(tokenInterval/time.Millisecond)/1000, len(agents))
	addrs := make([]string, len(agents))
	for i, agent := range agents {
		agent.Handle(wire.KindDispatch, serveTokens)
		if !throughRelay {
			n.serve(agent)
		}
		addrs[i] = agent.Addr()
		if throughRelay {
			counter, err := newCountingRelay(agent.Addr(), nil)
			if err != nil {
				return err
			}
			defer counter.close()
			relays = append(relays, counter)
			addrs[i] = counter.addr()
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
	bytesBefore, datagramsBefore := relayTotals(relays)
	framesBefore, cpuBefore := received.Load(), cpuTime()
	time.Sleep(s.duration)
	frames := float64(received.Load() - framesBefore)
	if throughRelay {
		bytesAfter, datagramsAfter := relayTotals(relays)
		result.BytesBothDirections = float64(bytesAfter-bytesBefore) / frames
		result.DatagramsBothDirections = float64(datagramsAfter-datagramsBefore) / frames
		return nil
	}
	result.Messages = int64(frames)
	result.MessagesPerSecond = frames / s.duration.Seconds()
	result.CPUMicrosBothSides = float64((cpuTime() - cpuBefore).Microseconds()) / frames
	return nil
}

func relayTotals(relays []*countingRelay) (bytes, datagrams uint64) {
	for _, counter := range relays {
		bytes += counter.total.bytes.Load()
		datagrams += counter.total.datagrams.Load()
	}
	return bytes, datagrams
}
