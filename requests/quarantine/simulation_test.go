package quarantine

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/notices"
)

const (
	simRound        = 300 * time.Millisecond
	simDecidePeriod = 50 * time.Millisecond
	simUrgentDelay  = 50 * time.Millisecond
	simConfirmDelay = 25 * time.Millisecond
	simSlots        = 16
	simFanout       = 16
	simLocalFanout  = 3
	// simBoundDelay is the time after the fifth crash from which few requests with a
	// deadly part may still reach servers.
	simBoundDelay = 3 * time.Second
	simBoundCrash = 5
)

// simDeadly is a prompt part that crashes servers.
type simDeadly struct {
	id      string
	isFirst bool
	// companion is a sound part that all requests with the part hold too, or empty.
	companion string
	// perSecond is the rate of requests with the part, and from and until bound them.
	perSecond   float64
	from, until time.Duration
}

// simGroupCrash is the crash of several servers within spread.
type simGroupCrash struct {
	at      time.Duration
	servers int
	spread  time.Duration
}

type simConfig struct {
	entries, servers, dataCentres int
	duration                      time.Duration
	soundPerSecond                float64
	teams, middles                int
	deadly                        []simDeadly
	ordinaryPerSecond             float64
	groupCrashes                  []simGroupCrash
	resetsPerSecond               float64
	restartEvery                  time.Duration
	loss                          float64
	// staleViews is the share of crashed servers that return with the same ID and that
	// some entries still know by the incarnation before.
	staleViews float64
	// lateLosses is the share of lost connections that an entry notices late.
	lateLosses float64
	// omitsRetries is set if lost requests are not sent again.
	omitsRetries bool
}

type simServer struct {
	lifetime notices.Lifetime
	// viewed is the lifetime by which entries with a stale view know the server.
	viewed      notices.Lifetime
	staleUntil  time.Time
	unavailable time.Time
	waiting     map[*simAttempt]bool
}

type simEntry struct {
	index, dataCentre int
	set               *Set
	startedAt         time.Time
	lastSent          time.Time
	sendPlanned       bool
	waiting           map[*simAttempt]bool
	// quarantinedSince holds when sound parts were quarantined here.
	quarantinedSince map[fleet.PromptPart]time.Time
}

type simAttempt struct {
	entry          *simEntry
	server         *simServer
	id             string
	parts          []fleet.PromptPart
	deadly         int
	retries, calls int
	done           bool
}

// simResult is what a run shows.
type simResult struct {
	crashes          int
	deadlyCrashes    []int
	fifthCrash       []time.Time
	reachedLater     []int
	soundSent        int
	soundRefused     int
	soundQuarantines int
	longestSound     time.Duration
	wrongParts       map[string]time.Duration
	maxMessageBytes  int
	messageBytes     int
	messages         int
	news             int
	knownBytes       int
	knownSeconds     float64
}

type simEvent struct {
	at    time.Time
	order int
	run   func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type simulation struct {
	config     simConfig
	random     *rand.Rand
	start, now time.Time
	queue      simQueue
	order      int
	entries    []*simEntry
	servers    []*simServer
	requests   int
	teamShares []float64
	result     simResult
	// onStep is called at each decision of an entry.
	onStep func(*simEntry)
}

func newSimulation(config simConfig, seed uint64) *simulation {
	s := &simulation{config: config, random: rand.New(rand.NewPCG(seed, 31)), start: testStart, now: testStart}
	s.result.wrongParts = map[string]time.Duration{}
	s.result.deadlyCrashes = make([]int, len(config.deadly))
	s.result.fifthCrash = make([]time.Time, len(config.deadly))
	s.result.reachedLater = make([]int, len(config.deadly))
	for i := range config.entries {
		e := &simEntry{index: i, dataCentre: i % config.dataCentres}
		s.resetEntry(e)
		s.entries = append(s.entries, e)
	}
	for i := range config.servers {
		s.servers = append(s.servers, &simServer{
			lifetime: notices.Lifetime{Server: core.InstanceID(fmt.Sprintf("i-%010x", i)), Incarnation: 1}, waiting: map[*simAttempt]bool{},
		})
	}
	return s
}

func (s *simulation) resetEntry(e *simEntry) {
	for part, since := range e.quarantinedSince {
		s.endSoundQuarantine(part, since)
	}
	for a := range e.waiting {
		a.done = true
		delete(a.server.waiting, a)
	}
	e.set, e.startedAt = NewSet(), s.now
	e.waiting, e.quarantinedSince = map[*simAttempt]bool{}, map[fleet.PromptPart]time.Time{}
}

func (s *simulation) after(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.queue, simEvent{at: s.now.Add(d), order: s.order, run: run})
}

