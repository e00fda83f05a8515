package pauses_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/latency"
	"currantusher.dev/requests/pauses"
	"currantusher.dev/requests/placement"
)

// Parameters of the simulated load: 20 engines at three quarters of their maximum
// throughput. A new version is loaded on all of them within 3.2 s, as operators
// require.
const (
	engineCount         = 20
	slotsPerEngine      = 16
	arrivalsPerSecond   = 180.0
	firstEventObjective = 400 * time.Millisecond
	maxEventGap         = 300 * time.Millisecond
	maxQueueWait        = 2400 * time.Millisecond
	loadTime            = 300 * time.Millisecond
	rolloutStart        = 4 * time.Second
	rolloutDuration     = 3200 * time.Millisecond
	simulatedTime       = 12 * time.Second
	tick                = 2 * time.Millisecond
	announcementLead    = 600 * time.Millisecond
	maxAnswerTokens     = 306
	hintSpread          = 0.5
	hintMargin          = 1.6
	tokensPerEvent      = 6
)

var engineTiming = fleet.EngineTiming{
	StepTime: 7400 * time.Microsecond, StepTimePerAnswer: 38700 * time.Nanosecond, StepTimePer1KContext: 20300 * time.Nanosecond,
	PrefillTokensPerSecond: 31900, PrefillTimePer1MPairs: 733 * time.Microsecond, PrefillChunkTokens: 2048, StepsPerPass: 6, MeanPromptTokens: 973, MeanAnswerTokens: 106,
}

type policy struct {
	name string
	// announcesPauses means that entries receive the start of a pause in advance,
	// migrate the running streams when it starts, and receive its end immediately.
	announcesPauses bool
}

type stream struct {
	arrivedAt, lastEventAt     time.Duration
	promptTokens, unreadTokens float64
	answerTokens, sentTokens   float64
	hintTokens                 float64
	firstEvent, maxGap         time.Duration
	ended, moved               bool
	attempted, abandoned       bool
}

type engine struct {
	id         core.InstanceID
	addr       string
	prefilling []*stream
	decoding   []*stream
	passEndsAt time.Duration
	loadsAt    time.Duration
	loadEndsAt time.Duration
	draining   bool
	// refusedAt is when the entry last received a refusal from the engine, for
	// policies without announcements.
	refusedAt time.Duration
}

func (e *engine) running() int { return len(e.prefilling) + len(e.decoding) }

// simulation is one run of the load under a policy.
type simulation struct {
	policy            policy
	random            *rand.Rand
	engines           []*engine
	placer            *placement.Placer
	pauseSet          *pauses.Set
	queue             []*stream
	allStreams        []*stream
	now               time.Duration
	announcementCount uint64
}

var epoch = time.Unix(0, 0)

func (sim *simulation) clock() time.Time { return epoch.Add(sim.now) }

func newSimulation(p policy, seed uint64) *simulation {
	sim := &simulation{
		policy: p, random: rand.New(rand.NewPCG(seed, 1)), pauseSet: pauses.NewSet(),
		placer: placement.New(placement.Config{Entry: "e", DataCentre: "d", Seed: seed, RetryRatio: 0.16, RetryBurst: 85}),
	}
	for i := range engineCount {
		sim.engines = append(sim.engines, &engine{
			id: core.InstanceID(fmt.Sprintf("s-%02d", i)), addr: fmt.Sprintf("10.0.0.%d:8000", i),
			loadsAt:   rolloutStart + time.Duration(float64(rolloutDuration)*float64(i)/engineCount),
			refusedAt: -time.Hour,
		})
	}
	return sim
}

func (sim *simulation) run() {
	for ; sim.now < simulatedTime; sim.now += tick {
		if sim.random.Float64() < arrivalsPerSecond*tick.Seconds() {
			sim.arrive()
		}
		for _, e := range sim.engines {
			sim.updateLoading(e)
			sim.runPass(e)
		}
		sim.placeQueued()
	}
}

