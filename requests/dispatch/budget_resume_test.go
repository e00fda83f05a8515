package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
)

func newSpentBudgetRun(t *testing.T) (*fleetRun, Request) {
	t.Helper()
	sends := 0
	r := newFleetRun(t, "ab", 1, func(core.InstanceID) serverBehaviour {
		sends++
		if sends == 1 {
			return serverBehaviour{breaksAfter: 2}
		}
		return serverBehaviour{}
	})
	for r.placer.WithdrawRetry() {
	}
	request := testRequest()
	request.Stream, request.MaxAttempts = true, 2
	request.Deadline = time.Now().Add(6 * time.Second)
	return r, request
}

// A broken stream was cut because the retry budget was spent at that moment.
func TestBrokenStreamWaitsForTheRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, request := newSpentBudgetRun(t)
		time.AfterFunc(2*time.Second, func() {
			for range 1000 {
				r.placer.DepositRetry()
			}
		})
		var out gapSink
		require.NoError(t, r.Do(t.Context(), request, &out))
		require.Equal(t, r.fleet.text, out.String())
		require.Less(t, out.longestGap, 2500*time.Millisecond)
		require.Zero(t, r.placer.Retries())
		r.requireNothingLeaks(t)
	})
}

func TestBrokenStreamWithoutARetryEndsBeforeItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, request := newSpentBudgetRun(t)
		err := r.Do(t.Context(), request, &testSink{})
		require.Equal(t, core.CodeStreamBroken, core.CodeOf(err))
		require.LessOrEqual(t, time.Now(), request.Deadline)
		r.requireNothingLeaks(t)
	})
}