// every runs something with exponentially distributed gaps between two moments.
func (s *simulation) every(perSecond float64, from, until time.Duration, run func()) {
	if perSecond <= 0 {
		return
	}
	var next func()
	wait := func() time.Duration { return time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second)) }
	next = func() {
		if s.now.Sub(s.start) < until {
			run()
			s.after(wait(), next)
		}
	}
	s.after(from+wait(), next)
}

func (s *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)+1))
}

func (s *simulation) run() simResult {
	c := s.config
	for _, e := range s.entries {
		s.periodically(simRound, func() { s.sendRound(e) })
		s.periodically(simDecidePeriod, func() { s.decide(e) })
	}
	s.every(c.soundPerSecond, 0, c.duration, func() { s.call(s.soundParts(), -1) })
	for i, d := range c.deadly {
		s.every(d.perSecond, d.from, min(d.until, c.duration), func() { s.call(s.deadlyParts(d), i) })
	}
	s.every(c.ordinaryPerSecond, 0, c.duration, func() { s.crash(s.pickServer()) })
	s.every(c.resetsPerSecond, 0, c.duration, func() { s.resetConnection() })
	for _, g := range c.groupCrashes {
		s.after(g.at, func() {
			for range g.servers {
				s.after(s.between(0, g.spread), func() { s.crash(s.pickServer()) })
			}
		})
	}
	if c.restartEvery > 0 {
		s.every(float64(c.entries)/c.restartEvery.Seconds(), 0, c.duration, func() { s.resetEntry(s.entries[s.random.IntN(c.entries)]) })
	}
	end := s.start.Add(c.duration)
	for len(s.queue) > 0 && s.queue[0].at.Before(end) {
		event := heap.Pop(&s.queue).(simEvent)
		s.now = event.at
		event.run()
	}
	for _, e := range s.entries {
		for part, since := range e.quarantinedSince {
			s.endSoundQuarantine(part, since)
		}
	}
	return s.result
}

func (s *simulation) periodically(period time.Duration, run func()) {
	var next func()
	next = func() {
		run()
		s.after(period, next)
	}
	s.after(s.between(0, period), next)
}

// soundParts draws the shared parts of a sound request. The popularity of teams and of
// middle parts falls with their rank, so that the last ones are rare.
func (s *simulation) soundParts() []fleet.PromptPart {
	parts := []fleet.PromptPart{simPart("%016x", 0xa000+s.rank(s.config.teams))}
	if s.config.middles > 0 && s.random.Float64() < 0.5 {
		parts = append(parts, simPart("%016x", 0xb000+s.rank(s.config.middles)))
	}
	return parts
}

func (s *simulation) rank(count int) int {
	return int(float64(count) * s.random.Float64() * s.random.Float64() * s.random.Float64())
}

func (s *simulation) deadlyParts(d simDeadly) []fleet.PromptPart {
	if d.companion != "" {
		parts := []fleet.PromptPart{simPart("%s", d.companion), simPart("%s", d.id)}
		if d.isFirst {
			slices.Reverse(parts)
		}
		return parts
	}
	if d.isFirst {
		return append([]fleet.PromptPart{simPart("%s", d.id)}, s.soundParts()[1:]...)
	}
	parts := s.soundParts()
	return slices.Insert(parts, 1, simPart("%s", d.id))
}

func simPart(format string, id any) fleet.PromptPart {
	return fleet.PromptPart{Model: "llm-70b", ID: fmt.Sprintf(format, id)}
}

// call sends a new request of a caller to any entry.
func (s *simulation) call(parts []fleet.PromptPart, deadly int) {
	if deadly < 0 {
		s.result.soundSent++
	}
	s.send(&simAttempt{entry: s.entries[s.random.IntN(len(s.entries))], id: s.newID(), parts: parts, deadly: deadly})
}

func (s *simulation) newID() string {
	s.requests++
	return fmt.Sprintf("%016x", s.requests)
}

func (s *simulation) pickServer() *simServer {
	for range 20 {
		server := s.servers[s.random.IntN(len(s.servers))]
		if !s.now.Before(server.unavailable) {
			return server
		}
	}
	return nil
}

