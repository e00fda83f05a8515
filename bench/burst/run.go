package burst

import (
	"context"
	"fmt"
	"math"
	"runtime"
	"sort"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"currantusher.dev/weights/swarm"
)

const (
	pollInterval       = 20 * time.Millisecond
	heapSampleInterval = 250 * time.Millisecond
	maxParallelFetches = 4
)

// Result holds the figures of one run. Copies are multiples of the size of the
// manifest and all chunks.
type Result struct {
	Strategy     Strategy `json:"strategy"`
	Agents       int      `json:"agents"`
	Regions      int      `json:"regions"`
	WeightsBytes int      `json:"bytes"`
	Chunks       int      `json:"chunks"`
	Seed         uint64   `json:"seed"`
	// Complete is the number of engines that activated the version.
	Complete int `json:"complete"`
	// Seconds is the time until the last engine activated the version.
	Seconds    float64 `json:"seconds"`
	P50Seconds float64 `json:"p50_seconds"`
	// BoundSeconds is the lower bound of Seconds, and BoundRatio is Seconds
	// divided by it.
	BoundSeconds          float64 `json:"bound_seconds"`
	BoundRatio            float64 `json:"ratio"`
	OriginCopies          float64 `json:"origin_copies"`
	OriginCopiesRegionMax float64 `json:"origin_copies_region_max"`
	WeightStoreCopies     float64 `json:"store_copies"`
	FarCopies             float64 `json:"far_copies"`
	LinkCopiesMax         float64 `json:"link_copies_max"`
	LinkCopiesMean        float64 `json:"link_copies_mean"`
	SentCopiesMax         float64 `json:"sent_copies_max"`
	WastedCopies          float64 `json:"wasted_copies"`
	MessagesPerAgent      float64 `json:"messages_per_agent"`
	TableReads            int64   `json:"table_reads"`
	TableWrites           int64   `json:"table_writes"`
	CPUSeconds            float64 `json:"cpu_seconds"`
	HeapMiBMax            float64 `json:"heap_mib_max"`
	HeapKiBPerAgent       float64 `json:"heap_kib_per_agent"`
}

// Run measures the rollout of one version.
func Run(ctx context.Context, config Config) (Result, error) {
	if err := config.applyDefaults(); err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, config.Timeout)
	defer cancel()
	runCtx, stop := context.WithCancel(ctx)
	f, err := newFleet(runCtx, config)
	if err != nil {
		stop()
		return Result{}, err
	}
	defer f.close()
	defer stop()
	initialHeap := heapBytes()
	stopSampling := sampleHeap(runCtx)
	initialCPU := cpuTime()
	start := time.Now()
	durations, err := f.rollOut(runCtx, start)
	result := f.result(durations)
	result.CPUSeconds = (cpuTime() - initialCPU).Seconds()
	peak := stopSampling()
	result.HeapMiBMax = float64(peak) / mib
	result.HeapKiBPerAgent = (float64(peak) - float64(initialHeap)) / float64(config.Agents) / kib
	return result, err
}

// rollOut rolls the version out to all agents and returns the time from start
// until each of them had activated it.
func (f *fleet) rollOut(ctx context.Context, start time.Time) ([]time.Duration, error) {
	var mu sync.Mutex
	var durations []time.Duration
	group, groupCtx := errgroup.WithContext(ctx)
	for _, a := range f.agents {
		group.Go(func() error {
			if err := f.rollOutTo(groupCtx, a); err != nil {
				return fmt.Errorf("agent %d: %w", a.index, err)
			}
			mu.Lock()
			defer mu.Unlock()
			durations = append(durations, time.Since(start))
			return nil
		})
	}
	err := group.Wait()
	return durations, err
}

