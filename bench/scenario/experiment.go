// Package scenario runs a deployment through rollouts of weights, edits, data
// centre changes and faults while callers send requests, and reports the
// figures of the run.
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
	defaultWeightsBytes      = 6 << 20
	defaultRequestsPerSecond = 100
	// countRunsTimeout bounds the check of one refused request at the stand-ins.
	countRunsTimeout = 5 * time.Second
	weightsFileName  = "model.bin"
)

// Config configures an Experiment.
type Config struct {
	Layout fleet.Layout
	Hooks  fleet.Hooks
	Seed   int64
	// Rate is the number of requests per second of all callers together.
	Rate float64
	// WeightsPath is not read by this package; callers pass the path of a file or
	// folder to RollOut. WeightsBytes is the size of generated versions.
	WeightsPath  string
	WeightsBytes int64
	// Log is called with one line for each step.
	Log func(format string, args ...any)
}

func (c *Config) applyDefaults() {
	if c.Rate <= 0 {
		c.Rate = defaultRequestsPerSecond
	}
	if c.WeightsBytes <= 0 {
		c.WeightsBytes = defaultWeightsBytes
	}
	if c.Log == nil {
		c.Log = func(string, ...any) {}
	}
}

// outage is a period in which a data centre was out. A zero end means that it
// still is.
type outage struct{ start, end time.Time }

// Experiment is a running deployment with callers. The methods that change the
// deployment are safe for concurrent use.
type Experiment struct {
	Deployment *fleet.Deployment

	cfg               Config
	tempDir           string
	started           time.Time
	initialViolations uint64

	rolloutMu         sync.Mutex
	editMu            sync.Mutex
	mu                sync.Mutex
	report            measure.Report
	published         map[core.Digest]bool
	generatedVersions int
	targetVersion     fleet.Version
	outages           []outage
	probeRoutes       int

	stopLoad context.CancelFunc
	loadDone chan loadResult
}

type loadResult struct {
	result load.Result
	err    error
}

// Start starts the deployment, rolls out a first version to all engines and
// starts the callers.
func Start(ctx context.Context, cfg Config) (*Experiment, error) {
	cfg.applyDefaults()
	e := &Experiment{
		cfg:               cfg,
		started:           time.Now(),
		initialViolations: invariant.TotalViolations(),
		published:         make(map[core.Digest]bool),
		loadDone:          make(chan loadResult, 1),
	}
	e.report.Seed = cfg.Seed
	e.report.MinWholeRatioDuringOut = 1
	var err error
	if e.tempDir, err = os.MkdirTemp("", "currantusher-bench-"); err != nil {
		return nil, err
	}
	if e.Deployment, err = fleet.New(cfg.Layout, cfg.Hooks); err != nil {
		e.Close(ctx)
		return nil, err
	}
	if err := e.setUp(ctx); err != nil {
		e.Close(ctx)
		return nil, err
	}
	return e, nil
}

func (e *Experiment) setUp(ctx context.Context) error {
	e.cfg.Log("starting %d entries and %d agents", len(e.Deployment.EntryIDs()), len(e.Deployment.AgentIDs()))
	if err := e.Deployment.Start(ctx); err != nil {
		return err
	}
	if err := e.RollOut(ctx, ""); err != nil {
		return err
	}
	if err := e.waitUntilWarm(ctx); err != nil {
		return err
	}
	e.startLoad()
	return nil
}

// waitUntilWarm waits until every backend server is warm, so that the figures do
// not include the cold start of the deployment.
func (e *Experiment) waitUntilWarm(ctx context.Context) error {
	const pollInterval = 50 * time.Millisecond
	for _, target := range e.Deployment.Backends.All {
		for {
			state, err := e.Deployment.Backends.State(ctx, target)
			if err == nil && state.Warm {
				break
			}
			if err := sleep(ctx, pollInterval); err != nil {
				return fmt.Errorf("backend server %s is not warm: %w", target.ID, err)
			}
		}
	}
	return nil
}

