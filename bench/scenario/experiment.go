// Package scenario drives a site through bursts, edits, data centre changes and
// faults while callers send requests, and gathers the users' measures.
package scenario

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"currantusher.dev/bench/fleet"
	"currantusher.dev/bench/load"
	"currantusher.dev/bench/measure"
	"currantusher.dev/core"
	"currantusher.dev/core/invariant"
	"currantusher.dev/tables"
)

const (
	defaultWeightsBytes = 6 << 20
	defaultRate         = 100
	// runsTimeout bounds one question to the stand-ins about a refusal.
	runsTimeout = 5 * time.Second
	contentFile = "model.bin"
)

// Config sets up an Experiment.
type Config struct {
	Layout fleet.Layout
	Hooks  fleet.Hooks
	Seed   int64
	// Rate is the requests a second of all callers.
	Rate float64
	// WeightsPath is published by the first burst under load; "" generates
	// content. WeightsBytes is the size of generated versions.
	WeightsPath  string
	WeightsBytes int64
	// Log receives one line for each step.
	Log func(format string, args ...any)
}

func (c *Config) applyDefaults() {
	if c.Rate <= 0 {
		c.Rate = defaultRate
	}
	if c.WeightsBytes <= 0 {
		c.WeightsBytes = defaultWeightsBytes
	}
	if c.Log == nil {
		c.Log = func(string, ...any) {}
	}
}

// span is a time in which a data centre was out.
type span struct{ from, to time.Time }

// Experiment is a running site with callers.
type Experiment struct {
	Site *fleet.Site

	cfg        Config
	dir        string
	begun      time.Time
	violations uint64

	bursts   sync.Mutex
	edits    sync.Mutex
	mu       sync.Mutex
	report   measure.Report
	known    map[core.Digest]bool
	versions int
	pinned   fleet.Version
	outs     []span
	probes   int

	stopLoad context.CancelFunc
	loaded   chan loadEnd
}

type loadEnd struct {
	result load.Result
	err    error
}

// Start builds the site, brings the first version to all engines and starts
// the callers.
func Start(ctx context.Context, cfg Config) (*Experiment, error) {
	cfg.applyDefaults()
	e := &Experiment{
		cfg:        cfg,
		begun:      time.Now(),
		violations: invariant.TotalViolations(),
		known:      make(map[core.Digest]bool),
		loaded:     make(chan loadEnd, 1),
	}
	e.report.Seed = cfg.Seed
	e.report.MinWholeRatioDuringOut = 1
	var err error
	if e.dir, err = os.MkdirTemp("", "currantusher-bench-"); err != nil {
		return nil, err
	}
	if e.Site, err = fleet.New(cfg.Layout, cfg.Hooks); err != nil {
		e.Close(ctx)
		return nil, err
	}
	if err := e.begin(ctx); err != nil {
		e.Close(ctx)
		return nil, err
	}
	return e, nil
}

func (e *Experiment) begin(ctx context.Context) error {
	e.cfg.Log("starting %d entries and %d agents", len(e.Site.EntryIDs()), len(e.Site.AgentIDs()))
	if err := e.Site.Start(ctx); err != nil {
		return err
	}
	if err := e.Burst(ctx, ""); err != nil {
		return err
	}
	if err := e.waitWarm(ctx); err != nil {
		return err
	}
	e.startLoad()
	return nil
}

// waitWarm waits until every backend server is warm, so that the first
// requests do not meet a site in cold start.
func (e *Experiment) waitWarm(ctx context.Context) error {
	const pollInterval = 50 * time.Millisecond
	for _, one := range e.Site.Backends.All {
		for {
			state, err := e.Site.Backends.State(ctx, one)
			if err == nil && state.Warm {
				break
			}
			if err := pause(ctx, pollInterval); err != nil {
				return fmt.Errorf("%s is not warm: %w", one.ID, err)
			}
		}
	}
	return nil
}

