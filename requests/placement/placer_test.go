package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"currantusher.dev/core"
)

var testEpoch = time.Unix(1_700_000_000, 0)

// newCandidates returns n candidates in each data centre. Those of data centre
// "far" are in another region.
func newCandidates(n, limit int, centres ...core.DataCentre) []Candidate {
	var all []Candidate
	for _, dc := range centres {
		for i := range n {
			region := core.Region("r")
			if dc == "far" {
				region = "other"
			}
			all = append(all, Candidate{
				ID: core.InstanceID(fmt.Sprint(dc, "-", i)), DataCentre: dc, Region: region,
				Incarnation: 1, Limit: limit, ReportedAt: testEpoch,
			})
		}
	}
	return all
}

func newTestPlacer() *Placer {
	return New(Config{Entry: "e", DataCentre: "near", Region: "r", Seed: 1})
}

func TestNearestFirstWithSpillover(t *testing.T) {
	p := newTestPlacer()
	candidates := newCandidates(2, 4, "near", "next", "far")
	counts := map[core.DataCentre]int{}
	for range 20 {
		c, err := p.Pick(testEpoch, Request{}, candidates)
		require.NoError(t, err)
		counts[c.DataCentre]++
	}
	// Data centre "near" is used alone up to 85 % of its 8 slots, then the agents
	// of the region are used, then all agents.
	require.Equal(t, 20, counts["near"]+counts["next"]+counts["far"])
	require.GreaterOrEqual(t, counts["near"], 7)
	require.GreaterOrEqual(t, counts["next"], 5)
	require.Greater(t, counts["near"]+counts["next"], counts["far"])
}

func TestEjectionAndProbe(t *testing.T) {
	p := newTestPlacer()
	candidates := newCandidates(1, 4, "near")
	now := testEpoch
	for range DefaultEjectAfterFailures {
		c, err := p.Pick(now, Request{}, candidates)
		require.NoError(t, err)
		p.Finish(now, c.ID, Failed, 0, 0)
	}
	_, err := p.Pick(now, Request{}, candidates)
	require.Equal(t, core.CodeNoBackend, core.CodeOf(err))
	require.Positive(t, core.RetryAfterOf(err))

	now = now.Add(2 * DefaultBaseEjectionTime)
	probe, err := p.Pick(now, Request{}, candidates)
	require.NoError(t, err)
	_, err = p.Pick(now, Request{}, candidates)
	require.Error(t, err, "only one probe may be in flight")
	p.Finish(now, probe.ID, Answered, 0, 4)
	for range 4 {
		_, err = p.Pick(now, Request{}, candidates)
		require.NoError(t, err)
	}
}

func TestNewProcessIsNotEjected(t *testing.T) {
	p := newTestPlacer()
	candidates := newCandidates(1, 4, "near")
	for range DefaultEjectAfterFailures {
		c, _ := p.Pick(testEpoch, Request{}, candidates)
		p.Finish(testEpoch, c.ID, Failed, 0, 0)
	}
	candidates[0].Incarnation = 2
	_, err := p.Pick(testEpoch, Request{}, candidates)
	require.NoError(t, err)
}

// TestUnavailableAgentIsNotPicked guards against sending all requests to an
// agent that refuses everything, because its load is always the lowest.
func TestUnavailableAgentIsNotPicked(t *testing.T) {
	p := newTestPlacer()
	candidates := newCandidates(2, 4, "near")
	first, err := p.Pick(testEpoch, Request{}, candidates)
	require.NoError(t, err)
	p.Finish(testEpoch, first.ID, Unavailable, 0, 4)
	for range 4 {
		c, err := p.Pick(testEpoch, Request{}, candidates)
		require.NoError(t, err)
		require.NotEqual(t, first.ID, c.ID)
	}
	_, err = p.Pick(testEpoch.Add(DefaultBaseEjectionTime), Request{}, candidates)
	require.NoError(t, err)
}

