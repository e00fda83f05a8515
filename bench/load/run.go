package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"currantusher.dev/core"
)

// loadSeedStream separates the random numbers of this package from those of
// other packages with the same seed.
const loadSeedStream = 0x10ad

type runner struct {
	cfg           Config
	addressCaches []*addressCache
	rng           *rand.Rand
	lastNumber    int
	collector     *resultCollector
}

// Run sends requests until ctx ends, then waits for those in flight and checks
// at the stand-ins that refused requests did not run.
func Run(ctx context.Context, cfg Config) (Result, error) {
	cfg.applyDefaults()
	if err := cfg.validate(); err != nil {
		return Result{}, err
	}
	r := newRunner(cfg)
	if cfg.Rate > 0 {
		r.openLoop(ctx)
	} else {
		r.closedLoop(ctx)
	}
	r.checkRefusals()
	return r.collector.result(), nil
}

func newRunner(cfg Config) *runner {
	r := &runner{
		cfg:       cfg,
		rng:       rand.New(rand.NewPCG(uint64(cfg.Seed), loadSeedStream)),
		collector: newResultCollector(time.Now()),
	}
	for _, dataCentre := range cfg.DataCentres {
		r.addressCaches = append(r.addressCaches, newAddressCache(cfg.Client, dataCentre, cfg.Entries))
	}
	return r
}

// openLoop starts requests as a Poisson process with the configured mean rate.
// Latency counts from the time at which a request was due.
func (r *runner) openLoop(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	inFlight := make(chan struct{}, r.cfg.MaxInFlight)
	due := time.Now()
	for {
		due = due.Add(time.Duration(r.rng.ExpFloat64() / r.cfg.Rate * float64(time.Second)))
		if sleep(ctx, time.Until(due)) != nil {
			return
		}
		select {
		case inFlight <- struct{}{}:
		case <-ctx.Done():
			return
		}
		req := r.newRequest(due)
		wg.Go(func() {
			defer func() { <-inFlight }()
			r.send(req)
		})
	}
}

func (r *runner) closedLoop(ctx context.Context) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for range r.cfg.MaxInFlight {
		wg.Go(func() {
			for ctx.Err() == nil {
				mu.Lock()
				req := r.newRequest(time.Now())
				mu.Unlock()
				r.send(req)
			}
		})
	}
	wg.Wait()
}

// send completes one request; the end of the run does not cancel it.
func (r *runner) send(req *clientRequest) {
	h := r.sendWithRetries(context.Background(), req)
	r.collector.add(req, h, time.Now())
}

func (r *runner) newRequest(start time.Time) *clientRequest {
	r.lastNumber++
	route := pickWeighted(r.rng, r.cfg.Routes, func(route Route) float64 { return route.Share })
	team := pickWeighted(r.rng, r.cfg.Teams, func(team Team) float64 { return team.Share })
	return &clientRequest{
		number:    r.lastNumber,
		route:     route,
		team:      team.Name,
		addresses: r.addressCaches[r.rng.IntN(len(r.addressCaches))],
		stream:    r.rng.Float64() < route.StreamRatio,
		rng:       rand.New(rand.NewPCG(uint64(r.cfg.Seed), uint64(r.lastNumber))),
		start:     start,
	}
}

func pickWeighted[T any](rng *rand.Rand, items []T, share func(T) float64) T {
	var sum float64
	for _, item := range items {
		sum += share(item)
	}
	remaining := rng.Float64() * sum
	for _, item := range items {
		remaining -= share(item)
		if remaining < 0 {
			return item
		}
	}
	return items[len(items)-1]
}

// checkRefusals counts the requests that were refused as not run although the
// stand-ins ran them. Refused attempts of an at-most-once request with another
// outcome are not checked, as another attempt with the same key may have run.
func (r *runner) checkRefusals() {
	if r.cfg.CountRuns == nil {
		return
	}
	for _, key := range r.collector.refusals() {
		runs, err := r.cfg.CountRuns(key)
		if err != nil {
			r.collector.countUncheckedRefusal()
			continue
		}
		if runs > 0 {
			r.collector.countFalseRefusal(key)
		}
	}
}

// WeightedTeams gives each team a share of requests. The first two have 5 times the
// share of any other team.
func WeightedTeams(names []core.Team) []Team {
	const largeTeams, largeShare = 2, 5
	teams := make([]Team, 0, len(names))
	for i, name := range names {
		share := 1.0
		if i < largeTeams {
			share = largeShare
		}
		teams = append(teams, Team{Name: name, Share: share})
	}
	return teams
}
