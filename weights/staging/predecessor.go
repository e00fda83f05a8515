package staging

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"currantusher.dev/core/fleet"
	"currantusher.dev/core/pause"
	"currantusher.dev/platform/worker"
)

// predecessorGuard tells whether the engine may still accept a load order that an earlier
// process of the agent has sent. Until then the staged pieces must not be replaced.
type predecessorGuard struct {
	startedAt time.Time

	mu sync.Mutex
	// hasReport is set once the engine has reported its state to this process; orders and
	// startedAtMillis are as of the first report, and loaded as of the last one.
	hasReport       bool
	orders          int64
	startedAtMillis int64
	loaded          map[fleet.Model]fleet.WeightsVersion
	// isSettled is set once no such order can be outstanding.
	isSettled bool
}

func newPredecessorGuard() *predecessorGuard { return &predecessorGuard{startedAt: time.Now()} }

// observe takes a report of the engine into account. An order of the earlier process expects
// the number of orders that the engine had accepted then.
func (g *predecessorGuard) observe(report worker.Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.hasReport {
		g.hasReport, g.orders, g.startedAtMillis = true, report.AcceptedOrders, report.StartedAtMillis
	}
	g.loaded = report.Loaded
	g.isSettled = g.isSettled || report.AcceptedOrders != g.orders || report.StartedAtMillis != g.startedAtMillis
}

// noteMissingPiece notes that a piece is not staged. An agent orders a load only once all
// pieces are staged.
func (g *predecessorGuard) noteMissingPiece() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isSettled = true
}

// mayBeOutstanding reports whether the engine may still accept an order of a version between
// the loaded one and key.
func (g *predecessorGuard) mayBeOutstanding(key VersionKey) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isSettled || time.Since(g.startedAt) >= orderSettleTime {
		return false
	}
	return !g.hasReport || g.loaded[key.Model]+1 < key.Version
}

// awaitPredecessor waits until the staged pieces may be replaced by those of a version.
func (m *Manager) awaitPredecessor(ctx context.Context, log *logrus.Entry, key VersionKey) {
	if !m.predecessor.mayBeOutstanding(key) {
		return
	}
	log.Info("The engine may still accept an order of the agent's earlier process; keeping the staged pieces until then.")
	for ctx.Err() == nil && m.predecessor.mayBeOutstanding(key) {
		if _, err := m.engineReport(ctx); err != nil {
			log.WithError(err).Debug("Reading the engine report failed; retrying.")
		}
		pause.For(ctx, loadPollPeriod)
	}
}
