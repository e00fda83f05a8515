package dispatch

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
)

const testRecallAfter = 300 * time.Millisecond

// newRecalledRun returns a run without retries. Server a gets the first attempt and behaves
// as first says; the request is recalled from server b.
func newRecalledRun(t *testing.T, first serverBehaviour) (*fleetRun, Request) {
	r, request := newStreamRun(t, "abc", serverBehaviour{})
	request.PauseStart, request.MaxAttempts = nil, 3
	r.fleet.handles = behaviours(map[core.InstanceID]serverBehaviour{"a": first, "b": {recalledAfter: testRecallAfter}})
	r.config.Candidates = r.candidatesByAsked(r.servers)
	r.spendRetries()
	return r, request
}

func (r *fleetRun) spendRetries() {
	for r.placer.WithdrawRetry() {
	}
}

// A request was recalled from its server although no retry was left, and got a 502.
func TestRecalledRequestWaitsForARetry(t *testing.T) {
	for _, isStream := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			r, request := newRecalledRun(t, serverBehaviour{recalledAfter: testRecallAfter})
			request.Stream = isStream
			r.fleet.handles = behaviours(map[core.InstanceID]serverBehaviour{"a": {recalledAfter: testRecallAfter}})
			time.AfterFunc(time.Second, func() { r.placer.ReturnRetries(1) })
			var out testSink
			require.NoError(t, r.Do(t.Context(), request, &out))
			require.Equal(t, r.fleet.text, out.String())
			require.Equal(t, 2, r.fleet.sent)
			require.Zero(t, r.placer.Retries())
			r.requireNothingLeaks(t)
		})
	}
}

// A stream whose continuation was recalled was cut.
func TestStreamWhoseContinuationIsRecalledIsNotCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, request := newRecalledRun(t, serverBehaviour{firstEventAfter: eventInterval, eventInterval: eventInterval, breaksAfter: 2})
		r.placer.ReturnRetries(1)
		time.AfterFunc(time.Second, func() { r.placer.ReturnRetries(1) })
		var out testSink
		require.NoError(t, r.Do(t.Context(), request, &out))
		require.Equal(t, r.fleet.text, out.String())
		require.Equal(t, 3, r.fleet.sent)
		r.requireNothingLeaks(t)
	})
}

func TestRecalledRequestWaitsNoLongerThanItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, request := newRecalledRun(t, serverBehaviour{recalledAfter: testRecallAfter})
		startedAt := time.Now()
		request.FirstByteDeadline = startedAt.Add(2 * time.Second)
		err := r.Do(t.Context(), request, &testSink{})
		require.Equal(t, core.ExecutionUnknown, core.ExecutionOf(err), "the server may have run it")
		require.LessOrEqual(t, time.Since(startedAt), 2*time.Second)
		require.GreaterOrEqual(t, time.Since(startedAt), time.Second)
		r.requireNothingLeaks(t)
	})
}

func TestRecalledRequestThatIsBarredDoesNotWaitForARetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, request := newRecalledRun(t, serverBehaviour{recalledAfter: testRecallAfter})
		request.Barred = func() error { return errors.New("quarantined") }
		startedAt := time.Now()
		require.Error(t, r.Do(t.Context(), request, &testSink{}))
		require.Equal(t, testRecallAfter, time.Since(startedAt))
		r.requireNothingLeaks(t)
	})
}
