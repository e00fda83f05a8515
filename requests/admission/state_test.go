package admission

import (
	"errors"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"currantusher.dev/core"
	"currantusher.dev/core/invariant"
	"currantusher.dev/requests/attempt"
	"currantusher.dev/tables"
)

var (
	testEpoch   = time.Unix(1_700_000_000, 0)
	testWeights = core.DigestOf([]byte("weights"))
	testLimits  = tables.Limits{ColdRequests: 2, WarmRequests: 8, WarmTokens: 800}
)

func newTestState() *state {
	config := Config{Incarnation: 5, Limits: testLimits}
	config.applyDefaults()
	return newState(config)
}

func validConditions() Conditions {
	return Conditions{EngineWeights: testWeights, PinnedWeights: testWeights, EngineServing: true, Revision: 3}
}

func testAttempt(sequence uint64) Attempt {
	id := attempt.ID{Process: "entry.1", Sequence: sequence}
	return Attempt{ID: id.String(), Incarnation: 5, Weights: testWeights, Revision: 3, Tokens: 10, Received: testEpoch, Remaining: time.Hour}
}

func TestStartRefusals(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Attempt, *Conditions)
		code   core.Code
	}{
		{"earlier process", func(a *Attempt, _ *Conditions) { a.Incarnation = 4 }, core.CodeStaleIncarnation},
		{"late", func(a *Attempt, _ *Conditions) { a.Received = testEpoch.Add(-time.Hour) }, core.CodeDeadlineShort},
		{"stale configuration", func(_ *Attempt, c *Conditions) { c.ConfigErr = errors.New("old") }, core.CodeConfigStale},
		{"lapsed lease", func(_ *Attempt, c *Conditions) { c.LeaseErr = errors.New("lapsed") }, core.CodeFenced},
		{"older revision", func(_ *Attempt, c *Conditions) { c.Revision = 2 }, core.CodeRevisionTooLow},
		{"draining", func(_ *Attempt, c *Conditions) { c.Draining = true }, core.CodeDraining},
		{"data centre out", func(_ *Attempt, c *Conditions) { c.DataCentreOut = true }, core.CodeDataCentreOut},
		{"not serving", func(_ *Attempt, c *Conditions) { c.EngineServing = false }, core.CodeEngineNotServing},
		{"other engine weights", func(_ *Attempt, c *Conditions) { c.EngineWeights = core.Digest{1} }, core.CodeDigestMismatch},
		{"other pinned weights", func(_ *Attempt, c *Conditions) { c.PinnedWeights = core.Digest{1} }, core.CodeDigestMismatch},
		{"malformed id", func(a *Attempt, _ *Conditions) { a.ID = "x" }, core.CodeInvalidField},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newTestState()
			a, c := testAttempt(1), validConditions()
			test.change(&a, &c)
			_, err := s.start(testEpoch, a, c)
			require.Equal(t, test.code, core.CodeOf(err))
			require.Equal(t, core.ExecutionNotRun, core.ExecutionOf(err))
			if test.code == core.CodeInvalidField {
				return
			}
			// A duplicate of the refused dispatch never starts.
			_, err = s.start(testEpoch, testAttempt(1), validConditions())
			require.Equal(t, core.CodeTombstoned, core.CodeOf(err))
		})
	}
}

func TestTombstone(t *testing.T) {
	s := newTestState()
	id := func(n uint64) string { return testAttempt(n).ID }
	require.Equal(t, core.ExecutionNotRun, s.tombstone(testEpoch, id(1), 5))
	_, err := s.start(testEpoch, testAttempt(1), validConditions())
	require.Equal(t, core.CodeTombstoned, core.CodeOf(err))
	require.Equal(t, core.ExecutionUnknown, s.tombstone(testEpoch, id(2), 4), "another process")

	r, err := s.start(testEpoch, testAttempt(3), validConditions())
	require.NoError(t, err)
	require.Equal(t, core.ExecutionUnknown, s.tombstone(testEpoch, id(3), 5))
	s.done(testEpoch, r, Succeeded)
	require.Equal(t, core.ExecutionRan, s.tombstone(testEpoch, id(3), 5))
	_, err = s.start(testEpoch, testAttempt(3), validConditions())
	require.Equal(t, core.CodeAlreadyDispatched, core.CodeOf(err))
	require.Equal(t, core.ExecutionUnknown, core.ExecutionOf(err))

	r, err = s.start(testEpoch, testAttempt(4), validConditions())
	require.NoError(t, err)
	s.done(testEpoch, r, NotSent)
	require.Equal(t, core.ExecutionNotRun, s.tombstone(testEpoch, id(4), 5))

	// After the retention period the attempt still cannot start, but its outcome
	// is reported as unknown.
	late := testEpoch.Add(DefaultRetention)
	require.Equal(t, core.ExecutionUnknown, s.tombstone(late, id(1), 5))
	_, err = s.start(late, testAttempt(1), validConditions())
	require.Equal(t, core.ExecutionUnknown, core.ExecutionOf(err))
	require.Error(t, err)
}

