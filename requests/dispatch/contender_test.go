package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/requests/placement"
)

// behaviours returns the behaviour of servers by id; the others are sound.
func behaviours(m map[core.InstanceID]serverBehaviour) func(core.InstanceID) serverBehaviour {
	return func(id core.InstanceID) serverBehaviour {
		if b, ok := m[id]; ok {
			return b
		}
		return serverBehaviour{firstEventAfter: eventInterval, eventInterval: eventInterval}
	}
}

// The head of an answer ended the attempts at other servers, one of which had its first
// event ready while the first server fell silent again.
func TestHeadOfASilentServerDoesNotEndTheOtherAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, request := newSilentRun(t, "ab", 0, serverBehaviour{})
		r.fleet.silences = map[core.InstanceID]silence{"a": {until: time.Now().Add(1100 * time.Millisecond)}}
		request.StartTimeout, request.IdleTimeout = time.Second, 1500*time.Millisecond
		r.fleet.handles = behaviours(map[core.InstanceID]serverBehaviour{
			"a": {hasEarlyHeader: true, firstEventAfter: time.Minute},
			"b": {firstEventAfter: 300 * time.Millisecond, eventInterval: eventInterval},
		})
		startedAt := time.Now()
		var out gapSink
		require.NoError(t, r.Do(t.Context(), request, &out))
		require.Equal(t, r.fleet.text, out.String())
		require.Less(t, time.Since(startedAt), 5*time.Second)
		r.requireNothingLeaks(t)
	})
}

// The refusal counted as an attempt that may have run, and the request waited for a silent
// server until its deadline although a sound one was left.
func TestLateRefusalOfASilentServerLeavesAnAttemptForAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, request := newSilentRun(t, "abc", 0, serverBehaviour{})
		r.fleet.silences = nil
		request.StartTimeout = time.Second
		r.fleet.handles = behaviours(map[core.InstanceID]serverBehaviour{
			"a": {refusal: core.CodeEngineNotServing, firstEventAfter: 1500 * time.Millisecond},
			"b": {isSilent: true},
		})
		r.config.Candidates = r.candidatesByAsked(r.servers)
		startedAt := time.Now()
		var out testSink
		require.NoError(t, r.Do(t.Context(), request, &out))
		require.Equal(t, r.fleet.text, out.String())
		require.Less(t, time.Since(startedAt), 10*time.Second)
		r.requireNothingLeaks(t)
	})
}

// A stream of which the second server broke off was cut although only that one had run it.
func TestStreamThatLeftAServerWhichRefusedItLateHasAnotherAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, request := newSilentRun(t, "abc", 0, serverBehaviour{})
		r.fleet.silences = nil
		request.StartTimeout = time.Second
		r.fleet.handles = behaviours(map[core.InstanceID]serverBehaviour{
			"a": {refusal: core.CodeEngineNotServing, firstEventAfter: 1200 * time.Millisecond},
			"b": {firstEventAfter: 500 * time.Millisecond, eventInterval: eventInterval, breaksAfter: 2},
		})
		r.config.Candidates = r.candidatesByAsked(r.servers)
		var out testSink
		require.NoError(t, r.Do(t.Context(), request, &out))
		require.Equal(t, r.fleet.text, out.String())
		r.requireNothingLeaks(t)
	})
}

// A server that had not answered yet was asked a second time while other attempts were left.
func TestNoServerGetsARequestTwiceWhileTheFirstAttemptThereIsOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, request := newSilentRun(t, "ab", 5*time.Second, serverBehaviour{isSilent: true})
		request.MaxAttempts = 4
		r.config.Candidates = r.candidatesByAsked(r.servers)
		var out testSink
		require.NoError(t, r.Do(t.Context(), request, &out))
		require.Equal(t, r.fleet.text, out.String())
		require.Equal(t, 1, r.fleet.mayHaveRun["b"])
		r.requireNothingLeaks(t)
	})
}

// The next server was asked only after the start timeout of the one that had failed.
func TestNextServerIsAskedAtOnceAfterOneHasFailed(t *testing.T) {
	for name, next := range map[string]serverBehaviour{"breaks": {breaksAfter: -1}, "refuses": {refusal: core.CodeEngineNotServing}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, request := newSilentRun(t, "abc", time.Hour, serverBehaviour{})
				request.MaxAttempts, request.StartTimeout = 3, 5*time.Second
				r.fleet.handles = behaviours(map[core.InstanceID]serverBehaviour{"b": next})
				r.config.Candidates = r.candidatesByAsked(r.servers)
				var out gapSink
				require.NoError(t, r.Do(t.Context(), request, &out))
				require.Equal(t, r.fleet.text, out.String())
				require.LessOrEqual(t, out.longestGap, testStallTimeout+stallGrace+2*eventInterval)
				r.requireNothingLeaks(t)
			})
		})
	}
}

