package placement

import (
	"slices"
	"time"

	"currantusher.dev/core"
)

const (
	// firstEventGain is the weight of a new sample in the moving average.
	firstEventGain = 0.3
	// slowMedianRatio is the ratio of a server's mean to the median of all
	// servers from which the server counts as slow. Servers with a mean below
	// slowMinMean never count as slow, since they meet the usual objectives.
	slowMedianRatio = 2.5
	slowMinMean     = 300 * time.Millisecond
	// slowMeanTTL is how long a mean counts after its last update. Afterwards a
	// slow server receives one request at a time as a probe.
	slowMeanTTL = 1500 * time.Millisecond
)

// firstEventLatency is a moving average of a server's time to the first event.
type firstEventLatency struct {
	mean      time.Duration
	updatedAt time.Time
}

func (f *firstEventLatency) observe(now time.Time, latency time.Duration) {
	if f.updatedAt.IsZero() {
		f.mean = latency
	} else {
		f.mean += time.Duration(firstEventGain * float64(latency-f.mean))
	}
	f.updatedAt = now
}

// ObserveFirstEvent records the time from sending a request to a server until
// the first event of its stream.
func (p *Placer) ObserveFirstEvent(now time.Time, id core.InstanceID, latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a := p.agents[id]; a != nil {
		a.firstEvent.observe(now, latency)
	}
}

// withoutSlow returns the options that are not slow. A slow server, for example
// one behind a low-bandwidth link, is used only when all other servers are full.
func withoutSlow(now time.Time, options []option) []option {
	median := medianFirstEvent(options)
	if median == 0 {
		return options
	}
	list := make([]option, 0, len(options))
	for _, o := range options {
		if !o.isSlow(now, median) {
			list = append(list, o)
		}
	}
	return list
}

func (o option) isSlow(now time.Time, median time.Duration) bool {
	mean := o.agent.firstEvent.mean
	if mean < slowMinMean || float64(mean) < slowMedianRatio*float64(median) {
		return false
	}
	return now.Sub(o.agent.firstEvent.updatedAt) < slowMeanTTL || o.agent.inFlight > 0
}

func medianFirstEvent(options []option) time.Duration {
	var means []time.Duration
	for _, o := range options {
		if !o.agent.firstEvent.updatedAt.IsZero() {
			means = append(means, o.agent.firstEvent.mean)
		}
	}
	if len(means) == 0 {
		return 0
	}
	slices.Sort(means)
	return means[len(means)/2]
}
