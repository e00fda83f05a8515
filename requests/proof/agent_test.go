package proof

import (
	"bytes"
	"fmt"
	"sync"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/requests/admission"
	"currantusher.dev/tables"
	"currantusher.dev/wire"
)

// fakeAgent is an agent with a real admission gate and a fake engine that starts
// to answer immediately.
type fakeAgent struct {
	cluster *cluster
	id      core.InstanceID
	dc      core.DataCentre

	mu            sync.Mutex
	gate          *admission.Gate
	incarnation   core.Incarnation
	killed        bool
	dataCentreOut bool
	draining      bool
	weights       core.Digest
	limits        tables.Limits
	resumed       chan struct{}
	// reportedRunning is the number of running requests in the last heartbeat.
	reportedRunning int
	reportedAt      time.Time
}

// replaceProcess replaces the agent process by a new one with the next
// incarnation and no record of earlier attempts.
func (a *fakeAgent) replaceProcess() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.incarnation++
	a.killed = false
	a.gate = admission.New(admission.Config{Incarnation: a.incarnation, Limits: a.limits})
}

// update runs change with the agent locked.
func (a *fakeAgent) update(change func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change()
}

func (a *fakeAgent) running() int {
	a.mu.Lock()
	gate := a.gate
	a.mu.Unlock()
	return gate.Load(time.Now()).Running
}

func (a *fakeAgent) pause() { a.update(func() { a.resumed = make(chan struct{}) }) }

func (a *fakeAgent) resume() {
	a.update(func() {
		if a.resumed != nil {
			close(a.resumed)
			a.resumed = nil
		}
	})
}

func (a *fakeAgent) waitWhilePaused() {
	a.mu.Lock()
	resumed := a.resumed
	a.mu.Unlock()
	if resumed == nil {
		return
	}
	select {
	case <-resumed:
	case <-a.cluster.shutdownCtx.Done():
	}
}

func (a *fakeAgent) conditions() (time.Time, admission.Conditions) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now(), admission.Conditions{
		EngineWeights: a.weights,
		PinnedWeights: a.weights,
		EngineServing: true,
		DataCentreOut: a.dataCentreOut,
		Draining:      a.draining,
	}
}

// answerParts returns the chunks of the engine's answer to a request body.
func answerParts(body []byte) (parts [][]byte) {
	for i := range answerChunks {
		parts = append(parts, fmt.Appendf(nil, "%s-%d;", body, i))
	}
	return parts
}

// serve runs one dispatch. It uses the gate of the process that received the
// dispatch, even if the process is replaced in the meantime.
func (a *fakeAgent) serve(call *rpc, m wire.Dispatch) {
	received := time.Now()
	a.mu.Lock()
	gate := a.gate
	a.mu.Unlock()
	a.waitWhilePaused()
	permit, err := gate.StartWith(a.conditions, admission.Attempt{
		ID:          m.AttemptID,
		Incarnation: m.Incarnation,
		Weights:     m.Weights,
		AtMostOnce:  m.AtMostOnce,
		Received:    received,
		Remaining:   time.Duration(m.DeadlineMillis) * time.Millisecond,
	})
	if err != nil {
		call.reply(wire.AnswerFrame{End: &wire.AnswerEnd{
			RequestID: m.RequestID, Code: core.CodeOf(err), Execution: core.ExecutionOf(err), Detail: core.DetailOf(err),
			RetryAfterMillis: core.RetryAfterOf(err).Milliseconds(), Running: gate.Load(received).Running, Limit: a.limits.ColdRequests,
		}})
		return
	}
	a.cluster.recordRun(m)
	a.cluster.reachStep(stepStarted, call.entry, a)
	permit.Done(time.Now(), a.runEngine(call, m))
}

// runEngine simulates the engine and sends the frames of the answer.
func (a *fakeAgent) runEngine(call *rpc, m wire.Dispatch) admission.Outcome {
	a.waitWhilePaused()
	a.mu.Lock()
	weights := a.weights
	a.mu.Unlock()
	call.reply(wire.AnswerFrame{Header: &wire.AnswerHeader{RequestID: a.answerRequestID(m), Weights: weights, ContentType: "text/plain"}})
	remaining := bytes.Join(answerParts(m.Body), nil)[m.ResumeOffset:]
	answer := remaining
	for sequence := uint64(0); len(remaining) > 0; sequence++ {
		time.Sleep(chunkInterval)
		a.waitWhilePaused()
		if !m.AtMostOnce && call.isBroken() {
			return admission.Cancelled
		}
		size := min(len(remaining), len(answerParts(m.Body)[0]))
		done := len(answer) - len(remaining) + size
		a.sendData(call, wire.AnswerData{Sequence: sequence, Bytes: remaining[:size], EndOffset: int64(done)})
		remaining = remaining[size:]
		if sequence == 0 {
			a.cluster.reachStep(stepStreaming, call.entry, a)
		}
	}
	if !a.cluster.takeFault(answerEndsEarly) {
		call.reply(wire.AnswerFrame{End: &wire.AnswerEnd{
			RequestID: a.answerRequestID(m), Code: core.CodeOK, Execution: core.ExecutionRan,
			Length: int64(len(answer)), Checksum: core.DigestOf(answer),
			Running: a.running() - 1, Limit: a.limits.ColdRequests,
		}})
	}
	call.closeSend()
	a.cluster.reachStep(stepFinished, call.entry, a)
	return admission.Succeeded
}

func (a *fakeAgent) answerRequestID(m wire.Dispatch) string {
	if a.cluster.takeFault(answerCrossed) {
		return "another request"
	}
	return m.RequestID
}

func (a *fakeAgent) sendData(call *rpc, data wire.AnswerData) {
	if a.cluster.takeFault(answerLate) {
		time.Sleep(10 * time.Second)
	}
	if a.cluster.takeFault(answerCut) {
		data.Bytes = data.Bytes[:len(data.Bytes)-1]
	}
	call.reply(wire.AnswerFrame{Data: &data})
	if a.cluster.takeFault(answerDoubled) {
		call.reply(wire.AnswerFrame{Data: &data})
	}
}
