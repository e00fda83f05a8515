package dispatch

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/requests/placement"
)

const (
	testStallAfter   = 450 * time.Millisecond
	testStallTimeout = time.Second
	// testSilence is longer than testStallTimeout.
	testSilence = 1400 * time.Millisecond
)

// newSilentRun returns a run in which server a gets the first attempt of a stream and is
// silent for a time after some events, and the other servers behave as next says.
func newSilentRun(t *testing.T, servers string, forTime time.Duration, next serverBehaviour) (*fleetRun, Request) {
	r, request := newStreamRun(t, servers, next)
	request.PauseStart = nil
	request.StallTimeout = testStallTimeout
	from := time.Now().Add(2*eventInterval + eventInterval/2)
	r.fleet.silences = map[core.InstanceID]silence{"a": {from: from, until: from.Add(forTime)}}
	r.fleet.stallAfter = testStallAfter
	return r, request
}

// A stream was closed at a server that was silent for a moment, and the caller's stream
// was cut when no other server continued it.
func TestStreamOfASilentServerIsNotCutByTheNextServer(t *testing.T) {
	cases := map[string]serverBehaviour{
		"refuses":                {refusal: core.CodeEngineNotServing},
		"refuses late":           {refusal: core.CodeEngineNotServing, firstEventAfter: time.Second},
		"unreachable":            {isUnreachable: true},
		"closed meanwhile":       {isClosed: true},
		"breaks before the head": {breaksAfter: -1},
		"silent as well":         {isSilent: true},
		"silent after the head":  {firstEventAfter: time.Minute, hasEarlyHeader: true},
	}
	for name, next := range cases {
		t.Run(name, func(t *testing.T) {
			for _, servers := range []string{"ab", "abcd"} {
				synctest.Test(t, func(t *testing.T) {
					r, request := newSilentRun(t, servers, testSilence, next)
					var out gapSink
					require.NoError(t, r.Do(t.Context(), request, &out))
					require.Equal(t, r.fleet.text, out.String())
					require.Greater(t, len(r.fleet.asked), 1, "another server was asked")
					require.Less(t, out.longestGap, testSilence+2*eventInterval)
					r.requireNothingLeaks(t)
				})
			}
		})
	}
}

func TestStreamOfAServerThatGoesOnSoonStaysThere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, request := newSilentRun(t, "ab", testStallTimeout-eventInterval, serverBehaviour{})
		var out testSink
		require.NoError(t, r.Do(t.Context(), request, &out))
		require.Equal(t, r.fleet.text, out.String())
		require.Equal(t, 1, r.fleet.sent)
		require.Equal(t, 8, r.placer.Retries())
		r.requireNothingLeaks(t)
	})
}

func TestStreamOfAServerThatDoesNotGoOnContinuesElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, request := newSilentRun(t, "ab", time.Hour, serverBehaviour{firstEventAfter: eventInterval, eventInterval: eventInterval})
		trace := &handoverTrace{}
		request.Trace = trace
		var out gapSink
		require.NoError(t, r.Do(t.Context(), request, &out))
		require.Equal(t, r.fleet.text, out.String())
		require.Equal(t, []core.InstanceID{"b"}, trace.to)
		require.Equal(t, testStallTimeout+stallGrace+eventInterval, out.longestGap)
		require.Equal(t, 7, r.placer.Retries())
		r.requireNothingLeaks(t)
	})
}

// A server that goes on while the next one reads the prompt must not lose its stream.
func TestSilentServerThatGoesOnFirstKeepsItsStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, request := newSilentRun(t, "ab", testSilence, serverBehaviour{firstEventAfter: time.Second, eventInterval: eventInterval})
		trace := &handoverTrace{}
		request.Trace = trace
		var out gapSink
		require.NoError(t, r.Do(t.Context(), request, &out))
		require.Equal(t, r.fleet.text, out.String())
		require.Empty(t, trace.to)
		require.Equal(t, 2, r.fleet.maxOpen)
		r.requireNothingLeaks(t)
	})
}

