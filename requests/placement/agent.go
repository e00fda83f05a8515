package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/zeebo/blake3"

	"currantusher.dev/core"
)

const ejectionJitterFraction = 0.2

// agentState is what this entry has observed of one agent.
type agentState struct {
	incarnation core.Incarnation
	// subsetRank orders the agents for this entry's subset. idHash is the same
	// at every entry and orders the agents for a prompt prefix.
	subsetRank uint64
	idHash     uint64
	inFlight   int
	// running and limit are the newest load report, received at reportedAt.
	// inFlightAtReport is the number of this entry's attempts at that time.
	running          int
	limit            int
	inFlightAtReport int
	reportedAt       time.Time
	lastUsed         time.Time

	firstEvent          firstEventLatency
	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Time
	probeInFlight       bool
	// isSilent is set while the agent is ejected by Placer.Eject.
	isSilent bool
	// failuresIgnoredUntil is when the ejection would have ended that Placer.Restore
	// ended.
	failuresIgnoredUntil time.Time
	// unavailableUntil is the time until which the agent is not picked after an
	// attempt ended as Unavailable.
	unavailableUntil time.Time
}

func (a *agentState) start(now time.Time) {
	a.inFlight++
	a.lastUsed = now
	if a.isEjected() {
		a.probeInFlight = true
	}
}

func (a *agentState) isEjected() bool { return !a.ejectedUntil.IsZero() }

// isEligible reports whether the agent may be picked: it is not marked
// unavailable, and it is either not ejected or its ejection has ended and no
// probe is in flight.
func (a *agentState) isEligible(now time.Time) bool {
	if now.Before(a.unavailableUntil) {
		return false
	}
	if !a.isEjected() {
		return true
	}
	return !a.probeInFlight && !now.Before(a.ejectedUntil)
}

func (a *agentState) finish(now time.Time, outcome Outcome, config Config, random *rand.Rand) {
	a.inFlight = max(a.inFlight-1, 0)
	a.lastUsed = now
	wasProbed := a.probeInFlight
	a.probeInFlight = false
	switch outcome {
	case Answered, Refused, Unavailable:
		a.consecutiveFailures = 0
		a.ejections = 0
		a.ejectedUntil, a.isSilent = time.Time{}, false
		if outcome == Unavailable {
			a.unavailableUntil = now.Add(config.BaseEjectionTime)
		}
	case Failed:
		if now.Before(a.failuresIgnoredUntil) {
			return
		}
		a.consecutiveFailures++
		switch {
		case a.isEjected() && (!wasProbed || now.Before(a.ejectedUntil)):
			// The attempt was sent before the ejection and is not a failed probe.
		case a.isEjected() || a.consecutiveFailures >= config.EjectAfterFailures:
			a.eject(now, config, random)
		}
	}
}

func (a *agentState) eject(now time.Time, config Config, random *rand.Rand) {
	period := float64(config.BaseEjectionTime) * math.Pow(2, float64(a.ejections))
	period = min(period, float64(config.MaxEjectionTime))
	period *= 1 + ejectionJitterFraction*random.Float64()
	a.ejections++
	a.consecutiveFailures = 0
	a.ejectedUntil, a.isSilent = now.Add(time.Duration(period)), false
}

// restore ends an ejection for silence. Requests that other agents have taken over
// meanwhile still end as failures.
func (a *agentState) restore() {
	a.failuresIgnoredUntil = a.ejectedUntil
	a.ejectedUntil, a.isSilent, a.probeInFlight = time.Time{}, false, false
}

func (a *agentState) report(receivedAt time.Time, running, limit int) {
	if receivedAt.Before(a.reportedAt) {
		return
	}
	a.reportedAt = receivedAt
	a.running = running
	a.limit = limit
	a.inFlightAtReport = a.inFlight
}

// otherEntriesLoad estimates the number of requests that other entries run at
// the agent. It decays with the age of the report, so that a stale report does
// not exclude an agent permanently.
func (a *agentState) otherEntriesLoad(now time.Time, decay time.Duration) float64 {
	reported := float64(max(a.running-a.inFlightAtReport, 0))
	age := max(now.Sub(a.reportedAt), 0)
	return reported * math.Exp(-float64(age)/float64(decay))
}

// rendezvousHash hashes the parts for rendezvous hashing.
func rendezvousHash(parts ...string) uint64 {
	hasher := blake3.New()
	for _, part := range parts {
		_, _ = hasher.WriteString(part)
		_, _ = hasher.Write([]byte{0})
	}
	var sum [8]byte
	copy(sum[:], hasher.Sum(nil))
	rank := uint64(0)
	for _, b := range sum {
		rank = rank<<8 | uint64(b)
	}
	return rank
}

// combineHashes mixes two hashes into one.
func combineHashes(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	return x
}

// recoveryRamp raises the limits of a data centre gradually after it returns to
// service.
type recoveryRamp struct {
	out        bool
	returnedAt time.Time
}

func (r *recoveryRamp) observe(now time.Time, out bool) {
	if r.out && !out {
		r.returnedAt = now
	}
	r.out = out
}

// limitFraction is the fraction of its limit that an agent of the data centre
// may use at now.
func (r *recoveryRamp) limitFraction(now time.Time, config Config) float64 {
	if r.returnedAt.IsZero() {
		return 1
	}
	progress := float64(now.Sub(r.returnedAt)) / float64(config.RampDuration)
	return min(1, config.RampStartFraction+(1-config.RampStartFraction)*max(progress, 0))
}
