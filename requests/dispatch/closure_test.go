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

// closingSender refuses to send to the agents in closed and passes the other attempts
// to scriptedSender.
type closingSender struct {
	scriptedSender
	closed map[core.InstanceID]bool
	unsent int
}

func (s *closingSender) Send(ctx context.Context, agent placement.Candidate, m wire.Dispatch) (ReplyStream, error) {
	if s.closed[agent.ID] {
		s.unsent++
		return nil, core.NewRefusal(core.CodeServerClosed, 0, "%s is leaving", agent.ID)
	}
	return s.scriptedSender.Send(ctx, agent, m)
}

// newClosureDispatcher returns a dispatcher whose retry budget is empty, with agents
// a, b, c and so on.
func newClosureDispatcher(s Sender, agents string, retryBurst int) (*Dispatcher, *placement.Placer) {
	placer := placement.New(placement.Config{Entry: "e", EjectAfterFailures: 1})
	placer.SetRetryBurst(retryBurst)
	queue := fair.New(fair.Config{Capacity: func() int { return 4 }})
	var candidates []placement.Candidate
	for _, id := range agents {
		candidates = append(candidates, placement.Candidate{ID: core.InstanceID(id), Limit: 4})
	}
	return New(Config{
		Attempts:   attempt.NewGenerator("e", 1),
		Queue:      func(core.PoolName) *fair.Queue { return queue },
		Placer:     func(core.PoolName) *placement.Placer { return placer },
		Candidates: func(core.PoolName) []placement.Candidate { return candidates },
		Sender:     s,
	}), placer
}

// A request that had waited for a connection was sent to a server that had closed
// meanwhile.
func TestClosedServerCostsNeitherRetryNorAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &closingSender{closed: map[core.InstanceID]bool{"a": true, "b": true, "c": true}}
		s.attempts = [][]wire.AnswerFrame{{header(), data(0, "ok"), end("ok")}}
		d, placer := newClosureDispatcher(s, "abcd", 0)
		request := testRequest()
		request.MaxAttempts, request.AtMostOnce, request.Unclaimed = 1, true, true
		var out testSink
		for s.unsent < 3 {
			s.sentDispatches = nil
			out.Reset()
			require.NoError(t, d.Do(t.Context(), request, &out))
			require.Equal(t, "ok", out.String())
		}
		candidates := []placement.Candidate{{ID: "a", Limit: 4}, {ID: "b", Limit: 4}, {ID: "c", Limit: 4}}
		require.Equal(t, 12, placer.Capacity(time.Now(), core.Digest{}, candidates), "an unsent request must not eject its server")
		for _, c := range candidates {
			require.Zero(t, placer.InFlight(c.ID))
		}
	})
}

func TestRequestIsRefusedAtOnceWhileAllServersAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		opensAt := time.Now().Add(300 * time.Millisecond)
		closure := func() *fair.Closure { return &fair.Closure{OpensAt: opensAt, Slots: 1, Detail: "all paused"} }
		s := &closingSender{closed: map[core.InstanceID]bool{"a": true}}
		d, _ := newClosureDispatcher(s, "a", 4)
		request := testRequest()
		request.Closure = closure
		startedAt := time.Now()
		err := d.Do(t.Context(), request, &testSink{})
		require.Equal(t, core.CodeServerClosed, core.CodeOf(err))
		require.Equal(t, core.ExecutionNotRun, core.ExecutionOf(err))
		require.Equal(t, 300*time.Millisecond, core.RetryAfterOf(err))
		require.Zero(t, s.unsent)

		isClosed := false
		request.Closure = func() *fair.Closure {
			if !isClosed {
				isClosed = true
				return nil
			}
			return closure()
		}
		err = d.Do(t.Context(), request, &testSink{})
		require.Equal(t, core.CodeServerClosed, core.CodeOf(err))
		require.GreaterOrEqual(t, core.RetryAfterOf(err), 300*time.Millisecond)
		require.Equal(t, 1, s.unsent)
		require.Equal(t, startedAt, time.Now(), "no request waited")
	})
}

// A refusal named the time after which to return to the server that refused, or a
// short one, although no server was open then.
func TestLastRefusalNamesTheTimeOfTheFirstThatOpens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		opensAt := time.Now().Add(700 * time.Millisecond)
		for _, retryBurst := range []int{0, 4} {
			s := &closingSender{}
			s.attempts = [][]wire.AnswerFrame{{refusal(core.CodeServerClosed)}}
			d, _ := newClosureDispatcher(s, "ab", retryBurst)
			request := testRequest()
			request.Closure = func() *fair.Closure {
				if len(s.sentDispatches) == 0 {
					return nil
				}
				return &fair.Closure{OpensAt: opensAt, Slots: 100}
			}
			request.MaxAttempts = 1 + retryBurst
			s.closed = map[core.InstanceID]bool{}
			err := d.Do(t.Context(), request, &testSink{})
			require.Equal(t, core.ExecutionNotRun, core.ExecutionOf(err))
			require.GreaterOrEqual(t, core.RetryAfterOf(err), 700*time.Millisecond)
		}
	})
}

// The servers that were tried before the pause are tried again after it.
func TestBrokenStreamContinuesWhenAServerOpens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		opensAt := time.Now().Add(400 * time.Millisecond)
		s := &closingSender{}
		s.attempts = [][]wire.AnswerFrame{{header(), data(0, "abc")}, {refusal(core.CodeServerClosed)}, {header(), data(0, "def"), end("def")}}
		d, _ := newClosureDispatcher(s, "ab", 4)
		d.config.Candidates = func(core.PoolName) []placement.Candidate {
			if len(s.sentDispatches) == 2 && time.Now().Before(opensAt) {
				return nil
			}
			return []placement.Candidate{{ID: "a", Limit: 4}, {ID: "b", Limit: 4}}
		}
		request := testRequest()
		request.Stream = true
		request.Closure = func() *fair.Closure {
			if len(s.sentDispatches) == 2 && time.Now().Before(opensAt) {
				return &fair.Closure{OpensAt: opensAt, Slots: 1}
			}
			return nil
		}
		var out testSink
		require.NoError(t, d.Do(t.Context(), request, &out))
		require.Equal(t, "abcdef", out.String())
		require.Equal(t, opensAt, time.Now())
	})
}
