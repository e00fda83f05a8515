package staging

import (
	"context"
	"sync"
	"time"

	"currantusher.dev/core"
)

const (
	// baseMaxTransfers bounds the concurrent transfers of an agent with few
	// neighbours (agents in its region). Four pieces of the usual size queue
	// 0.14 s on the slowest healthy link. With many neighbours most requests
	// wait at the senders, so that the bound is one transfer per neighbour.
	baseMaxTransfers = 4
	// slowTransferTime is the transfer time of a piece from which on the link
	// is considered slower than expected. A piece that shares the slowest
	// healthy link with three others takes 0.14 s.
	slowTransferTime = 350 * time.Millisecond
	// slowLinkMinSources is the number of agents from which transfers must be
	// slow, without a fast transfer since, before the slow link is taken to be
	// this agent's own.
	slowLinkMinSources = 2
	// slowLinkWindow is how long the link counts as slow after the last slow
	// transfer. On a slow link the next slow transfer ends within this time.
	slowLinkWindow = 2 * time.Second
	// limitIncrease is added to the limit after each transfer that was not slow.
	limitIncrease = 0.25
)

// downlink limits the concurrent transfers to this agent, so that requests to
// the engine on the same link do not queue behind them. The limit follows
// additive increase, multiplicative decrease: a slow transfer, as on a link that
// has lost bandwidth, halves it, and each fast transfer raises it by
// limitIncrease.
type downlink struct {
	mu sync.Mutex
	// maxLimit is the upper bound of limit.
	maxLimit float64
	limit    float64
	// slots has as many slots as limit allows. Urgent transfers precede all others,
	// and those of the same urgency start in the order of their requests.
	slots        *prioritySemaphore
	lastDecrease time.Time
	// slowSources holds the agents with slow transfers since the last fast
	// transfer, and lastSlowAt the end of the latest slow transfer.
	slowSources map[core.InstanceID]bool
	lastSlowAt  time.Time
	lastFastAt  time.Time
	// slowUntil holds the agents whose own links are slow: their transfers were slow
	// while others were fast.
	slowUntil map[core.InstanceID]time.Time
}

func newDownlink() *downlink {
	return &downlink{limit: baseMaxTransfers, maxLimit: baseMaxTransfers, slots: newPrioritySemaphore(baseMaxTransfers), slowSources: map[core.InstanceID]bool{}, slowUntil: map[core.InstanceID]time.Time{}}
}

// isLinkSlow reports whether this agent's own link is slow, that is, whether all
// recent transfers were slow regardless of the sending agent.
func (d *downlink) isLinkSlow(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.slowSources) >= slowLinkMinSources && now.Sub(d.lastSlowAt) < slowLinkWindow
}

// isSourceSlow reports whether the link of an agent is slow, while this agent's own link
// is not. It expires after slowLinkWindow, and the next transfer shows whether the link
// still is.
func (d *downlink) isSourceSlow(now time.Time, source core.InstanceID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Before(d.slowUntil[source])
}

// setNeighbours sets the upper bound of the limit from the number of agents in
// the region.
func (d *downlink) setNeighbours(neighbours int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	maxLimit := float64(max(baseMaxTransfers, neighbours))
	if d.limit == d.maxLimit {
		d.setLimit(maxLimit)
	}
	d.maxLimit = maxLimit
	d.setLimit(min(d.limit, maxLimit))
}

// setLimit changes the limit. The caller holds the lock.
func (d *downlink) setLimit(limit float64) {
	d.slots.resize(int(limit) - int(d.limit))
	d.limit = limit
}

// acquire waits until a transfer may start. Urgent transfers precede others.
func (d *downlink) acquire(ctx context.Context, urgent bool) error {
	return d.slots.acquire(ctx, urgent)
}

// releaseUnused ends a transfer in which no data arrived. Its duration is not
// taken into account.
func (d *downlink) releaseUnused() { d.slots.release() }

// release ends a transfer from an agent and adapts the limit to its duration.
func (d *downlink) release(now time.Time, from core.InstanceID, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.noteTransfer(now, from, took)
	switch {
	case took < slowTransferTime:
		d.setLimit(min(d.maxLimit, d.limit+limitIncrease))
	case now.Sub(d.lastDecrease) > took:
		// Halve the limit only once for transfers that ran concurrently,
		// which are slow for the same reason.
		d.lastDecrease = now
		d.setLimit(max(1, d.limit/2))
	}
	d.slots.release()
}

// noteTransfer tells slow links of other agents from a slow link of this one. The caller
// holds the lock.
func (d *downlink) noteTransfer(now time.Time, from core.InstanceID, took time.Duration) {
	if took < slowTransferTime {
		delete(d.slowSources, from)
		delete(d.slowUntil, from)
		for source := range d.slowSources {
			d.slowUntil[source] = now.Add(slowLinkWindow)
		}
		clear(d.slowSources)
		d.lastFastAt = now
		return
	}
	d.slowSources[from] = true
	d.lastSlowAt = now
	if now.Sub(d.lastFastAt) < slowLinkWindow {
		d.slowUntil[from] = now.Add(slowLinkWindow)
	}
}