func TestPrefixAffinityIsBounded(t *testing.T) {
	p := newTestPlacer()
	candidates := newCandidates(4, 8, "near")
	first, err := p.Pick(testEpoch, Request{Prefix: 42}, candidates)
	require.NoError(t, err)
	p.Finish(testEpoch, first.ID, Answered, 0, 8)
	again, err := p.Pick(testEpoch, Request{Prefix: 42}, candidates)
	require.NoError(t, err)
	require.Equal(t, first.ID, again.ID)
	counts := map[core.InstanceID]int{}
	for range 20 {
		c, err := p.Pick(testEpoch, Request{Prefix: 42}, candidates)
		require.NoError(t, err)
		counts[c.ID]++
	}
	require.LessOrEqual(t, counts[first.ID], 8)
	require.Greater(t, len(counts), 1)
}

func TestRetryBudget(t *testing.T) {
	p := newTestPlacer()
	for p.WithdrawRetry() {
	}
	retries := 0
	for range 1000 {
		p.DepositRetry()
		if p.WithdrawRetry() {
			retries++
		}
	}
	require.InDelta(t, 100, retries, 2)
}

func TestReturningDataCentreIsRamped(t *testing.T) {
	p := newTestPlacer()
	candidates := newCandidates(1, 20, "near")
	set := func(out bool) {
		for i := range candidates {
			candidates[i].DataCentreOut = out
		}
	}
	set(true)
	_, err := p.Pick(testEpoch, Request{}, candidates)
	require.Error(t, err)
	set(false)
	require.Equal(t, 2, p.Capacity(testEpoch, core.Digest{}, candidates))
	half := testEpoch.Add(DefaultRampDuration / 2)
	require.Equal(t, 11, p.Capacity(half, core.Digest{}, candidates))
	require.Equal(t, 20, p.Capacity(testEpoch.Add(DefaultRampDuration), core.Digest{}, candidates))
}

// TestSubset checks that each entry uses only a subset of a large pool and that
// the subsets together cover nearly all agents.
func TestSubset(t *testing.T) {
	candidates := newCandidates(150, 4, "near")
	users := map[core.InstanceID]int{}
	for e := range 50 {
		p := New(Config{Entry: core.InstanceID(fmt.Sprint("entry-", e)), DataCentre: "near", Region: "r"})
		used := map[core.InstanceID]bool{}
		for range 80 {
			c, err := p.Pick(testEpoch, Request{}, candidates)
			require.NoError(t, err)
			used[c.ID] = true
		}
		require.LessOrEqual(t, len(used), DefaultSubsetSize)
		for id := range used {
			users[id]++
		}
	}
	most := 0
	for _, count := range users {
		most = max(most, count)
	}
	t.Logf("150 agents, 50 entries with subsets of %d: %d agents used, at most %d entries per agent", DefaultSubsetSize, len(users), most)
	require.GreaterOrEqual(t, len(users), 145)
}