// warmUp runs attempts with the given latency until the limit is warm. next is
// the first unused sequence number.
func warmUp(t *testing.T, s *state, latency time.Duration) (now time.Time, next uint64) {
	t.Helper()
	now = testEpoch
	next = 1000
	for round := 0; s.limit.temperature != Warm; round++ {
		require.Less(t, round, 100, "limit did not become warm")
		var runs []*startedAttempt
		for range s.limit.maxRequests() {
			r, err := s.start(now, testAttempt(next), validConditions())
			require.NoError(t, err)
			next++
			runs = append(runs, r)
		}
		now = now.Add(latency)
		for _, r := range runs {
			s.done(now, r, Succeeded)
		}
	}
	return now, next
}

func TestLimitWarmsUpAndResets(t *testing.T) {
	latency := 100 * time.Millisecond
	slow := 10 * latency
	t.Run("latency step", func(t *testing.T) {
		s := newTestState()
		now, next := warmUp(t, s, latency)
		for range DefaultResetSamples {
			r, err := s.start(now, testAttempt(next), validConditions())
			require.NoError(t, err)
			next++
			now = now.Add(slow)
			s.firstByte(now, r)
			s.done(now, r, Succeeded)
		}
		require.Equal(t, Cold, s.limit.temperature)
	})
	t.Run("no first bytes", func(t *testing.T) {
		s := newTestState()
		now, next := warmUp(t, s, latency)
		for range DefaultResetSamples {
			_, err := s.start(now, testAttempt(next), validConditions())
			require.NoError(t, err)
			next++
		}
		load := s.load(now.Add(slow))
		require.Equal(t, Cold, load.Temperature)
		require.Equal(t, testLimits.ColdRequests, load.Limit)
		_, err := s.start(now.Add(slow), testAttempt(next), validConditions())
		require.Equal(t, core.CodeLimitReached, core.CodeOf(err))
	})
	t.Run("engine reports cold start", func(t *testing.T) {
		s := newTestState()
		now, next := warmUp(t, s, latency)
		c := validConditions()
		c.EngineCold = true
		_, err := s.start(now, testAttempt(next), c)
		require.NoError(t, err)
		require.Equal(t, Cold, s.limit.temperature)
	})
}

func TestTokenLimit(t *testing.T) {
	s := newTestState()
	now, next := warmUp(t, s, time.Millisecond)
	a := testAttempt(next)
	a.Tokens = 700
	_, err := s.start(now, a, validConditions())
	require.NoError(t, err)
	b := testAttempt(next + 1)
	b.Tokens = 200
	_, err = s.start(now, b, validConditions())
	require.Equal(t, core.CodeLimitReached, core.CodeOf(err))
	require.Positive(t, core.RetryAfterOf(err))
}

// TestInvariantGate checks that each invariant reports a violation and refuses
// the attempt when the regular check before it is skipped.
func TestInvariantGate(t *testing.T) {
	tests := []struct {
		violated     invariant.ID
		skippedCheck core.Code
		change       func(*state, *Attempt, *Conditions)
	}{
		{invariant.ColdStartLimit, core.CodeLimitReached, func(s *state, _ *Attempt, _ *Conditions) { s.limit.bounds.ColdRequests = 0 }},
		{invariant.WholeWeights, core.CodeDigestMismatch, func(_ *state, _ *Attempt, c *Conditions) { c.EngineWeights = core.Digest{9} }},
		{invariant.DataCentreOut, core.CodeDataCentreOut, func(_ *state, _ *Attempt, c *Conditions) { c.DataCentreOut = true }},
		{invariant.LeavingBackend, core.CodeDraining, func(_ *state, _ *Attempt, c *Conditions) { c.Draining = true }},
		{invariant.AtMostOnce, core.CodeAlreadyDispatched, func(s *state, a *Attempt, _ *Conditions) {
			s.tombstone(testEpoch, a.ID, 5)
		}},
	}
	for _, test := range tests {
		t.Run(test.violated.String(), func(t *testing.T) {
			s := newTestState()
			s.skippedChecks = map[core.Code]bool{test.skippedCheck: true}
			a, c := testAttempt(1), validConditions()
			test.change(s, &a, &c)
			before := invariant.Violations(test.violated)
			_, err := s.start(testEpoch, a, c)
			require.Equal(t, core.CodeInternal, core.CodeOf(err))
			require.Equal(t, before+1, invariant.Violations(test.violated))
		})
	}
}

