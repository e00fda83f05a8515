package latency

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/fleet"
)

// testPace holds the published figures of a common engine.
var testPace = fleet.EngineTiming{
	StepTime: 7400 * time.Microsecond, StepTimePerAnswer: 38700 * time.Nanosecond, StepTimePer1KContext: 20300 * time.Nanosecond,
	PrefillTokensPerSecond: 31900, PrefillTimePer1MPairs: 733 * time.Microsecond, PrefillChunkTokens: 2048, StepsPerPass: 6, MeanPromptTokens: 973, MeanAnswerTokens: 106,
}

func TestTimeToFirstTokenIncludesPendingPrefill(t *testing.T) {
	idle := TimeToFirstToken(testPace, Load{}, 973)
	require.InDelta(t, 38, idle.Milliseconds(), 2)
	busy := TimeToFirstToken(testPace, Load{ActiveAnswers: 8, MeanContextTokens: 1000}, 973)
	require.InDelta(t, 78, busy.Milliseconds(), 3)
	queued := TimeToFirstToken(testPace, Load{ActiveAnswers: 8, MeanContextTokens: 1000, PendingPromptTokens: 4 * 973}, 973)
	require.InDelta(t, 297, queued.Milliseconds(), 10)
}

func TestTimePerTokenGrowsWithConcurrentPrefill(t *testing.T) {
	alone := TimePerToken(testPace, Load{ActiveAnswers: 1, MeanContextTokens: 1000})
	full := TimePerToken(testPace, Load{ActiveAnswers: 16, MeanContextTokens: 1000})
	require.InDelta(t, 7.8, alone.Seconds()*1000, 0.2)
	require.InDelta(t, 13, full.Seconds()*1000, 0.3)
}

func TestMaxRequestsPerSecond(t *testing.T) {
	require.InDelta(t, 11.6, MaxRequestsPerSecond(testPace, 16), 0.3)
	require.InDelta(t, 8.1, MaxRequestsPerSecond(testPace, 9), 0.2)
}

// An idle engine that receives as many prompts at once as it has slots misses
// the objective for the last of them; with a few prompts at a time it meets it.
func TestSimultaneousPromptsMissTheObjective(t *testing.T) {
	const objective = 300 * time.Millisecond
	lastFirstToken := func(prompts float64) time.Duration {
		return TimeToFirstToken(testPace, Load{PendingPromptTokens: (prompts - 1) * testPace.MeanPromptTokens}, testPace.MeanPromptTokens)
	}
	require.Greater(t, lastFirstToken(16), objective)
	require.Less(t, lastFirstToken(4), objective/2)
}
