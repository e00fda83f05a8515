package placement

import (
	"slices"
	"time"

	"currantusher.dev/core"
)

const (
	// firstGain is the weight of a new time to the first event in the mean.
	firstGain = 0.3
	// slowFactor is how many times the median of all servers the mean of one must
	// be for the server to count as slow, and slowAtLeast the mean from which on
	// it may: below that the usual objectives are kept.
	slowFactor  = 2.5
	slowAtLeast = 300 * time.Millisecond
	// slowMemory is how long a mean counts after its last change. Then one
	// request at a time tries the server again.
	slowMemory = 1500 * time.Millisecond
)

// first is what an entry learned of a server's times to the first event.
type first struct {
	mean time.Duration
	at   time.Time
}

func (f *first) learn(now time.Time, took time.Duration) {
	if f.at.IsZero() {
		f.mean = took
	} else {
		f.mean += time.Duration(firstGain * float64(took-f.mean))
	}
	f.at = now
}

// ObserveFirstEvent notes that a server sent the first event of a stream so long after the
// request was sent to it.
func (p *Placer) ObserveFirstEvent(now time.Time, id core.InstanceID, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a := p.agents[id]; a != nil {
		a.first.learn(now, took)
	}
}

// quick returns the options that are not slow. Slow servers, as behind a narrow
// link, get what finds no room elsewhere.
func quick(now time.Time, options []option) []option {
	median := medianFirst(options)
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
	mean := o.agent.first.mean
	if mean < slowAtLeast || float64(mean) < slowFactor*float64(median) {
		return false
	}
	return now.Sub(o.agent.first.at) < slowMemory || o.agent.inFlight > 0
}

func medianFirst(options []option) time.Duration {
	var means []time.Duration
	for _, o := range options {
		if !o.agent.first.at.IsZero() {
			means = append(means, o.agent.first.mean)
		}
	}
	if len(means) == 0 {
		return 0
	}
	slices.Sort(means)
	return means[len(means)/2]
}
