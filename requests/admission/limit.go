package admission

import (
	"time"

	"currantusher.dev/tables"
)

// Temperature is the warm-up state of a backend server.
type Temperature uint8

const (
	// Cold is a backend server in cold start.
	Cold Temperature = iota
	// Warming is a backend server whose limit rises while latency is normal.
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
	// baselineGain is the weight of a new latency in the baseline, a moving
	// average.
	baselineGain = 0.05
	// outlierBaselineGain applies to latencies above the tolerance. It lets the
	// baseline follow a lasting change of latency, so that the limit does not
	// stay low permanently.
	outlierBaselineGain = 0.01
	// fallingBaselineGain applies to latencies below the baseline. It lets the
	// baseline fall fast after cold start.
	fallingBaselineGain = 0.3
)

// LatencyConfig controls how the limit adapts to the time to the first byte.
type LatencyConfig struct {
	// ColdExitSamples is the number of consecutive answers within the tolerance
	// that end cold start.
	ColdExitSamples int
	// ToleranceRatio is the highest ratio of latency to baseline at which the
	// limit still rises.
	ToleranceRatio float64
	// ResetRatio is the ratio of latency to baseline from which an answer counts
	// as one of a cold backend server.
	ResetRatio float64
	// ResetSamples is the number of consecutive answers, or of simultaneously
	// overdue answers, beyond ResetRatio that reset the limit to cold start.
	ResetSamples int
	// ResetMinLatency is the shortest latency that counts towards a reset.
	ResetMinLatency time.Duration
	// DecreaseFactor multiplies the limit when latency exceeds ToleranceRatio.
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

// adaptiveLimit estimates how many concurrent requests the backend server can
// handle, by additive increase and multiplicative decrease (AIMD) on the time
// to the first byte.
type adaptiveLimit struct {
	config      LatencyConfig
	bounds      tables.Limits
	current     float64
	temperature Temperature
	baseline    time.Duration
	goodStreak  int
	slowStreak  int
}

func newLimit(config LatencyConfig, bounds tables.Limits) adaptiveLimit {
	return adaptiveLimit{config: config, bounds: bounds, current: float64(bounds.ColdRequests)}
}

func (l *adaptiveLimit) maxRequests() int {
	if l.temperature == Cold {
		return l.bounds.ColdRequests
	}
	return int(l.current)
}

// maxTokens scales the warm token limit by the current share of the warm
// request limit. 0 means no limit.
func (l *adaptiveLimit) maxTokens() int {
	if l.bounds.WarmTokens == 0 {
		return 0
	}
	return max(1, l.bounds.WarmTokens*l.maxRequests()/l.bounds.WarmRequests)
}

func (l *adaptiveLimit) resetToCold() {
	l.temperature = Cold
	l.current = float64(l.bounds.ColdRequests)
	l.goodStreak = 0
	l.slowStreak = 0
}

func (l *adaptiveLimit) setBounds(bounds tables.Limits) {
	l.bounds = bounds
	l.clamp()
}

func (l *adaptiveLimit) clamp() {
	low, high := float64(l.bounds.ColdRequests), float64(l.bounds.WarmRequests)
	l.current = min(max(l.current, low), high)
	if l.temperature == Warming && l.current >= high {
		l.temperature = Warm
	}
	if l.temperature == Warm && l.current < high {
		l.temperature = Warming
	}
}

// resetLatency is the latency from which an answer counts towards a reset; 0
// while there is no baseline.
func (l *adaptiveLimit) resetLatency() time.Duration {
	if l.baseline == 0 {
		return 0
	}
	return max(time.Duration(float64(l.baseline)*l.config.ResetRatio), l.config.ResetMinLatency)
}

// observe updates the limit from one time to the first byte. nearLimit reports
// whether enough of the limit was in use that it may rise.
func (l *adaptiveLimit) observe(latency time.Duration, nearLimit bool) {
	if l.baseline == 0 {
		l.baseline = max(latency, time.Nanosecond)
	}
	if latency >= l.resetLatency() {
		l.observeSlow(latency)
		return
	}
	l.slowStreak = 0
	withinTolerance := float64(latency) <= float64(l.baseline)*l.config.ToleranceRatio
	if !withinTolerance {
		l.updateBaseline(latency, outlierBaselineGain)
		l.decrease()
		return
	}
	l.updateBaseline(latency, baselineGain)
	l.increase(nearLimit)
}

func (l *adaptiveLimit) observeSlow(latency time.Duration) {
	l.slowStreak++
	l.goodStreak = 0
	l.updateBaseline(latency, outlierBaselineGain)
	if l.slowStreak >= l.config.ResetSamples {
		l.resetToCold()
	}
}

func (l *adaptiveLimit) updateBaseline(latency time.Duration, gain float64) {
	if latency < l.baseline {
		gain = fallingBaselineGain
	}
	l.baseline += time.Duration(gain * float64(latency-l.baseline))
	l.baseline = max(l.baseline, time.Nanosecond)
}

func (l *adaptiveLimit) decrease() {
	l.goodStreak = 0
	if l.temperature == Cold {
		return
	}
	l.current *= l.config.DecreaseFactor
	l.clamp()
}

func (l *adaptiveLimit) increase(nearLimit bool) {
	l.goodStreak++
	if l.temperature == Cold {
		if l.goodStreak < l.config.ColdExitSamples {
			return
		}
		l.temperature = Warming
	}
	if nearLimit {
		l.current++
	}
	l.clamp()
}