func (e *Experiment) startLoad() {
	ctx, cancel := context.WithCancel(context.Background())
	e.stopLoad = cancel
	e.cfg.Log("sending %.0f requests per second for %d teams", e.cfg.Rate, len(e.cfg.Layout.Teams))
	cfg := load.Config{
		Entries:     e.Deployment.EntryAddresses(),
		DataCentres: e.cfg.Layout.DataCentreNames(),
		Routes:      e.cfg.Layout.Routes(),
		Teams:       load.WeightedTeams(e.cfg.Layout.Teams),
		Rate:        e.cfg.Rate,
		Deadline:    e.cfg.Layout.Deadline,
		Seed:        e.cfg.Seed,
		IsPublished: e.isPublished,
		CountRuns:   e.countRuns,
	}
	go func() {
		result, err := load.Run(ctx, cfg)
		e.loadDone <- loadResult{result, err}
	}()
}

func (e *Experiment) isPublished(root core.Digest) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.published[root]
}

func (e *Experiment) countRuns(key string) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), countRunsTimeout)
	defer cancel()
	return e.Deployment.Backends.CountRuns(ctx, key)
}

// RollOut publishes a version, sets it in all engine pools and waits until every
// engine has activated it. An empty path generates new content.
func (e *Experiment) RollOut(ctx context.Context, path string) error {
	e.rolloutMu.Lock()
	defer e.rolloutMu.Unlock()
	if path == "" {
		var err error
		if path, err = e.generateWeights(); err != nil {
			return err
		}
	}
	version, err := e.Deployment.Publish(ctx, path)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.published[version.Root] = true
	e.mu.Unlock()
	before := e.Deployment.LinkUsage()
	if err := e.Deployment.SetVersion(ctx, version); err != nil {
		return err
	}
	e.mu.Lock()
	e.targetVersion = version
	e.mu.Unlock()
	replicas, elapsed, err := e.Deployment.WaitForVersion(ctx, version.Root, time.Now())
	e.recordRollout(version, replicas, elapsed, e.Deployment.LinkUsage().CopiesSince(before, version.Size))
	if err != nil {
		return err
	}
	e.cfg.Log("%d engines have activated version %s after %.1f s", replicas, version.Root.Short(), elapsed.Seconds())
	return nil
}

// recordRollout adds the figures of one rollout to the report, which keeps the
// worst of all rollouts.
func (e *Experiment) recordRollout(version fleet.Version, replicas int, elapsed time.Duration, copies fleet.Copies) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := &e.report
	r.Replicas = replicas
	if elapsed.Seconds() > r.TimeToReplicasSeconds {
		r.TimeToReplicasSeconds = elapsed.Seconds()
		r.LowerBoundSeconds = e.lowerBoundSeconds(version.Size)
	}
	r.OriginCopies = max(r.OriginCopies, copies.Origin)
	if copies.Received+copies.Sent > r.MaxInstanceLinkCopies {
		r.MaxInstanceLinkCopies = copies.Received + copies.Sent
		r.MaxInstanceLinkReceivedCopies = copies.Received
		r.MaxInstanceLinkSentCopies = copies.Sent
	}
}

// lowerBoundSeconds returns the time to transfer one copy, and one chunk before
// it, over the link of one instance. It is 0 when the links have no limit.
func (e *Experiment) lowerBoundSeconds(size int64) float64 {
	bytesPerSecond := e.cfg.Layout.InstanceBytesPerSecond
	if bytesPerSecond <= 0 {
		return 0
	}
	return float64(size+min(size, int64(e.cfg.Layout.ChunkBytes))) / bytesPerSecond
}

// generateWeights writes random content, which is determined by the seed and the
// number of the version, and returns its folder.
func (e *Experiment) generateWeights() (string, error) {
	e.mu.Lock()
	e.generatedVersions++
	version := e.generatedVersions
	e.mu.Unlock()
	versionDir := filepath.Join(e.tempDir, fmt.Sprintf("v%d", version))
	if err := os.Mkdir(versionDir, 0o700); err != nil {
		return "", err
	}
	var key [32]byte
	copy(key[:], fmt.Sprintf("%d/%d", e.cfg.Seed, version))
	content := make([]byte, e.cfg.WeightsBytes)
	_, _ = rand.NewChaCha8(key).Read(content)
	return versionDir, os.WriteFile(filepath.Join(versionDir, weightsFileName), content, 0o600)
}

