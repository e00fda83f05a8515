package staging

import (
	"context"
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"currantusher.dev/core/pause"
	"currantusher.dev/platform/worker"
)

const (
	// loadTimeout bounds the wait for a load: running requests end first.
	loadTimeout = 8 * time.Second
	loadPoll    = 100 * time.Millisecond
	// verifyPasses bounds how often the staged bytes are repaired before a
	// load is given up for now.
	verifyPasses = 3
)

// load stages a version, verifies every byte of it where the engine will read
// it, and orders the engine to load it.
func (m *Manager) load(ctx context.Context, log *logrus.Entry, wanted Wanted, held *pieces) error {
	if err := m.awaitIdle(ctx); err != nil {
		return err
	}
	if err := m.order(ctx, log, wanted, held); err != nil {
		return err
	}
	return m.await(ctx, log, wanted)
}

// awaitIdle waits until no order is in progress in the engine.
func (m *Manager) awaitIdle(ctx context.Context) error {
	began := time.Now()
	for time.Since(began) < loadTimeout && ctx.Err() == nil {
		report, err := m.report(ctx)
		if err != nil {
			return err
		}
		if !report.Busy {
			return nil
		}
		pause.For(ctx, loadPoll)
	}
	return fmt.Errorf("the engine is busy with another order after %d ms", time.Since(began).Milliseconds())
}

// order verifies what is staged and gives the order. Nothing else is staged
// meanwhile: the engine loads the bytes as they are when it takes the order.
func (m *Manager) order(ctx context.Context, log *logrus.Entry, wanted Wanted, held *pieces) error {
	m.stageMu.Lock()
	defer m.stageMu.Unlock()
	if err := m.verify(ctx, log, wanted, held); err != nil {
		return err
	}
	report, err := m.report(ctx)
	if err != nil {
		return err
	}
	if report.Busy || report.Loaded[wanted.Model] >= wanted.Version {
		return nil
	}
	bounded, cancel := context.WithTimeout(ctx, engineTimeout)
	result, err := m.config.Engine.LoadAfterRunning(bounded, wanted.Model, wanted.Version, report.AcceptedOrders)
	cancel()
	log.WithFields(logrus.Fields{"result": result, "orders": report.AcceptedOrders}).Info("Load ordered.")
	if err != nil {
		// The order may have been accepted; the next report tells.
		return fmt.Errorf("order: %w", err)
	}
	if result == worker.OrderConflict || result == worker.OrderFenced {
		return fmt.Errorf("the engine does not take the order (%d)", result)
	}
	return nil
}

func (m *Manager) await(ctx context.Context, log *logrus.Entry, wanted Wanted) error {
	began := time.Now()
	for time.Since(began) < loadTimeout && ctx.Err() == nil {
		report, err := m.report(ctx)
		if err == nil && report.Loaded[wanted.Model] >= wanted.Version {
			log.WithField("ms", time.Since(began).Milliseconds()).Info("Version loaded.")
			m.announceLoaded(wanted)
			return nil
		}
		if err == nil && !report.Busy && time.Since(began) > engineTimeout {
			return fmt.Errorf("the engine is idle without the version: %s", report.Raw)
		}
		pause.For(ctx, loadPoll)
	}
	return fmt.Errorf("the version is not loaded after %d ms", time.Since(began).Milliseconds())
}

// verify reads back what is staged, and stages again what is missing or
// spoilt, until all of it is right.
func (m *Manager) verify(ctx context.Context, log *logrus.Entry, wanted Wanted, held *pieces) error {
	for range verifyPasses {
		wrong := 0
		for num := range held.digests {
			ok, err := m.isStaged(ctx, wanted, held, num)
			if err != nil {
				return err
			}
			if ok {
				continue
			}
			wrong++
			if err := m.stage(ctx, wanted, held, num); err != nil {
				return err
			}
		}
		if wrong == 0 {
			return nil
		}
		log.WithField("pieces", wrong).Info("Staged pieces were missing or spoilt.")
	}
	return fmt.Errorf("staged pieces do not stay right")
}

// stageEarly stages a piece of the newest version while others arrive, which
// leaves little to stage before the load.
func (m *Manager) stageEarly(ctx context.Context, log *logrus.Entry, wanted Wanted, held *pieces, num int) {
	if !m.isNewest(wanted.Key) {
		return
	}
	m.stageMu.Lock()
	defer m.stageMu.Unlock()
	if err := m.stage(ctx, wanted, held, num); err != nil && ctx.Err() == nil {
		// What is not staged now is staged before the load.
		log.WithError(err).Info("Piece not staged yet.")
	}
}

func (m *Manager) isStaged(ctx context.Context, wanted Wanted, held *pieces, num int) (bool, error) {
	bounded, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	content, err := m.config.Engine.Staged(bounded, wanted.Model, num)
	if isMissing(err) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("read staged piece %d: %w", num, err)
	}
	return sha256.Sum256(content) == held.digests[num], nil
}

func (m *Manager) stage(ctx context.Context, wanted Wanted, held *pieces, num int) error {
	content, _ := held.get(num)
	if content == nil {
		return fmt.Errorf("piece %d is not here", num)
	}
	bounded, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	if err := m.config.Engine.Stage(bounded, wanted.Model, num, content); err != nil {
		return fmt.Errorf("stage piece %d: %w", num, err)
	}
	return nil
}
