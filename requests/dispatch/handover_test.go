package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/requests/attempt"
	"currantusher.dev/requests/fair"
	"currantusher.dev/requests/placement"
	"currantusher.dev/wire"
)

// handoverTrace records the handovers of streams.
type handoverTrace struct {
	noTrace
	from, to []core.InstanceID
}

func (m *handoverTrace) HandedOver(_ HandoverReason, from, to core.InstanceID) {
	m.from = append(m.from, from)
	m.to = append(m.to, to)
}

// A stream at a server that pauses is handed over once, after a complete data
// frame, to a server that does not pause, and only if the retry budget allows it.
func TestStreamIsHandedOverFromPausingServer(t *testing.T) {
	cases := []struct {
		name         string
		retryBurst   int
		serverPauses bool
		wantHandover bool
		candidates   []placement.Candidate
	}{
		{"handed over", 4, true, true, nil},
		{"no server pauses", 4, false, false, nil},
		{"no retry budget", 0, true, false, nil},
		{"all other servers pause too", 4, true, false, []placement.Candidate{
			{ID: "a", Limit: 4}, {ID: "b", Limit: 4, PauseStart: time.Unix(1, 0)},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				uninterrupted := []wire.AnswerFrame{header(), data(0, "abc"), data(1, "def"), end("abcdef")}
				resumed := []wire.AnswerFrame{header(), data(0, "def"), end("def")}
				s := &scriptedSender{attempts: [][]wire.AnswerFrame{uninterrupted, resumed}}
				placer := placement.New(placement.Config{Entry: "e"})
				placer.SetRetryBurst(c.retryBurst)
				queue := fair.New(fair.Config{Capacity: func() int { return 4 }})
				if c.candidates == nil {
					c.candidates = []placement.Candidate{{ID: "a", Limit: 4}, {ID: "b", Limit: 4}}
				}
				d := New(Config{
					Attempts:   attempt.NewGenerator("e", 1),
					Queue:      func(core.PoolName) *fair.Queue { return queue },
					Placer:     func(core.PoolName) *placement.Placer { return placer },
					Candidates: func(core.PoolName) []placement.Candidate { return c.candidates },
					Sender:     s,
				})
				trace := &handoverTrace{}
				request := testRequest()
				request.Stream = true
				request.Trace = trace
				request.PauseStart = func(core.InstanceID) time.Time {
					if c.serverPauses {
						return time.Now().Add(-time.Millisecond)
					}
					return time.Time{}
				}
				var out testSink
				require.NoError(t, d.Do(t.Context(), request, &out))
				require.Equal(t, "abcdef", out.String(), "no event is lost or duplicated")
				if !c.wantHandover {
					require.Empty(t, trace.from)
					require.Len(t, s.sentDispatches, 1)
					return
				}
				require.Len(t, trace.from, 1)
				require.NotEqual(t, trace.from[0], trace.to[0])
				require.EqualValues(t, 3, s.sentDispatches[1].ResumeOffset)
			})
		})
	}
}
