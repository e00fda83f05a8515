package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"currantusher.dev/core"
)

// seedStream separates the random numbers of package load from others with
// the same seed.
const seedStream = 0x10ad

type runner struct {
	cfg         Config
	directories []*directory
	rng         *rand.Rand
	next        int
	tally       *tally
}

// Run sends requests until ctx ends, then waits for those in flight and checks
// the refusals at the stand-ins.
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
	return r.tally.result(), nil
}

func newRunner(cfg Config) *runner {
	r := &runner{
		cfg:   cfg,
		rng:   rand.New(rand.NewPCG(uint64(cfg.Seed), seedStream)),
		tally: newTally(time.Now()),
	}
	for _, dataCentre := range cfg.DataCentres {
		r.directories = append(r.directories, newDirectory(cfg.Client, dataCentre, cfg.Entries))
	}
	return r
}

// openLoop starts requests at random times with the configured mean rate.
// Latency counts from the time at which a request was due.
func (r *runner) openLoop(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, r.cfg.Outstanding)
	due := time.Now()
	for {
		due = due.Add(time.Duration(r.rng.ExpFloat64() / r.cfg.Rate * float64(time.Second)))
		if sleep(ctx, time.Until(due)) != nil {
			return
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		j := r.newJob(due)
		wg.Go(func() {
			defer func() { <-slots }()
			r.send(j)
		})
	}
}

func (r *runner) closedLoop(ctx context.Context) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for range r.cfg.Outstanding {
		wg.Go(func() {
			for ctx.Err() == nil {
				mu.Lock()
				j := r.newJob(time.Now())
				mu.Unlock()
				r.send(j)
			}
		})
	}
	wg.Wait()
}

// send performs one request to its end; the end of the run does not cut it.
func (r *runner) send(j *job) {
	h := r.perform(context.Background(), j)
	r.tally.add(j, h, time.Now())
}

func (r *runner) newJob(start time.Time) *job {
	r.next++
	route := pick(r.rng, r.cfg.Routes, func(route Route) float64 { return route.Share })
	team := pick(r.rng, r.cfg.Teams, func(team Team) float64 { return team.Share })
	return &job{
		number:    r.next,
		route:     route,
		team:      team.Name,
		directory: r.directories[r.rng.IntN(len(r.directories))],
		stream:    r.rng.Float64() < route.StreamRatio,
		rng:       rand.New(rand.NewPCG(uint64(r.cfg.Seed), uint64(r.next))),
		start:     start,
	}
}

func pick[T any](rng *rand.Rand, from []T, share func(T) float64) T {
	var sum float64
	for _, item := range from {
		sum += share(item)
	}
	at := rng.Float64() * sum
	for _, item := range from {
		at -= share(item)
		if at < 0 {
			return item
		}
	}
	return from[len(from)-1]
}

// checkRefusals asks the stand-ins whether requests that were refused as not
// run did run. Refusals of requests of which another attempt may have run are
// not in the list.
func (r *runner) checkRefusals() {
	if r.cfg.Runs == nil {
		return
	}
	for _, refusal := range r.tally.refusals() {
		runs, err := r.cfg.Runs(refusal)
		if err != nil {
			r.tally.noteUnchecked()
			continue
		}
		if runs > 0 {
			r.tally.noteFalseRefusal(refusal)
		}
	}
}

// Teams returns count teams of which the first two are large.
func Teams(names []core.Team) []Team {
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
