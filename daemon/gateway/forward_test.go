package gateway

import (
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/fleet"
	"currantusher.dev/platform/headers"
)

func engineService(slots int, step time.Duration, prefillTokensPerSecond float64, stepsPerPass int) *fleet.Service {
	return &fleet.Service{Engine: &fleet.Engine{Slots: slots, Timing: fleet.EngineTiming{
		StepTime: step, StepTimePerAnswer: 40 * time.Microsecond, PrefillTokensPerSecond: prefillTokensPerSecond, PrefillTimePer1MPairs: time.Millisecond,
		PrefillChunkTokens: 2048, StepsPerPass: stepsPerPass, MeanPromptTokens: 1000, MeanAnswerTokens: 95,
	}}}
}

// The expected end of a stream decides whether it is sent to a server that will pause.
// The engines of one deployment write a token in 10 ms, those of others in 13 to 14 ms.
func TestExpectedPaceFollowsTheEngine(t *testing.T) {
	for _, c := range []struct {
		service              *fleet.Service
		firstToken, interval time.Duration
	}{
		{engineService(16, 7400*time.Microsecond, 31900, 6), 130 * time.Millisecond, 10 * time.Millisecond},
		{engineService(16, 8870*time.Microsecond, 19100, 5), 150 * time.Millisecond, 13600 * time.Microsecond},
		{engineService(8, 11100*time.Microsecond, 21300, 6), 165 * time.Millisecond, 13300 * time.Microsecond},
		{&fleet.Service{}, defaultFirstTokenTime, defaultTokenInterval},
		{nil, defaultFirstTokenTime, defaultTokenInterval},
	} {
		firstToken, interval := usualPace(c.service)
		require.InDelta(t, c.firstToken.Seconds(), firstToken.Seconds(), 0.015)
		require.InDelta(t, c.interval.Seconds(), interval.Seconds(), 0.0005)
	}
}

// Guards against a long answer that is taken for one of unknown length, and against
// conversions that overflow.
func TestLengthHintsBeyondTheGreatestOneCountAsThat(t *testing.T) {
	l := newListedGateway(t, "a")
	c := &call{route: &fleet.Route{Kind: fleet.RouteStreaming}, view: l.follower.View()}
	expected := func(hint string) time.Duration {
		r := httptest.NewRequest("POST", "/", nil)
		r.Header.Set(headers.Names().LengthHint, hint)
		return l.expectedDuration(c, r)
	}
	greatest := expected(strconv.Itoa(maxHintTokens))
	require.Positive(t, greatest)
	for _, hint := range []string{strconv.Itoa(maxHintTokens + 1), "1e12", "1e400", "Inf"} {
		require.Equal(t, greatest, expected(hint), hint)
	}
	for _, hint := range []string{"", "-1", "-1e400", "NaN", "x"} {
		require.Zero(t, expected(hint), hint)
	}
}
