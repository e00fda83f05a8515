// Package latency predicts the latency of requests at an engine from the published
// performance figures of the engine (fleet.Pace) and its current load. It has no
// clock and does no I/O.
package latency

import (
	"math"
	"time"

	"currantusher.dev/core/fleet"
)

// Load is the current work of one engine.
type Load struct {
	// ActiveAnswers is the number of answers being generated, and
	// MeanContextTokens their mean context length: tokens read and generated.
	ActiveAnswers     int
	MeanContextTokens float64
	// PendingPromptTokens is the number of prompt tokens still to be read
	// (prefill) before a new request.
	PendingPromptTokens float64
}

// DecodeStepTime returns the time of one decoding step, in which each answer
// gets one token, without prefill.
func DecodeStepTime(p fleet.EngineTiming, load Load) time.Duration {
	perAnswer := float64(p.StepTimePerAnswer) + float64(p.StepTimePer1KContext)*load.MeanContextTokens/1000
	return p.StepTime + time.Duration(float64(load.ActiveAnswers)*perAnswer)
}

// PrefillTime returns the time to read a prompt without other work.
func PrefillTime(p fleet.EngineTiming, promptTokens float64) time.Duration {
	seconds := promptTokens / p.PrefillTokensPerSecond
	pairs := promptTokens * promptTokens / 2 / 1e6
	return time.Duration(seconds*float64(time.Second)) + time.Duration(pairs*float64(p.PrefillTimePer1MPairs))
}

// TimeToFirstToken returns the time to the first token of a request that arrives
// at an engine with the given load. The engine reads the pending prompts and the
// new prompt in passes and continues to decode the active answers between them.
func TimeToFirstToken(p fleet.EngineTiming, load Load, promptTokens float64) time.Duration {
	unreadTokens := load.PendingPromptTokens + promptTokens
	passes := 1.0
	if p.PrefillChunkTokens > 0 {
		passes = max(1, math.Ceil(unreadTokens/float64(p.PrefillChunkTokens)))
	}
	prefill := PrefillTime(p, unreadTokens-promptTokens) + PrefillTime(p, promptTokens)
	if load.ActiveAnswers == 0 {
		return prefill + DecodeStepTime(p, Load{ActiveAnswers: 1, MeanContextTokens: promptTokens})
	}
	return prefill + time.Duration(passes*float64(max(p.StepsPerPass, 1)))*DecodeStepTime(p, load)
}

// TimePerToken returns the mean time between two tokens of an answer in steady
// state: each answer that ends is replaced by a request with a prompt of usual
// length.
func TimePerToken(p fleet.EngineTiming, load Load) time.Duration {
	step := DecodeStepTime(p, load)
	if p.MeanAnswerTokens <= 0 {
		return step
	}
	// Per token, one in UsualAnswer of the active answers ends, and a prompt is
	// read for its replacement.
	prefill := PrefillTime(p, p.MeanPromptTokens) * time.Duration(load.ActiveAnswers)
	return step + time.Duration(float64(prefill)/p.MeanAnswerTokens)
}

// TimeToLastToken returns the time to the last token of an answer with the given
// number of tokens.
func TimeToLastToken(p fleet.EngineTiming, load Load, promptTokens, answerTokens float64) time.Duration {
	return TimeToFirstToken(p, load, promptTokens) + time.Duration(answerTokens*float64(TimePerToken(p, load)))
}

// MaxRequestsPerSecond returns the rate of requests of usual length that an
// engine sustains with the given number of concurrent answers.
func MaxRequestsPerSecond(p fleet.EngineTiming, answers int) float64 {
	load := Load{ActiveAnswers: max(answers, 1), MeanContextTokens: p.MeanPromptTokens}
	answerTime := time.Duration(p.MeanAnswerTokens * float64(TimePerToken(p, load)))
	if answerTime <= 0 {
		return math.Inf(1)
	}
	return float64(load.ActiveAnswers) / answerTime.Seconds()
}
