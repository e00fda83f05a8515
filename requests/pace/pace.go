// Package pace predicts how long an engine takes for requests, from the figures
// that operators publish of it and the work that it has. It has no clock and
// does no I/O.
package pace

import (
	"math"
	"time"

	"currantusher.dev/core/fleet"
)

// Load is the work of one engine at a moment.
type Load struct {
	// ActiveAnswers are being written, and Context is the mean length in tokens of
	// what they have read and written.
	ActiveAnswers     int
	MeanContextTokens float64
	// PendingPromptTokens counts the tokens of prompts that are to be read first.
	PendingPromptTokens float64
}

// DecodeStepTime returns the time in which each answer gets one token, without reading.
func DecodeStepTime(p fleet.EngineTiming, load Load) time.Duration {
	each := float64(p.StepTimePerAnswer) + float64(p.StepTimePer1KContext)*load.MeanContextTokens/1000
	return p.StepTime + time.Duration(float64(load.ActiveAnswers)*each)
}

// PrefillTime returns the time in which a prompt is read, without other work.
func PrefillTime(p fleet.EngineTiming, prompt float64) time.Duration {
	seconds := prompt / p.PrefillTokensPerSecond
	pairs := prompt * prompt / 2 / 1e6
	return time.Duration(seconds*float64(time.Second)) + time.Duration(pairs*float64(p.PrefillTimePer1MPairs))
}

// TimeToFirstToken returns the time to the first token of a request with a prompt that
// comes to an engine with a load: all that is unread is read in passes, and
// between them the answers go on.
func TimeToFirstToken(p fleet.EngineTiming, load Load, prompt float64) time.Duration {
	tokens := load.PendingPromptTokens + prompt
	passes := 1.0
	if p.PrefillChunkTokens > 0 {
		passes = max(1, math.Ceil(tokens/float64(p.PrefillChunkTokens)))
	}
	reading := PrefillTime(p, tokens-prompt) + PrefillTime(p, prompt)
	if load.ActiveAnswers == 0 {
		return reading + DecodeStepTime(p, Load{ActiveAnswers: 1, MeanContextTokens: prompt})
	}
	return reading + time.Duration(passes*float64(max(p.StepsPerPass, 1)))*DecodeStepTime(p, load)
}

// TimePerToken returns the usual time between two tokens of an answer, when prompts
// of the usual length come as often as the answers of a load end.
func TimePerToken(p fleet.EngineTiming, load Load) time.Duration {
	step := DecodeStepTime(p, load)
	if p.MeanAnswerTokens <= 0 {
		return step
	}
	// In the time of one token a share of the answers ends, and a prompt is
	// read for each of them.
	reading := PrefillTime(p, p.MeanPromptTokens) * time.Duration(load.ActiveAnswers)
	return step + time.Duration(float64(reading)/p.MeanAnswerTokens)
}

// TimeToLastToken returns the time to the last token of an answer of a length.
func TimeToLastToken(p fleet.EngineTiming, load Load, prompt, tokens float64) time.Duration {
	return TimeToFirstToken(p, load, prompt) + time.Duration(tokens*float64(TimePerToken(p, load)))
}

// MaxRequestsPerSecond is how many usual requests a second an engine bears with so
// many answers being written at once.
func MaxRequestsPerSecond(p fleet.EngineTiming, answers int) float64 {
	load := Load{ActiveAnswers: max(answers, 1), MeanContextTokens: p.MeanPromptTokens}
	whole := time.Duration(p.MeanAnswerTokens * float64(TimePerToken(p, load)))
	if whole <= 0 {
		return math.Inf(1)
	}
	return float64(load.ActiveAnswers) / whole.Seconds()
}
