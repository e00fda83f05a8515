package budget

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"currantusher.dev/core"
	"currantusher.dev/platform"
	"currantusher.dev/standin/store"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

func TestFirstGrantKeepsTakeoverReserve(t *testing.T) {
	row := extentRow{}
	var grant Grant
	for i := range MaxFetchesPerChunk + 1 {
		request := GrantRequest{Region: core.Region(fmt.Sprint("r", i)), ExtentSize: 2, Chunks: []int{0, 1}}
		row, grant = row.grant(request)
		if i < MaxFetchesPerChunk-takeoverReserve {
			require.Equal(t, []int{0, 1}, grant.Chunks)
		} else {
			require.Empty(t, grant.Chunks)
		}
	}
	_, grant = row.grant(GrantRequest{Region: "r0", ExtentSize: 2, Chunks: []int{1}})
	require.True(t, grant.HeldByRegion)
	row, grant = row.grant(GrantRequest{Region: "r0", ExtentSize: 2, Chunks: []int{1}, Takeover: true})
	require.Equal(t, []int{1}, grant.Chunks)
	_, grant = row.grant(GrantRequest{Region: "r0", ExtentSize: 2, Chunks: []int{0, 1, 7, -1}, Takeover: true})
	require.Equal(t, []int{0}, grant.Chunks, "chunk 1 has no fetches left")
}

// TestRandomGrants guards against granting a chunk more often than
// MaxFetchesPerChunk when many downloaders request grants concurrently and
// responses to commits are lost.
func TestRandomGrants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := store.NewMemory(store.Config{Seed: rapid.Uint64().Draw(t, "seed"), ReadsPerSecond: 1e9, WritesPerSecond: 1e9})
		tables.SetFaults(store.Faults{LoseAnswers: rapid.SampledFrom([]float64{0, 0.3, 0.7}).Draw(t, "lose")})
		size := rapid.IntRange(1, 4).Draw(t, "size")
		regions := rapid.IntRange(1, 6).Draw(t, "regions")
		requests := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) GrantRequest {
			return GrantRequest{
				Region:     core.Region(fmt.Sprint("r", rapid.IntRange(1, regions).Draw(t, "region"))),
				Holder:     "agent",
				ExtentSize: size,
				Chunks:     rapid.SliceOfNDistinct(rapid.IntRange(0, size-1), 1, size, rapid.ID[int]).Draw(t, "chunks"),
				Takeover:   rapid.Bool().Draw(t, "takeover"),
			}
		}), 1, 24).Draw(t, "requests")
		fetches := acquireAll(NewGrantStore(tables), requests, size)
		for chunk, count := range fetches {
			if count > MaxFetchesPerChunk {
				t.Fatalf("chunk %d may be fetched %d times, more than MaxFetchesPerChunk", chunk, count)
			}
		}
	})
}

func acquireAll(grants *GrantStore, requests []GrantRequest, size int) []int {
	fetches := make([]int, size)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, request := range requests {
		wg.Go(func() {
			grant, err := grants.Acquire(context.Background(), request)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			for _, chunk := range grant.Chunks {
				fetches[chunk]++
			}
		})
	}
	wg.Wait()
	return fetches
}

func TestAcquireFailsWhenTablesAreDown(t *testing.T) {
	tables := store.NewMemory(store.Config{})
	tables.SetFaults(store.Faults{Down: true})
	grant, err := NewGrantStore(tables).Acquire(t.Context(), GrantRequest{Region: "r", ExtentSize: 1, Chunks: []int{0}})
	require.Error(t, err)
	require.Empty(t, grant.Chunks)
	var _ platform.Tables = tables
}
