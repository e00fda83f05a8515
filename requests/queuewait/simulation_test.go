package queuewait

import (
	"math"
	"math/rand/v2"
	"time"

	"currantusher.dev/core"
)

const (
	simTick     = 5 * time.Millisecond
	gossipRound = 250 * time.Millisecond
	// maxLearnDelay is the longest time until an entry learns that others left.
	maxLearnDelay = time.Second
	simServer     = core.InstanceID("s-1")
	// constantMargin is the fixed bound that the estimate replaces.
	constantMargin = 1200 * time.Millisecond
)

// simEntry sends requests to the server within its share of the free slots.
type simEntry struct {
	index     int
	estimator *Estimator
	inFlight  int
	// published and publishedAt are its load as of its last round; peers is the load
	// of the others that it knows since then.
	published     int
	publishedPace float64
	peers         int
	peerPace      float64
	nextRound     time.Time
	absentUntil   time.Time
	// learnsAt is when it learns which entries left or returned last; knownCount and
	// knownRank are the number of entries and its position among them as it knows them.
	learnsAt              time.Time
	knownCount, knownRank int
}

// simulation is a server and the entries that send to it.
type simulation struct {
	random  *rand.Rand
	now     time.Time
	engine  *simEngine
	entries []*simEntry
	// offered is the rate of requests as a multiple of what the engine sustains.
	offered   float64
	nextRate  time.Time
	nextPace  time.Time
	nextLeave time.Time
	nextBurst time.Time
	burstEnd  time.Time
	episodes  episodes
	sends     int
	late      int
	constant  int
	bounds    []time.Duration
}

// episodes tells what happens in a simulation.
type episodes struct {
	// slow is the longest factor by which the engine slows down, 1 for never.
	slow float64
	// leave lets half of the entries leave together, and the others take over their
	// shares while their requests still run.
	leave bool
	// burst lets all entries have many requests waiting at once, as after an outage.
	burst bool
}

func newSimulation(seed uint64, entries int, e episodes) *simulation {
	start := time.Unix(1_700_000_000, 0)
	s := &simulation{random: rand.New(rand.NewPCG(seed, 0)), now: start, engine: &simEngine{now: start, pace: 1}, episodes: e, offered: 0.7}
	for i := range entries {
		s.entries = append(s.entries, &simEntry{index: i, estimator: NewEstimator(), nextRound: start.Add(time.Duration(s.random.Int64N(int64(gossipRound))))})
	}
	for _, e := range s.entries {
		e.knownCount, e.knownRank = s.membership(e)
	}
	return s
}

func (s *simulation) run(duration time.Duration) {
	for end := s.now.Add(duration); s.now.Before(end); s.now = s.now.Add(simTick) {
		s.engine.advance(s.now)
		s.changeEpisodes()
		s.exchangeLoads()
		s.arrivals()
	}
}

func (s *simulation) changeEpisodes() {
	if !s.now.Before(s.nextRate) {
		s.offered = []float64{0.4, 0.8, 1.1, 2}[s.random.IntN(4)]
		s.nextRate = s.now.Add(time.Duration(2+s.random.IntN(8)) * time.Second)
	}
	if s.episodes.slow > 1 && !s.now.Before(s.nextPace) {
		if s.engine.pace > 1 || s.nextPace.IsZero() {
			s.engine.pace = 1
			s.nextPace = s.now.Add(time.Duration(600+s.random.IntN(1200)) * time.Second)
		} else {
			s.engine.pace = 1 + s.random.Float64()*(s.episodes.slow-1)
			s.nextPace = s.now.Add(time.Duration(5+s.random.IntN(10)) * time.Second)
		}
	}
	if s.episodes.burst && !s.now.Before(s.nextBurst) {
		s.burstEnd = s.now.Add(200 * time.Millisecond)
		s.nextBurst = s.now.Add(time.Duration(10+s.random.IntN(20)) * time.Second)
	}
	if s.episodes.leave && !s.now.Before(s.nextLeave) {
		for _, i := range s.random.Perm(len(s.entries))[:len(s.entries)/2] {
			s.entries[i].absentUntil = s.now.Add(4 * time.Second)
		}
		s.nextLeave = s.now.Add(time.Duration(60+s.random.IntN(60)) * time.Second)
		for _, e := range s.entries {
			e.learnsAt = s.now.Add(time.Duration(s.random.Int64N(int64(maxLearnDelay))))
		}
	}
}

