package dispatch

import (
	"context"
	"errors"
	"maps"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/requests/placement"
	"currantusher.dev/wire"
)

const (
	// stallGrace is the time for frames that have arrived while this process was paused
	// and are still to be read.
	stallGrace = 50 * time.Millisecond
	// contenderCheckPeriod is how often a request at a silent server looks for another
	// one while there is none.
	contenderCheckPeriod = 100 * time.Millisecond
)

// errOvertaken ends an attempt because another one has sent data first.
var errOvertaken = errors.New("another server sent data first")

// race is a request at a silent server while other servers are asked to continue it. The
// first attempt that receives data serves the request. All of them stay open until then,
// since the silent server may go on and the others may refuse, fail or fall silent too.
type race struct {
	*execution
	placer *placement.Placer
	// silent is the attempt at the silent server, heads the frames that it has received
	// without data meanwhile, and failure the result with which it has failed, or nil.
	silent  *agentAttempt
	heads   []wire.AnswerFrame
	failure *frameResult
	// contenders are the attempts at other servers. Each sends one value to began. Both
	// are nil until another server is asked.
	contenders map[*agentAttempt]bool
	began      chan beginning
	// refused holds the servers that have refused the request during this race.
	refused map[core.InstanceID]bool
	// isGivingUp is set while the request ends unless data arrives within stallGrace.
	isGivingUp bool
	// reportedStays holds the reasons to stay that were reported.
	reportedStays map[StayReason]bool
}

// beginning says that an attempt received its first data, or why it did not.
type beginning struct {
	attempt *agentAttempt
	err     error
}

// nextFrame returns the next checked frame of an attempt. If its server is silent, others
// are asked to continue the request: nextFrame then returns the frame of a, or an error
// once x.successor holds the attempt that continues the request.
func (x *execution) nextFrame(ctx context.Context, placer *placement.Placer, a *agentAttempt) (wire.AnswerFrame, error) {
	if len(a.held) > 0 {
		reply := a.held[0]
		a.held = a.held[1:]
		return reply, nil
	}
	if x.request.AtMostOnce {
		return a.readFrame()
	}
	result := x.awaitFrame(ctx, placer, a)
	return result.reply, result.err
}

// awaitFrame reads the next frame and asks other servers while it does not arrive.
func (x *execution) awaitFrame(ctx context.Context, placer *placement.Placer, a *agentAttempt) frameResult {
	r := race{execution: x, placer: placer, silent: a}
	timer := newSilenceTimer(x.silenceTimeout(a))
	defer timer.Stop()
	giveUpTimer := x.newGiveUpTimer()
	defer giveUpTimer.Stop()
	stalled, isOverdue := a.stream.Stalled(), false
	a.startRead()
	for {
		select {
		case result := <-a.frames:
			a.isReading = false
			if r.decides(result) {
				return r.goOn(result)
			}
			timer.start(0)
		case <-stalled:
			stalled = nil
			timer.startBefore(x.untilStallTimeout(a))
		case <-timer.C:
			if !isOverdue {
				isOverdue = true
				timer.start(stallGrace)
				continue
			}
			timer.start(r.ask(ctx))
		case <-giveUpTimer.C:
			wasGivingUp := r.isGivingUp
			r.isGivingUp = r.isHopeless()
			if wasGivingUp && r.isGivingUp {
				return r.giveUp()
			}
			giveUpTimer.Reset(stallGrace)
		case b := <-r.began:
			if b.err == nil {
				return r.succeed(b.attempt)
			}
			r.end(b, outcomeOf(ctx, b.err, b.attempt))
			if r.failure != nil && len(r.contenders) == 0 {
				return *r.failure
			}
			timer.start(0)
		}
	}
}

// newGiveUpTimer returns a timer that fires when the caller is about to leave without data.
func (x *execution) newGiveUpTimer() *time.Timer {
	timer := time.NewTimer(x.request.GiveUpAt.Sub(x.config.Now()))
	if x.request.Silence == nil || x.output.sentBytes > 0 {
		timer.Stop()
	}
	return timer
}

