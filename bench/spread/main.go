// Command spread measures the distribution of accepted revisions to the daemons
// of a fleet that runs in one process over loopback. It reports the time until
// the last daemon uses a revision, and the bytes, processor time, heap and calls
// of the table service that the control traffic takes.
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
		DataCentres:    3,
		Regions:        3,
		Entries:        9,
		Agents:         200,
		Edits:          20,
		EditPause:      time.Second,
		SettleDuration: 25 * time.Second,
		QuietDuration:  20 * time.Second,
		Routes:         100,
	}
	flaggy.SetName("spread")
	flaggy.SetDescription("Measures the distribution of configuration revisions in one process.")
	flaggy.Int(&config.DataCentres, "d", "data-centres", "data centres")
	flaggy.Int(&config.Regions, "g", "regions", "regions, the first of which has the store")
	flaggy.Int(&config.Entries, "e", "entries", "entries in all data centres")
	flaggy.Int(&config.Agents, "a", "agents", "agents in all data centres")
	flaggy.Int(&config.Edits, "n", "edits", "edits to measure, half of them direct edits of the tables")
	flaggy.Duration(&config.EditPause, "p", "pause", "time between edits")
	flaggy.Duration(&config.SettleDuration, "s", "settle", "time before the measurement in which connections determine their path MTU")
	flaggy.Duration(&config.QuietDuration, "q", "quiet", "length of the measurement of traffic without edits")
	flaggy.Int(&config.Routes, "r", "routes", "routes and pools in the tables")
	flaggy.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := measure(ctx, config); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// processUsage holds the resources that the process has used until a time.
type processUsage struct {
	at          time.Time
	cpu         time.Duration
	sentBytes   uint64
	tableReads  int64
	tableWrites int64
}

func measure(ctx context.Context, config fleetConfig) error {
	runtime.GC()
	initialHeapBytes := heapBytes()
	f, err := newFleet(ctx, config)
	if err != nil {
		return err
	}
	defer f.close()
	start := time.Now()
	initialUsage := f.readUsage()
	if err := f.waitUntilInForce(ctx, 1); err != nil {
		return err
	}
	fmt.Printf("fleet: %d entries, %d agents, %d data centres, %d regions, %d routes\n",
		config.Entries, config.Agents, config.DataCentres, config.Regions, config.Routes)
	fmt.Printf("ready after %v\n", time.Since(start).Round(time.Millisecond))

	f.printStartUsage(initialUsage, f.readUsage())
	if err := sleep(ctx, config.SettleDuration); err != nil {
		return err
	}
	before := f.readUsage()
	if err := sleep(ctx, config.QuietDuration); err != nil {
		return err
	}
	runtime.GC()
	f.printTraffic("quiet", before, f.readUsage())
	fmt.Printf("heap and stacks: %.2f MB in each daemon\n", float64(heapBytes()-initialHeapBytes)/float64(f.size())/(1<<20))
	fmt.Printf("age: %v\n", f.configAges())

	before = f.readUsage()
	if err := f.measureEdits(ctx); err != nil {
		return err
	}
	f.printTraffic("with edits", before, f.readUsage())
	return nil
}

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

func (f *fleet) printTraffic(name string, from, to processUsage) {
	seconds := to.at.Sub(from.at).Seconds()
	daemons := float64(f.size())
	fmt.Printf("%s: %.0f B/s sent and as many received by each daemon, %.3f%% of a core each, %.1f reads/s and %.2f writes/s of the store\n",
		name,
		float64(to.sentBytes-from.sentBytes)/seconds/daemons,
		100*(to.cpu-from.cpu).Seconds()/seconds/daemons,
		float64(to.tableReads-from.tableReads)/seconds,
		float64(to.tableWrites-from.tableWrites)/seconds)
}

func (f *fleet) printStartUsage(from, to processUsage) {
	daemons := float64(f.size())
	fmt.Printf("start: %.0f bytes sent by each daemon, %.0f ms of a core each\n",
		float64(to.sentBytes-from.sentBytes)/daemons,
		float64((to.cpu-from.cpu).Milliseconds())/daemons)
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
