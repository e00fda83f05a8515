package backlog

import (
	"math"
	"time"

	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/latency"
)

const (
	// paceGain is the weight of a new gap. A server that is slower for some seconds has
	// about ten events a second for each answer, so its pace is known after half a second.
	paceGain = 0.15
	// paceTTL is the time constant with which a pace returns to the usual one without
	// events.
	paceTTL = 2 * time.Second
	// minPace and maxPace bound the pace.
	minPace = 0.5
	maxPace = 10
	// maxGapRatio bounds the weight of a single gap, which may be due to a caller that does
	// not read.
	maxGapRatio = 5
)

// pace is by how much a server is slower than its published timing, from the gaps between
// the events of its answers to this entry.
type pace struct {
	// excess is the moving average of the ratio of gaps to the usual ones, less 1.
	excess    float64
	lastEvent time.Time
	usualGap  time.Duration
}

func (p *pace) recordEvent(now time.Time) { p.lastEvent = now }

func (p *pace) observeGap(now time.Time, gap, usual time.Duration) {
	p.lastEvent, p.usualGap = now, usual
	if usual <= 0 || gap < 0 {
		return
	}
	ratio := min(float64(gap)/float64(usual), maxGapRatio)
	p.excess += paceGain * (ratio - 1 - p.excess)
}

// value returns the pace; 1 is the published one. While an answer is in progress, silence
// counts as the start of a long gap.
func (p *pace) value(now time.Time, isStreaming bool) float64 {
	if p.lastEvent.IsZero() {
		return 1
	}
	quiet := max(now.Sub(p.lastEvent), 0)
	value := 1 + p.excess*math.Exp(-float64(quiet)/float64(paceTTL))
	if isStreaming && p.usualGap > 0 {
		value = max(value, 1+paceGain*(float64(quiet)/float64(p.usualGap)-1))
	}
	return min(max(value, minPace), maxPace)
}

// usualGap returns the time in which an engine with the published timing and the given load
// generates a number of tokens of an answer.
func usualGap(timing *fleet.EngineTiming, load latency.Load, tokens float64) time.Duration {
	if timing == nil || !timing.IsKnown() {
		return 0
	}
	return time.Duration(tokens * float64(latency.TimePerToken(*timing, load)))
}