// isHopeless reports whether all servers that have the request are silent, and one of them
// for longer than a sound one may be.
func (r *race) isHopeless() bool {
	longest := time.Duration(0)
	isSilent := func(a *agentAttempt) bool {
		silence := r.request.Silence(a.agent.ID)
		longest = max(longest, silence)
		return silence > 0
	}
	if r.failure == nil && !isSilent(r.silent) {
		return false
	}
	for b := range r.contenders {
		if !isSilent(b) {
			return false
		}
	}
	return longest >= r.request.GiveUpSilence
}

// giveUp ends the request. A caller that leaves while its request lies unread at a server
// that stands still cannot take it back: the server would run it afterwards.
func (r *race) giveUp() frameResult {
	r.abandonAll()
	// No other server is asked any more.
	r.request.Deadline = r.config.Now()
	err := core.NewFailure(core.CodeTimeout, core.ExecutionUnknown, "the servers with the request were silent until its caller was about to leave")
	return frameResult{err: err}
}

// silenceTimer fires after the time after which a server counts as silent, and then when
// the next server is to be asked.
type silenceTimer struct {
	*time.Timer
	firesAt time.Time
}

// newSilenceTimer returns a timer for a time without the next frame, whatever other
// requests at the server receive. Without such a time it does not fire before it is started.
func newSilenceTimer(timeout time.Duration) *silenceTimer {
	t := &silenceTimer{Timer: time.NewTimer(timeout)}
	if timeout <= 0 {
		t.Stop()
		return t
	}
	t.firesAt = time.Now().Add(timeout)
	return t
}

func (t *silenceTimer) start(after time.Duration) {
	t.firesAt = time.Now().Add(after)
	t.Reset(after)
}

// startBefore starts the timer unless it fires sooner.
func (t *silenceTimer) startBefore(after time.Duration) {
	if t.firesAt.IsZero() || time.Until(t.firesAt) > after {
		t.start(after)
	}
}

// silenceTimeout returns the time without the next frame after which other servers are
// asked, or 0.
func (x *execution) silenceTimeout(a *agentAttempt) time.Duration {
	if a.answer.isEmpty() {
		return x.startTimeout()
	}
	return x.request.IdleTimeout
}

// decides reports whether the silent server decides the race with what was read from it.
// It does not if it has failed or has sent no data while other attempts are open.
func (r *race) decides(result frameResult) bool {
	if len(r.contenders) == 0 {
		return true
	}
	if !result.isFailure() {
		if result.reply.Data != nil || result.reply.End != nil {
			return true
		}
		r.heads = append(r.heads, result.reply)
		r.silent.startRead()
		return false
	}
	r.failure = &result
	if r.silent.isRefused() {
		r.unprovenAttempts--
		r.silent.isCounted = false
	}
	return false
}

// goOn ends the race for the server that was silent. result is its last frame or its
// failure.
func (r *race) goOn(result frameResult) frameResult {
	discardReport(r.silent.stream.Stalled())
	r.abandonAll()
	if len(r.heads) == 0 || result.isFailure() {
		return result
	}
	r.silent.held = append(r.heads[1:], result.reply)
	return frameResult{reply: r.heads[0]}
}

// discardReport removes the report of a stall that is over.
func discardReport(stalled <-chan struct{}) {
	select {
	case <-stalled:
	default:
	}
}

// isFailure reports whether the attempt has ended without an answer.
func (r frameResult) isFailure() bool {
	return r.err != nil || r.reply.End != nil && r.reply.End.Code != core.CodeOK
}

// untilStallTimeout returns the time until other servers are asked to continue a request
// at a stalled one. A caller who has received a part of the answer is kept waiting a little
// longer: the server may go on soon, and the attempts of a request are few.
func (x *execution) untilStallTimeout(a *agentAttempt) time.Duration {
	if x.output.sentBytes == 0 {
		return 0
	}
	return a.lastFrameAt.Add(x.request.StallTimeout).Sub(x.config.Now())
}

// beginAnswer sends an attempt and receives its answer up to the first data.
func (x *execution) beginAnswer(b *agentAttempt) error {
	if err := x.send(b); err != nil {
		return err
	}
	return x.holdFirstData(b)
}