func (s *simulation) present(e *simEntry) bool { return !s.now.Before(e.absentUntil) }

// exchangeLoads gives each entry whose round is due the loads that the others
// published in their last rounds.
func (s *simulation) exchangeLoads() {
	for _, e := range s.entries {
		if s.now.Before(e.nextRound) {
			continue
		}
		e.nextRound = e.nextRound.Add(gossipRound)
		e.published = e.inFlight
		e.publishedPace = e.estimator.Pace(s.now, simServer, Load{Slots: testSlots, Timing: testTiming})
		e.peers, e.peerPace = 0, 0
		if s.now.After(e.learnsAt) {
			e.knownCount, e.knownRank = s.membership(e)
		}
		for _, other := range s.entries {
			if other != e && s.present(other) {
				e.peers += other.published
				e.peerPace = max(e.peerPace, other.publishedPace)
			}
		}
		e.estimator.ObservePeers(s.now, simServer, e.peers)
		e.estimator.ObserveDivision(s.now, simServer, e.knownCount, testSlots-e.published-e.peers)
	}
}

// membership returns the number of present entries and the position of one among them.
func (s *simulation) membership(e *simEntry) (count, rank int) {
	for _, other := range s.entries {
		if s.present(other) || other == e {
			if other.index < e.index {
				rank++
			}
			count++
		}
	}
	return count, rank
}

func (s *simulation) arrivals() {
	sustained := sustainedRate()
	expected := s.offered * sustained * simTick.Seconds()
	if s.now.Before(s.burstEnd) {
		expected = float64(testSlots)
	}
	var present []*simEntry
	for _, e := range s.entries {
		if s.present(e) {
			present = append(present, e)
		}
	}
	for expected > 0 && len(present) > 0 {
		if s.random.Float64() < min(expected, 1) {
			s.offer(present[s.random.IntN(len(present))])
		}
		expected--
	}
}

// offer sends a request if the entry's share of the free slots permits it.
func (s *simulation) offer(e *simEntry) {
	count, rank := max(e.knownCount, 1), e.knownRank
	free := testSlots - e.published - e.peers
	share := 0
	if free > 0 {
		share = free / count
		if rank < free%count {
			share++
		}
	}
	if share-(e.inFlight-e.published) > 0 {
		s.send(e)
	}
}

func (s *simulation) send(e *simEntry) {
	load := Load{Slots: testSlots, Peers: e.peers, PeerPace: e.peerPace, Timing: testTiming}
	tracked := e.estimator.Sent(s.now, simServer, load)
	e.inFlight++
	r := &simRequest{sentAt: s.now, priority: 5, unread: s.logNormal(testTiming.MeanPromptTokens, 1, 3), tokens: 1 + int(s.logNormal(testTiming.MeanAnswerTokens, 0.8, 2.5))}
	if s.random.IntN(5) == 0 {
		r.priority = 1
	}
	first := true
	r.onEvent = func(now time.Time) {
		if first {
			s.count(now.Sub(r.sentAt), tracked.bound)
		}
		first = false
		tracked.Event(now)
	}
	r.onEnd = func(time.Time) {
		e.inFlight--
		tracked.Close(true)
	}
	s.engine.submit(r)
}

func (s *simulation) count(wait, bound time.Duration) {
	s.sends++
	s.bounds = append(s.bounds, bound)
	if wait > bound {
		s.late++
	}
	if wait > constantMargin {
		s.constant++
	}
}

// logNormal returns a length with a mean, a coefficient of variation and a maximum
// in means.
func (s *simulation) logNormal(mean, variation, most float64) float64 {
	sigma := math.Sqrt(math.Log(1 + variation*variation))
	return min(mean*math.Exp(sigma*s.random.NormFloat64()-sigma*sigma/2), most*mean)
}