func TestStreamOfASilentServerIsNotCutWithoutARetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, request := newSilentRun(t, "ab", testSilence, serverBehaviour{})
		for r.placer.WithdrawRetry() {
		}
		var out testSink
		require.NoError(t, r.Do(t.Context(), request, &out))
		require.Equal(t, r.fleet.text, out.String())
		require.Equal(t, 1, r.fleet.sent)
		r.requireNothingLeaks(t)
	})
}

func TestStreamOfASilentServerIsNotCutInItsLastAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, request := newSilentRun(t, "ab", 10*time.Second, serverBehaviour{})
		request.MaxAttempts, request.IdleTimeout = 1, time.Second
		var out testSink
		require.NoError(t, r.Do(t.Context(), request, &out))
		require.Equal(t, r.fleet.text, out.String())
		require.Equal(t, 1, r.fleet.sent)
		r.requireNothingLeaks(t)
	})
}

// The time for which a handover had kept the stream unread counted as silence of its server.
func TestTimeOfAFailedHandoverDoesNotCountAsSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, request := newStreamRun(t, "abc", serverBehaviour{isSilent: true})
		request.MaxAttempts, request.IdleTimeout = 3, DefaultHandoverTimeout/2
		handovers := 0
		request.PauseStart = func(core.InstanceID) time.Time {
			handovers++
			if handovers > 1 {
				return time.Time{}
			}
			return time.Now()
		}
		var out gapSink
		require.NoError(t, r.Do(t.Context(), request, &out))
		require.Equal(t, r.fleet.text, out.String())
		require.Equal(t, DefaultHandoverTimeout, out.longestGap)
		require.Equal(t, 2, r.fleet.sent)
		r.requireNothingLeaks(t)
	})
}

// A request that had not begun at a silent server ended with an error when all other
// servers refused it.
func TestRequestThatWaitsAtASilentServerIsAnsweredIfAllOthersRefuse(t *testing.T) {
	for _, isStream := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			r, request := newSilentRun(t, "abc", time.Second, serverBehaviour{refusal: core.CodeEngineNotServing})
			request.Stream = isStream
			r.fleet.silences["a"] = silence{from: time.Now(), until: time.Now().Add(time.Second)}
			var out testSink
			require.NoError(t, r.Do(t.Context(), request, &out))
			require.Equal(t, r.fleet.text, out.String())
			require.Equal(t, 3, r.fleet.sent)
			r.requireNothingLeaks(t)
		})
	}
}

// The caller's latency objective leaves no time for a request that has not begun.
func TestRequestThatHasNotBegunLeavesAStalledServerAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, request := newSilentRun(t, "ab", time.Hour, serverBehaviour{})
		r.fleet.silences["a"] = silence{from: time.Now(), until: time.Now().Add(time.Hour)}
		startedAt := time.Now()
		require.NoError(t, r.Do(t.Context(), request, &testSink{}))
		require.Equal(t, testStallAfter+stallGrace, time.Since(startedAt))
		r.requireNothingLeaks(t)
	})
}

func TestStreamContinuesAtTheNextServerIfTheSilentOneFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		next := serverBehaviour{firstEventAfter: time.Second, eventInterval: eventInterval}
		r, request := newSilentRun(t, "ab", testSilence, next)
		r.fleet.handles = func(id core.InstanceID) serverBehaviour {
			if id == "a" {
				return serverBehaviour{firstEventAfter: eventInterval, eventInterval: eventInterval, breaksAfter: 2}
			}
			return next
		}
		var out testSink
		require.NoError(t, r.Do(t.Context(), request, &out))
		require.Equal(t, r.fleet.text, out.String())
		require.Equal(t, 2, r.fleet.sent)
		r.requireNothingLeaks(t)
	})
}