// TestRandomGate runs random starts, duplicates, tombstones, completions and
// engine restarts, and compares the gate with a model of the started attempts.
func TestRandomGate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := Config{Incarnation: 5, Limits: testLimits, Retention: time.Minute, MaxTrackedAttempts: 16}
		config.applyDefaults()
		s := newState(config)
		now := testEpoch
		next := uint64(1)
		started := map[string]int{}
		blocked := map[string]bool{}
		var running []*startedAttempt
		before := invariant.TotalViolations()
		start := func(t *rapid.T, sequence uint64) {
			a := testAttempt(sequence)
			a.Received = now
			c := validConditions()
			c.DataCentreOut = rapid.IntRange(0, 9).Draw(t, "out") == 0
			c.Draining = rapid.IntRange(0, 9).Draw(t, "draining") == 0
			limit := s.load(now).Limit
			r, err := s.start(now, a, c)
			if err != nil {
				if core.ExecutionOf(err) == core.ExecutionNotRun {
					require.Zero(t, started[a.ID], "attempt reported as not run after it started")
					blocked[a.ID] = true
				}
				return
			}
			require.False(t, blocked[a.ID], "blocked attempt started")
			require.False(t, c.DataCentreOut || c.Draining)
			require.LessOrEqual(t, len(s.running), limit)
			started[a.ID]++
			require.Equal(t, 1, started[a.ID])
			running = append(running, r)
		}
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				next++
				start(t, next)
			},
			"copy": func(t *rapid.T) { start(t, rapid.Uint64Range(1, next).Draw(t, "sequence")) },
			"tombstone": func(t *rapid.T) {
				id := testAttempt(rapid.Uint64Range(1, next+2).Draw(t, "sequence")).ID
				if s.tombstone(now, id, 5) == core.ExecutionNotRun {
					require.Zero(t, started[id])
					blocked[id] = true
				}
			},
			"end": func(t *rapid.T) {
				if len(running) == 0 {
					t.Skip()
				}
				at := rapid.IntRange(0, len(running)-1).Draw(t, "run")
				outcome := rapid.SampledFrom([]Outcome{Succeeded, Failed, Cancelled}).Draw(t, "outcome")
				s.done(now, running[at], outcome)
				running = append(running[:at], running[at+1:]...)
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "millis")) * time.Millisecond)
			},
			"restart": func(*rapid.T) { s.limit.resetToCold() },
			"": func(t *rapid.T) {
				require.Len(t, running, len(s.running))
				require.LessOrEqual(t, s.limit.maxRequests(), testLimits.WarmRequests)
				require.LessOrEqual(t, len(s.ledger.statuses), 16+len(running)+2)
				require.Equal(t, before, invariant.TotalViolations())
			},
		})
	})
}

func BenchmarkStart(b *testing.B) {
	s := newTestState()
	sequence := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		sequence++
		r, err := s.start(testEpoch, testAttempt(sequence), validConditions())
		if err != nil {
			b.Fatal(err)
		}
		s.done(testEpoch, r, Succeeded)
	}
}

// TestFloorsAreBounded checks that floors raised within a day are kept and
// older floors are dropped once there are more than maxFloors.
func TestFloorsAreBounded(t *testing.T) {
	l := newLedger(time.Minute, 16)
	now := testEpoch
	for i := range 3 * maxFloors {
		now = now.Add(time.Minute)
		l.record(now, attempt.ID{Process: fmt.Sprint("entry.", i), Sequence: 1}, statusCompleted)
		l.expire(now)
	}
	require.LessOrEqual(t, len(l.floors), maxFloors+1)
	require.Equal(t, statusExpired, l.statusOf(attempt.ID{Process: fmt.Sprint("entry.", 3*maxFloors-100), Sequence: 1}))
}

// BenchmarkLedgerMemory reports the heap used per attempt in the ledger.
func BenchmarkLedgerMemory(b *testing.B) {
	for b.Loop() {
		l := newLedger(DefaultRetention, DefaultMaxTrackedAttempts)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range uint64(DefaultMaxTrackedAttempts) {
			l.record(testEpoch, attempt.ID{Process: "entry.1", Sequence: i + 1}, statusCompleted)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/DefaultMaxTrackedAttempts, "B/attempt")
		runtime.KeepAlive(l)
	}
}