func (sim *simulation) arrive() {
	tokens := min(sim.random.ExpFloat64()*engineTiming.MeanAnswerTokens, maxAnswerTokens)
	s := &stream{
		arrivedAt: sim.now, lastEventAt: -1, promptTokens: min(sim.random.ExpFloat64()*engineTiming.MeanPromptTokens+50, 3880), answerTokens: max(tokens, 1),
		hintTokens: tokens * math.Exp(sim.random.NormFloat64()*hintSpread), firstEvent: -1,
	}
	s.unreadTokens = s.promptTokens
	sim.queue = append(sim.queue, s)
	sim.allStreams = append(sim.allStreams, s)
}

func (sim *simulation) announce(e *engine, pause fleet.PauseNotice) {
	if !sim.policy.announcesPauses {
		return
	}
	sim.announcementCount++
	pause.Addr, pause.Model, pause.Version, pause.Sequence = e.addr, "m", 2, sim.announcementCount
	sim.pauseSet.Record(sim.clock(), pause)
}

// updateLoading announces the pause of an engine, drains the engine from loadsAt
// on, and loads the weights for loadTime when no stream is running.
func (sim *simulation) updateLoading(e *engine) {
	if sim.now <= e.loadsAt-announcementLead && e.loadsAt-announcementLead < sim.now+tick {
		sim.announce(e, fleet.PauseNotice{StartsIn: announcementLead})
	}
	if sim.now >= e.loadsAt && !e.draining && e.loadEndsAt == 0 {
		e.draining = true
		if sim.policy.announcesPauses {
			sim.migrateStreams(e)
		}
	}
	if e.draining && e.loadEndsAt == 0 && e.running() == 0 {
		e.loadEndsAt = sim.now + loadTime
	}
	if e.draining && e.loadEndsAt > 0 && sim.now >= e.loadEndsAt {
		e.draining = false
		sim.announce(e, fleet.PauseNotice{Ended: true})
	}
}

// migrateStreams moves the streams of a draining engine to other engines.
func (sim *simulation) migrateStreams(e *engine) {
	for _, s := range slices.Clone(e.decoding) {
		next, err := sim.placer.Pick(sim.clock(), placement.Request{ExpectedDuration: time.Second}, sim.candidates(e.id))
		if err != nil {
			return
		}
		if !sim.placer.WithdrawRetry() {
			sim.placer.Finish(sim.clock(), next.ID, placement.Inconclusive, 0, 0)
			return
		}
		e.decoding = slices.DeleteFunc(e.decoding, func(other *stream) bool { return other == s })
		sim.placer.Finish(sim.clock(), e.id, placement.Inconclusive, 0, 0)
		s.unreadTokens = s.promptTokens + s.sentTokens
		s.moved = true
		sim.engine(next.ID).prefilling = append(sim.engine(next.ID).prefilling, s)
	}
}

func (sim *simulation) engine(id core.InstanceID) *engine {
	return sim.engines[slices.IndexFunc(sim.engines, func(e *engine) bool { return e.id == id })]
}

// runPass reads prompts and generates tokens in one pass of an engine, once the
// previous pass has ended.
func (sim *simulation) runPass(e *engine) {
	if sim.now < e.passEndsAt || e.running() == 0 {
		return
	}
	passTime := time.Duration(0)
	remainingTokens := float64(engineTiming.PrefillChunkTokens)
	decodingCount := len(e.decoding)
	for len(e.prefilling) > 0 && remainingTokens > 0 && decodingCount < slotsPerEngine {
		s := e.prefilling[0]
		part := min(remainingTokens, s.unreadTokens)
		remainingTokens -= part
		s.unreadTokens -= part
		passTime += latency.PrefillTime(engineTiming, part)
		if s.unreadTokens > 0 {
			break
		}
		e.prefilling = e.prefilling[1:]
		e.decoding = append(e.decoding, s)
		decodingCount++
	}
	passTime += time.Duration(engineTiming.StepsPerPass) * latency.DecodeStepTime(engineTiming, latency.Load{ActiveAnswers: len(e.decoding), MeanContextTokens: engineTiming.MeanPromptTokens})
	e.passEndsAt = sim.now + passTime
	e.decoding = slices.DeleteFunc(e.decoding, func(s *stream) bool { return sim.emitEvent(e, s) })
}

