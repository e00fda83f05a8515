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
	dataCentres   = 7
	groups        = 12
	editPoll      = 50 * time.Millisecond
	inForceWithin = 60 * time.Second
)

// fleetCost is the cost of membership for each daemon.
type fleetCost struct {
	Entries          int     `json:"entries"`
	Agents           int     `json:"agents"`
	ConvergeSeconds  float64 `json:"seconds_until_all_entries_know_all"`
	MemoryPerDaemon  float64 `json:"heap_and_stack_bytes_per_daemon"`
	Goroutines       float64 `json:"goroutines_per_daemon"`
	CPUPercent       float64 `json:"cpu_percent_of_a_core_per_daemon"`
	EntryBytes       float64 `json:"bytes_per_second_per_entry,omitempty"`
	EntryBytesMax    float64 `json:"bytes_per_second_of_the_busiest_entry,omitempty"`
	AgentBytes       float64 `json:"bytes_per_second_per_agent,omitempty"`
	Edits            int     `json:"edits"`
	AckSecondsMedian float64 `json:"seconds_until_in_force_at_one_entry_median,omitempty"`
	AckSecondsMax    float64 `json:"seconds_until_in_force_at_one_entry_max,omitempty"`
	AckFailures      int     `json:"edits_not_in_force_in_time"`
}

// sharedList is a list without lag for all daemons of the process.
type sharedList struct {
	mu        sync.Mutex
	instances map[core.InstanceID]platform.Instance
}

func (l *sharedList) Instances(context.Context) ([]platform.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]platform.Instance, 0, len(l.instances))
	for _, instance := range l.instances {
		all = append(all, instance)
	}
	return all, nil
}

func (l *sharedList) Announce(_ context.Context, instance platform.Instance) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances[instance.ID] = instance
	return nil
}

// fleet is many daemons in one process.
type fleet struct {
	net         *network
	list        *sharedList
	revision    atomic.Uint64
	directories []*members.Directory
	reporters   []*members.Reporter

	mu sync.Mutex
	// counters holds the traffic of each daemon, by the address it sends from.
	counters map[string]*traffic
	entries  []*traffic
	agents   []*traffic
	relays   []*relay
}

func measureFleet(ctx context.Context, s settings) (any, error) {
	n, err := newNetwork(ctx)
	if err != nil {
		return nil, err
	}
	f := &fleet{net: n, list: &sharedList{instances: map[core.InstanceID]platform.Instance{}}, counters: map[string]*traffic{}}
	f.revision.Store(1)
	defer f.close()
	empty := usageNow()
	for i := range s.entries + s.agents {
		if err := f.add(i, i < s.entries, s.count); err != nil {
			return nil, err
		}
	}
	started := time.Now()
	if err := f.converge(ctx, s); err != nil {
		return nil, err
	}
	result := fleetCost{Entries: s.entries, Agents: s.agents, ConvergeSeconds: time.Since(started).Seconds()}
	time.Sleep(s.warmUp)
	f.measure(ctx, s, empty, &result)
	return result, nil
}

func (f *fleet) add(i int, entry, count bool) error {
	instance := platform.Instance{
		ID:         core.InstanceID(fmt.Sprintf("instance-%04d", i)),
		Role:       platform.RoleAgent,
		DataCentre: core.DataCentre(fmt.Sprintf("data-centre-%d", i%dataCentres)),
		Group:      core.Group(fmt.Sprintf("group-%d", i%groups)),
		State:      platform.InstanceLive,
	}
	peer, err := f.net.listen(instance.ID)
	if err != nil {
		return err
	}
	instance.PeerAddr = peer.Addr()
	counter := &traffic{}
	if count {
		f.mu.Lock()
		f.counters[peer.Addr()] = counter
		f.mu.Unlock()
		between, err := newRelay(peer.Addr(), func(client string, payload int) { f.charge(client, counter, payload) })
		if err != nil {
			return err
		}
		f.relays = append(f.relays, between)
		instance.PeerAddr = between.addr()
	}
	var directory *members.Directory
	if entry {
		instance.Role = platform.RoleEntry
		instance.Group = ""
		instance.HTTPAddr = peer.Addr()
		f.entries = append(f.entries, counter)
		directory, err = members.NewDirectory(members.DirectoryConfig{Self: instance, Incarnation: 1, Peer: peer, InstanceList: f.list})
		if err != nil {
			return err
		}
		f.directories = append(f.directories, directory)
	} else {
		f.agents = append(f.agents, counter)
	}
	return f.report(peer, instance, directory)
}