// ask asks another server to continue the request, if there is one, and returns the time
// until the next one is asked.
func (r *race) ask(ctx context.Context) time.Duration {
	if reason := r.reasonNotToAsk(); reason != "" {
		return r.stay(reason)
	}
	target, err := r.pickSuccessor(ctx, r.placer, r.silent.agent.ID, r.config.Now(), r.excluded())
	if err != nil {
		// Servers that have refused the request may accept it now.
		clear(r.refused)
		return r.stay(StayNoServer)
	}
	if !r.placer.WithdrawRetry() {
		r.placer.Finish(r.config.Now(), target.ID, placement.Inconclusive, 0, 0)
		return r.stay(StayNoRetry)
	}
	r.start(ctx, target)
	if timeout := r.startTimeout(); timeout > 0 {
		return timeout
	}
	return r.request.handoverTimeout()
}

// excluded returns the servers that are not asked now.
func (r *race) excluded() map[core.InstanceID]bool {
	excluded := map[core.InstanceID]bool{}
	maps.Copy(excluded, r.refused)
	for b := range r.contenders {
		excluded[b.agent.ID] = true
	}
	return excluded
}

// start sends an attempt to another server.
func (r *race) start(ctx context.Context, target placement.Candidate) {
	if r.began == nil {
		r.began, r.contenders, r.refused = make(chan beginning), map[*agentAttempt]bool{}, map[core.InstanceID]bool{}
	}
	b := r.newAttempt(target)
	r.beginAttempt(b)
	r.contenders[b] = true
	b.ctx, b.cancel = r.attemptContext(ctx)
	go func() { r.began <- beginning{b, r.beginAnswer(b)} }()
}

// reasonNotToAsk returns why no other server may get the request, or "".
func (r *race) reasonNotToAsk() StayReason {
	switch {
	case r.output.sentBytes > 0 && !r.output.canResume():
		return StayNotResumable
	case !r.hasAttemptsLeft():
		return StayNoAttempt
	case r.output.sinkErr != nil:
		return StayCallerGone
	default:
		return ""
	}
}

// stay reports why no other server is asked and returns the time until the next check.
func (r *race) stay(reason StayReason) time.Duration {
	if r.reportedStays == nil {
		r.reportedStays = map[StayReason]bool{}
	}
	if !r.reportedStays[reason] {
		r.reportedStays[reason] = true
		r.request.Trace.Stays(r.silent.agent.ID, reason, r.candidateCount)
	}
	return contenderCheckPeriod
}

// succeed makes b the attempt that continues the request.
func (r *race) succeed(b *agentAttempt) frameResult {
	delete(r.contenders, b)
	r.abandonAll()
	r.silent.isSilent = true
	r.successor = b
	r.request.Trace.HandedOver(HandoverSilence, r.silent.agent.ID, b.agent.ID)
	// Without a failure the answer of the silent server may be read at this moment.
	if r.failure != nil && r.silent.isRefused() {
		return frameResult{err: endError(r.silent.answer)}
	}
	return frameResult{err: incompleteError("%s continues the request of this silent server", b.agent.ID)}
}

// abandonAll ends all contenders. They may be at sound servers.
func (r *race) abandonAll() {
	for b := range r.contenders {
		b.cancel()
	}
	for len(r.contenders) > 0 {
		b := <-r.began
		if core.ExecutionOf(b.err) != core.ExecutionNotRun {
			b.err = core.Wrap(errOvertaken, core.CodeCancelled, core.ExecutionUnknown, "the attempt was abandoned")
			r.abandonedAgents[b.attempt.agent.ID] = true
		}
		r.end(b, placement.Inconclusive)
	}
}

// end ends a contender.
func (r *race) end(b beginning, outcome placement.Outcome) {
	delete(r.contenders, b.attempt)
	b.attempt.cancel()
	if b.attempt.stream != nil {
		b.attempt.stream.Cancel()
	}
	r.endFailedHandover(r.placer, b.attempt, b.err, outcome, r.refused)
	r.request.Trace.HandoverFailed(HandoverSilence, b.attempt.number, r.silent.agent.ID, b.attempt.agent.ID, b.err)
}