// MeasureEdit adds a route and measures the time until all entries have it.
func (e *Experiment) MeasureEdit(ctx context.Context) error {
	e.editMu.Lock()
	defer e.editMu.Unlock()
	e.probeRoutes++
	name := core.RouteName(fmt.Sprintf("probe-%d", e.probeRoutes))
	elapsed, reverts, err := e.Deployment.AddProbeRoute(ctx, name)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report.RecordInForceTime(elapsed)
	e.report.Reverts += reverts
	e.cfg.Log("all entries have route %s after %.2f s", name, elapsed.Seconds())
	return nil
}

// TakeDataCentreOut takes a data centre out.
func (e *Experiment) TakeDataCentreOut(ctx context.Context, name core.DataCentre) error {
	if err := e.Deployment.SetDataCentre(ctx, name, tables.DataCentreOut); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.outages = append(e.outages, outage{start: time.Now()})
	e.cfg.Log("data centre %s is out", name)
	return nil
}

// BringDataCentreIn brings a data centre back in.
func (e *Experiment) BringDataCentreIn(ctx context.Context, name core.DataCentre) error {
	if err := e.Deployment.SetDataCentre(ctx, name, tables.DataCentreIn); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.outages) > 0 {
		e.outages[len(e.outages)-1].end = time.Now()
	}
	e.cfg.Log("data centre %s is in", name)
	return nil
}

// Finish stops the callers, reads the counters of the stand-ins and returns the
// report.
func (e *Experiment) Finish(ctx context.Context) (measure.Report, load.Result, error) {
	e.stopLoad()
	outcome := <-e.loadDone
	totals := e.Deployment.Backends.Totals(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report.AddLoadResult(outcome.result)
	e.report.AddBackendTotals(totals)
	e.report.RecordInForceTime(time.Duration(totals.LastStartAfterOutSeconds * float64(time.Second)))
	e.report.InvariantViolations = int(invariant.TotalViolations() - e.initialViolations)
	for _, o := range e.outages {
		wholeRatio := outcome.result.MinWholeRatio(o.start, e.measuredUntil(o))
		e.report.MinWholeRatioDuringOut = min(e.report.MinWholeRatioDuringOut, wholeRatio)
	}
	e.report.ElapsedSeconds = time.Since(e.started).Seconds()
	return e.report, outcome.result, outcome.err
}

// recoveryPeriod is the time after the return of a data centre that still counts
// as part of its outage in MinWholeRatioDuringOut.
const recoveryPeriod = 3 * time.Second

func (e *Experiment) measuredUntil(o outage) time.Time {
	if o.end.IsZero() {
		return time.Now()
	}
	return o.end.Add(recoveryPeriod)
}

// WaitConverged waits until every engine has activated the version of the last
// rollout.
func (e *Experiment) WaitConverged(ctx context.Context) error {
	e.rolloutMu.Lock()
	defer e.rolloutMu.Unlock()
	e.mu.Lock()
	targetVersion := e.targetVersion
	e.mu.Unlock()
	_, elapsed, err := e.Deployment.WaitForVersion(ctx, targetVersion.Root, time.Now())
	if err == nil {
		e.cfg.Log("all engines have activated version %s %.1f s after the last fault", targetVersion.Root.Short(), elapsed.Seconds())
	}
	return err
}

// CheckReport returns an ErrGuaranteeViolated that lists the violations of a
// report, or nil.
func CheckReport(report *measure.Report) error {
	violations := report.Violations()
	if len(violations) == 0 {
		return nil
	}
	return fmt.Errorf("%w: %s", ErrGuaranteeViolated, strings.Join(violations, "; "))
}

// Close stops the callers and the deployment and removes generated content.
func (e *Experiment) Close(ctx context.Context) {
	if e.stopLoad != nil {
		e.stopLoad()
	}
	if e.Deployment != nil {
		e.Deployment.Close(ctx)
	}
	_ = os.RemoveAll(e.tempDir)
}

// Sleep waits for d while the callers continue.
func (e *Experiment) Sleep(ctx context.Context, d time.Duration) error { return sleep(ctx, d) }

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ErrGuaranteeViolated means that the system violated a guarantee during a run;
// Report.Violations lists the violations.
var ErrGuaranteeViolated = errors.New("guarantee violated")
