package dispatch

import (
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/requests/placement"
)

// Requests failed for want of retries although no server had got the request twice.
func TestUnreachableServersTakeNoRetry(t *testing.T) {
	cases := []struct {
		name       string
		retryBurst int
		first      serverBehaviour
	}{
		{"first attempts", 0, serverBehaviour{isUnreachable: true}},
		{"a stream that broke", 1, serverBehaviour{breaksAfter: 2}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tries := 0
				r := newFleetRun(t, "abcd", c.retryBurst, func(core.InstanceID) serverBehaviour {
					tries++
					switch tries {
					case 1:
						return c.first
					case 2, 3:
						return serverBehaviour{isUnreachable: true}
					default:
						return serverBehaviour{}
					}
				})
				request := testRequest()
				request.Stream, request.MaxAttempts = true, 2
				var out testSink
				require.NoError(t, r.Do(t.Context(), request, &out))
				require.Equal(t, r.fleet.text, out.String())
				require.Equal(t, 4, tries)
				require.Zero(t, r.placer.Retries())
				r.requireNothingLeaks(t)
			})
		})
	}
}

func TestUnreachableServersAreTriedOnceEach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tries := map[core.InstanceID]int{}
		r := newFleetRun(t, "abcd", 0, func(id core.InstanceID) serverBehaviour {
			tries[id]++
			return serverBehaviour{isUnreachable: true}
		})
		err := r.Do(t.Context(), testRequest(), &testSink{})
		require.Equal(t, core.ExecutionNotRun, core.ExecutionOf(err))
		require.Equal(t, map[core.InstanceID]int{"a": 1, "b": 1, "c": 1, "d": 1}, tries)
		require.Zero(t, r.placer.Capacity(r.config.Now(), core.Digest{}, []placement.Candidate{{ID: "a", Limit: 4}}), "an unreachable server is ejected")
	})
}
