package staging

import (
	"context"
	"sync"
	"time"

	"currantusher.dev/core"
)

const (
	// fewTransfers bounds the pieces that an agent asks for side by side where it
	// has few neighbours. Four at the usual size queue 0.14 s on the slowest
	// sound link. With many neighbours most of these questions wait for their
	// turn at the senders, so that there is one for each neighbour.
	fewTransfers = 4
	// slowTransfer is a time for one piece that shows a link narrower than
	// expected: a piece that shares the slowest sound link with three others
	// takes 0.14 s.
	slowTransfer = 350 * time.Millisecond
	// narrowSources is from how many agents pieces must come slowly, and none
	// fast, for the own link to be the narrow one.
	narrowSources = 2
	// narrowFor is how long slow transfers say that the link is narrow; on one
	// that is, the next follow within it.
	narrowFor = 2 * time.Second
	// widening is added to the bound by each transfer that was not slow.
	widening = 0.25
)

// downlink bounds the pieces that arrive side by side, so that requests to the
// engine on the same link do not queue behind them. It halves the bound when
// transfers are slow, as on a link that has become narrow, and widens it step
// by step when they are not.
type downlink struct {
	mu sync.Mutex
	// most is the widest bound.
	most  float64
	bound float64
	used  int
	// urgent counts the urgent transfers that wait; others let them go first.
	urgent   int
	narrowed time.Time
	// slow holds the agents from which pieces came slowly since one last came
	// fast, and slowAt when the last of them came.
	slow   map[core.InstanceID]bool
	slowAt time.Time
	// freed is closed and replaced whenever a place may be free.
	freed chan struct{}
}

func newDownlink() *downlink {
	return &downlink{bound: fewTransfers, most: fewTransfers, slow: map[core.InstanceID]bool{}, freed: make(chan struct{})}
}

// isNarrow reports whether the link itself is narrow: lately all transfers were
// slow, from whichever agent.
func (d *downlink) isNarrow(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.slow) >= narrowSources && now.Sub(d.slowAt) < narrowFor
}

// widen sets the widest bound for an agent with so many neighbours.
func (d *downlink) widen(neighbours int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	most := float64(max(fewTransfers, neighbours))
	if d.bound == d.most {
		d.bound = most
	}
	d.most = most
	d.bound = min(d.bound, most)
	d.wake()
}

// acquire waits for a place. Urgent transfers go before others.
func (d *downlink) acquire(ctx context.Context, urgent bool) error {
	if urgent {
		d.wait(1)
		defer d.wait(-1)
	}
	for {
		d.mu.Lock()
		if d.used < int(d.bound) && (urgent || d.urgent == 0) {
			d.used++
			d.mu.Unlock()
			return nil
		}
		freed := d.freed
		d.mu.Unlock()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-freed:
		}
	}
}

// wait counts an urgent transfer that waits, or that waits no more.
func (d *downlink) wait(change int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.urgent += change
	d.wake()
}

// wake lets those that wait look again. The caller holds the lock.
func (d *downlink) wake() {
	close(d.freed)
	d.freed = make(chan struct{})
}

// abandon returns a place after a transfer that did not begin.
func (d *downlink) abandon() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.used--
	d.wake()
}

// release returns a place after a transfer from an agent that took so long.
func (d *downlink) release(now time.Time, from core.InstanceID, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.used--
	if took < slowTransfer {
		clear(d.slow)
	} else {
		d.slow[from] = true
		d.slowAt = now
	}
	switch {
	case took < slowTransfer:
		d.bound = min(d.most, d.bound+widening)
	case now.Sub(d.narrowed) > took:
		// Transfers that ran side by side are slow for the same reason.
		d.narrowed = now
		d.bound = max(1, d.bound/2)
	}
	d.wake()
}
