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
	pollEvery = 20 * time.Millisecond
	heapEvery = 250 * time.Millisecond
	parallel  = 4
)

// Result is what one run measured. Copies are multiples of the manifest and
// all chunks.
type Result struct {
	Strategy Strategy `json:"strategy"`
	Agents   int      `json:"agents"`
	Regions  int      `json:"regions"`
	Bytes    int      `json:"bytes"`
	Chunks   int      `json:"chunks"`
	Seed     uint64   `json:"seed"`
	// Complete is the number of engines that use the version.
	Complete int `json:"complete"`
	// Seconds is the time until the last engine used the version.
	Seconds    float64 `json:"seconds"`
	P50Seconds float64 `json:"p50_seconds"`
	// BoundSeconds is the lower bound, Ratio Seconds divided by it.
	BoundSeconds float64 `json:"bound_seconds"`
	Ratio        float64 `json:"ratio"`
	OriginCopies float64 `json:"origin_copies"`
	RegionMax    float64 `json:"origin_copies_region_max"`
	StoreCopies  float64 `json:"store_copies"`
	FarCopies    float64 `json:"far_copies"`
	LinkMax      float64 `json:"link_copies_max"`
	LinkMean     float64 `json:"link_copies_mean"`
	SentMax      float64 `json:"sent_copies_max"`
	WastedCopies float64 `json:"wasted_copies"`
	Messages     float64 `json:"messages_per_agent"`
	TableReads   int64   `json:"table_reads"`
	TableWrites  int64   `json:"table_writes"`
	CPUSeconds   float64 `json:"cpu_seconds"`
	HeapMiB      float64 `json:"heap_mib_max"`
	HeapAgentKiB float64 `json:"heap_kib_per_agent"`
}

// Run measures one burst.
func Run(ctx context.Context, config Config) (Result, error) {
	if err := config.applyDefaults(); err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, config.Timeout)
	defer cancel()
	running, stop := context.WithCancel(ctx)
	f, err := newFleet(running, config)
	if err != nil {
		stop()
		return Result{}, err
	}
	defer f.close()
	defer stop()
	idle := heapNow()
	watch := watchHeap(running)
	cpu := cpuNow()
	started := time.Now()
	finished, err := f.burst(running, started)
	result := f.result(finished)
	result.CPUSeconds = (cpuNow() - cpu).Seconds()
	peak := watch()
	result.HeapMiB = float64(peak) / mib
	result.HeapAgentKiB = (float64(peak) - float64(idle)) / float64(config.Agents) / kib
	return result, err
}

// burst sets the target everywhere and returns when each agent was done.
func (f *fleet) burst(ctx context.Context, started time.Time) ([]time.Duration, error) {
	var mu sync.Mutex
	var finished []time.Duration
	group, running := errgroup.WithContext(ctx)
	for _, member := range f.agents {
		group.Go(func() error {
			if err := f.bringIn(running, member); err != nil {
				return fmt.Errorf("agent %d: %w", member.index, err)
			}
			mu.Lock()
			defer mu.Unlock()
			finished = append(finished, time.Since(started))
			return nil
		})
	}
	err := group.Wait()
	return finished, err
}

func (f *fleet) bringIn(ctx context.Context, member *agent) error {
	if member.manager == nil {
		return f.fetchAll(ctx, member)
	}
	member.manager.SetTarget(f.root)
	for member.engine.ActiveRoot() != f.root {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollEvery):
		}
	}
	return nil
}