func TestCallerThatLeavesASilentServerEndsAllAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, request := newSilentRun(t, "ab", time.Hour, serverBehaviour{isSilent: true})
		ctx, cancel := context.WithTimeout(t.Context(), 2*testStallTimeout)
		defer cancel()
		err := r.Do(ctx, request, &testSink{})
		require.Equal(t, core.CodeStreamBroken, core.CodeOf(err))
		require.Equal(t, 2, r.fleet.maxOpen)
		require.Equal(t, 2, r.fleet.sent)
		r.requireNothingLeaks(t)
	})
}

// stayTrace records why a request stays at its silent server.
type stayTrace struct {
	noTrace
	reasons []StayReason
}

// Stays implements Trace.
func (m *stayTrace) Stays(_ core.InstanceID, reason StayReason, _ int) {
	m.reasons = append(m.reasons, reason)
}

// After a refusal, the log did not say why a request waited at its silent server until its
// caller was about to leave.
func TestTraceSaysOnceWhyARequestStaysAtItsSilentServer(t *testing.T) {
	for reason, c := range map[StayReason]struct {
		servers              string
		maxAttempts, retries int
		cannotResume         bool
	}{
		StayNoServer:     {servers: "a", maxAttempts: 2, retries: 8},
		StayNoRetry:      {servers: "abc", maxAttempts: 2, retries: 1},
		StayNoAttempt:    {servers: "ab", maxAttempts: 1, retries: 8},
		StayNotResumable: {servers: "ab", maxAttempts: 2, retries: 8, cannotResume: true},
	} {
		t.Run(string(reason), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, request := newSilentRun(t, c.servers, 3*testSilence, serverBehaviour{})
				r.fleet.handles = behaviours(map[core.InstanceID]serverBehaviour{"b": {refusal: core.CodeEngineNotServing}})
				r.config.Candidates = r.candidatesByAsked(r.servers)
				r.placer.SetRetryBurst(c.retries)
				trace := &stayTrace{}
				request.Trace, request.MaxAttempts = trace, c.maxAttempts
				request.CanResume = func() bool { return !c.cannotResume }
				var out testSink
				require.NoError(t, r.Do(t.Context(), request, &out))
				require.Equal(t, r.fleet.text, out.String())
				require.Equal(t, []StayReason{reason}, trace.reasons)
				r.requireNothingLeaks(t)
			})
		})
	}
}

// Each server that stalled had its requests cancelled for the whole retry budget.
func TestStreamsOfServersThatStallTogetherAreNotCutBeyondTheRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const retries, streams = 4, 8
		r, request := newSilentRun(t, "abc", time.Hour, serverBehaviour{})
		for r.placer.Retries() > retries {
			r.placer.WithdrawRetry()
		}
		until := time.Now().Add(5 * time.Second)
		r.fleet.silences["a"] = silence{from: r.fleet.silences["a"].from, until: until}
		r.fleet.silences["b"] = r.fleet.silences["a"]
		all := r.servers
		for i := range all {
			all[i].Limit = 2 * streams
		}
		var picks atomic.Int64
		r.config.Candidates = func(core.PoolName) []placement.Candidate {
			if picks.Add(1) <= streams {
				return all[:2]
			}
			return all[2:]
		}
		r.fleet.handles = func(core.InstanceID) serverBehaviour {
			return serverBehaviour{firstEventAfter: eventInterval, eventInterval: eventInterval}
		}
		var group sync.WaitGroup
		outs := make([]testSink, streams)
		errs := make([]error, streams)
		for i := range streams {
			// The requests are placed one after the other.
			synctest.Wait()
			group.Go(func() { errs[i] = r.Do(t.Context(), request, &outs[i]) })
		}
		group.Wait()
		for i := range streams {
			require.NoError(t, errs[i])
			require.Equal(t, r.fleet.text, outs[i].String())
		}
		require.Equal(t, streams+retries, r.fleet.sent)
		require.Zero(t, r.placer.Retries())
	})
}

