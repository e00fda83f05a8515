package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/requests/placement"
)

// A broken stream was cut because the only other server had refused it for a moment.
func TestBrokenStreamReturnsToTheServerThatRefusedIt(t *testing.T) {
	for _, hasAgents := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) { testReturnToRefusingServer(t, hasAgents) })
	}
}

func testReturnToRefusingServer(t *testing.T, hasAgents bool) {
	sends := 0
	r := newFleetRun(t, "ab", 4, func(core.InstanceID) serverBehaviour {
		sends++
		switch sends {
		case 1:
			return serverBehaviour{breaksAfter: 2}
		case 2:
			return serverBehaviour{refusal: core.CodeEngineNotServing}
		default:
			return serverBehaviour{}
		}
	})
	request := testRequest()
	request.Stream, request.MaxAttempts = true, 2
	request.Deadline = time.Now().Add(6 * time.Second)
	if !hasAgents {
		request.Candidates = func() []placement.Candidate { return r.servers }
	}
	var out gapSink
	require.NoError(t, r.Do(t.Context(), request, &out))
	require.Equal(t, r.fleet.text, out.String())
	require.Equal(t, 2, r.placer.Retries(), "each further send takes one retry")
	r.requireNothingLeaks(t)
}

func TestBrokenStreamDoesNotReturnToAServerThatBrokeItAfterARefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sends := 0
		r := newFleetRun(t, "ab", 8, func(core.InstanceID) serverBehaviour {
			sends++
			if sends == 2 {
				return serverBehaviour{refusal: core.CodeEngineNotServing}
			}
			return serverBehaviour{breaksAfter: 2}
		})
		for _, server := range r.servers {
			// A server that failed is probed only while it has no other request.
			r.placer.Finish(time.Now(), server.ID, placement.Inconclusive, 0, 0)
		}
		request := testRequest()
		request.Stream, request.MaxAttempts = true, 3
		request.Deadline = time.Now().Add(6 * time.Second)
		err := r.Do(t.Context(), request, &testSink{})
		require.Equal(t, core.CodeStreamBroken, core.CodeOf(err))
		require.Equal(t, 3, sends)
		require.Zero(t, r.fleet.open)
	})
}

func TestBrokenStreamThatAllServersRefuseEndsBeforeItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sends := 0
		r := newFleetRun(t, "abc", 100, func(core.InstanceID) serverBehaviour {
			sends++
			if sends == 1 {
				return serverBehaviour{breaksAfter: 2}
			}
			return serverBehaviour{refusal: core.CodeEngineNotServing}
		})
		request := testRequest()
		request.Stream, request.MaxAttempts = true, 2
		request.Deadline = time.Now().Add(6 * time.Second)
		err := r.Do(t.Context(), request, &testSink{})
		require.Equal(t, core.CodeStreamBroken, core.CodeOf(err))
		require.LessOrEqual(t, time.Now(), request.Deadline)
		require.LessOrEqual(t, sends, 1+2*6, "about one send a second to each server")
		r.requireNothingLeaks(t)
	})
}
