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
	// Answers are being written, and Context is the mean length in tokens of
	// what they have read and written.
	Answers int
	Context float64
	// Unread counts the tokens of prompts that are to be read first.
	Unread float64
}

// Step returns the time in which each answer gets one token, without reading.
func Step(p fleet.Pace, load Load) time.Duration {
	each := float64(p.PerAnswer) + float64(p.PerContext)*load.Context/1000
	return p.Step + time.Duration(float64(load.Answers)*each)
}

// Reading returns the time in which a prompt is read, without other work.
func Reading(p fleet.Pace, prompt float64) time.Duration {
	seconds := prompt / p.ReadPerSecond
	pairs := prompt * prompt / 2 / 1e6
	return time.Duration(seconds*float64(time.Second)) + time.Duration(pairs*float64(p.PerPairs))
}

// First returns the time to the first token of a request with a prompt that
// comes to an engine with a load: all that is unread is read in passes, and
// between them the answers go on.
func First(p fleet.Pace, load Load, prompt float64) time.Duration {
	tokens := load.Unread + prompt
	passes := 1.0
	if p.Chunk > 0 {
		passes = max(1, math.Ceil(tokens/float64(p.Chunk)))
	}
	reading := Reading(p, tokens-prompt) + Reading(p, prompt)
	if load.Answers == 0 {
		return reading + Step(p, Load{Answers: 1, Context: prompt})
	}
	return reading + time.Duration(passes*float64(max(p.Stride, 1)))*Step(p, load)
}

// Token returns the usual time between two tokens of an answer, when prompts
// of the usual length come as often as the answers of a load end.
func Token(p fleet.Pace, load Load) time.Duration {
	step := Step(p, load)
	if p.UsualAnswer <= 0 {
		return step
	}
	// In the time of one token a share of the answers ends, and a prompt is
	// read for each of them.
	reading := Reading(p, p.UsualPrompt) * time.Duration(load.Answers)
	return step + time.Duration(float64(reading)/p.UsualAnswer)
}

// Answer returns the time to the last token of an answer of a length.
func Answer(p fleet.Pace, load Load, prompt, tokens float64) time.Duration {
	return First(p, load, prompt) + time.Duration(tokens*float64(Token(p, load)))
}

// StartsPerSecond is how many usual requests a second an engine bears with so
// many answers being written at once.
func StartsPerSecond(p fleet.Pace, answers int) float64 {
	load := Load{Answers: max(answers, 1), Context: p.UsualPrompt}
	whole := time.Duration(p.UsualAnswer * float64(Token(p, load)))
	if whole <= 0 {
		return math.Inf(1)
	}
	return float64(load.Answers) / whole.Seconds()
}
