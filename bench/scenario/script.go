package scenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// Step is one fault of a script.
type Step struct {
	Fault Fault
	// At is the time from the start of the script to that of the fault, and
	// Length the duration of the fault.
	At     time.Duration
	Length time.Duration
	// Seed determines the target of the fault.
	Seed uint64
}

// DefaultFaultLength is the length of a fault that is given without one.
const DefaultFaultLength = 5 * time.Second

// ParseStep parses NAME@TIME or NAME@TIME+LENGTH, such as
// data-centre-out@10s+6s.
func ParseStep(text string, seed uint64) (Step, error) {
	name, timing, found := strings.Cut(text, "@")
	if !found {
		return Step{}, fmt.Errorf("fault %q: want NAME@TIME or NAME@TIME+LENGTH", text)
	}
	fault, err := FaultByName(name)
	if err != nil {
		return Step{}, err
	}
	step := Step{Fault: fault, Length: DefaultFaultLength, Seed: seed}
	at, length, found := strings.Cut(timing, "+")
	if step.At, err = time.ParseDuration(at); err != nil {
		return Step{}, fmt.Errorf("fault %q: %w", text, err)
	}
	if found {
		if step.Length, err = time.ParseDuration(length); err != nil {
			return Step{}, fmt.Errorf("fault %q: %w", text, err)
		}
	}
	if step.At < 0 || step.Length < 0 {
		return Step{}, fmt.Errorf("fault %q: TIME and LENGTH must not be negative", text)
	}
	return step, nil
}

const (
	minRandomGap     = 500 * time.Millisecond
	maxRandomGap     = 3 * time.Second
	minRandomLength  = time.Second
	maxRandomLength  = 6 * time.Second
	scriptSeedStream = 0x5c417
)

// RandomScript returns random steps for the duration, which are determined by
// the seed. Steps of one exclusion group do not overlap, so that for example
// never two data centres are out at the same time.
func RandomScript(seed int64, duration time.Duration, faults []Fault) []Step {
	rng := rand.New(rand.NewPCG(uint64(seed), scriptSeedStream))
	nextFree := make(map[string]time.Duration)
	var script []Step
	for at := randomDuration(rng, minRandomGap, maxRandomGap); at < duration; at += randomDuration(rng, minRandomGap, maxRandomGap) {
		step := Step{
			Fault:  pickRandom(rng, faults),
			At:     at,
			Length: randomDuration(rng, minRandomLength, maxRandomLength),
			Seed:   rng.Uint64(),
		}
		group := exclusionGroup(step.Fault.Name)
		if at < nextFree[group] {
			continue
		}
		nextFree[group] = at + step.Length
		script = append(script, step)
	}
	return script
}

func randomDuration(rng *rand.Rand, minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(rng.Int64N(int64(maximum-minimum)))
}

// exclusionGroup returns the key of the group of faults that must not overlap
// with the named fault: those with the same prefix, or only the fault itself.
func exclusionGroup(name string) string {
	for _, prefix := range []string{"store-", "list-", "origin-"} {
		if strings.HasPrefix(name, prefix) {
			return prefix
		}
	}
	return name
}

// RunScript runs the steps at their times and waits until all have ended.
func (e *Experiment) RunScript(ctx context.Context, script []Step) error {
	start := time.Now()
	script = slices.Clone(script)
	slices.SortStableFunc(script, func(a, b Step) int { return int(a.At - b.At) })
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, step := range script {
		if err := sleep(ctx, time.Until(start.Add(step.At))); err != nil {
			return err
		}
		wg.Go(func() { e.runStep(ctx, step) })
	}
	return nil
}

// runStep begins one fault and heals it. A step that fails, such as an edit while
// the store is down, is only logged; its effect on callers is part of the report.
func (e *Experiment) runStep(ctx context.Context, step Step) {
	e.cfg.Log("beginning fault %s", step.Fault.Name)
	rng := rand.New(rand.NewPCG(step.Seed, scriptSeedStream))
	heal, err := step.Fault.Begin(ctx, e, rng)
	if err != nil {
		e.cfg.Log("beginning fault %s failed: %v", step.Fault.Name, err)
		return
	}
	_ = sleep(ctx, step.Length)
	if err := heal(context.WithoutCancel(ctx)); err != nil {
		e.cfg.Log("ending fault %s failed: %v", step.Fault.Name, err)
		return
	}
	e.cfg.Log("ended fault %s", step.Fault.Name)
}