func (e *Experiment) startLoad() {
	ctx, cancel := context.WithCancel(context.Background())
	e.stopLoad = cancel
	e.cfg.Log("sending %.0f requests a second for %d teams", e.cfg.Rate, len(e.cfg.Layout.Teams))
	cfg := load.Config{
		Entries:     e.Site.EntryAddresses(),
		DataCentres: e.cfg.Layout.DataCentreNames(),
		Routes:      e.cfg.Layout.Routes(),
		Teams:       load.WeightedTeams(e.cfg.Layout.Teams),
		Rate:        e.cfg.Rate,
		Deadline:    e.cfg.Layout.Deadline,
		Seed:        e.cfg.Seed,
		IsPublished: e.isKnown,
		CountRuns:   e.runs,
	}
	go func() {
		result, err := load.Run(ctx, cfg)
		e.loaded <- loadEnd{result, err}
	}()
}

func (e *Experiment) isKnown(root core.Digest) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.known[root]
}

func (e *Experiment) runs(key string) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), runsTimeout)
	defer cancel()
	return e.Site.Backends.CountRuns(ctx, key)
}

// Burst publishes a version, pins it in all engine pools and waits until every
// engine carries it. "" as path generates new content.
func (e *Experiment) Burst(ctx context.Context, path string) error {
	e.bursts.Lock()
	defer e.bursts.Unlock()
	if path == "" {
		var err error
		if path, err = e.generate(); err != nil {
			return err
		}
	}
	version, err := e.Site.Publish(ctx, path)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.known[version.Root] = true
	e.mu.Unlock()
	before := e.Site.Usage()
	if err := e.Site.Pin(ctx, version); err != nil {
		return err
	}
	e.mu.Lock()
	e.pinned = version
	e.mu.Unlock()
	replicas, took, err := e.Site.WaitReplicas(ctx, version.Root, time.Now())
	e.addBurst(version, replicas, took, e.Site.Usage().CopiesSince(before, version.Size))
	if err != nil {
		return err
	}
	e.cfg.Log("%d engines carry version %s after %.1f s", replicas, version.Root.Short(), took.Seconds())
	return nil
}

// addBurst keeps the worst of all bursts.
func (e *Experiment) addBurst(version fleet.Version, replicas int, took time.Duration, copies fleet.Copies) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := &e.report
	r.Replicas = replicas
	if took.Seconds() > r.TimeToReplicasSeconds {
		r.TimeToReplicasSeconds = took.Seconds()
		r.LowerBoundSeconds = e.lowerBound(version.Size)
	}
	r.OriginCopies = max(r.OriginCopies, copies.Origin)
	if copies.Received+copies.Sent > r.MaxMachineLinkCopies {
		r.MaxMachineLinkCopies = copies.Received + copies.Sent
		r.MaxMachineLinkReceivedCopies = copies.Received
		r.MaxMachineLinkSentCopies = copies.Sent
	}
}

// lowerBound is the time of one copy over one machine's link, and of one chunk
// before it.
func (e *Experiment) lowerBound(size int64) float64 {
	rate := e.cfg.Layout.MachineBytesPerSecond
	if rate <= 0 {
		return 0
	}
	return float64(size+min(size, int64(e.cfg.Layout.ChunkBytes))) / rate
}

// generate writes new random content; the seed and the number of the version
// decide it.
func (e *Experiment) generate() (string, error) {
	e.mu.Lock()
	e.versions++
	number := e.versions
	e.mu.Unlock()
	dir := filepath.Join(e.dir, fmt.Sprintf("v%d", number))
	if err := os.Mkdir(dir, 0o700); err != nil {
		return "", err
	}
	var key [32]byte
	copy(key[:], fmt.Sprintf("%d/%d", e.cfg.Seed, number))
	content := make([]byte, e.cfg.WeightsBytes)
	_, _ = rand.NewChaCha8(key).Read(content)
	return dir, os.WriteFile(filepath.Join(dir, contentFile), content, 0o600)
}

