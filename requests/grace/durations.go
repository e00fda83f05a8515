package grace

import (
	"slices"
	"time"
)

const (
	// maxSamples bounds the durations that are kept.
	maxSamples = 128
	// minSamples is the number of durations from which the longest one is meaningful.
	minSamples = 16
	// usualFraction is the fraction of requests whose duration is usual.
	usualFraction = 0.9
)

// Durations holds the durations of the last requests of one kind. The zero value has
// none.
type Durations struct {
	samples []time.Duration
	// next is the index of the oldest sample once there are maxSamples.
	next int
}

// Add adds the duration of a request from its dispatch to the end of its answer.
func (d *Durations) Add(duration time.Duration) {
	if len(d.samples) < maxSamples {
		d.samples = append(d.samples, duration)
		return
	}
	d.samples[d.next] = duration
	d.next = (d.next + 1) % maxSamples
}

// Clone returns a copy that does not share samples.
func (d *Durations) Clone() Durations {
	return Durations{samples: slices.Clone(d.samples), next: d.next}
}

func (d *Durations) usual() (usual time.Duration, known bool) {
	if len(d.samples) == 0 {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(d.samples))
	return sorted[int(usualFraction*float64(len(sorted)-1))], true
}

func (d *Durations) longest() (longest time.Duration, known bool) {
	if len(d.samples) < minSamples {
		return 0, false
	}
	return slices.Max(d.samples), true
}