// fetchAll is the origin-only strategy of one agent.
func (f *fleet) fetchAll(ctx context.Context, member *agent) error {
	encoded, err := member.sources.Origin.Manifest(ctx, f.root)
	if err != nil {
		return err
	}
	if err := member.staging.PutManifest(ctx, f.root, encoded); err != nil {
		return err
	}
	member.received += int64(len(encoded))
	group, running := errgroup.WithContext(ctx)
	group.SetLimit(parallel)
	for _, chunk := range f.manifest.Chunks {
		group.Go(func() error {
			content, err := member.sources.Origin.Chunk(running, chunk.Digest)
			if err != nil {
				return err
			}
			if err := member.links.WaitDownload(running, len(content), true); err != nil {
				return err
			}
			return member.staging.PutChunk(running, chunk.Digest, content)
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	member.received += f.manifest.Size()
	return member.staging.Activate(ctx, f.root, 1)
}

func (f *fleet) result(finished []time.Duration) Result {
	r := Result{
		Strategy: f.config.Strategy,
		Agents:   f.config.Agents,
		Regions:  f.config.Regions,
		Bytes:    f.config.WeightsBytes,
		Chunks:   len(f.manifest.Chunks),
		Seed:     f.config.Seed,
		Complete: len(finished),
	}
	sort.Slice(finished, func(i, j int) bool { return finished[i] < finished[j] })
	if len(finished) > 0 {
		r.Seconds = finished[len(finished)-1].Seconds()
		r.P50Seconds = finished[len(finished)/2].Seconds()
	}
	size := float64(f.copySize())
	for _, sent := range f.origin.SentBytes() {
		r.RegionMax = max(r.RegionMax, float64(sent)/size)
	}
	r.OriginCopies = float64(f.origin.TotalSentBytes()) / size
	r.StoreCopies = float64(f.store.TotalSentBytes()) / size
	f.addUsage(&r, size)
	r.BoundSeconds = f.lowerBound(r.OriginCopies).Seconds()
	r.Ratio = r.Seconds / r.BoundSeconds
	stats := f.tables.Stats()
	r.TableReads, r.TableWrites = stats.Reads, stats.Writes
	return r
}

func (f *fleet) addUsage(r *Result, size float64) {
	for _, member := range f.agents {
		usage := swarm.TransferStats{ReceivedBytes: member.received}
		if member.manager != nil {
			usage = member.manager.Status().Transfer
		}
		link := float64(usage.ReceivedBytes+usage.SentBytes) / size
		r.LinkMax = max(r.LinkMax, link)
		r.LinkMean += link / float64(len(f.agents))
		r.SentMax = max(r.SentMax, float64(usage.SentBytes)/size)
		r.FarCopies += float64(usage.FarPeerBytes) / size
		r.WastedCopies += float64(usage.DiscardedBytes) / size
		r.Messages += float64(usage.ControlMessages) / float64(len(f.agents))
	}
}

// lowerBound is the largest of the times that one copy needs on a machine's
// link, the drawn copies on the origin's link and one copy on a region's link,
// and the time to fill the pipeline: one chunk for each doubling of holders.
func (f *fleet) lowerBound(originCopies float64) time.Duration {
	size := f.copySize()
	bound := max(
		f.copyTime(),
		seconds(int64(originCopies*float64(size)), f.config.OriginBytesPerSecond),
		seconds(size, f.config.RegionBytesPerSecond),
	)
	members := (f.config.Agents + f.config.Regions - 1) / f.config.Regions
	doublings := math.Ceil(math.Log2(float64(members)))
	fill := time.Duration(doublings) * seconds(int64(f.config.ChunkBytes), f.config.InstanceBytesPerSecond)
	return bound + fill
}

func cpuNow() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heapNow() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}

// watchHeap samples the memory in use and returns a function that stops it and
// gives the largest sample.
func watchHeap(ctx context.Context) func() uint64 {
	sampling, stop := context.WithCancel(ctx)
	peak := make(chan uint64, 1)
	go func() {
		ticker := time.NewTicker(heapEvery)
		defer ticker.Stop()
		largest := heapNow()
		for {
			select {
			case <-sampling.Done():
				peak <- largest
				return
			case <-ticker.C:
				largest = max(largest, heapNow())
			}
		}
	}()
	return func() uint64 {
		stop()
		return <-peak
	}
}