// charge counts a datagram for the daemon behind the relay and for the client.
func (f *fleet) charge(client string, own *traffic, payload int) {
	own.add(payload)
	f.mu.Lock()
	other := f.counters[client]
	f.mu.Unlock()
	if other != nil {
		other.add(payload)
	}
}

func (f *fleet) report(peer *wire.Endpoint, instance platform.Instance, directory *members.Directory) error {
	reporter, err := members.NewReporter(members.ReporterConfig{
		Self: instance, Incarnation: 1, Peer: peer, InstanceList: f.list, Directory: directory,
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
	_ = f.list.Announce(f.net.ctx, instance)
	f.net.serve(peer)
	f.net.wg.Go(func() { _ = reporter.Run(f.net.ctx) })
	if directory != nil {
		f.net.wg.Go(func() { _ = directory.Run(f.net.ctx) })
	}
	return nil
}

// converge waits until every entry has heard of every daemon.
func (f *fleet) converge(ctx context.Context, s settings) error {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Minute)
	defer cancel()
	for _, directory := range f.directories {
		for !complete(directory, s.entries+s.agents) {
			if ctx.Err() != nil {
				return fmt.Errorf("fleet did not converge: %w", ctx.Err())
			}
			time.Sleep(editPoll)
		}
	}
	return nil
}

func complete(directory *members.Directory, count int) bool {
	alive := 0
	for _, member := range directory.Members() {
		if member.Incarnation != 0 && member.State == members.StateAlive {
			alive++
		}
	}
	return alive == count
}

func (f *fleet) measure(ctx context.Context, s settings, empty usage, result *fleetCost) {
	entryBytes, agentBytes := sums(f.entries), sums(f.agents)
	before := usageNow()
	deadline := time.Now().Add(s.duration)
	f.edit(ctx, s, deadline, result)
	time.Sleep(time.Until(deadline))
	cpu := cpuTime() - before.cpu
	seconds := time.Since(before.at).Seconds()
	daemons := float64(s.entries + s.agents)
	result.MemoryPerDaemon = float64(before.memory-empty.memory) / daemons
	result.Goroutines = float64(before.goroutines-empty.goroutines) / daemons
	result.CPUPercent = 100 * cpu.Seconds() / seconds / daemons
	if !s.count {
		return
	}
	result.EntryBytes, result.EntryBytesMax = rates(entryBytes, sums(f.entries), seconds)
	result.AgentBytes, _ = rates(agentBytes, sums(f.agents), seconds)
}

// edit raises the revision that all daemons report and waits until one entry
// sees it in force.
func (f *fleet) edit(ctx context.Context, s settings, deadline time.Time, result *fleetCost) {
	if s.editEvery == 0 {
		return
	}
	var seconds []float64
	for time.Now().Add(s.editEvery).Before(deadline) && ctx.Err() == nil {
		started := time.Now()
		revision := core.Revision(f.revision.Add(1))
		for _, reporter := range f.reporters {
			reporter.ReportNow()
		}
		at := f.directories[result.Edits%len(f.directories)]
		if waitInForce(at, revision) {
			seconds = append(seconds, time.Since(started).Seconds())
		} else {
			result.AckFailures++
		}
		result.Edits++
		time.Sleep(time.Until(started.Add(s.editEvery)))
	}
	if len(seconds) == 0 {
		return
	}
	sort.Float64s(seconds)
	result.AckSecondsMedian = seconds[len(seconds)/2]
	result.AckSecondsMax = seconds[len(seconds)-1]
}

func waitInForce(directory *members.Directory, revision core.Revision) bool {
	limit := time.Now().Add(inForceWithin)
	for time.Now().Before(limit) {
		if inForce, _ := directory.InForce(revision); inForce {
			return true
		}
		time.Sleep(editPoll)
	}
	return false
}

func sums(counters []*traffic) []uint64 {
	all := make([]uint64, len(counters))
	for i, counter := range counters {
		all[i] = counter.bytes.Load()
	}
	return all
}

func rates(before, after []uint64, seconds float64) (mean, most float64) {
	for i := range before {
		rate := float64(after[i]-before[i]) / seconds
		mean += rate / float64(len(before))
		most = max(most, rate)
	}
	return mean, most
}

func (f *fleet) close() {
	f.net.close()
	for _, between := range f.relays {
		between.close()
	}
}