// send sends an attempt to a server unless a part is quarantined.
func (s *simulation) send(a *simAttempt) {
	if _, _, found := a.entry.set.Quarantined(s.now, a.parts); found {
		if a.deadly < 0 {
			s.result.soundRefused++
		}
		return
	}
	server := s.pickServer()
	if server == nil || len(server.waiting) >= simSlots {
		return
	}
	if a.deadly >= 0 {
		fifth := s.result.fifthCrash[a.deadly]
		if !fifth.IsZero() && s.now.After(fifth.Add(simBoundDelay)) {
			s.result.reachedLater[a.deadly]++
		}
	}
	a.server = server
	server.waiting[a], a.entry.waiting[a] = true, true
	s.after(s.between(50*time.Millisecond, 500*time.Millisecond), func() {
		if a.done || a.server != server || !server.waiting[a] {
			return
		}
		if a.deadly >= 0 {
			s.deadlyCrash(a.deadly, server)
			return
		}
		s.leave(a)
		a.done = true
		if a.entry.set.Started(s.now, a.parts) {
			s.sendSoon(a.entry)
		}
	})
}

func (s *simulation) leave(a *simAttempt) {
	delete(a.server.waiting, a)
	delete(a.entry.waiting, a)
}

func (s *simulation) deadlyCrash(deadly int, server *simServer) {
	r := &s.result
	r.deadlyCrashes[deadly]++
	if r.deadlyCrashes[deadly] == simBoundCrash {
		r.fifthCrash[deadly] = s.now
	}
	s.crash(server)
}

// crash ends a server's process. Its entries learn that from their connections.
func (s *simulation) crash(server *simServer) {
	if server == nil || s.now.Before(server.unavailable) {
		return
	}
	s.result.crashes++
	byEntry := map[*simEntry][]*simAttempt{}
	for _, a := range s.sortedWaiting(server) {
		s.leave(a)
		byEntry[a.entry] = append(byEntry[a.entry], a)
	}
	for _, e := range s.entries {
		if len(byEntry[e]) > 0 {
			s.detect(e, server, byEntry[e])
		}
	}
	server.unavailable = s.now.Add(s.between(2500*time.Millisecond, 3500*time.Millisecond))
	before := server.lifetime
	if s.random.Float64() < 0.5 {
		server.lifetime = notices.Lifetime{Server: core.InstanceID(fmt.Sprintf("i-%010x", s.random.Int64N(1<<40))), Incarnation: 1}
		return
	}
	server.lifetime.Incarnation++
	if s.random.Float64() < s.config.staleViews {
		server.viewed, server.staleUntil = before, server.unavailable.Add(2*time.Second)
	}
}

func (s *simulation) sortedWaiting(server *simServer) []*simAttempt {
	list := make([]*simAttempt, 0, len(server.waiting))
	for a := range server.waiting {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *simAttempt) int {
		if a.id != b.id {
			return compareStrings(a.id, b.id)
		}
		return a.retries - b.retries
	})
	return list
}

func compareStrings(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

// detect reports the loss of an entry's connections to a crashed server, and sends its
// requests again.
func (s *simulation) detect(e *simEntry, server *simServer, lost []*simAttempt) {
	lifetime := server.lifetime
	if s.now.Before(server.staleUntil) && e.index%2 == 0 {
		lifetime = server.viewed
	}
	set := e.set
	for _, a := range lost {
		delay := s.between(0, 10*time.Millisecond)
		if s.random.Float64() < s.config.lateLosses {
			delay = s.between(200*time.Millisecond, 1500*time.Millisecond)
		}
		at := s.now.Add(delay)
		s.after(delay+simConfirmDelay, func() {
			if e.set != set {
				return
			}
			if e.set.Crashed(s.now, lifetime, at, suspects(a.id, a.parts)) {
				s.sendSoon(e)
			}
			s.retry(a)
		})
	}
}

// retry sends an attempt again once from its entry, and once from its caller.
func (s *simulation) retry(a *simAttempt) {
	if a.done {
		return
	}
	a.done = true
	if s.config.omitsRetries {
		return
	}
	if a.retries == 0 {
		s.send(&simAttempt{entry: a.entry, id: a.id, parts: a.parts, deadly: a.deadly, retries: 1, calls: a.calls})
		return
	}
	if a.calls == 0 {
		s.after(s.between(50*time.Millisecond, 300*time.Millisecond), func() {
			s.send(&simAttempt{entry: s.entries[s.random.IntN(len(s.entries))], id: s.newID(), parts: a.parts, deadly: a.deadly, calls: 1})
		})
	}
}

// resetConnection ends the connection of one waiting request. The server accepts the
// check that follows, so that the request is only sent again.
func (s *simulation) resetConnection() {
	server := s.pickServer()
	if server == nil {
		return
	}
	if waiting := s.sortedWaiting(server); len(waiting) > 0 {
		s.leave(waiting[0])
		s.after(simConfirmDelay, func() { s.retry(waiting[0]) })
	}
}

func (s *simulation) isLarge() bool { return len(s.entries)-1 > simFanout }

func (s *simulation) settle() time.Duration {
	if s.isLarge() {
		return time.Second
	}
	return simRound
}

func (s *simulation) decide(e *simEntry) {
	changes := e.set.Decide(s.now, s.settle())
	s.apply(e, changes)
	if len(changes) > 0 {
		s.sendSoon(e)
	}
	if s.onStep != nil {
		s.onStep(e)
	}
}

// apply recalls the waiting requests with a part that has become quarantined.
func (s *simulation) apply(e *simEntry, changes []Change) {
	for _, change := range changes {
		isDeadly := slices.ContainsFunc(s.config.deadly, func(d simDeadly) bool { return d.id == change.Part.ID })
		if change.Until.IsZero() {
			if since, ok := e.quarantinedSince[change.Part]; ok {
				s.endSoundQuarantine(change.Part, since)
				delete(e.quarantinedSince, change.Part)
			}
			continue
		}
		for _, a := range sortedAttempts(e.waiting) {
			if holdsAll(a.parts, change) {
				s.leave(a)
				a.done = true
				if a.deadly < 0 {
					s.result.soundRefused++
				}
			}
		}
		if _, known := e.quarantinedSince[change.Part]; !isDeadly && !s.holdsDeadly(change.With) && !known {
			s.result.soundQuarantines++
			e.quarantinedSince[change.Part] = s.now
		}
	}
}

func holdsAll(parts []fleet.PromptPart, change Change) bool {
	for _, p := range append([]fleet.PromptPart{change.Part}, change.With...) {
		if !slices.Contains(parts, p) {
			return false
		}
	}
	return true
}

func (s *simulation) holdsDeadly(parts []fleet.PromptPart) bool {
	return slices.ContainsFunc(parts, func(p fleet.PromptPart) bool {
		return slices.ContainsFunc(s.config.deadly, func(d simDeadly) bool { return d.id == p.ID })
	})
}

func sortedAttempts(set map[*simAttempt]bool) []*simAttempt {
	list := make([]*simAttempt, 0, len(set))
	for a := range set {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *simAttempt) int { return compareStrings(a.id, b.id) })
	return list
}

