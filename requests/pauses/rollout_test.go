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
	"currantusher.dev/requests/pace"
	"currantusher.dev/requests/pauses"
	"currantusher.dev/requests/placement"
)

// The load that this plays: 20 engines at three quarters of their pace, on all
// of which a version is loaded within 3.2 s, as operators ask for.
const (
	engineCount    = 20
	slots          = 16
	arrivals       = 180.0
	objective      = 400 * time.Millisecond
	longestGap     = 300 * time.Millisecond
	patience       = 2400 * time.Millisecond
	loadTime       = 300 * time.Millisecond
	loadsFrom      = 4 * time.Second
	loadsWithin    = 3200 * time.Millisecond
	playedTime     = 12 * time.Second
	tick           = 2 * time.Millisecond
	notice         = 600 * time.Millisecond
	longestAnswer  = 306
	hintSpread     = 0.5
	hintMargin     = 1.6
	tokensPerEvent = 6
)

var figures = fleet.Pace{
	Step: 7400 * time.Microsecond, PerAnswer: 38700 * time.Nanosecond, PerContext: 20300 * time.Nanosecond,
	ReadPerSecond: 31900, PerPairs: 733 * time.Microsecond, Chunk: 2048, Stride: 6, UsualPrompt: 973, UsualAnswer: 106,
}

type policy struct {
	name string
	// announces: entries know the moment of a load ahead, move streams off then
	// and learn of its end at once.
	announces bool
}

type stream struct {
	came, last       time.Duration
	prompt, unread   float64
	tokens, made     float64
	hint             float64
	first, gap       time.Duration
	ended, moved     bool
	tried, abandoned bool
}

type engine struct {
	id       core.InstanceID
	addr     string
	reading  []*stream
	writing  []*stream
	passEnds time.Duration
	loadsAt  time.Duration
	loadEnds time.Duration
	closed   bool
	// refusedAt is when the entry last got a refusal, for policies without
	// announcements.
	refusedAt time.Duration
}

func (e *engine) running() int { return len(e.reading) + len(e.writing) }

// rollout is one play of the load under a policy.
type rollout struct {
	policy  policy
	random  *rand.Rand
	engines []*engine
	placer  *placement.Placer
	book    *pauses.Set
	queue   []*stream
	all     []*stream
	now     time.Duration
	number  uint64
}

var epoch = time.Unix(0, 0)

func (r *rollout) clock() time.Time { return epoch.Add(r.now) }

func newRollout(p policy, seed uint64) *rollout {
	r := &rollout{
		policy: p, random: rand.New(rand.NewPCG(seed, 1)), book: pauses.NewSet(),
		placer: placement.New(placement.Config{Entry: "e", DataCentre: "d", Seed: seed, RetryRatio: 0.16, RetryBurst: 85}),
	}
	for i := range engineCount {
		r.engines = append(r.engines, &engine{
			id: core.InstanceID(fmt.Sprintf("s-%02d", i)), addr: fmt.Sprintf("10.0.0.%d:8000", i),
			loadsAt:   loadsFrom + time.Duration(float64(loadsWithin)*float64(i)/engineCount),
			refusedAt: -time.Hour,
		})
	}
	return r
}

func (r *rollout) play() {
	for ; r.now < playedTime; r.now += tick {
		if r.random.Float64() < arrivals*tick.Seconds() {
			r.arrive()
		}
		for _, e := range r.engines {
			r.load(e)
			r.pass(e)
		}
		r.place()
	}
}

func (r *rollout) arrive() {
	tokens := min(r.random.ExpFloat64()*figures.UsualAnswer, longestAnswer)
	s := &stream{
		came: r.now, last: -1, prompt: min(r.random.ExpFloat64()*figures.UsualPrompt+50, 3880), tokens: max(tokens, 1),
		hint: tokens * math.Exp(r.random.NormFloat64()*hintSpread), first: -1,
	}
	s.unread = s.prompt
	r.queue = append(r.queue, s)
	r.all = append(r.all, s)
}

func (r *rollout) announce(e *engine, pause fleet.Pause) {
	if !r.policy.announces {
		return
	}
	r.number++
	pause.Addr, pause.Model, pause.Version, pause.Number = e.addr, "m", 2, r.number
	r.book.Announce(r.clock(), pause)
}

// load lets an engine take nothing new from its turn on, end what runs and load.
func (r *rollout) load(e *engine) {
	if r.now <= e.loadsAt-notice && e.loadsAt-notice < r.now+tick {
		r.announce(e, fleet.Pause{In: notice})
	}
	if r.now >= e.loadsAt && !e.closed && e.loadEnds == 0 {
		e.closed = true
		if r.policy.announces {
			r.moveOff(e)
		}
	}
	if e.closed && e.loadEnds == 0 && e.running() == 0 {
		e.loadEnds = r.now + loadTime
	}
	if e.closed && e.loadEnds > 0 && r.now >= e.loadEnds {
		e.closed = false
		r.announce(e, fleet.Pause{Over: true})
	}
}

