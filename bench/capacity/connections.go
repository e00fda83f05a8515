package main

import (
	"context"
	"time"

	"currantusher.dev/wire"
)

// connectionCost is the cost of one side of an idle connection.
type connectionCost struct {
	Connections      int     `json:"connections"`
	BytesEachSide    float64 `json:"heap_and_stack_bytes_each_side"`
	RoutinesEachSide float64 `json:"goroutines_each_side"`
	EndpointBytes    float64 `json:"endpoint_bytes"`
	CPUPerIdle       float64 `json:"cpu_microseconds_per_second_each_side"`
}

func echoTombstone(_ context.Context, stream *wire.Stream) error {
	var request wire.Tombstone
	if err := stream.Recv(&request); err != nil {
		return err
	}
	return stream.Send(wire.TombstoneReply{})
}

func call(ctx context.Context, from *wire.Endpoint, addr string) error {
	_, err := wire.Call[wire.TombstoneReply](ctx, from, addr, wire.KindTombstone, wire.Tombstone{AttemptID: "0123456789abcdef", Incarnation: 1})
	return err
}

func measureConnections(ctx context.Context, s settings) (any, error) {
	n, err := newNetwork(ctx)
	if err != nil {
		return nil, err
	}
	defer n.close()
	before := usageNow()
	hub, err := n.listen("hub")
	if err != nil {
		return nil, err
	}
	hub.Handle(wire.KindTombstone, echoTombstone)
	n.serve(hub)
	leaves, err := n.listenMany("leaf", s.connections)
	if err != nil {
		return nil, err
	}
	listening := usageNow()
	for _, leaf := range leaves {
		if err := call(ctx, leaf, hub.Addr()); err != nil {
			return nil, err
		}
	}
	time.Sleep(s.warmUp)
	connected := usageNow()
	time.Sleep(s.duration)
	idle := usageNow()
	sides := float64(2 * s.connections)
	seconds := idle.at.Sub(connected.at).Seconds()
	return connectionCost{
		Connections:      s.connections,
		BytesEachSide:    float64(connected.memory-listening.memory) / sides,
		RoutinesEachSide: float64(connected.goroutines-listening.goroutines) / sides,
		EndpointBytes:    float64(listening.memory-before.memory) / float64(s.connections+1),
		CPUPerIdle:       float64((idle.cpu - connected.cpu).Microseconds()) / seconds / sides,
	}, nil
}

// idleCost is the traffic of an idle connection, both directions together.
type idleCost struct {
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
	peers, err := n.listenMany("peer", 2)
	if err != nil {
		return nil, err
	}
	peers[1].Handle(wire.KindTombstone, echoTombstone)
	n.serve(peers[1])
	between, err := newRelay(peers[1].Addr(), nil)
	if err != nil {
		return nil, err
	}
	defer between.close()
	if err := call(ctx, peers[0], between.addr()); err != nil {
		return nil, err
	}
	time.Sleep(s.warmUp)
	connect := between.total.bytes.Load()
	datagrams := between.total.datagrams.Load()
	time.Sleep(s.duration)
	return idleCost{
		BytesPerSecond:     float64(between.total.bytes.Load()-connect) / s.duration.Seconds(),
		DatagramsPerSecond: float64(between.total.datagrams.Load()-datagrams) / s.duration.Seconds(),
		BytesToConnect:     connect,
	}, nil
}
