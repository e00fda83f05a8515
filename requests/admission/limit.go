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
	DefaultColdExitSamples = 3
	DefaultToleranceRatio  = 2.0
	DefaultResetRatio      = 4.0
	DefaultResetSamples    = 2
	DefaultResetMinLatency = 50 * time.Millisecond
	DefaultDecreaseFactor  = 0.9
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
	// ColdExitSamples is the number of good answers in a row that end cold start.
	ColdExitSamples int
	// ToleranceRatio is the ratio to the baseline up to which the limit grows.
	ToleranceRatio float64
	// ResetRatio is the ratio to the baseline that shows a cold backend server.
	ResetRatio float64
	// ResetSamples is the number of answers in a row, or of answers overdue at
	// once, beyond Step that return the limit to cold start.
	ResetSamples int
	// ResetMinLatency is the shortest latency that counts as a step.
	ResetMinLatency time.Duration
	// DecreaseFactor multiplies the limit when latency is over Tolerance.
	DecreaseFactor float64
}

func (c *LatencyConfig) applyDefaults() {
	if c.ColdExitSamples <= 0 {
		c.ColdExitSamples = DefaultColdExitSamples
	}
	if c.ToleranceRatio <= 1 {
		c.ToleranceRatio = DefaultToleranceRatio
	}
	if c.ResetRatio <= c.ToleranceRatio {
		c.ResetRatio = max(DefaultResetRatio, 2*c.ToleranceRatio)
	}
	if c.ResetSamples <= 0 {
		c.ResetSamples = DefaultResetSamples
	}
	if c.ResetMinLatency <= 0 {
		c.ResetMinLatency = DefaultResetMinLatency
	}
	if c.DecreaseFactor <= 0 || c.DecreaseFactor >= 1 {
		c.DecreaseFactor = DefaultDecreaseFactor
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
	return max(time.Duration(float64(l.baseline)*l.config.ResetRatio), l.config.ResetMinLatency)
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
	within := float64(latency) <= float64(l.baseline)*l.config.ToleranceRatio
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
	if l.slow >= l.config.ResetSamples {
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
	l.value *= l.config.DecreaseFactor
	l.clamp()
}

func (l *limit) increase(busy bool) {
	l.good++
	if l.state == Cold {
		if l.good < l.config.ColdExitSamples {
			return
		}
		l.state = Warming
	}
	if busy {
		l.value++
	}
	l.clamp()
}
