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
	// loadTimeout bounds the wait for a load, before which the engine finishes
	// its running requests.
	loadTimeout    = 8 * time.Second
	loadPollPeriod = 100 * time.Millisecond
	// maxVerifyPasses bounds how often staged pieces are verified and replaced
	// before an attempt to load fails.
	maxVerifyPasses = 3
)

// load verifies all staged pieces by reading them back from the engine, orders
// the engine to load the version and waits for the load.
func (m *Manager) load(ctx context.Context, log *logrus.Entry, target TargetVersion, pieces *pieceSet) error {
	if err := m.settlePendingOrder(ctx); err != nil {
		return err
	}
	if err := m.awaitEngineIdle(ctx); err != nil {
		return err
	}
	if err := m.orderLoad(ctx, log, &loadOrder{target: target, pieces: pieces}); err != nil {
		return err
	}
	return m.awaitLoaded(ctx, log, target)
}

// awaitEngineIdle waits until the engine has no order in progress.
func (m *Manager) awaitEngineIdle(ctx context.Context) error {
	began := time.Now()
	for time.Since(began) < loadTimeout && ctx.Err() == nil {
		report, err := m.engineReport(ctx)
		if err != nil {
			return err
		}
		if !report.Busy {
			return nil
		}
		pause.For(ctx, loadPollPeriod)
	}
	return fmt.Errorf("the engine is still busy with another order after %d ms", time.Since(began).Milliseconds())
}

func (m *Manager) awaitLoaded(ctx context.Context, log *logrus.Entry, target TargetVersion) error {
	began := time.Now()
	for time.Since(began) < loadTimeout && ctx.Err() == nil {
		report, err := m.engineReport(ctx)
		if err == nil && report.Loaded[target.Model] >= target.Version {
			log.WithField("ms", time.Since(began).Milliseconds()).Info("Version loaded.")
			m.announcePauseEnd(target, report.StartedAtMillis)
			return nil
		}
		if err == nil && !report.Busy && time.Since(began) > engineTimeout {
			return fmt.Errorf("the engine is idle but has not loaded the version; its report is %s", report.Raw)
		}
		pause.For(ctx, loadPollPeriod)
	}
	return fmt.Errorf("the version is not loaded after %d ms", time.Since(began).Milliseconds())
}

// verifyStaged reads back the staged pieces and replaces those that are missing
// or corrupt, until a pass finds all pieces intact. It returns the start of that pass.
func (m *Manager) verifyStaged(ctx context.Context, log *logrus.Entry, target TargetVersion, pieces *pieceSet) (time.Time, error) {
	for range maxVerifyPasses {
		start := time.Now()
		replaced := 0
		for num := range pieces.digests {
			intact, err := m.isStagedIntact(ctx, target, pieces, num)
			if err != nil {
				return start, err
			}
			if intact {
				continue
			}
			m.awaitPredecessor(ctx, log, target.VersionKey)
			replaced++
			if err := m.stagePiece(ctx, target, pieces, num); err != nil {
				return start, err
			}
		}
		if replaced == 0 {
			return start, nil
		}
		log.WithField("pieces", replaced).Info("Some staged pieces were missing or corrupt; staged them again.")
	}
	return time.Time{}, fmt.Errorf("staged pieces are still missing or corrupt after all verification passes")
}

// stageEarly stages a piece of the newest version while other pieces arrive, so
// that little remains to be staged before the load. While another version is being
// ordered, or may have been ordered by an earlier process, all of it remains.
func (m *Manager) stageEarly(ctx context.Context, log *logrus.Entry, target TargetVersion, pieces *pieceSet, num int) {
	if !m.stagesEarly(target) || m.predecessor.mayBeOutstanding(target.VersionKey) {
		return
	}
	done := m.stage.admit(ctx, target.VersionKey)
	if done == nil {
		return
	}
	defer done()
	if err := m.stagePiece(ctx, target, pieces, num); err != nil && ctx.Err() == nil {
		// verifyStaged stages the missing pieces before the load.
		log.WithError(err).Info("Staging a piece failed; it will be staged before the load.")
	}
}

func (m *Manager) isStagedIntact(ctx context.Context, target TargetVersion, pieces *pieceSet, num int) (bool, error) {
	callCtx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	content, err := m.config.Engine.Staged(callCtx, target.Model, num)
	if isNotFound(err) {
		m.predecessor.noteMissingPiece()
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("read staged piece %d: %w", num, err)
	}
	return sha256.Sum256(content) == pieces.digests[num], nil
}

// stagePiece stages a piece. Its call does not end with ctx: one that is given up may take
// effect later.
func (m *Manager) stagePiece(ctx context.Context, target TargetVersion, pieces *pieceSet, num int) error {
	content, _ := pieces.get(num)
	if content == nil {
		return fmt.Errorf("piece %d is not held", num)
	}
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), engineTimeout)
	defer cancel()
	err := m.config.Engine.Stage(callCtx, target.Model, num, content)
	if err == nil {
		return nil
	}
	if worker.IsUnanswered(err) {
		m.stage.noteUnanswered(target.VersionKey)
	}
	return fmt.Errorf("stage piece %d: %w", num, err)
}