// Streams at random servers, some of which fall silent and go on: the caller gets each
// event once and in order, no attempt is left behind, and at most MaxAttempts of them may
// have run. A stream is cut only if a server broke it off.
func TestRandomSilences(t *testing.T) {
	handedOver, cut, kept := 0, 0, 0
	for seed := range uint64(3000) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 2))
			burst := random.IntN(7)
			r := newFleetRun(t, "abcde"[:2+random.IntN(4)], burst, func(core.InstanceID) serverBehaviour { return randomServer(random) })
			r.fleet.stallAfter = testStallAfter
			r.fleet.silences = map[core.InstanceID]silence{}
			pauseStarts := map[core.InstanceID]time.Time{}
			for _, server := range r.servers {
				if random.IntN(3) > 0 {
					from := time.Now().Add(time.Duration(random.IntN(1500)) * time.Millisecond)
					r.fleet.silences[server.ID] = silence{from: from, until: from.Add(time.Duration(random.IntN(2500)) * time.Millisecond)}
				}
				if random.IntN(4) == 0 {
					pauseStarts[server.ID] = time.Now().Add(time.Duration(random.IntN(2000)) * time.Millisecond)
				}
			}
			trace := &handoverTrace{}
			request := testRequest()
			request.Trace = trace
			request.Stream = random.IntN(4) > 0
			request.AtMostOnce = random.IntN(8) == 0
			request.Unclaimed = request.AtMostOnce
			request.MaxAttempts, request.StartTimeout = 1+random.IntN(3), time.Second
			request.StallTimeout, request.IdleTimeout = testStallTimeout, 1500*time.Millisecond
			request.Deadline = time.Now().Add(time.Minute)
			request.PauseStart = func(id core.InstanceID) time.Time { return pauseStarts[id] }
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			callerLeaves := random.IntN(6) == 0
			if callerLeaves {
				time.AfterFunc(time.Duration(random.IntN(3000))*time.Millisecond, cancel)
			}
			var out testSink
			err := r.Do(ctx, request, &out)

			require.True(t, strings.HasPrefix(r.fleet.text, out.String()), "seed %d: %q", seed, out.String())
			if err == nil {
				require.Equal(t, r.fleet.text, out.String(), "seed %d", seed)
				if len(r.fleet.silences) > 0 && len(trace.to) == 0 {
					kept++
				}
			} else if out.Len() > 0 && !callerLeaves {
				require.True(t, r.fleet.hasCutStream, "seed %d: %v", seed, err)
				cut++
			}
			attempts := r.fleet.attempts()
			require.LessOrEqual(t, attempts, request.MaxAttempts, "seed %d", seed)
			require.LessOrEqual(t, len(r.fleet.mayHaveRun), request.MaxAttempts, "seed %d: servers that may have run the request", seed)
			require.LessOrEqual(t, r.fleet.maxOpen, max(2, request.MaxAttempts), "seed %d", seed)
			if request.AtMostOnce {
				require.LessOrEqual(t, attempts+r.fleet.returns, 1, "seed %d", seed)
				require.Empty(t, trace.to, "seed %d", seed)
			}
			require.LessOrEqual(t, r.fleet.sent-1, burst-r.placer.Retries(), "seed %d: each further send takes a retry", seed)
			r.requireNothingLeaks(t)
			handedOver += len(trace.to)
		})
	}
	require.NotZero(t, handedOver)
	require.NotZero(t, cut)
	require.NotZero(t, kept)
}

// An empty answer is complete, and nothing is left of a stream that ends with it.
func TestEmptyAnswerContinuesTheRequestOfASilentServer(t *testing.T) {
	for _, isStream := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			r, request := newSilentRun(t, "ab", time.Hour, serverBehaviour{})
			request.Stream = isStream
			r.fleet.text = r.fleet.text[:0]
			r.fleet.silences["a"] = silence{from: time.Now(), until: time.Now().Add(time.Hour)}
			var out testSink
			require.NoError(t, r.Do(t.Context(), request, &out))
			require.Empty(t, out.String())
			require.Equal(t, 2, r.fleet.sent)
			r.requireNothingLeaks(t)
		})
	}
}
