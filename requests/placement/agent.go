package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/zeebo/blake3"

	"currantusher.dev/core"
)

const ejectJitter = 0.2

// agent is what the entry itself learned of one agent.
type agent struct {
	incarnation core.Incarnation
	// rank orders agents for this entry's subset; hash, the same at every
	// entry, for prefixes.
	rank     uint64
	hash     uint64
	inFlight int
	// running and limit are the newest report, at reported; ownAtReport is
	// this entry's part of running.
	running     int
	limit       int
	ownAtReport int
	reported    time.Time
	lastUsed    time.Time

	first     first
	failures  int
	ejections int
	ejected   time.Time
	probing   bool
	// unfit is until when the agent is not picked because it refused as Unfit.
	unfit time.Time
}

func (a *agent) start(now time.Time) {
	a.inFlight++
	a.lastUsed = now
	if a.isEjected() {
		a.probing = true
	}
}

func (a *agent) isEjected() bool { return !a.ejected.IsZero() }

// isOpen reports whether the agent may be picked: it is not unfit, and not
// ejected, or its time of ejection is over and no probe is out.
func (a *agent) isOpen(now time.Time) bool {
	if now.Before(a.unfit) {
		return false
	}
	if !a.isEjected() {
		return true
	}
	return !a.probing && !now.Before(a.ejected)
}

func (a *agent) finish(now time.Time, outcome Outcome, config Config, random *rand.Rand) {
	a.inFlight = max(a.inFlight-1, 0)
	a.lastUsed = now
	a.probing = false
	switch outcome {
	case Answered, Refused, Unavailable:
		a.failures = 0
		a.ejections = 0
		a.ejected = time.Time{}
		if outcome == Unavailable {
			a.unfit = now.Add(config.BaseEjectionTime)
		}
	case Failed:
		a.failures++
		switch {
		case a.isEjected() && now.Before(a.ejected):
			// The attempt began before the ejection and says nothing new.
		case a.isEjected() || a.failures >= config.EjectAfterFailures:
			a.eject(now, config, random)
		}
	}
}

func (a *agent) eject(now time.Time, config Config, random *rand.Rand) {
	period := float64(config.BaseEjectionTime) * math.Pow(2, float64(a.ejections))
	period = min(period, float64(config.MaxEjectionTime))
	period *= 1 + ejectJitter*random.Float64()
	a.ejections++
	a.failures = 0
	a.ejected = now.Add(time.Duration(period))
}

func (a *agent) report(at time.Time, running, limit int) {
	if at.Before(a.reported) {
		return
	}
	a.reported = at
	a.running = running
	a.limit = limit
	a.ownAtReport = a.inFlight
}

// others estimates the running work of other entries. A report loses weight
// with age, so that an old one does not bar an agent for ever.
func (a *agent) others(now time.Time, memory time.Duration) float64 {
	reported := float64(max(a.running-a.ownAtReport, 0))
	age := max(now.Sub(a.reported), 0)
	return reported * math.Exp(-float64(age)/float64(memory))
}

// rendezvous hashes the parts to a rank.
func rendezvous(parts ...string) uint64 {
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

// mix combines two hashes.
func mix(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	return x
}

// ramp follows one data centre's return.
type ramp struct {
	out      bool
	returned time.Time
}

func (r *ramp) observe(now time.Time, out bool) {
	if r.out && !out {
		r.returned = now
	}
	r.out = out
}

// share is the part of its limit that an agent of the data centre gets now.
func (r *ramp) share(now time.Time, config Config) float64 {
	if r.returned.IsZero() {
		return 1
	}
	done := float64(now.Sub(r.returned)) / float64(config.RampDuration)
	return min(1, config.RampStartFraction+(1-config.RampStartFraction)*max(done, 0))
}
