// Package latency predicts the latency of requests at an engine, and the rate of
// requests that it sustains, from the engine's published timing and its current
// load. It has no clock and does no I/O.
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

// DecodeStepTime returns the time of one decode step, in which each active answer
// gets one token, without prefill.
func DecodeStepTime(timing fleet.EngineTiming, load Load) time.Duration {
	perAnswer := float64(timing.StepTimePerAnswer) + float64(timing.StepTimePer1KContext)*load.MeanContextTokens/1000
	return timing.StepTime + time.Duration(float64(load.ActiveAnswers)*perAnswer)
}

// PrefillTime returns the time to read a prompt without other work.
func PrefillTime(timing fleet.EngineTiming, promptTokens float64) time.Duration {
	seconds := promptTokens / timing.PrefillTokensPerSecond
	pairs := promptTokens * promptTokens / 2 / 1e6
	return time.Duration(seconds*float64(time.Second)) + time.Duration(pairs*float64(timing.PrefillTimePer1MPairs))
}

// TimeToFirstToken returns the time to the first token of a request that arrives
// at an engine with the given load. The engine reads the pending prompts and the
// new prompt in passes and continues to decode the active answers between them.
func TimeToFirstToken(timing fleet.EngineTiming, load Load, promptTokens float64) time.Duration {
	unreadTokens := load.PendingPromptTokens + promptTokens
	passes := 1.0
	if timing.PrefillChunkTokens > 0 {
		passes = max(1, math.Ceil(unreadTokens/float64(timing.PrefillChunkTokens)))
	}
	prefill := PrefillTime(timing, unreadTokens-promptTokens) + PrefillTime(timing, promptTokens)
	if load.ActiveAnswers == 0 {
		return prefill + DecodeStepTime(timing, Load{ActiveAnswers: 1, MeanContextTokens: promptTokens})
	}
	return prefill + time.Duration(passes*float64(max(timing.StepsPerPass, 1)))*DecodeStepTime(timing, load)
}

// TimePerToken returns the mean time between two tokens of an answer in steady
// state: each answer that ends is replaced by a request with a prompt of mean
// length.
func TimePerToken(timing fleet.EngineTiming, load Load) time.Duration {
	step := DecodeStepTime(timing, load)
	if timing.MeanAnswerTokens <= 0 {
		return step
	}
	// Per token, one in MeanAnswerTokens of the active answers ends, and a prompt
	// is read for its replacement.
	prefill := PrefillTime(timing, timing.MeanPromptTokens) * time.Duration(load.ActiveAnswers)
	return step + time.Duration(float64(prefill)/timing.MeanAnswerTokens)
}

// TimeToLastToken returns the time to the last token of an answer with the given
// number of tokens.
func TimeToLastToken(timing fleet.EngineTiming, load Load, promptTokens, answerTokens float64) time.Duration {
	return TimeToFirstToken(timing, load, promptTokens) + time.Duration(answerTokens*float64(TimePerToken(timing, load)))
}

// LongestPass returns the longest time of a pass in which an engine reads prompts
// beside the given number of active answers. None of the answers gets a token before
// the pass ends.
func LongestPass(timing fleet.EngineTiming, answers int) time.Duration {
	step := DecodeStepTime(timing, Load{ActiveAnswers: answers, MeanContextTokens: timing.MeanPromptTokens})
	if timing.PrefillChunkTokens > 0 && timing.PrefillTokensPerSecond > 0 {
		step += PrefillTime(timing, float64(timing.PrefillChunkTokens))
	}
	return time.Duration(max(timing.StepsPerPass, 1)) * step
}

// MaxRequestsPerSecond returns the rate of requests of mean length that an
// engine sustains with the given number of concurrent answers.
func MaxRequestsPerSecond(timing fleet.EngineTiming, answers int) float64 {
	load := Load{ActiveAnswers: max(answers, 1), MeanContextTokens: timing.MeanPromptTokens}
	answerTime := time.Duration(timing.MeanAnswerTokens * float64(TimePerToken(timing, load)))
	if answerTime <= 0 {
		return math.Inf(1)
	}
	return float64(load.ActiveAnswers) / answerTime.Seconds()
}

// FullEngineFirstEvent returns the usual time to the first event of a request that arrives at
// an engine with all slots in use and a number of usual prompts to read, once it has a slot:
// the rest of the pass in progress, then the passes that read the prompts.
func FullEngineFirstEvent(timing fleet.EngineTiming, slots, unreadPrompts int, promptTokens float64) time.Duration {
	load := Load{ActiveAnswers: slots, MeanContextTokens: timing.MeanPromptTokens, PendingPromptTokens: float64(unreadPrompts) * timing.MeanPromptTokens}
	restOfPass := time.Duration(max(timing.StepsPerPass, 1)) * DecodeStepTime(timing, load) / 2
	return restOfPass + TimeToFirstToken(timing, load, promptTokens)
}

// EngineTime returns the time of a full engine that a request takes up: its prefill, and its
// part of the decode steps.
func EngineTime(timing fleet.EngineTiming, slots int, promptTokens, answerTokens float64) time.Duration {
	slots = max(slots, 1)
	step := DecodeStepTime(timing, Load{ActiveAnswers: slots, MeanContextTokens: timing.MeanPromptTokens})
	return PrefillTime(timing, promptTokens) + time.Duration(answerTokens*float64(step)/float64(slots))
}
