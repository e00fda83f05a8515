// Command spread measures how accepted revisions reach the daemons of a fleet
// that runs in one process over loopback: the time to the last daemon, and the
// bytes, processor time, heap and table service calls of the control traffic.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"time"

	"github.com/integrii/flaggy"
)

func main() {
	config := fleetConfig{
		DataCentres: 3,
		Regions:     3,
		Entries:     9,
		Agents:      200,
		Edits:       20,
		Pause:       time.Second,
		Settle:      25 * time.Second,
		Quiet:       20 * time.Second,
		Routes:      100,
	}
	flaggy.SetName("spread")
	flaggy.SetDescription("Measures the spread of configuration revisions in one process.")
	flaggy.Int(&config.DataCentres, "d", "data-centres", "data centres")
	flaggy.Int(&config.Regions, "g", "regions", "regions, the first of which has the store")
	flaggy.Int(&config.Entries, "e", "entries", "entries in all data centres")
	flaggy.Int(&config.Agents, "a", "agents", "agents in all data centres")
	flaggy.Int(&config.Edits, "n", "edits", "edits to time, half of them direct edits of the tables")
	flaggy.Duration(&config.Pause, "p", "pause", "time between edits")
	flaggy.Duration(&config.Settle, "s", "settle", "time before the measurement, for connections to find their packet size")
	flaggy.Duration(&config.Quiet, "q", "quiet", "time over which the traffic without edits is measured")
	flaggy.Int(&config.Routes, "r", "routes", "routes and pools in the tables")
	flaggy.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := measure(ctx, config); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// usage is what the process has used up to a time.
type usage struct {
	at        time.Time
	processor time.Duration
	bytes     uint64
	reads     int64
	writes    int64
}

func measure(ctx context.Context, config fleetConfig) error {
	runtime.GC()
	bare := heapBytes()
	f, err := newFleet(ctx, config)
	if err != nil {
		return err
	}
	defer f.close()
	started := time.Now()
	first := f.usage()
	if err := f.waitFor(ctx, 1); err != nil {
		return err
	}
	fmt.Printf("fleet: %d entries, %d agents, %d data centres, %d regions, %d routes\n",
		config.Entries, config.Agents, config.DataCentres, config.Regions, config.Routes)
	fmt.Printf("ready after %v\n", time.Since(started).Round(time.Millisecond))

	f.printStart(first, f.usage())
	if err := sleep(ctx, config.Settle); err != nil {
		return err
	}
	before := f.usage()
	if err := sleep(ctx, config.Quiet); err != nil {
		return err
	}
	runtime.GC()
	f.printTraffic("quiet", before, f.usage())
	fmt.Printf("heap and stacks: %.2f MB in each daemon\n", float64(heapBytes()-bare)/float64(f.size())/(1<<20))
	fmt.Printf("age: %v\n", f.ages())

	before = f.usage()
	if err := f.timeEdits(ctx); err != nil {
		return err
	}
	f.printTraffic("with edits", before, f.usage())
	return nil
}

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

func (f *fleet) printTraffic(name string, from, to usage) {
	seconds := to.at.Sub(from.at).Seconds()
	daemons := float64(f.size())
	fmt.Printf("%s: %.0f B/s sent and as many received by each daemon, %.3f%% of a core each, %.1f reads/s and %.2f writes/s of the store\n",
		name,
		float64(to.bytes-from.bytes)/seconds/daemons,
		100*(to.processor-from.processor).Seconds()/seconds/daemons,
		float64(to.reads-from.reads)/seconds,
		float64(to.writes-from.writes)/seconds)
}

func (f *fleet) printStart(from, to usage) {
	daemons := float64(f.size())
	fmt.Printf("start: %.0f bytes sent by each daemon, %.0f ms of a core each\n",
		float64(to.bytes-from.bytes)/daemons,
		float64((to.processor-from.processor).Milliseconds())/daemons)
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