func (s *simulation) endSoundQuarantine(part fleet.PromptPart, since time.Time) {
	length := s.now.Sub(since)
	s.result.longestSound = max(s.result.longestSound, length)
	s.result.wrongParts[part.ID] = max(s.result.wrongParts[part.ID], length)
}

func (s *simulation) sendSoon(e *simEntry) {
	if e.sendPlanned {
		return
	}
	e.sendPlanned = true
	s.after(max(0, simUrgentDelay-s.now.Sub(e.lastSent)), func() {
		e.sendPlanned = false
		s.sendRound(e)
	})
}

// sendRound sends a message as members/gossip does.
func (s *simulation) sendRound(e *simEntry) {
	e.lastSent = s.now
	evidence := e.set.Evidence(s.now)
	targets := s.targets(e)
	s.result.messages += len(targets)
	if evidence.IsEmpty() {
		return
	}
	s.measure(evidence, len(targets))
	for _, target := range targets {
		if s.random.Float64() < s.config.loss {
			continue
		}
		delay := s.between(time.Millisecond, 5*time.Millisecond)
		if target.dataCentre != e.dataCentre {
			delay = s.between(5*time.Millisecond, 30*time.Millisecond)
		}
		s.after(delay, func() { s.receive(target, evidence) })
	}
}

func (s *simulation) measure(evidence fleet.CrashEvidence, targets int) {
	if s.isLarge() && s.random.IntN(10) > 0 {
		return
	}
	encoded, err := cbor.Marshal(evidence)
	if err != nil {
		panic(err)
	}
	s.result.maxMessageBytes = max(s.result.maxMessageBytes, len(encoded))
	if s.isLarge() {
		targets *= 10
	}
	s.result.messageBytes += len(encoded) * targets
}

func (s *simulation) receive(e *simEntry, evidence fleet.CrashEvidence) {
	changes, isNews := e.set.Merge(s.now, evidence)
	s.apply(e, changes)
	if isNews {
		s.result.news++
		if s.isLarge() {
			s.sendSoon(e)
		}
	}
}

func (s *simulation) targets(e *simEntry) []*simEntry {
	if !s.isLarge() {
		return slices.DeleteFunc(slices.Clone(s.entries), func(o *simEntry) bool { return o == e })
	}
	var targets []*simEntry
	for len(targets) < simLocalFanout {
		other := s.entries[s.random.IntN(len(s.entries))]
		if other != e && other.dataCentre == e.dataCentre && !slices.Contains(targets, other) {
			targets = append(targets, other)
		}
	}
	for {
		other := s.entries[s.random.IntN(len(s.entries))]
		if other.dataCentre != e.dataCentre {
			return append(targets, other)
		}
	}
}