// Edit adds a route and measures when all entries know it.
func (e *Experiment) Edit(ctx context.Context) error {
	e.edits.Lock()
	defer e.edits.Unlock()
	e.probes++
	name := core.RouteName(fmt.Sprintf("probe-%d", e.probes))
	took, reverts, err := e.Site.AddProbeRoute(ctx, name)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report.RecordInForceTime(took)
	e.report.Reverts += reverts
	e.cfg.Log("route %s known at all entries after %.2f s", name, took.Seconds())
	return nil
}

// Out takes a data centre out.
func (e *Experiment) Out(ctx context.Context, name core.DataCentre) error {
	if err := e.Site.SetDataCentre(ctx, name, tables.DataCentreOut); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.outs = append(e.outs, span{from: time.Now()})
	e.cfg.Log("data centre %s is out", name)
	return nil
}

// In brings a data centre back.
func (e *Experiment) In(ctx context.Context, name core.DataCentre) error {
	if err := e.Site.SetDataCentre(ctx, name, tables.DataCentreIn); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.outs) > 0 {
		e.outs[len(e.outs)-1].to = time.Now()
	}
	e.cfg.Log("data centre %s is in", name)
	return nil
}

// Finish ends the callers, reads the stand-ins and returns the measures.
func (e *Experiment) Finish(ctx context.Context) (measure.Report, load.Result, error) {
	e.stopLoad()
	end := <-e.loaded
	totals := e.Site.Backends.Totals(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report.AddLoadResult(end.result)
	e.report.AddBackendTotals(totals)
	e.report.RecordInForceTime(time.Duration(totals.LastStartAfterOutSeconds * float64(time.Second)))
	e.report.InvariantViolations = int(invariant.TotalViolations() - e.violations)
	for _, out := range e.outs {
		lowest := end.result.MinWholeRatio(out.from, e.endOf(out))
		e.report.MinWholeRatioDuringOut = min(e.report.MinWholeRatioDuringOut, lowest)
	}
	e.report.ElapsedSeconds = time.Since(e.begun).Seconds()
	return e.report, end.result, end.err
}

// settleAfterIn is how long after the return of a data centre its service is
// still part of the measure.
const settleAfterIn = 3 * time.Second

func (e *Experiment) endOf(out span) time.Time {
	if out.to.IsZero() {
		return time.Now()
	}
	return out.to.Add(settleAfterIn)
}

// WaitConverged waits until every engine carries the version pinned last.
func (e *Experiment) WaitConverged(ctx context.Context) error {
	e.bursts.Lock()
	defer e.bursts.Unlock()
	e.mu.Lock()
	pinned := e.pinned
	e.mu.Unlock()
	_, took, err := e.Site.WaitReplicas(ctx, pinned.Root, time.Now())
	if err == nil {
		e.cfg.Log("all engines carry version %s %.1f s after the last fault", pinned.Root.Short(), took.Seconds())
	}
	return err
}

// Judge returns ErrPromiseBroken with the broken promises of a report.
func Judge(report *measure.Report) error {
	broken := report.Violations()
	if len(broken) == 0 {
		return nil
	}
	return fmt.Errorf("%w: %s", ErrGuaranteeViolated, strings.Join(broken, "; "))
}

// Close ends the site.
func (e *Experiment) Close(ctx context.Context) {
	if e.stopLoad != nil {
		e.stopLoad()
	}
	if e.Site != nil {
		e.Site.Close(ctx)
	}
	_ = os.RemoveAll(e.dir)
}

// Pause passes time while the callers go on.
func (e *Experiment) Pause(ctx context.Context, d time.Duration) error { return pause(ctx, d) }

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ErrGuaranteeViolated means that a run broke a promise; its report names which.
var ErrGuaranteeViolated = errors.New("a promise was broken")
