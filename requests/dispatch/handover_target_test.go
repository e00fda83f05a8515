package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/requests/placement"
)

const eventInterval = 60 * time.Millisecond

// pausing returns a PauseStart for which the server pauses since the given time.
func pausing(server core.InstanceID, since time.Time) func(core.InstanceID) time.Time {
	return func(id core.InstanceID) time.Time {
		if id == server {
			return since
		}
		return time.Time{}
	}
}

// newStreamRun returns a run in which server a gets the first attempt of a stream and
// pauses, and the other servers behave as target says.
func newStreamRun(t *testing.T, servers string, target serverBehaviour) (*fleetRun, Request) {
	good := serverBehaviour{firstEventAfter: eventInterval, eventInterval: eventInterval}
	r := newFleetRun(t, servers, 8, func(id core.InstanceID) serverBehaviour {
		if id == "a" {
			return good
		}
		return target
	})
	all := r.servers
	r.config.Candidates = func(core.PoolName) []placement.Candidate {
		if r.fleet.sent == 0 {
			return all[:1]
		}
		return all
	}
	request := testRequest()
	request.Stream, request.MaxAttempts = true, 2
	request.Deadline = time.Now().Add(time.Minute)
	request.PauseStart = pausing("a", time.Now())
	return r, request
}

// A handover closed a stream that its server still served, and the caller's stream was
// cut when the other server did not continue it.
func TestFailedHandoverDoesNotCutTheStream(t *testing.T) {
	cases := []struct {
		name   string
		target serverBehaviour
		// heldUp is whether the stream waits for the whole timeout.
		heldUp bool
	}{
		{"refuses", serverBehaviour{refusal: core.CodeEngineNotServing}, false},
		{"refuses late", serverBehaviour{refusal: core.CodeEngineNotServing, firstEventAfter: time.Second}, true},
		{"unreachable", serverBehaviour{isUnreachable: true}, false},
		{"closed meanwhile", serverBehaviour{isClosed: true}, false},
		{"breaks before the header", serverBehaviour{breaksAfter: -1}, false},
		{"silent", serverBehaviour{isSilent: true}, true},
		{"silent after the header", serverBehaviour{firstEventAfter: time.Second, hasEarlyHeader: true}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, request := newStreamRun(t, "ab", c.target)
				trace := &handoverTrace{}
				request.Trace = trace
				handedOverAt := time.Now().Add(eventInterval)
				var out gapSink
				require.NoError(t, r.Do(t.Context(), request, &out))
				require.Equal(t, r.fleet.text, out.String())
				require.Empty(t, trace.to)
				wantGap := eventInterval
				if c.heldUp {
					wantGap = DefaultHandoverTimeout
				}
				require.Equal(t, wantGap, out.longestGap)
				require.LessOrEqual(t, r.fleet.sent, 2, "no target gets the request twice")
				hasCapacity := r.placer.Capacity(handedOverAt, core.Digest{}, r.servers[1:]) > 0
				require.Equal(t, c.heldUp || c.target.isClosed, hasCapacity, "a slow server is not ejected")
				r.requireNothingLeaks(t)
			})
		})
	}
}

// The target's first data and the timeout come at the same time.
func TestTargetThatBeginsAtTheTimeoutCutsNoStream(t *testing.T) {
	for range 50 {
		synctest.Test(t, func(t *testing.T) {
			target := serverBehaviour{firstEventAfter: DefaultHandoverTimeout, eventInterval: eventInterval, hasEarlyHeader: true}
			r, request := newStreamRun(t, "ab", target)
			var out testSink
			require.NoError(t, r.Do(t.Context(), request, &out))
			require.Equal(t, r.fleet.text, out.String())
			r.requireNothingLeaks(t)
		})
	}
}

func TestHandoverKeepsTheStreamOpenUntilTheTargetContinuesIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := serverBehaviour{firstEventAfter: 150 * time.Millisecond, eventInterval: eventInterval, hasEarlyHeader: true}
		r, request := newStreamRun(t, "ab", target)
		trace := &handoverTrace{}
		request.Trace = trace
		var out gapSink
		require.NoError(t, r.Do(t.Context(), request, &out))
		require.Equal(t, r.fleet.text, out.String())
		require.Equal(t, []core.InstanceID{"b"}, trace.to)
		require.Equal(t, 2, r.fleet.maxOpen)
		require.Equal(t, 150*time.Millisecond, out.longestGap)
		require.Equal(t, 7, r.placer.Retries())
		r.requireNothingLeaks(t)
	})
}

// Each handover holds up the stream and takes a retry.
func TestRefusedHandoverIsTriedAgainElsewhereAfterADelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, request := newStreamRun(t, "abcde", serverBehaviour{refusal: core.CodeEngineNotServing})
		var sentAt []time.Time
		handles := r.fleet.handles
		r.fleet.handles = func(id core.InstanceID) serverBehaviour {
			sentAt = append(sentAt, time.Now())
			if len(sentAt) == 3 {
				return serverBehaviour{eventInterval: eventInterval}
			}
			return handles(id)
		}
		trace := &handoverTrace{}
		request.Trace = trace
		var out testSink
		require.NoError(t, r.Do(t.Context(), request, &out))
		require.Equal(t, r.fleet.text, out.String())
		require.Len(t, trace.to, 1)
		require.Len(t, sentAt, 3)
		require.GreaterOrEqual(t, sentAt[2].Sub(sentAt[1]), handoverRetryDelay)
		r.requireNothingLeaks(t)
	})
}

func TestCallerThatLeavesDuringAHandoverEndsBothAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, request := newStreamRun(t, "ab", serverBehaviour{isSilent: true})
		ctx, cancel := context.WithTimeout(t.Context(), eventInterval+DefaultHandoverTimeout/2)
		defer cancel()
		startedAt := time.Now()
		err := r.Do(ctx, request, &testSink{})
		require.Equal(t, core.CodeStreamBroken, core.CodeOf(err))
		require.Equal(t, eventInterval+DefaultHandoverTimeout/2, time.Since(startedAt))
		require.Equal(t, 2, r.fleet.maxOpen)
		r.requireNothingLeaks(t)
	})
}

// The stall detector may cancel the old attempt while the target is tried.
func TestStreamThatBreaksDuringAFailedHandoverIsResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, request := newStreamRun(t, "abc", serverBehaviour{})
		request.MaxAttempts = 3
		sends := 0
		r.fleet.handles = func(core.InstanceID) serverBehaviour {
			sends++
			switch sends {
			case 1:
				return serverBehaviour{eventInterval: eventInterval, breaksAfter: 1}
			case 2:
				return serverBehaviour{isSilent: true}
			default:
				return serverBehaviour{}
			}
		}
		var out testSink
		require.NoError(t, r.Do(t.Context(), request, &out))
		require.Equal(t, r.fleet.text, out.String())
		require.Equal(t, 3, r.fleet.sent)
		r.requireNothingLeaks(t)
	})
}