func (f *fleet) rollOutTo(ctx context.Context, a *agent) error {
	if a.manager == nil {
		return f.fetchFromOrigin(ctx, a)
	}
	a.manager.SetTarget(f.root)
	for a.engine.ActiveRoot() != f.root {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// fetchFromOrigin implements the OriginOnly strategy for one agent.
func (f *fleet) fetchFromOrigin(ctx context.Context, a *agent) error {
	encoded, err := a.sources.Origin.Manifest(ctx, f.root)
	if err != nil {
		return err
	}
	if err := a.staging.PutManifest(ctx, f.root, encoded); err != nil {
		return err
	}
	a.originBytes += int64(len(encoded))
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelFetches)
	for _, chunk := range f.manifest.Chunks {
		group.Go(func() error {
			content, err := a.sources.Origin.Chunk(groupCtx, chunk.Digest)
			if err != nil {
				return err
			}
			if err := a.links.WaitDownload(groupCtx, len(content), true); err != nil {
				return err
			}
			return a.staging.PutChunk(groupCtx, chunk.Digest, content)
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	a.originBytes += f.manifest.Size()
	return a.staging.Activate(ctx, f.root, 1)
}

func (f *fleet) result(durations []time.Duration) Result {
	r := Result{
		Strategy:     f.config.Strategy,
		Agents:       f.config.Agents,
		Regions:      f.config.Regions,
		WeightsBytes: f.config.WeightsBytes,
		Chunks:       len(f.manifest.Chunks),
		Seed:         f.config.Seed,
		Complete:     len(durations),
	}
	sort.Slice(durations, func(i, j int) bool { return durations[i] < durations[j] })
	if len(durations) > 0 {
		r.Seconds = durations[len(durations)-1].Seconds()
		r.P50Seconds = durations[len(durations)/2].Seconds()
	}
	copyBytes := float64(f.copyBytes())
	for _, sent := range f.originServer.SentBytes() {
		r.OriginCopiesRegionMax = max(r.OriginCopiesRegionMax, float64(sent)/copyBytes)
	}
	r.OriginCopies = float64(f.originServer.TotalSentBytes()) / copyBytes
	r.WeightStoreCopies = float64(f.weightStoreServer.TotalSentBytes()) / copyBytes
	f.addUsage(&r, copyBytes)
	r.BoundSeconds = f.lowerBound(r.OriginCopies).Seconds()
	r.BoundRatio = r.Seconds / r.BoundSeconds
	stats := f.tables.Stats()
	r.TableReads, r.TableWrites = stats.Reads, stats.Writes
	return r
}

func (f *fleet) addUsage(r *Result, copyBytes float64) {
	for _, a := range f.agents {
		usage := swarm.TransferStats{ReceivedBytes: a.originBytes}
		if a.manager != nil {
			usage = a.manager.Status().Transfer
		}
		copies := float64(usage.ReceivedBytes+usage.SentBytes) / copyBytes
		r.LinkCopiesMax = max(r.LinkCopiesMax, copies)
		r.LinkCopiesMean += copies / float64(len(f.agents))
		r.SentCopiesMax = max(r.SentCopiesMax, float64(usage.SentBytes)/copyBytes)
		r.FarCopies += float64(usage.FarPeerBytes) / copyBytes
		r.WastedCopies += float64(usage.DiscardedBytes) / copyBytes
		r.MessagesPerAgent += float64(usage.ControlMessages) / float64(len(f.agents))
	}
}

// lowerBound returns the lower bound of the time of a rollout. It is the largest
// of the transfer times of one copy over the link of an instance, of
// originCopies over the link of the origin, and of one copy over the link of a
// region, plus the time to fill the pipeline: one chunk for each doubling of the
// number of agents that hold it.
func (f *fleet) lowerBound(originCopies float64) time.Duration {
	copyBytes := f.copyBytes()
	bound := max(
		f.instanceCopyTime(),
		transferTime(int64(originCopies*float64(copyBytes)), f.config.OriginBytesPerSecond),
		transferTime(copyBytes, f.config.RegionBytesPerSecond),
	)
	agentsPerRegion := (f.config.Agents + f.config.Regions - 1) / f.config.Regions
	doublings := math.Ceil(math.Log2(float64(agentsPerRegion)))
	pipelineFill := time.Duration(doublings) * transferTime(int64(f.config.ChunkBytes), f.config.InstanceBytesPerSecond)
	return bound + pipelineFill
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}

// sampleHeap samples the heap and stacks in use. The returned function stops it
// and returns the largest sample in bytes.
func sampleHeap(ctx context.Context) func() uint64 {
	samplingCtx, stop := context.WithCancel(ctx)
	peak := make(chan uint64, 1)
	go func() {
		ticker := time.NewTicker(heapSampleInterval)
		defer ticker.Stop()
		maximum := heapBytes()
		for {
			select {
			case <-samplingCtx.Done():
				peak <- maximum
				return
			case <-ticker.C:
				maximum = max(maximum, heapBytes())
			}
		}
	}()
	return func() uint64 {
		stop()
		return <-peak
	}
}
