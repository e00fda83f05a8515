package staging

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"currantusher.dev/core/pause"
	"currantusher.dev/platform/worker"
)

const (
	// orderTimeout bounds a call that orders a load. The staged pieces are verified again
	// before the next one.
	orderTimeout = time.Second
	// maxVerificationAge is how long before an order its staged pieces may have been
	// verified. With orderTimeout and retryDelay it stays below the 3 s for which the
	// operators excuse a piece that has turned bad.
	maxVerificationAge = 1500 * time.Millisecond
	// orderSettleTime is how long an engine may accept an order whose call had no answer:
	// such a call may be performed seconds after its end.
	orderSettleTime = 10 * time.Second
	// maxUnansweredCopies bounds how often an order without an answer is sent. After the
	// last copy it expires.
	maxUnansweredCopies = 5
)

// errEngineRestarted reports that the engine has restarted and forgotten its orders.
var errEngineRestarted = errors.New("the engine has restarted since the load order")

// loadOrder is a load order and what is known about it.
type loadOrder struct {
	target TargetVersion
	pieces *pieceSet
	// expected is the number of orders that the engine must have accepted before. It is
	// the same whenever the order is sent, so that the engine accepts it at most once.
	expected int64
	// unansweredCopies counts the calls that had no answer.
	unansweredCopies int
	// mayTakeEffectUntil is set once a call had no answer, until the order is settled.
	mayTakeEffectUntil time.Time
}

type orderOutcome string

const (
	orderOpen      orderOutcome = "open"
	orderAccepted  orderOutcome = "accepted"
	orderForgotten orderOutcome = "engine restarted"
	orderExpired   orderOutcome = "not accepted in time"
)

func (o *loadOrder) isUnanswered() bool { return !o.mayTakeEffectUntil.IsZero() }

// outcome returns what a report of the engine says about an order without an answer.
func (o *loadOrder) outcome(report worker.Report, now time.Time) orderOutcome {
	switch {
	case report.Loaded[o.target.Model] >= o.target.Version || report.AcceptedOrders > o.expected:
		return orderAccepted
	case report.AcceptedOrders < o.expected:
		return orderForgotten
	case now.After(o.mayTakeEffectUntil):
		return orderExpired
	default:
		return orderOpen
	}
}

// conflictsWith reports whether the engine might take this order's effect for that of an
// order of another version, which is about to be sent after a number of accepted orders.
func (o *loadOrder) conflictsWith(key VersionKey, orders int64, now time.Time) bool {
	return o.target.VersionKey != key && !now.After(o.mayTakeEffectUntil) && (o.expected == orders || o.expected == orders+1)
}

// settlePendingOrder settles the order that an earlier load has left without an answer.
func (m *Manager) settlePendingOrder(ctx context.Context) error {
	if m.pendingOrder == nil {
		return nil
	}
	order := m.pendingOrder
	log := m.config.Log.WithFields(logrus.Fields{"model": order.target.Model, "version": order.target.Version})
	if err := m.orderLoad(ctx, log, order); err != nil && m.pendingOrder != nil {
		return err
	}
	return nil
}

// orderLoad verifies the staged pieces and orders the load. The engine loads the pieces
// that are staged when it accepts the order, which may be after the end of a call that has
// no answer. Until that is settled, the area stays reserved, the pieces are verified and
// the order is sent again. The caller holds the load slot.
func (m *Manager) orderLoad(ctx context.Context, log *logrus.Entry, order *loadOrder) error {
	m.pendingOrder = order
	if err := m.stage.reserve(ctx, order.target.VersionKey); err != nil {
		m.endUnlessUnanswered(order)
		return err
	}
	var lastError string
	for {
		err := m.attemptOrder(ctx, log, order)
		if m.endUnlessUnanswered(order) || ctx.Err() != nil {
			return err
		}
		if err != nil {
			m.logOnChange(log, &lastError, "The load order is not settled; trying again.", err)
		}
		pause.For(ctx, retryDelay)
	}
}

// endUnlessUnanswered releases the area unless the order may still take effect.
func (m *Manager) endUnlessUnanswered(order *loadOrder) bool {
	if order.isUnanswered() {
		return false
	}
	m.pendingOrder = nil
	m.stage.release()
	return true
}

