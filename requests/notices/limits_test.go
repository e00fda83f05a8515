package notices

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRateLimitsInHeaders(t *testing.T) {
	cases := []struct {
		name      string
		values    []string
		perSecond float64
		says, bad bool
	}{
		{name: "none", perSecond: Unlimited, says: true},
		{name: "fraction", values: []string{"1.9"}, perSecond: 1.9, says: true},
		{name: "zero", values: []string{"0"}, perSecond: 0, says: true},
		{name: "spaces", values: []string{" 3 "}, perSecond: 3, says: true},
		{name: "too large for a number", values: []string{"1e999"}, perSecond: Unlimited, says: true},
		{name: "two headers", values: []string{"4", "2.5"}, perSecond: 2.5, says: true},
		{name: "two values", values: []string{"4, 2.5"}, perSecond: 2.5, says: true},
		{name: "one valid of two", values: []string{"many", "2.5"}, perSecond: 2.5, says: true, bad: true},
		{name: "negative", values: []string{"-1"}, bad: true},
		{name: "too small for a number", values: []string{"-1e999"}, bad: true},
		{name: "no number", values: []string{"many"}, bad: true},
		{name: "NaN", values: []string{"NaN"}, bad: true},
		{name: "infinity", values: []string{"Inf"}, bad: true},
		{name: "empty", values: []string{""}, bad: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			perSecond, says, err := ParseRateLimit(http.Header{"X-Limit": c.values}, "X-Limit")
			require.Equal(t, c.says, says)
			require.Equal(t, c.bad, err != nil)
			if c.says {
				require.Equal(t, c.perSecond, perSecond)
			}
		})
	}
}

// limitTest records answers at times in milliseconds.
type limitTest struct {
	t      *testing.T
	limits *Limits
	server Lifetime
}

func newLimitTest(t *testing.T) *limitTest {
	return &limitTest{t: t, limits: NewLimits(), server: Lifetime{Server: "s-1", Incarnation: 1}}
}

func millis(n int) time.Time { return time.Unix(100, 0).Add(time.Duration(n) * time.Millisecond) }

func (l *limitTest) answer(sent, received int, perSecond float64) LimitChange {
	return l.limits.Record(millis(received), l.server, LimitObservation{PerSecond: perSecond, SentAt: millis(sent), ReceivedAt: millis(received)})
}

func (l *limitTest) requireRate(want float64) {
	l.t.Helper()
	rate, limited := l.limits.Rate(l.server)
	require.Equal(l.t, want != Unlimited, limited)
	require.Equal(l.t, want, rate)
}

func TestLimitFollowsTheLatestAnswer(t *testing.T) {
	l := newLimitTest(t)
	require.True(t, l.answer(0, 10, Unlimited).IsNone())
	require.True(t, l.limits.IsEmpty())
	require.Equal(t, LimitChange{Previous: Unlimited, Current: 4}, l.answer(20, 30, 4))
	require.Equal(t, LimitChange{Previous: 4, Current: 2}, l.answer(40, 50, 2))
	l.answer(60, 70, 3)
	l.requireRate(3)
	require.Equal(t, LimitChange{Previous: 3, Current: Unlimited}, l.answer(80, 90, Unlimited))
	l.requireRate(Unlimited)
}

// An answer that was written before the limit was named may arrive after one that names
// the limit.
func TestAnswerThatWasOvertakenDoesNotEndALimit(t *testing.T) {
	l := newLimitTest(t)
	l.answer(20, 30, 2)
	require.True(t, l.answer(0, 40, Unlimited).IsNone())
	require.True(t, l.answer(25, 45, 9).IsNone())
	l.requireRate(2)
	l.answer(46, 50, Unlimited)
	l.requireRate(Unlimited)
}

// Another entry reports a limit whose end this one knows already.
func TestLateReportDoesNotRenewALimitThatHasEnded(t *testing.T) {
	l := newLimitTest(t)
	l.answer(20, 30, 2)
	l.answer(40, 50, Unlimited)
	change := l.limits.Record(millis(90), l.server, LimitObservation{PerSecond: 2, SentAt: millis(25), ReceivedAt: millis(35)})
	require.True(t, change.IsNone())
	l.requireRate(Unlimited)
}

func TestLimitBelongsToOneLifetimeOfAServer(t *testing.T) {
	l := newLimitTest(t)
	l.answer(0, 10, 2)
	_, limited := l.limits.Rate(Lifetime{Server: "s-1", Incarnation: 2})
	require.False(t, limited)
}

func TestServerThatNamesZeroGetsARequestNowAndThen(t *testing.T) {
	l := newLimitTest(t)
	l.answer(0, 10, 0)
	l.requireRate(minRate)
}

func TestSweepDropsLimitsOfServersThatAreGone(t *testing.T) {
	l := newLimitTest(t)
	l.answer(0, 10, 2)
	listed, gone := func(Lifetime) bool { return true }, func(Lifetime) bool { return false }
	limited, oldest := l.limits.Sweep(millis(60_000), listed)
	require.Equal(t, 1, limited)
	require.Equal(t, 59_990*time.Millisecond, oldest)
	limited, _ = l.limits.Sweep(millis(80_000), gone)
	require.Equal(t, 1, limited, "the row of a server may return")
	l.limits.Sweep(millis(91_000), gone)
	require.True(t, l.limits.IsEmpty())
}

func TestLimitThatNoAnswerConfirmsIsStale(t *testing.T) {
	l := newLimitTest(t)
	l.answer(0, 0, 4)
	require.False(t, l.limits.IsStale(millis(1500), l.server))
	require.True(t, l.limits.IsStale(millis(1501), l.server))
	l.answer(1400, 1500, 4)
	require.False(t, l.limits.IsStale(millis(1501), l.server))
	l.answer(1600, 1700, Unlimited)
	require.False(t, l.limits.IsStale(millis(9000), l.server))
}
