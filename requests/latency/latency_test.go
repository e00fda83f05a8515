package latency

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/fleet"
)

// testTiming holds the published timing of a common engine.
var testTiming = fleet.EngineTiming{
	StepTime: 7400 * time.Microsecond, StepTimePerAnswer: 38700 * time.Nanosecond, StepTimePer1KContext: 20300 * time.Nanosecond,
	PrefillTokensPerSecond: 31900, PrefillTimePer1MPairs: 733 * time.Microsecond, PrefillChunkTokens: 2048, StepsPerPass: 6, MeanPromptTokens: 973, MeanAnswerTokens: 106,
}

func TestTimeToFirstTokenIncludesPendingPrefill(t *testing.T) {
	idle := TimeToFirstToken(testTiming, Load{}, 973)
	require.InDelta(t, 38, idle.Milliseconds(), 2)
	busy := TimeToFirstToken(testTiming, Load{ActiveAnswers: 8, MeanContextTokens: 1000}, 973)
	require.InDelta(t, 78, busy.Milliseconds(), 3)
	queued := TimeToFirstToken(testTiming, Load{ActiveAnswers: 8, MeanContextTokens: 1000, PendingPromptTokens: 4 * 973}, 973)
	require.InDelta(t, 297, queued.Milliseconds(), 10)
}

func TestTimePerTokenGrowsWithConcurrentPrefill(t *testing.T) {
	alone := TimePerToken(testTiming, Load{ActiveAnswers: 1, MeanContextTokens: 1000})
	full := TimePerToken(testTiming, Load{ActiveAnswers: 16, MeanContextTokens: 1000})
	require.InDelta(t, 7.8, alone.Seconds()*1000, 0.2)
	require.InDelta(t, 13, full.Seconds()*1000, 0.3)
}

func TestMaxRequestsPerSecond(t *testing.T) {
	require.InDelta(t, 11.6, MaxRequestsPerSecond(testTiming, 16), 0.3)
	require.InDelta(t, 8.1, MaxRequestsPerSecond(testTiming, 9), 0.2)
}

// An idle engine that receives as many prompts at once as it has slots misses
// the objective for the last of them; with a few prompts at a time it meets it.
func TestSimultaneousPromptsMissTheObjective(t *testing.T) {
	const objective = 300 * time.Millisecond
	lastFirstToken := func(prompts float64) time.Duration {
		return TimeToFirstToken(testTiming, Load{PendingPromptTokens: (prompts - 1) * testTiming.MeanPromptTokens}, testTiming.MeanPromptTokens)
	}
	require.Greater(t, lastFirstToken(16), objective)
	require.Less(t, lastFirstToken(4), objective/2)
}

// Engines of another deployment were silent on all streams for 0.49 s and were taken
// to have failed.
func TestLongestPassCoversSilentEngines(t *testing.T) {
	slower := testTiming
	slower.StepTime, slower.PrefillTokensPerSecond, slower.StepsPerPass = 8870*time.Microsecond, 19100, 5
	require.InDelta(t, 0.6, LongestPass(slower, 16).Seconds(), 0.03)
	require.InDelta(t, 0.45, LongestPass(testTiming, 16).Seconds(), 0.03)
	unknown := fleet.EngineTiming{StepTime: 10 * time.Millisecond}
	require.Equal(t, 10*time.Millisecond, LongestPass(unknown, 16))
}
