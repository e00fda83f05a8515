package main

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/members"
	"currantusher.dev/platform"
	"currantusher.dev/wire"
)

const (
	dataCentreCount = 7
	groupCount      = 12
	pollInterval    = 50 * time.Millisecond
	inForceTimeout  = 60 * time.Second
)

// fleetCost is the cost of membership per daemon.
type fleetCost struct {
	Entries                   int     `json:"entries"`
	Agents                    int     `json:"agents"`
	SecondsUntilConverged     float64 `json:"seconds_until_all_entries_know_all"`
	MemoryBytesPerDaemon      float64 `json:"heap_and_stack_bytes_per_daemon"`
	GoroutinesPerDaemon       float64 `json:"goroutines_per_daemon"`
	CPUPercentPerDaemon       float64 `json:"cpu_percent_of_a_core_per_daemon"`
	BytesPerSecondPerEntry    float64 `json:"bytes_per_second_per_entry,omitempty"`
	BytesPerSecondPerEntryMax float64 `json:"bytes_per_second_of_the_busiest_entry,omitempty"`
	BytesPerSecondPerAgent    float64 `json:"bytes_per_second_per_agent,omitempty"`
	Edits                     int     `json:"edits"`
	InForceSecondsMedian      float64 `json:"seconds_until_in_force_at_one_entry_median,omitempty"`
	InForceSecondsMax         float64 `json:"seconds_until_in_force_at_one_entry_max,omitempty"`
	InForceTimeouts           int     `json:"edits_not_in_force_in_time"`
}

// memoryInstanceList is the list of instances that all daemons of the process
// share. Unlike the list of the platform, it has no lag.
type memoryInstanceList struct {
	mu        sync.Mutex
	instances map[core.InstanceID]platform.Instance
}

func (l *memoryInstanceList) Instances(context.Context) ([]platform.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]platform.Instance, 0, len(l.instances))
	for _, instance := range l.instances {
		all = append(all, instance)
	}
	return all, nil
}

func (l *memoryInstanceList) Announce(_ context.Context, instance platform.Instance) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances[instance.ID] = instance
	return nil
}

// membershipFleet is a fleet of daemons in one process that run only the
// membership protocol.
type membershipFleet struct {
	network     *network
	list        *memoryInstanceList
	revision    atomic.Uint64
	directories []*members.Directory
	reporters   []*members.Reporter

	mu sync.Mutex
	// trafficByAddr holds the traffic of each daemon by its source address.
	trafficByAddr map[string]*traffic
	entryTraffic  []*traffic
	agentTraffic  []*traffic
	relays        []*countingRelay
}

func measureFleet(ctx context.Context, s settings) (any, error) {
	n, err := newNetwork(ctx)
	if err != nil {
		return nil, err
	}
	f := &membershipFleet{network: n, list: &memoryInstanceList{instances: map[core.InstanceID]platform.Instance{}}, trafficByAddr: map[string]*traffic{}}
	f.revision.Store(1)
	defer f.close()
	initial := readUsage()
	for i := range s.entries + s.agents {
		if err := f.addDaemon(i, i < s.entries, s.countTraffic); err != nil {
			return nil, err
		}
	}
	start := time.Now()
	if err := f.waitUntilConverged(ctx, s); err != nil {
		return nil, err
	}
	result := fleetCost{Entries: s.entries, Agents: s.agents, SecondsUntilConverged: time.Since(start).Seconds()}
	time.Sleep(s.warmUp)
	f.measure(ctx, s, initial, &result)
	return result, nil
}

func (f *membershipFleet) addDaemon(i int, entry, countTraffic bool) error {
	instance := platform.Instance{
		ID:         core.InstanceID(fmt.Sprintf("instance-%04d", i)),
		Role:       platform.RoleAgent,
		DataCentre: core.DataCentre(fmt.Sprintf("data-centre-%d", i%dataCentreCount)),
		Group:      core.Group(fmt.Sprintf("group-%d", i%groupCount)),
		State:      platform.InstanceLive,
	}
	endpoint, err := f.network.listen(instance.ID)
	if err != nil {
		return err
	}
	instance.PeerAddr = endpoint.Addr()
	daemonTraffic := &traffic{}
	if countTraffic {
		f.mu.Lock()
		f.trafficByAddr[endpoint.Addr()] = daemonTraffic
		f.mu.Unlock()
		counter, err := newCountingRelay(endpoint.Addr(), func(client string, payload int) { f.countDatagram(client, daemonTraffic, payload) })
		if err != nil {
			return err
		}
		f.relays = append(f.relays, counter)
		instance.PeerAddr = counter.addr()
	}
	var directory *members.Directory
	if entry {
		instance.Role = platform.RoleEntry
		instance.Group = ""
		instance.HTTPAddr = endpoint.Addr()
		f.entryTraffic = append(f.entryTraffic, daemonTraffic)
		directory, err = members.NewDirectory(members.DirectoryConfig{Self: instance, Incarnation: 1, Peer: endpoint, InstanceList: f.list})
		if err != nil {
			return err
		}
		f.directories = append(f.directories, directory)
	} else {
		f.agentTraffic = append(f.agentTraffic, daemonTraffic)
	}
	return f.startReporter(endpoint, instance, directory)
}