// emitEvent sends the next event of a stream and reports whether it was the last.
func (sim *simulation) emitEvent(e *engine, s *stream) bool {
	if s.firstEvent < 0 {
		s.firstEvent = e.passEndsAt - s.arrivedAt
	} else {
		s.maxGap = max(s.maxGap, e.passEndsAt-s.lastEventAt)
	}
	s.lastEventAt = e.passEndsAt
	s.sentTokens += tokensPerEvent
	if s.sentTokens < s.answerTokens {
		return false
	}
	s.ended = true
	sim.placer.Finish(sim.clock(), e.id, placement.Answered, 0, 0)
	return true
}

func (sim *simulation) candidates(excluded core.InstanceID) []placement.Candidate {
	var list []placement.Candidate
	for _, e := range sim.engines {
		pauseStart := sim.pauseSet.PauseStart(sim.clock(), e.addr, 1)
		if e.id == excluded || !pauseStart.IsZero() && !sim.clock().Before(pauseStart) {
			continue
		}
		list = append(list, placement.Candidate{
			ID: e.id, DataCentre: "d", Limit: slotsPerEngine, Direct: true, FreeSlots: slotsPerEngine - e.running(), PauseStart: pauseStart,
			Running: e.running(), ReportedAt: sim.clock(),
		})
	}
	return list
}

// placeQueued sends the queued streams to engines with free slots and drops those
// that have waited longer than maxQueueWait.
func (sim *simulation) placeQueued() {
	sim.queue = slices.DeleteFunc(sim.queue, func(s *stream) bool {
		s.abandoned = sim.now-s.arrivedAt > maxQueueWait
		return s.abandoned
	})
	for len(sim.queue) > 0 {
		s := sim.queue[0]
		expected := 130*time.Millisecond + time.Duration(hintMargin*s.hintTokens*float64(10*time.Millisecond))
		chosen, err := sim.placer.Pick(sim.clock(), placement.Request{ExpectedDuration: expected}, sim.candidates(""))
		if err != nil {
			return
		}
		e := sim.engine(chosen.ID)
		if e.draining {
			// The engine refuses, and the entry does not pick it for one second.
			sim.placer.Finish(sim.clock(), e.id, placement.Unavailable, 0, 0)
			continue
		}
		if !s.attempted {
			sim.placer.DepositRetry()
		}
		s.attempted = true
		sim.queue = sim.queue[1:]
		e.prefilling = append(e.prefilling, s)
	}
}

// onTimeFraction is the fraction of the streams that arrived during the rollout
// and met the objectives for the first event and for the gaps between events.
func (sim *simulation) onTimeFraction() float64 {
	arrived, onTime := 0, 0
	for _, s := range sim.allStreams {
		if s.arrivedAt < rolloutStart || s.arrivedAt > rolloutStart+rolloutDuration+time.Second {
			continue
		}
		arrived++
		if s.ended && s.firstEvent <= firstEventObjective && s.maxGap <= maxEventGap {
			onTime++
		}
	}
	return float64(onTime) / float64(arrived)
}

// Entries that receive pauses in advance must meet the objectives for far more
// streams than entries that detect pauses by refusals.
func TestAnnouncedPausesKeepStreamsOnTime(t *testing.T) {
	const seeds = 5
	meanOnTime := func(p policy) (mean float64) {
		for seed := range uint64(seeds) {
			sim := newSimulation(p, seed)
			sim.run()
			mean += sim.onTimeFraction() / seeds
		}
		t.Logf("%s: %.3f on time", p.name, mean)
		return mean
	}
	unannounced := meanOnTime(policy{name: "unannounced"})
	announced := meanOnTime(policy{name: "announced", announcesPauses: true})
	require.Greater(t, announced, 1.5*unannounced)
}
