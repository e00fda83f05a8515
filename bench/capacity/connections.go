package main

import (
	"context"
	"time"

	"currantusher.dev/wire"
)

// connectionCost is the cost of an idle connection at one of its two sides.
type connectionCost struct {
	Connections                int     `json:"connections"`
	BytesEachSide              float64 `json:"heap_and_stack_bytes_each_side"`
	GoroutinesEachSide         float64 `json:"goroutines_each_side"`
	BytesPerEndpoint           float64 `json:"endpoint_bytes"`
	CPUMicrosPerSecondEachSide float64 `json:"cpu_microseconds_per_second_each_side"`
}

func replyToTombstone(_ context.Context, stream *wire.Stream) error {
	var request wire.Tombstone
	if err := stream.Recv(&request); err != nil {
		return err
	}
	return stream.Send(wire.TombstoneReply{})
}

func callTombstone(ctx context.Context, from *wire.Endpoint, addr string) error {
	_, err := wire.Call[wire.TombstoneReply](ctx, from, addr, wire.KindTombstone, wire.Tombstone{AttemptID: "0123456789abcdef", Incarnation: 1})
	return err
}

func measureConnections(ctx context.Context, s settings) (any, error) {
	n, err := newNetwork(ctx)
	if err != nil {
		return nil, err
	}
	defer n.close()
	initial := readUsage()
	server, err := n.listen("hub")
	if err != nil {
		return nil, err
	}
	server.Handle(wire.KindTombstone, replyToTombstone)
	n.serve(server)
	clients, err := n.listenMany("leaf", s.connections)
	if err != nil {
		return nil, err
	}
	afterListen := readUsage()
	for _, client := range clients {
		if err := callTombstone(ctx, client, server.Addr()); err != nil {
			return nil, err
		}
	}
	time.Sleep(s.warmUp)
	afterConnect := readUsage()
	time.Sleep(s.duration)
	afterIdle := readUsage()
	sides := float64(2 * s.connections)
	seconds := afterIdle.at.Sub(afterConnect.at).Seconds()
	return connectionCost{
		Connections:                s.connections,
		BytesEachSide:              float64(afterConnect.memoryBytes-afterListen.memoryBytes) / sides,
		GoroutinesEachSide:         float64(afterConnect.goroutines-afterListen.goroutines) / sides,
		BytesPerEndpoint:           float64(afterListen.memoryBytes-initial.memoryBytes) / float64(s.connections+1),
		CPUMicrosPerSecondEachSide: float64((afterIdle.cpu - afterConnect.cpu).Microseconds()) / seconds / sides,
	}, nil
}

// idleConnectionCost is the traffic of one idle connection in both directions.
type idleConnectionCost struct {
	BytesPerSecond     float64 `json:"bytes_per_second"`
	DatagramsPerSecond float64 `json:"datagrams_per_second"`
	BytesToConnect     uint64  `json:"bytes_to_connect_and_call_once"`
}

func measureIdle(ctx context.Context, s settings) (any, error) {
	n, err := newNetwork(ctx)
	if err != nil {
		return nil, err
	}
	defer n.close()
	endpoints, err := n.listenMany("peer", 2)
	if err != nil {
		return nil, err
	}
	endpoints[1].Handle(wire.KindTombstone, replyToTombstone)
	n.serve(endpoints[1])
	counter, err := newCountingRelay(endpoints[1].Addr(), nil)
	if err != nil {
		return nil, err
	}
	defer counter.close()
	if err := callTombstone(ctx, endpoints[0], counter.addr()); err != nil {
		return nil, err
	}
	time.Sleep(s.warmUp)
	bytesToConnect := counter.total.bytes.Load()
	datagramsBefore := counter.total.datagrams.Load()
	time.Sleep(s.duration)
	return idleConnectionCost{
		BytesPerSecond:     float64(counter.total.bytes.Load()-bytesToConnect) / s.duration.Seconds(),
		DatagramsPerSecond: float64(counter.total.datagrams.Load()-datagramsBefore) / s.duration.Seconds(),
		BytesToConnect:     bytesToConnect,
	}, nil
}