// attemptOrder verifies the staged pieces and sends the order, unless the report of the
// engine settles it.
func (m *Manager) attemptOrder(ctx context.Context, log *logrus.Entry, order *loadOrder) error {
	for range maxVerifyPasses {
		if isDone, err := m.checkOrder(ctx, log, order); isDone || err != nil {
			return err
		}
		verifiedAt, err := m.verifyStaged(ctx, log, order.target, order.pieces)
		if err != nil {
			return err
		}
		if isDone, err := m.checkOrder(ctx, log, order); isDone || err != nil {
			return err
		}
		if order.unansweredCopies >= maxUnansweredCopies {
			return errors.New("the engine has answered no copy of the load order")
		}
		if time.Since(verifiedAt) <= maxVerificationAge {
			return m.sendOrder(ctx, log, order)
		}
	}
	return fmt.Errorf("verifying the staged pieces takes longer than %d ms", maxVerificationAge.Milliseconds())
}

// checkOrder reads the report of the engine. It reports true if no order is to be sent.
func (m *Manager) checkOrder(ctx context.Context, log *logrus.Entry, order *loadOrder) (isDone bool, err error) {
	report, err := m.engineReport(ctx)
	if err != nil {
		return false, err
	}
	if order.isUnanswered() {
		outcome := order.outcome(report, time.Now())
		if outcome == orderOpen {
			return false, nil
		}
		log.WithFields(logrus.Fields{"outcome": outcome, "expected_orders": order.expected, "orders": report.AcceptedOrders}).Info("Load order without an answer is settled.")
		order.mayTakeEffectUntil = time.Time{}
		if outcome == orderAccepted && order.unansweredCopies == 1 {
			// The only copy was accepted, so that none is late.
			m.forgetLate(order)
		}
		switch outcome {
		case orderForgotten:
			return true, errEngineRestarted
		case orderExpired:
			return true, errors.New("the engine has not accepted the load order")
		default:
			return true, nil
		}
	}
	if report.Busy || report.Loaded[order.target.Model] >= order.target.Version {
		return true, nil
	}
	for _, late := range m.lateOrders {
		if late.conflictsWith(order.target.VersionKey, report.AcceptedOrders, time.Now()) {
			return true, fmt.Errorf("the engine may still accept an order of version %d", late.target.Version)
		}
	}
	order.expected = report.AcceptedOrders
	return false, nil
}

func (m *Manager) sendOrder(ctx context.Context, log *logrus.Entry, order *loadOrder) error {
	isRepeat := order.isUnanswered()
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	result, err := m.config.Engine.LoadAfterRunning(callCtx, order.target.Model, order.target.Version, order.expected)
	cancel()
	fields := logrus.Fields{"result": result, "orders": order.expected, "repeat": isRepeat}
	switch {
	case worker.IsUnanswered(err):
		m.noteUnanswered(order)
		log.WithError(err).WithFields(fields).Warn("Load order has no answer; the engine may still accept it.")
		return fmt.Errorf("order load: %w", err)
	case err != nil:
		return fmt.Errorf("order load: %w", err)
	case result == worker.OrderConflict || result == worker.OrderFenced:
		log.WithFields(fields).Warn("Load order rejected.")
		return fmt.Errorf("the engine rejected the load order with result %d", result)
	}
	log.WithFields(fields).Info("Load ordered.")
	order.mayTakeEffectUntil = time.Time{}
	return nil
}

// noteUnanswered keeps an order until the engine can no longer accept it, even if the
// engine restarts in between and counts its orders anew.
func (m *Manager) noteUnanswered(order *loadOrder) {
	order.unansweredCopies++
	order.mayTakeEffectUntil = time.Now().Add(orderSettleTime)
	m.forgetLate(order)
	m.lateOrders = append(m.lateOrders, loadOrder{target: order.target, expected: order.expected, mayTakeEffectUntil: order.mayTakeEffectUntil})
}

// forgetLate drops an order, and those that have expired, from the late ones.
func (m *Manager) forgetLate(order *loadOrder) {
	now := time.Now()
	m.lateOrders = slices.DeleteFunc(m.lateOrders, func(late loadOrder) bool {
		isSame := late.target.VersionKey == order.target.VersionKey && late.expected == order.expected
		return isSame || !now.Before(late.mayTakeEffectUntil)
	})
}
