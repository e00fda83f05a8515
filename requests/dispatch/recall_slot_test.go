package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/requests/placement"
)

// Recalled requests held all slots while they waited for retries that only other requests earn.
func TestRecalledRequestsThatWaitForARetryLeaveTheirSlotsToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, request := newRecalledRun(t, serverBehaviour{recalledAfter: testRecallAfter})
		request.Deadline = time.Now().Add(30 * time.Second)
		r.fleet.handles = func(core.InstanceID) serverBehaviour { return serverBehaviour{recalledAfter: testRecallAfter} }
		r.config.Candidates = func(core.PoolName) []placement.Candidate { return r.servers }
		recalled := make(chan error, 4)
		for range cap(recalled) {
			go func() { recalled <- r.Do(t.Context(), request, &testSink{}) }()
		}
		time.Sleep(2 * testRecallAfter)
		r.fleet.mu.Lock()
		r.fleet.handles = behaviours(nil)
		r.fleet.mu.Unlock()
		var out testSink
		startedAt := time.Now()
		other := request
		other.Deadline = startedAt.Add(10 * time.Second)
		require.NoError(t, r.Do(t.Context(), other, &out), "the servers have room")
		require.Equal(t, r.fleet.text, out.String())
		r.placer.ReturnRetries(cap(recalled))
		for range cap(recalled) {
			require.NoError(t, <-recalled)
		}
		require.Less(t, time.Since(startedAt), 20*time.Second)
		r.requireNothingLeaks(t)
	})
}
