package admission

import (
	"time"

	"currantusher.dev/tables"
)

// Temperature says how much of its full load a backend server bears.
type Temperature uint8

const (
	// Cold is a backend server in cold start.
	Cold Temperature = iota
	// Warming is a backend server whose limit grows with good latencies.
	Warming
	// Warm is a backend server at its full limit.
	Warm
)

// String returns "cold", "warming" or "warm".
func (t Temperature) String() string {
	switch t {
	case Warming:
		return "warming"
	case Warm:
		return "warm"
	default:
		return "cold"
	}
}

// Defaults of LatencyConfig.
const (
	DefaultColdSamples = 3
	DefaultTolerance   = 2.0
	DefaultStep        = 4.0
	DefaultStepSamples = 2
	DefaultStepFloor   = 50 * time.Millisecond
	DefaultDecrease    = 0.9
)

const (
	baselineGain = 0.05
	// driftGain lets the baseline follow a lasting change of latency, so that
	// a limit never stays low for ever.
	driftGain = 0.01
	// fallGain lets the baseline fall fast once cold start is over.
	fallGain = 0.3
)

// LatencyConfig tunes how the limit follows the time to the first byte.
type LatencyConfig struct {
	// ColdSamples is the number of good answers in a row that end cold start.
	ColdSamples int
	// Tolerance is the ratio to the baseline up to which the limit grows.
	Tolerance float64
	// Step is the ratio to the baseline that shows a cold backend server.
	Step float64
	// StepSamples is the number of answers in a row, or of answers overdue at
	// once, beyond Step that return the limit to cold start.
	StepSamples int
	// StepFloor is the shortest latency that counts as a step.
	StepFloor time.Duration
	// Decrease multiplies the limit when latency is over Tolerance.
	Decrease float64
}

func (c *LatencyConfig) applyDefaults() {
	if c.ColdSamples <= 0 {
		c.ColdSamples = DefaultColdSamples
	}
	if c.Tolerance <= 1 {
		c.Tolerance = DefaultTolerance
	}
	if c.Step <= c.Tolerance {
		c.Step = max(DefaultStep, 2*c.Tolerance)
	}
	if c.StepSamples <= 0 {
		c.StepSamples = DefaultStepSamples
	}
	if c.StepFloor <= 0 {
		c.StepFloor = DefaultStepFloor
	}
	if c.Decrease <= 0 || c.Decrease >= 1 {
		c.Decrease = DefaultDecrease
	}
}

// limit learns how many requests the backend server bears, by additive
// increase and multiplicative decrease on the time to the first byte.
type limit struct {
	config   LatencyConfig
	bounds   tables.Limits
	value    float64
	state    Temperature
	baseline time.Duration
	good     int
	slow     int
}

func newLimit(config LatencyConfig, bounds tables.Limits) limit {
	return limit{config: config, bounds: bounds, value: float64(bounds.ColdRequests)}
}

func (l *limit) requests() int {
	if l.state == Cold {
		return l.bounds.ColdRequests
	}
	return int(l.value)
}

// tokens scales the warm token bound by the requests that are permitted now.
func (l *limit) tokens() int {
	if l.bounds.WarmTokens == 0 {
		return 0
	}
	return max(1, l.bounds.WarmTokens*l.requests()/l.bounds.WarmRequests)
}

func (l *limit) collapse() {
	l.state = Cold
	l.value = float64(l.bounds.ColdRequests)
	l.good = 0
	l.slow = 0
}

func (l *limit) setBounds(bounds tables.Limits) {
	l.bounds = bounds
	l.clamp()
}

func (l *limit) clamp() {
	low, high := float64(l.bounds.ColdRequests), float64(l.bounds.WarmRequests)
	l.value = min(max(l.value, low), high)
	if l.state == Warming && l.value >= high {
		l.state = Warm
	}
	if l.state == Warm && l.value < high {
		l.state = Warming
	}
}

// stepAt is the latency that shows a cold backend server; 0 while unknown.
func (l *limit) stepAt() time.Duration {
	if l.baseline == 0 {
		return 0
	}
	return max(time.Duration(float64(l.baseline)*l.config.Step), l.config.StepFloor)
}

// observe learns from one time to the first byte. busy says that the limit was
// near its use, so that it may grow.
func (l *limit) observe(latency time.Duration, busy bool) {
	if l.baseline == 0 {
		l.baseline = max(latency, time.Nanosecond)
	}
	if latency >= l.stepAt() {
		l.observeSlow(latency)
		return
	}
	l.slow = 0
	within := float64(latency) <= float64(l.baseline)*l.config.Tolerance
	if !within {
		l.drift(latency, driftGain)
		l.decrease()
		return
	}
	l.drift(latency, baselineGain)
	l.increase(busy)
}

func (l *limit) observeSlow(latency time.Duration) {
	l.slow++
	l.good = 0
	l.drift(latency, driftGain)
	if l.slow >= l.config.StepSamples {
		l.collapse()
	}
}

func (l *limit) drift(latency time.Duration, gain float64) {
	if latency < l.baseline {
		gain = fallGain
	}
	l.baseline += time.Duration(gain * float64(latency-l.baseline))
	l.baseline = max(l.baseline, time.Nanosecond)
}

func (l *limit) decrease() {
	l.good = 0
	if l.state == Cold {
		return
	}
	l.value *= l.config.Decrease
	l.clamp()
}

func (l *limit) increase(busy bool) {
	l.good++
	if l.state == Cold {
		if l.good < l.config.ColdSamples {
			return
		}
		l.state = Warming
	}
	if busy {
		l.value++
	}
	l.clamp()
}
