package pace

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/fleet"
)

// published are the figures of a common engine.
var published = fleet.EngineTiming{
	StepTime: 7400 * time.Microsecond, StepTimePerAnswer: 38700 * time.Nanosecond, StepTimePer1KContext: 20300 * time.Nanosecond,
	PrefillTokensPerSecond: 31900, PrefillTimePer1MPairs: 733 * time.Microsecond, PrefillChunkTokens: 2048, StepsPerPass: 6, MeanPromptTokens: 973, MeanAnswerTokens: 106,
}

func TestFirstTokenWaitsForWhatIsUnread(t *testing.T) {
	idle := TimeToFirstToken(published, Load{}, 973)
	require.InDelta(t, 38, idle.Milliseconds(), 2)
	busy := TimeToFirstToken(published, Load{ActiveAnswers: 8, MeanContextTokens: 1000}, 973)
	require.InDelta(t, 78, busy.Milliseconds(), 3)
	behind := TimeToFirstToken(published, Load{ActiveAnswers: 8, MeanContextTokens: 1000, PendingPromptTokens: 4 * 973}, 973)
	require.InDelta(t, 297, behind.Milliseconds(), 10)
}

func TestTokensComeSlowerBesideReading(t *testing.T) {
	alone := TimePerToken(published, Load{ActiveAnswers: 1, MeanContextTokens: 1000})
	full := TimePerToken(published, Load{ActiveAnswers: 16, MeanContextTokens: 1000})
	require.InDelta(t, 7.8, alone.Seconds()*1000, 0.2)
	require.InDelta(t, 13, full.Seconds()*1000, 0.3)
}

func TestStartsPerSecond(t *testing.T) {
	require.InDelta(t, 11.6, MaxRequestsPerSecond(published, 16), 0.3)
	require.InDelta(t, 8.1, MaxRequestsPerSecond(published, 9), 0.2)
}

// An empty engine that takes as many prompts as it has slots misses the
// objective of the last ones; a few at a time keep it.
func TestPromptsThatComeTogetherWaitForEachOther(t *testing.T) {
	const objective = 300 * time.Millisecond
	last := func(together float64) time.Duration {
		return TimeToFirstToken(published, Load{PendingPromptTokens: (together - 1) * published.MeanPromptTokens}, published.MeanPromptTokens)
	}
	require.Greater(t, last(16), objective)
	require.Less(t, last(4), objective/2)
}
