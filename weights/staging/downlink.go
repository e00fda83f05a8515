package staging

import (
	"context"
	"sync"
	"time"
)

const (
	// maxTransfers bounds the pieces that arrive side by side. Four at the
	// usual size queue 0.14 s on the slowest sound link.
	maxTransfers = 4
	// slowTransfer is a time for one piece that shows a link narrower than
	// expected: a piece that shares the slowest sound link with three others
	// takes 0.14 s.
	slowTransfer = 350 * time.Millisecond
	// narrowBound is the bound at and under which the link counts as narrow:
	// that after one halving.
	narrowBound = maxTransfers / 2
	// widening is added to the bound by each transfer that was not slow.
	widening = 0.25
)

// downlink bounds the pieces that arrive side by side, so that requests to the
// engine on the same link do not queue behind them. It halves the bound when
// transfers are slow, as on a link that has become narrow, and widens it step
// by step when they are not.
type downlink struct {
	mu    sync.Mutex
	bound float64
	used  int
	// urgent counts the urgent transfers that wait; others let them go first.
	urgent   int
	narrowed time.Time
	// freed is closed and replaced whenever a place may be free.
	freed chan struct{}
}

func newDownlink() *downlink {
	return &downlink{bound: maxTransfers, freed: make(chan struct{})}
}

// isNarrow reports whether transfers were slow lately.
func (d *downlink) isNarrow() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.bound <= narrowBound
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

// release returns a place after a transfer that took so long.
func (d *downlink) release(now time.Time, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.used--
	switch {
	case took < slowTransfer:
		d.bound = min(maxTransfers, d.bound+widening)
	case now.Sub(d.narrowed) > took:
		// Transfers that ran side by side are slow for the same reason.
		d.narrowed = now
		d.bound = max(1, d.bound/2)
	}
	d.wake()
}
