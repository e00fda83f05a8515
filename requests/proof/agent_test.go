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

// fakeAgent is an agent with a real gate and an engine that answers at once.
type fakeAgent struct {
	cluster *cluster
	id      core.InstanceID
	dc      core.DataCentre

	mu          sync.Mutex
	gate        *admission.Gate
	incarnation core.Incarnation
	dead        bool
	out         bool
	draining    bool
	weights     core.Digest
	limits      tables.Limits
	resumed     chan struct{}
	// reported is the load of the last heartbeat.
	reported   int
	reportedAt time.Time
}

// replace starts a new process with an empty ledger in the slot.
func (a *fakeAgent) replace() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.incarnation++
	a.dead = false
	a.gate = admission.New(admission.Config{Incarnation: a.incarnation, Limits: a.limits})
}

func (a *fakeAgent) set(change func()) {
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

func (a *fakeAgent) pause() { a.set(func() { a.resumed = make(chan struct{}) }) }

func (a *fakeAgent) resume() {
	a.set(func() {
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
	case <-a.cluster.down.Done():
	}
}

func (a *fakeAgent) conditions() (time.Time, admission.Conditions) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now(), admission.Conditions{
		EngineWeights: a.weights,
		PinnedWeights: a.weights,
		EngineServing: true,
		DataCentreOut: a.out,
		Draining:      a.draining,
	}
}

// answerOf is what the engine answers; parts are its chunks.
func answerOf(body []byte) (parts [][]byte) {
	for i := range chunks {
		parts = append(parts, fmt.Appendf(nil, "%s-%d;", body, i))
	}
	return parts
}

// serve runs one dispatch at the process that was in the slot at its arrival.
func (a *fakeAgent) serve(l *link, m wire.Dispatch) {
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
		l.reply(wire.AnswerFrame{End: &wire.AnswerEnd{
			RequestID: m.RequestID, Code: core.CodeOf(err), Execution: core.ExecutionOf(err), Detail: core.DetailOf(err),
			RetryAfterMillis: core.RetryAfterOf(err).Milliseconds(), Running: gate.Load(received).Running, Limit: a.limits.ColdRequests,
		}})
		return
	}
	a.cluster.countRun(m)
	a.cluster.at(stepStarted, l.entry, a)
	permit.Done(time.Now(), a.run(l, m))
}

// run is the engine's work and the frames about it.
func (a *fakeAgent) run(l *link, m wire.Dispatch) admission.Outcome {
	a.waitWhilePaused()
	a.mu.Lock()
	weights := a.weights
	a.mu.Unlock()
	l.reply(wire.AnswerFrame{Header: &wire.AnswerHeader{RequestID: a.requestID(m), Weights: weights, ContentType: "text/plain"}})
	rest := bytes.Join(answerOf(m.Body), nil)[m.ResumeOffset:]
	answer := rest
	for sequence := uint64(0); len(rest) > 0; sequence++ {
		time.Sleep(chunkPeriod)
		a.waitWhilePaused()
		if !m.AtMostOnce && l.isBroken() {
			return admission.Cancelled
		}
		size := min(len(rest), len(answerOf(m.Body)[0]))
		done := len(answer) - len(rest) + size
		a.send(l, wire.AnswerData{Sequence: sequence, Bytes: rest[:size], EndOffset: int64(done)})
		rest = rest[size:]
		if sequence == 0 {
			a.cluster.at(stepStreaming, l.entry, a)
		}
	}
	if !a.cluster.takeFault(answerEndsEarly) {
		l.reply(wire.AnswerFrame{End: &wire.AnswerEnd{
			RequestID: a.requestID(m), Code: core.CodeOK, Execution: core.ExecutionRan,
			Length: int64(len(answer)), Checksum: core.DigestOf(answer),
			Running: a.running() - 1, Limit: a.limits.ColdRequests,
		}})
	}
	l.closeSend()
	a.cluster.at(stepFinished, l.entry, a)
	return admission.Succeeded
}

func (a *fakeAgent) requestID(m wire.Dispatch) string {
	if a.cluster.takeFault(answerCrossed) {
		return "another request"
	}
	return m.RequestID
}

func (a *fakeAgent) send(l *link, data wire.AnswerData) {
	if a.cluster.takeFault(answerLate) {
		time.Sleep(10 * time.Second)
	}
	if a.cluster.takeFault(answerCut) {
		data.Bytes = data.Bytes[:len(data.Bytes)-1]
	}
	l.reply(wire.AnswerFrame{Data: &data})
	if a.cluster.takeFault(answerDoubled) {
		l.reply(wire.AnswerFrame{Data: &data})
	}
}
