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

// moves notes the streams that left a closing server.
type moves struct {
	noTrace
	from, to []core.InstanceID
}

func (m *moves) Moved(from, to core.InstanceID) {
	m.from = append(m.from, from)
	m.to = append(m.to, to)
}

// A stream leaves a server that closes after a whole part, once, for a server
// that stays open, and only when the retry budget pays for it.
func TestStreamLeavesAClosingServer(t *testing.T) {
	cases := []struct {
		name       string
		burst      int
		closing    bool
		elsewhere  bool
		candidates []placement.Candidate
	}{
		{"moves", 4, true, true, nil},
		{"stays where nothing closes", 4, false, false, nil},
		{"stays without budget", 0, true, false, nil},
		{"stays where all others close too", 4, true, false, []placement.Candidate{
			{ID: "a", Limit: 4}, {ID: "b", Limit: 4, PauseStart: time.Unix(1, 0)},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				whole := []wire.AnswerFrame{begin(), data(0, "abc"), data(1, "def"), end("abcdef")}
				rest := []wire.AnswerFrame{begin(), data(0, "def"), end("def")}
				s := &script{attempts: [][]wire.AnswerFrame{whole, rest}}
				placer := placement.New(placement.Config{Entry: "e"})
				placer.SetRetryBurst(c.burst)
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
				trace := &moves{}
				request := testRequest()
				request.Stream = true
				request.Trace = trace
				request.ClosesAt = func(core.InstanceID) time.Time {
					if c.closing {
						return time.Now().Add(-time.Millisecond)
					}
					return time.Time{}
				}
				var out testSink
				require.NoError(t, d.Do(t.Context(), request, &out))
				require.Equal(t, "abcdef", out.String(), "no event is lost or comes twice")
				if !c.elsewhere {
					require.Empty(t, trace.from)
					require.Len(t, s.sent, 1)
					return
				}
				require.Len(t, trace.from, 1)
				require.NotEqual(t, trace.from[0], trace.to[0])
				require.EqualValues(t, 3, s.sent[1].ResumeOffset)
			})
		})
	}
}
