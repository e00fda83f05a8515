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
	// At is when it begins, and For how long it lasts.
	At  time.Duration
	For time.Duration
	// Seed decides the fault's target.
	Seed uint64
}

// DefaultLength is how long a fault lasts that names no length.
const DefaultLength = 5 * time.Second

// ParseStep reads NAME@TIME or NAME@TIME+LENGTH, such as
// data-centre-out@10s+6s.
func ParseStep(text string, seed uint64) (Step, error) {
	name, when, found := strings.Cut(text, "@")
	if !found {
		return Step{}, fmt.Errorf("fault %q: want NAME@TIME or NAME@TIME+LENGTH", text)
	}
	fault, err := FaultNamed(name)
	if err != nil {
		return Step{}, err
	}
	step := Step{Fault: fault, For: DefaultLength, Seed: seed}
	at, length, found := strings.Cut(when, "+")
	if step.At, err = time.ParseDuration(at); err != nil {
		return Step{}, fmt.Errorf("fault %q: %w", text, err)
	}
	if found {
		if step.For, err = time.ParseDuration(length); err != nil {
			return Step{}, fmt.Errorf("fault %q: %w", text, err)
		}
	}
	if step.At < 0 || step.For < 0 {
		return Step{}, fmt.Errorf("fault %q: times must not be negative", text)
	}
	return step, nil
}

const (
	randomMinGap    = 500 * time.Millisecond
	randomMaxGap    = 3 * time.Second
	randomMinLength = time.Second
	randomMaxLength = 6 * time.Second
	scriptStream    = 0x5c417
)

// RandomScript draws steps over the whole duration. The seed decides them.
// Steps that use the whole site, such as two data centres out, do not overlap
// with another of their name.
func RandomScript(seed int64, duration time.Duration, faults []Fault) []Step {
	rng := rand.New(rand.NewPCG(uint64(seed), scriptStream))
	free := make(map[string]time.Duration)
	var script []Step
	for at := between(rng, randomMinGap, randomMaxGap); at < duration; at += between(rng, randomMinGap, randomMaxGap) {
		step := Step{
			Fault: choose(rng, faults),
			At:    at,
			For:   between(rng, randomMinLength, randomMaxLength),
			Seed:  rng.Uint64(),
		}
		group := exclusiveGroup(step.Fault.Name)
		if at < free[group] {
			continue
		}
		free[group] = at + step.For
		script = append(script, step)
	}
	return script
}

func between(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}

// exclusiveGroup names faults that share one switch.
func exclusiveGroup(name string) string {
	for _, prefix := range []string{"store-", "list-", "origin-"} {
		if strings.HasPrefix(name, prefix) {
			return prefix
		}
	}
	return name
}

// Play carries out the steps at their times and waits until all are healed.
func (e *Experiment) Play(ctx context.Context, script []Step) error {
	start := time.Now()
	script = slices.Clone(script)
	slices.SortStableFunc(script, func(a, b Step) int { return int(a.At - b.At) })
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, step := range script {
		if err := pause(ctx, time.Until(start.Add(step.At))); err != nil {
			return err
		}
		wg.Go(func() { e.play(ctx, step) })
	}
	return nil
}

// play begins one fault and heals it. A step that fails, such as an edit while
// the store is down, is logged; what it did to callers is in the measures.
func (e *Experiment) play(ctx context.Context, step Step) {
	e.cfg.Log("begin %s", step.Fault.Name)
	rng := rand.New(rand.NewPCG(step.Seed, scriptStream))
	heal, err := step.Fault.Begin(ctx, e, rng)
	if err != nil {
		e.cfg.Log("%s failed: %v", step.Fault.Name, err)
		return
	}
	_ = pause(ctx, step.For)
	if err := heal(context.WithoutCancel(ctx)); err != nil {
		e.cfg.Log("end of %s failed: %v", step.Fault.Name, err)
		return
	}
	e.cfg.Log("end %s", step.Fault.Name)
}
