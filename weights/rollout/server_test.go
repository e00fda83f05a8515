package rollout

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"currantusher.dev/core"
	"currantusher.dev/standin/store"
	"currantusher.dev/wire"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// TestRandomSlots checks that two independent servers of one pool never grant more
// slots than its limit, while replies to their commits are lost.
func TestRandomSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 2
		now := time.Unix(0, 0)
		leaseDuration := 10 * time.Second
		tables := store.NewMemory(store.Config{ReadsPerSecond: 1e9, WritesPerSecond: 1e9, Seed: 1})
		tables.SetFaults(store.Faults{LoseAnswers: rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "lose")})
		var servers []*Server
		for range 2 {
			server, err := NewServer(ServerConfig{
				Tables: tables, LeaseDuration: leaseDuration, Now: func() time.Time { return now },
				MaxUnavailable: func(core.PoolName) int { return limit },
			})
			require.NoError(t, err)
			servers = append(servers, server)
		}
		grantedAt := map[core.InstanceID]time.Time{}
		for range rapid.IntRange(1, 80).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "seconds")) * time.Second)
			id := core.InstanceID(fmt.Sprint("i", rapid.IntRange(0, 5).Draw(t, "instance")))
			op := rapid.SampledFrom([]wire.SlotOp{wire.SlotAcquire, wire.SlotRelease}).Draw(t, "op")
			server := servers[rapid.IntRange(0, 1).Draw(t, "server")]
			request := wire.SlotRequest{Op: op, Pool: "p", Instance: id, Incarnation: 1}
			granted, err := server.commit(context.Background(), "p", []pendingCall{{request: request}})
			if op == wire.SlotRelease {
				delete(grantedAt, id)
			} else if err == nil && granted[0] {
				grantedAt[id] = now
			}
			require.LessOrEqual(t, countActive(grantedAt, now, leaseDuration), limit)
		}
	})
}

// countActive counts the slots that were granted within the lease duration.
func countActive(grantedAt map[core.InstanceID]time.Time, now time.Time, leaseDuration time.Duration) int {
	count := 0
	for _, at := range grantedAt {
		if now.Sub(at) <= leaseDuration {
			count++
		}
	}
	return count
}

func TestTablesDownGrantsNoSlot(t *testing.T) {
	tables := store.NewMemory(store.Config{})
	server, err := NewServer(ServerConfig{Tables: tables, MaxUnavailable: func(core.PoolName) int { return 1 }})
	require.NoError(t, err)
	go func() { _ = server.Run(t.Context()) }()
	request := wire.SlotRequest{Op: wire.SlotAcquire, Pool: "p", Instance: "i", Incarnation: 1}
	tables.SetFaults(store.Faults{Down: true})
	require.False(t, server.Handle(t.Context(), request).Granted)
	tables.SetFaults(store.Faults{})
	require.True(t, server.Handle(t.Context(), request).Granted)
}
