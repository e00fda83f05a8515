package entry

import (
	"sync"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/members"
	"currantusher.dev/requests/placement"
)

// versionOverlay holds the versions that End frames named, which are newer than
// the agents' reports until the next report arrives.
type versionOverlay struct {
	now func() time.Time

	mu     sync.Mutex
	agents map[core.InstanceID]observedVersion
}

type observedVersion struct {
	incarnation core.Incarnation
	weights     core.Digest
	at          time.Time
}

func newVersionOverlay() *versionOverlay {
	return &versionOverlay{now: time.Now, agents: map[core.InstanceID]observedVersion{}}
}

func (o *versionOverlay) observe(agent placement.Candidate, weights core.Digest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if weights == agent.Weights {
		delete(o.agents, agent.ID)
		return
	}
	o.agents[agent.ID] = observedVersion{incarnation: agent.Incarnation, weights: weights, at: o.now()}
}

// of returns the version that an agent's engine carries as far as is known.
func (o *versionOverlay) of(agent members.Agent, now time.Time) core.Digest {
	o.mu.Lock()
	defer o.mu.Unlock()
	seen, ok := o.agents[agent.Instance]
	if !ok {
		return agent.Weights
	}
	reported := now.Add(-agent.Age)
	if seen.incarnation != agent.Incarnation || reported.After(seen.at) {
		delete(o.agents, agent.Instance)
		return agent.Weights
	}
	return seen.weights
}