// countDatagram counts a datagram both for the daemon behind the relay and for
// the daemon at the address client.
func (f *membershipFleet) countDatagram(client string, daemonTraffic *traffic, payload int) {
	daemonTraffic.add(payload)
	f.mu.Lock()
	clientTraffic := f.trafficByAddr[client]
	f.mu.Unlock()
	if clientTraffic != nil {
		clientTraffic.add(payload)
	}
}

func (f *membershipFleet) startReporter(endpoint *wire.Endpoint, instance platform.Instance, directory *members.Directory) error {
	reporter, err := members.NewReporter(members.ReporterConfig{
		Self: instance, Incarnation: 1, Peer: endpoint, InstanceList: f.list, Directory: directory,
		BuildHeartbeat: func() wire.Heartbeat {
			return wire.Heartbeat{
				Running: int(time.Now().UnixNano()>>20) % 16, ConfigAgeMillis: 700,
				Status: &wire.Status{
					Revision: core.Revision(f.revision.Load()), Limit: 16, Temperature: wire.TemperatureWarm,
					Weights: core.DigestOf([]byte(instance.Group)), Target: core.DigestOf([]byte(instance.Group)),
				},
			}
		},
	})
	if err != nil {
		return err
	}
	f.reporters = append(f.reporters, reporter)
	_ = f.list.Announce(f.network.ctx, instance)
	f.network.serve(endpoint)
	f.network.wg.Go(func() { _ = reporter.Run(f.network.ctx) })
	if directory != nil {
		f.network.wg.Go(func() { _ = directory.Run(f.network.ctx) })
	}
	return nil
}

// waitUntilConverged waits until every entry lists every daemon as alive with a
// reported incarnation.
func (f *membershipFleet) waitUntilConverged(ctx context.Context, s settings) error {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Minute)
	defer cancel()
	for _, directory := range f.directories {
		for !allAlive(directory, s.entries+s.agents) {
			if ctx.Err() != nil {
				return fmt.Errorf("an entry does not list all daemons as alive: %w", ctx.Err())
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

func allAlive(directory *members.Directory, count int) bool {
	alive := 0
	for _, member := range directory.Members() {
		if member.Incarnation != 0 && member.State == members.StateAlive {
			alive++
		}
	}
	return alive == count
}

func (f *membershipFleet) measure(ctx context.Context, s settings, initial processUsage, result *fleetCost) {
	entryBytes, agentBytes := byteCounts(f.entryTraffic), byteCounts(f.agentTraffic)
	before := readUsage()
	deadline := time.Now().Add(s.duration)
	f.measureEdits(ctx, s, deadline, result)
	time.Sleep(time.Until(deadline))
	cpuUsed := cpuTime() - before.cpu
	seconds := time.Since(before.at).Seconds()
	daemons := float64(s.entries + s.agents)
	result.MemoryBytesPerDaemon = float64(before.memoryBytes-initial.memoryBytes) / daemons
	result.GoroutinesPerDaemon = float64(before.goroutines-initial.goroutines) / daemons
	result.CPUPercentPerDaemon = 100 * cpuUsed.Seconds() / seconds / daemons
	if !s.countTraffic {
		return
	}
	result.BytesPerSecondPerEntry, result.BytesPerSecondPerEntryMax = meanAndMaxRate(entryBytes, byteCounts(f.entryTraffic), seconds)
	result.BytesPerSecondPerAgent, _ = meanAndMaxRate(agentBytes, byteCounts(f.agentTraffic), seconds)
}

// measureEdits repeatedly raises the revision that all daemons report and
// measures the time until it is in force according to one entry. The entries
// take turns.
func (f *membershipFleet) measureEdits(ctx context.Context, s settings, deadline time.Time, result *fleetCost) {
	if s.editInterval == 0 {
		return
	}
	var seconds []float64
	for time.Now().Add(s.editInterval).Before(deadline) && ctx.Err() == nil {
		start := time.Now()
		revision := core.Revision(f.revision.Add(1))
		for _, reporter := range f.reporters {
			reporter.ReportNow()
		}
		directory := f.directories[result.Edits%len(f.directories)]
		if waitInForce(directory, revision) {
			seconds = append(seconds, time.Since(start).Seconds())
		} else {
			result.InForceTimeouts++
		}
		result.Edits++
		time.Sleep(time.Until(start.Add(s.editInterval)))
	}
	if len(seconds) == 0 {
		return
	}
	sort.Float64s(seconds)
	result.InForceSecondsMedian = seconds[len(seconds)/2]
	result.InForceSecondsMax = seconds[len(seconds)-1]
}

func waitInForce(directory *members.Directory, revision core.Revision) bool {
	deadline := time.Now().Add(inForceTimeout)
	for time.Now().Before(deadline) {
		if inForce, _ := directory.InForce(revision); inForce {
			return true
		}
		time.Sleep(pollInterval)
	}
	return false
}

func byteCounts(traffics []*traffic) []uint64 {
	all := make([]uint64, len(traffics))
	for i, t := range traffics {
		all[i] = t.bytes.Load()
	}
	return all
}

func meanAndMaxRate(before, after []uint64, seconds float64) (mean, maximum float64) {
	for i := range before {
		rate := float64(after[i]-before[i]) / seconds
		mean += rate / float64(len(before))
		maximum = max(maximum, rate)
	}
	return mean, maximum
}

func (f *membershipFleet) close() {
	f.network.close()
	for _, counter := range f.relays {
		counter.close()
	}
}
