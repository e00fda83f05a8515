package dispatch

import (
	"context"
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

// refusingSender answers attempts of each agent with the next of its codes, and
// with an answer when there are none left.
type refusingSender struct {
	scriptedSender
	refusals map[core.InstanceID][]core.Code
}

func (s *refusingSender) Send(ctx context.Context, agent placement.Candidate, m wire.Dispatch) (ReplyStream, error) {
	frames := []wire.AnswerFrame{header(), data(0, "ok"), end("ok")}
	if codes := s.refusals[agent.ID]; len(codes) > 0 {
		s.refusals[agent.ID] = codes[1:]
		frames = []wire.AnswerFrame{{End: &wire.AnswerEnd{RequestID: m.RequestID, Code: codes[0], Execution: core.ExecutionNotRun}}}
	}
	s.attempts = append(s.attempts, frames)
	return s.scriptedSender.Send(ctx, agent, m)
}

// TestFullServerIsTriedAgainAfterALeavingOneRefused guards against a refusal with
// no-backend during a planned stop.
func TestFullServerIsTriedAgainAfterALeavingOneRefused(t *testing.T) {
	for _, other := range []core.Code{core.CodeDraining, core.CodeDataCentreOut, core.CodeEngineNotServing, core.CodeConfigStale} {
		synctest.Test(t, func(t *testing.T) {
			s := &refusingSender{refusals: map[core.InstanceID][]core.Code{
				"near": {core.CodeLimitReached},
				"far":  {other},
			}}
			placer := placement.New(placement.Config{Entry: "e", DataCentre: "x"})
			queue := fair.New(fair.Config{Capacity: func() int { return 4 }})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go func() { _ = queue.Run(ctx) }()
			candidates := []placement.Candidate{{ID: "near", DataCentre: "x", Limit: 4}, {ID: "far", DataCentre: "y", Limit: 4}}
			d := New(Config{
				Attempts:   attempt.NewGenerator("e", 1),
				Queue:      func(core.PoolName) *fair.Queue { return queue },
				Placer:     func(core.PoolName) *placement.Placer { return placer },
				Candidates: func(core.PoolName) []placement.Candidate { return candidates },
				Sender:     s,
			})
			var out testSink
			require.NoError(t, d.Do(t.Context(), testRequest(), &out), other)
			require.Equal(t, "ok", out.String())
		})
	}
}

// TestRequestWaitsWhenTheLastAgentIsFull guards against a refusal with no-backend
// when an agent leaves between the queue's grant and the pick.
func TestRequestWaitsWhenTheLastAgentIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		placer := placement.New(placement.Config{Entry: "e"})
		leaving := placement.Candidate{ID: "leaving", Limit: 4}
		stays := placement.Candidate{ID: "stays", Limit: 1}
		queue := fair.New(fair.Config{Capacity: func() int { return 4 }})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = queue.Run(ctx) }()
		d := New(Config{
			Attempts: attempt.NewGenerator("e", 1),
			Queue:    func(core.PoolName) *fair.Queue { return queue },
			Placer:   func(core.PoolName) *placement.Placer { return placer },
			Candidates: func(core.PoolName) []placement.Candidate {
				left := leaving
				left.Leaving = true
				return []placement.Candidate{left, stays}
			},
			Sender: &refusingSender{},
		})
		busy, err := placer.Pick(time.Now(), placement.Request{}, []placement.Candidate{stays})
		require.NoError(t, err)
		time.AfterFunc(300*time.Millisecond, func() { placer.Finish(time.Now(), busy.ID, placement.Answered, 0, 0) })
		var out testSink
		require.NoError(t, d.Do(t.Context(), testRequest(), &out))
		require.Equal(t, "ok", out.String())
	})
}