// moveOff lets the streams of a closing engine go on elsewhere.
func (r *rollout) moveOff(e *engine) {
	for _, s := range slices.Clone(e.writing) {
		next, err := r.placer.Pick(r.clock(), placement.Request{ExpectedDuration: time.Second}, r.candidates(e.id))
		if err != nil {
			return
		}
		if !r.placer.WithdrawRetry() {
			r.placer.Finish(r.clock(), next.ID, placement.Inconclusive, 0, 0)
			return
		}
		e.writing = slices.DeleteFunc(e.writing, func(other *stream) bool { return other == s })
		r.placer.Finish(r.clock(), e.id, placement.Inconclusive, 0, 0)
		s.unread = s.prompt + s.made
		s.moved = true
		r.engine(next.ID).reading = append(r.engine(next.ID).reading, s)
	}
}

func (r *rollout) engine(id core.InstanceID) *engine {
	return r.engines[slices.IndexFunc(r.engines, func(e *engine) bool { return e.id == id })]
}

// pass reads prompts and makes tokens, one pass after the other.
func (r *rollout) pass(e *engine) {
	if r.now < e.passEnds || e.running() == 0 {
		return
	}
	took := time.Duration(0)
	left := float64(figures.Chunk)
	writing := len(e.writing)
	for len(e.reading) > 0 && left > 0 && writing < slots {
		s := e.reading[0]
		part := min(left, s.unread)
		left -= part
		s.unread -= part
		took += pace.PrefillTime(figures, part)
		if s.unread > 0 {
			break
		}
		e.reading = e.reading[1:]
		e.writing = append(e.writing, s)
		writing++
	}
	took += time.Duration(figures.Stride) * pace.DecodeStepTime(figures, pace.Load{ActiveAnswers: len(e.writing), MeanContextTokens: figures.UsualPrompt})
	e.passEnds = r.now + took
	e.writing = slices.DeleteFunc(e.writing, func(s *stream) bool { return r.write(e, s) })
}

// write makes an event of a stream and reports whether it was the last.
func (r *rollout) write(e *engine, s *stream) bool {
	if s.first < 0 {
		s.first = e.passEnds - s.came
	} else {
		s.gap = max(s.gap, e.passEnds-s.last)
	}
	s.last = e.passEnds
	s.made += tokensPerEvent
	if s.made < s.tokens {
		return false
	}
	s.ended = true
	r.placer.Finish(r.clock(), e.id, placement.Answered, 0, 0)
	return true
}

func (r *rollout) candidates(without core.InstanceID) []placement.Candidate {
	var list []placement.Candidate
	for _, e := range r.engines {
		closes := r.book.PauseStart(r.clock(), e.addr, 1)
		if e.id == without || !closes.IsZero() && !r.clock().Before(closes) {
			continue
		}
		list = append(list, placement.Candidate{
			ID: e.id, DataCentre: "d", Limit: slots, Direct: true, FreeSlots: slots - e.running(), PauseStart: closes,
			Running: e.running(), ReportedAt: r.clock(),
		})
	}
	return list
}

// place sends the waiting streams to engines with room.
func (r *rollout) place() {
	r.queue = slices.DeleteFunc(r.queue, func(s *stream) bool {
		s.abandoned = r.now-s.came > patience
		return s.abandoned
	})
	for len(r.queue) > 0 {
		s := r.queue[0]
		expected := 130*time.Millisecond + time.Duration(hintMargin*s.hint*float64(10*time.Millisecond))
		chosen, err := r.placer.Pick(r.clock(), placement.Request{ExpectedDuration: expected}, r.candidates(""))
		if err != nil {
			return
		}
		e := r.engine(chosen.ID)
		if e.closed {
			// The engine refuses; the entry leaves it out for a second.
			r.placer.Finish(r.clock(), e.id, placement.Unavailable, 0, 0)
			continue
		}
		if !s.tried {
			r.placer.DepositRetry()
		}
		s.tried = true
		r.queue = r.queue[1:]
		e.reading = append(e.reading, s)
	}
}

// onTime is the share of the streams that came while versions were loaded whose
// first event and pauses kept the objectives.
func (r *rollout) onTime() float64 {
	came, good := 0, 0
	for _, s := range r.all {
		if s.came < loadsFrom || s.came > loadsFrom+loadsWithin+time.Second {
			continue
		}
		came++
		if s.ended && s.first <= objective && s.gap <= longestGap {
			good++
		}
	}
	return float64(good) / float64(came)
}

// Entries that know the pauses ahead serve far more callers on time than ones
// that learn of them from refusals.
func TestAnnouncedPausesKeepCallersOnTime(t *testing.T) {
	const seeds = 5
	play := func(p policy) (mean float64) {
		for seed := range uint64(seeds) {
			r := newRollout(p, seed)
			r.play()
			mean += r.onTime() / seeds
		}
		t.Logf("%s: %.3f on time", p.name, mean)
		return mean
	}
	unannounced := play(policy{name: "unannounced"})
	announced := play(policy{name: "announced", announces: true})
	require.Greater(t, announced, 1.5*unannounced)
}
