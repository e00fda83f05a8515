package entry

import (
	"sync"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/members"
	"currantusher.dev/requests/placement"
)

// weightsObservations holds the agents' weights versions from End frames. They are
// newer than the agents' reports until the next report. It is safe for concurrent
// use.
type weightsObservations struct {
	now func() time.Time

	mu      sync.Mutex
	byAgent map[core.InstanceID]weightsObservation
}

type weightsObservation struct {
	incarnation core.Incarnation
	weights     core.Digest
	at          time.Time
}

func newWeightsObservations() *weightsObservations {
	return &weightsObservations{now: time.Now, byAgent: map[core.InstanceID]weightsObservation{}}
}

func (o *weightsObservations) observe(agent placement.Candidate, weights core.Digest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if weights == agent.Weights {
		delete(o.byAgent, agent.ID)
		return
	}
	o.byAgent[agent.ID] = weightsObservation{incarnation: agent.Incarnation, weights: weights, at: o.now()}
}

// currentWeights returns the observed version of the agent's engine, or the
// reported version if the report is newer or from another incarnation.
func (o *weightsObservations) currentWeights(agent members.Agent, now time.Time) core.Digest {
	o.mu.Lock()
	defer o.mu.Unlock()
	observed, ok := o.byAgent[agent.Instance]
	if !ok {
		return agent.Weights
	}
	reported := now.Add(-agent.Age)
	if observed.incarnation != agent.Incarnation || reported.After(observed.at) {
		delete(o.byAgent, agent.Instance)
		return agent.Weights
	}
	return observed.weights
}