// The longer timeout for streams of stalled servers replaced the idle timeout.
func TestReportOfAStallDoesNotPostponeTheIdleTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, request := newSilentRun(t, "ab", time.Hour, serverBehaviour{firstEventAfter: eventInterval, eventInterval: eventInterval})
		request.IdleTimeout, request.StallTimeout = testStallTimeout, 4*testStallTimeout
		var out gapSink
		require.NoError(t, r.Do(t.Context(), request, &out))
		require.Equal(t, r.fleet.text, out.String())
		require.LessOrEqual(t, out.longestGap, testStallTimeout+stallGrace+eventInterval)
		r.requireNothingLeaks(t)
	})
}

// The first event after the head of a silent server was lost when the other server had
// refused in between.
func TestEventAfterTheHeadOfASilentServerIsPassedOn(t *testing.T) {
	for name, other := range map[string]serverBehaviour{
		"refuses": {refusal: core.CodeEngineNotServing, firstEventAfter: 200 * time.Millisecond},
		"breaks":  {breaksAfter: -1, firstEventAfter: 200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, request := newSilentRun(t, "ab", 0, serverBehaviour{})
				r.fleet.silences = map[core.InstanceID]silence{"a": {until: time.Now().Add(1100 * time.Millisecond)}}
				request.StartTimeout, request.IdleTimeout = time.Second, 1500*time.Millisecond
				r.fleet.handles = behaviours(map[core.InstanceID]serverBehaviour{
					"a": {hasEarlyHeader: true, firstEventAfter: 1600 * time.Millisecond, eventInterval: eventInterval},
					"b": other,
				})
				var out testSink
				require.NoError(t, r.Do(t.Context(), request, &out))
				require.Equal(t, r.fleet.text, out.String())
				r.requireNothingLeaks(t)
			})
		})
	}
}

// candidatesByAsked offers the servers in order: each one once those before it were asked.
func (r *fleetRun) candidatesByAsked(all []placement.Candidate) func(core.PoolName) []placement.Candidate {
	return func(core.PoolName) []placement.Candidate {
		r.fleet.mu.Lock()
		defer r.fleet.mu.Unlock()
		return all[:min(len(r.fleet.asked)+1, len(all))]
	}
}

// The refusal of the silent server was being read while the other attempt took over.
func TestRefusalThatArrivesWithTheFirstEventOfAnotherServer(t *testing.T) {
	for range 50 {
		synctest.Test(t, func(t *testing.T) {
			r, request := newSilentRun(t, "ab", 0, serverBehaviour{})
			r.fleet.silences = nil
			request.StartTimeout = time.Second
			r.fleet.handles = behaviours(map[core.InstanceID]serverBehaviour{
				"a": {refusal: core.CodeEngineNotServing, firstEventAfter: time.Second + stallGrace + eventInterval},
			})
			r.config.Candidates = r.candidatesByAsked(r.servers)
			var out testSink
			require.NoError(t, r.Do(t.Context(), request, &out))
			require.Equal(t, r.fleet.text, out.String())
			r.requireNothingLeaks(t)
		})
	}
}

// With two attempts, a stream was cut that could have returned to a server that it had left.
func TestAbandonedAttemptDoesNotUseUpTheAttemptsOfAStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, request := newSilentRun(t, "abc", testSilence, serverBehaviour{})
		sends := 0
		r.fleet.handles = func(id core.InstanceID) serverBehaviour {
			sends++
			switch {
			case id == "a":
				return serverBehaviour{firstEventAfter: eventInterval, eventInterval: eventInterval, breaksAfter: 6}
			case sends == 2:
				return serverBehaviour{isSilent: true}
			default:
				return serverBehaviour{firstEventAfter: eventInterval, eventInterval: eventInterval}
			}
		}
		r.config.Candidates = r.candidatesByAsked(r.servers)
		var out testSink
		require.NoError(t, r.Do(t.Context(), request, &out))
		require.Equal(t, r.fleet.text, out.String())
		require.LessOrEqual(t, len(r.fleet.mayHaveRun), request.MaxAttempts, "servers that may have run the request")
		r.requireNothingLeaks(t)
	})
}