// TestRandomPlacer runs the placer with random candidates and outcomes. It must
// never pick an agent that is leaving, already tried, at its limit, in a data
// centre out of service or serving other weights, and it must count its attempts
// in flight exactly.
func TestRandomPlacer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newTestPlacer()
		candidates := newCandidates(3, 3, "near", "next", "far")
		now := testEpoch
		inFlight := map[core.InstanceID]int{}
		drawCandidate := func(t *rapid.T) *Candidate {
			return &candidates[rapid.IntRange(0, len(candidates)-1).Draw(t, "agent")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"pick": func(t *rapid.T) {
				request := Request{Prefix: rapid.Uint64Range(0, 3).Draw(t, "prefix"), Tried: map[core.InstanceID]bool{}}
				for range rapid.IntRange(0, 3).Draw(t, "tried") {
					request.Tried[drawCandidate(t).ID] = true
				}
				c, err := p.Pick(now, request, candidates)
				if err != nil {
					require.Equal(t, core.ExecutionNotRun, core.ExecutionOf(err))
					require.Positive(t, core.RetryAfterOf(err))
					return
				}
				require.False(t, c.DataCentreOut || c.Leaving || request.Tried[c.ID] || !c.Weights.IsZero())
				inFlight[c.ID]++
				require.LessOrEqual(t, inFlight[c.ID], max(c.Limit, p.agents[c.ID].limit))
			},
			"finish": func(t *rapid.T) {
				c := drawCandidate(t)
				if inFlight[c.ID] == 0 {
					t.Skip()
				}
				inFlight[c.ID]--
				outcome := rapid.SampledFrom([]Outcome{Answered, Refused, Unavailable, Failed, Inconclusive}).Draw(t, "outcome")
				p.Finish(now, c.ID, outcome, 0, 0)
			},
			"data centre": func(t *rapid.T) {
				dc, out := drawCandidate(t).DataCentre, rapid.Bool().Draw(t, "out")
				for i := range candidates {
					if candidates[i].DataCentre == dc {
						candidates[i].DataCentreOut = out
					}
				}
			},
			"leave":   func(t *rapid.T) { drawCandidate(t).Leaving = rapid.Bool().Draw(t, "leaving") },
			"weights": func(t *rapid.T) { drawCandidate(t).Weights = core.Digest{rapid.ByteRange(0, 1).Draw(t, "weights")} },
			"replace": func(t *rapid.T) {
				c := drawCandidate(t)
				c.Incarnation++
			},
			"report": func(t *rapid.T) {
				c := drawCandidate(t)
				c.ReportedAt, c.Running = now, rapid.IntRange(0, 5).Draw(t, "running")
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "millis")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				for id, count := range inFlight {
					require.Equal(t, count, p.InFlight(id))
				}
			},
		})
	})
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{4, 40, 100} {
		b.Run(fmt.Sprint(3*n, " agents"), func(b *testing.B) {
			p := newTestPlacer()
			candidates := newCandidates(n, 16, "near", "next", "far")
			b.ReportAllocs()
			for b.Loop() {
				c, err := p.Pick(testEpoch, Request{Prefix: 7}, candidates)
				if err != nil {
					b.Fatal(err)
				}
				p.Finish(testEpoch, c.ID, Answered, 0, 16)
			}
		})
	}
}

func TestSetRetryBurstCapsTheBudget(t *testing.T) {
	p := New(Config{RetryRatio: 0.2, RetryBurst: 50})
	p.SetRetryBurst(2)
	require.True(t, p.WithdrawRetry())
	require.True(t, p.WithdrawRetry())
	require.False(t, p.WithdrawRetry(), "a smaller burst reduces the accumulated budget")
	for range 100 {
		p.DepositRetry()
	}
	require.True(t, p.WithdrawRetry())
	require.True(t, p.WithdrawRetry())
	require.False(t, p.WithdrawRetry())
}

// Concurrent requests at a server fail together. Those that fail after the
// ejection must not count as failed probes, each of which doubles the ejection
// time.
func TestFailuresBeforeEjectionDoNotExtendIt(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New(Config{Entry: "e", EjectAfterFailures: 2})
	candidates := []Candidate{{ID: "a", Limit: 16, ReportedAt: now}}
	const concurrent = 10
	for range concurrent {
		_, err := p.Pick(now, Request{}, candidates)
		require.NoError(t, err)
	}
	for range concurrent {
		p.Finish(now, "a", Failed, 0, 0)
	}
	_, err := p.Pick(now, Request{}, candidates)
	require.Error(t, err)
	later := now.Add(DefaultBaseEjectionTime + DefaultBaseEjectionTime/2)
	_, err = p.Pick(later, Request{}, candidates)
	require.NoError(t, err, "agent is probed after the first ejection time")
	p.Finish(later, "a", Failed, 0, 0)
	_, err = p.Pick(later.Add(DefaultBaseEjectionTime+DefaultBaseEjectionTime/2), Request{}, candidates)
	require.Error(t, err, "a failed probe doubles the ejection time")
}

