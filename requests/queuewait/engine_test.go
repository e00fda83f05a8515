package queuewait

import (
	"cmp"
	"slices"
	"time"

	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/latency"
)

// testTiming holds the published timing of a common engine.
var testTiming = fleet.EngineTiming{
	StepTime: 7400 * time.Microsecond, StepTimePerAnswer: 38700 * time.Nanosecond, StepTimePer1KContext: 20300 * time.Nanosecond,
	PrefillTokensPerSecond: 31900, PrefillTimePer1MPairs: 733 * time.Microsecond, PrefillChunkTokens: 2048, StepsPerPass: 6, MeanPromptTokens: 973, MeanAnswerTokens: 106,
}

const testSlots = 16

// simRequest is a request at a simulated engine.
type simRequest struct {
	priority int
	order    int
	sentAt   time.Time
	unread   float64
	tokens   int
	begun    bool
	// onEvent is called with each event of the answer, and onEnd at its end.
	onEvent func(now time.Time)
	onEnd   func(now time.Time)
}

// simEngine admits requests by priority into its slots. It works in passes: a pass
// reads a chunk of the prompts and then writes StepsPerPass tokens of each answer.
type simEngine struct {
	now time.Time
	// pace multiplies the time of a pass.
	pace    float64
	queue   []*simRequest
	running []*simRequest
	orders  int
}

func (e *simEngine) submit(r *simRequest) {
	e.orders++
	r.order = e.orders
	e.queue = append(e.queue, r)
	slices.SortFunc(e.queue, func(a, b *simRequest) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.order, b.order))
	})
}

func (e *simEngine) admit() {
	for len(e.running) < testSlots && len(e.queue) > 0 {
		e.running = append(e.running, e.queue[0])
		e.queue = e.queue[1:]
	}
}

// advance runs the passes that end until the given time.
func (e *simEngine) advance(until time.Time) {
	for e.now.Before(until) {
		e.admit()
		if len(e.running) == 0 {
			e.now = until
			return
		}
		e.pass()
	}
}

func (e *simEngine) pass() {
	budget := float64(testTiming.PrefillChunkTokens)
	var took time.Duration
	writers := 0
	var writing []*simRequest
	for _, r := range e.running {
		read := min(budget, r.unread)
		if read > 0 {
			took += latency.PrefillTime(testTiming, read)
			budget -= read
			r.unread -= read
		}
		if r.unread <= 0 {
			writing = append(writing, r)
			writers++
		}
	}
	steps := time.Duration(testTiming.StepsPerPass)
	took += steps * latency.DecodeStepTime(testTiming, latency.Load{ActiveAnswers: writers, MeanContextTokens: testTiming.MeanPromptTokens})
	e.now = e.now.Add(time.Duration(e.pace * float64(took)))
	for _, r := range writing {
		r.begun = true
		r.tokens -= testTiming.StepsPerPass
		r.onEvent(e.now)
	}
	e.running = slices.DeleteFunc(e.running, func(r *simRequest) bool {
		if r.unread > 0 || r.tokens > 0 {
			return false
		}
		r.onEnd(e.now)
		return true
	})
}