// Requests that had waited at a silent server until its ejection was over doubled it.
func TestFailuresOfEarlierAttemptsDoNotExtendAnEndedEjection(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New(Config{Entry: "e", EjectAfterFailures: 2})
	candidates := []Candidate{{ID: "a", Limit: 16, ReportedAt: now}}
	for range 3 {
		_, err := p.Pick(now, Request{}, candidates)
		require.NoError(t, err)
	}
	p.Eject(now, "a")
	later := now.Add(DefaultBaseEjectionTime + DefaultBaseEjectionTime/2)
	for range 2 {
		p.Finish(later, "a", Failed, 0, 0)
	}
	p.Finish(later, "a", Inconclusive, 0, 0)
	_, err := p.Pick(later, Request{}, candidates)
	require.NoError(t, err, "agent is probed after the first ejection time")
}

// Requests that had been taken over elsewhere ejected a server that had just gone on.
func TestRestoredAgentIsNotEjectedForItsSilenceAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New(Config{Entry: "e", EjectAfterFailures: 2})
	candidates := []Candidate{{ID: "a", Limit: 16, ReportedAt: now}}
	for range 6 {
		_, err := p.Pick(now, Request{}, candidates)
		require.NoError(t, err)
	}
	p.Eject(now, "a")
	p.Restore("a")
	for range 2 {
		p.Finish(now.Add(time.Millisecond), "a", Failed, 0, 0)
	}
	_, err := p.Pick(now.Add(time.Millisecond), Request{}, candidates)
	require.NoError(t, err)

	later := now.Add(2 * DefaultBaseEjectionTime)
	for range 2 {
		p.Finish(later, "a", Failed, 0, 0)
	}
	p.Restore("a")
	_, err = p.Pick(later, Request{}, candidates)
	require.Error(t, err, "an ejection for failures is not ended by data")
}

// A server that is much slower than the others, for example behind a
// low-bandwidth link, is picked only when all others are full, and is probed
// again after slowMeanTTL.
func TestSlowServersArePickedLast(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New(Config{Entry: "e"})
	candidatesWithSlots := func(n int) []Candidate {
		var list []Candidate
		for _, id := range []core.InstanceID{"a", "b", "slow"} {
			list = append(list, Candidate{ID: id, Limit: 16, ReportedAt: now, Direct: true, FreeSlots: n})
		}
		return list
	}
	countSlowPicks := func(tries int, candidates []Candidate) int {
		slow := 0
		for range tries {
			chosen, err := p.Pick(now, Request{}, candidates)
			require.NoError(t, err)
			if chosen.ID == "slow" {
				slow++
			}
			p.Finish(now, chosen.ID, Answered, 0, 0)
		}
		return slow
	}
	require.Positive(t, countSlowPicks(50, candidatesWithSlots(4)), "no latencies observed yet")
	for _, id := range []core.InstanceID{"a", "b"} {
		p.ObserveFirstEvent(now, id, 130*time.Millisecond)
	}
	p.ObserveFirstEvent(now, "slow", 800*time.Millisecond)
	require.Zero(t, countSlowPicks(50, candidatesWithSlots(4)))
	full := candidatesWithSlots(0)
	full[2].FreeSlots = 1
	require.Equal(t, 5, countSlowPicks(5, full), "slow server is used when all others are full")
	now = now.Add(slowMeanTTL)
	require.Positive(t, countSlowPicks(50, candidatesWithSlots(4)), "slow server is probed again")
	p.ObserveFirstEvent(now, "slow", 800*time.Millisecond)
	require.Zero(t, countSlowPicks(50, candidatesWithSlots(4)))
	for range 12 {
		p.ObserveFirstEvent(now, "slow", 130*time.Millisecond)
	}
	require.Positive(t, countSlowPicks(50, candidatesWithSlots(4)), "server is no longer slow")
}
