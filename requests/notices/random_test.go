package notices

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
)

const (
	simStep = 10 * time.Millisecond
	// simLag is the longest delay of a row, and simNetwork that of a message.
	simLag     = 2 * time.Second
	simNetwork = 50 * time.Millisecond
	// simDial is the longest time between the choice of a server and the write.
	simDial     = 400 * time.Millisecond
	simAnswer   = time.Second
	simMaxPause = 20 * time.Second
	// pauseGrace is the time after a refusal in which requests may still arrive, and
	// maxInPause the number that may arrive between then and the end of the pause.
	pauseGrace = 500 * time.Millisecond
	maxInPause = 2
)

// simServer is one lifetime of a server.
type simServer struct {
	lifetime  Lifetime
	addr      int
	startedAt time.Time
	leaving   bool
	// refusesUntil and pause describe a time in which it refuses requests.
	refusesUntil time.Time
	pause        time.Duration
	// pauses holds the pauses asked of each entry process.
	pauses map[*simEntry][]*simPause
}

type simPause struct {
	from, until time.Time
	arrived     int
}

// simEntry is one process of an entry.
type simEntry struct {
	set         *Set
	frozenUntil time.Time
	// passedOnLeaving holds the lifetimes whose announcement it has received.
	passedOnLeaving map[Lifetime]bool
	requests        []*simRequest
}

type simRequest struct {
	server           *simServer
	sendAt, answerAt time.Time
	sent             bool
	notice           Notice
}

type simulation struct {
	t       *testing.T
	now     time.Time
	random  *rand.Rand
	servers []*simServer
	// gone holds the lifetimes that have ended, for entries with old rows.
	gone    []*simServer
	entries []*simEntry
	// checksAtSend is false to show that the test detects a missing check.
	checksAtSend bool
	violations   []string
	sentCount    int
	pauseCount   int
}

func newSimulation(t *testing.T, seed uint64, servers, entries int) *simulation {
	s := &simulation{t: t, now: testEpoch, random: rand.New(rand.NewPCG(seed, 0)), checksAtSend: true}
	for addr := range servers {
		s.servers = append(s.servers, s.newServer(addr, core.InstanceID(fmt.Sprintf("s-%d", addr))))
	}
	for range entries {
		s.entries = append(s.entries, newSimEntry())
	}
	return s
}

func newSimEntry() *simEntry { return &simEntry{set: NewSet(), passedOnLeaving: map[Lifetime]bool{}} }

func (s *simulation) newServer(addr int, id core.InstanceID) *simServer {
	return &simServer{
		lifetime: Lifetime{Server: id, Incarnation: core.Incarnation(s.now.UnixMilli())}, addr: addr, startedAt: s.now,
		pauses: map[*simEntry][]*simPause{},
	}
}

func (s *simulation) upTo(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d)))
}

func (s *simulation) step() {
	s.now = s.now.Add(simStep)
	s.changeServers()
	s.changeEntries()
	for _, e := range s.entries {
		if s.now.Before(e.frozenUntil) {
			continue
		}
		s.pick(e)
		s.progress(e)
	}
}

// changeServers lets servers leave, refuse and restart. A restarted server keeps its
// ID or gets a new one at the same address.
func (s *simulation) changeServers() {
	at := s.random.IntN(len(s.servers))
	server := s.servers[at]
	switch s.random.IntN(60) {
	case 0:
		server.leaving = true
	case 1, 2:
		server.refusesUntil = s.now.Add(s.upTo(3 * time.Second))
		server.pause = s.upTo(simMaxPause)
	case 3:
		id := server.lifetime.Server
		if s.random.IntN(2) == 0 {
			id = core.InstanceID(fmt.Sprintf("s-%d-%d", server.addr, s.now.UnixMilli()))
		}
		s.gone = append(s.gone, server)
		s.servers[at] = s.newServer(server.addr, id)
		for _, e := range s.entries {
			require.Equal(s.t, State{}, e.set.State(s.now, s.servers[at].lifetime), "a new lifetime starts without announcements")
		}
	}
}

func (s *simulation) changeEntries() {
	at := s.random.IntN(len(s.entries))
	switch s.random.IntN(400) {
	case 0:
		s.entries[at] = newSimEntry()
	case 1, 2:
		s.entries[at].frozenUntil = s.now.Add(s.upTo(6 * time.Second))
	case 3:
		listed := map[Lifetime]bool{}
		for _, server := range s.servers {
			listed[server.lifetime] = s.random.IntN(4) > 0
		}
		s.entries[at].set.Sweep(s.now, func(l Lifetime) bool { return listed[l] })
	}
}

// pick chooses servers among those that the entry believes to run.
func (s *simulation) pick(e *simEntry) {
	for range 3 {
		server := s.servers[s.random.IntN(len(s.servers))]
		if len(s.gone) > 0 && s.now.Sub(server.startedAt) < simLag {
			for _, old := range s.gone {
				if old.addr == server.addr {
					server = old
				}
			}
		}
		if e.set.State(s.now, server.lifetime).Reason == Open {
			e.requests = append(e.requests, &simRequest{server: server, sendAt: s.now.Add(s.upTo(simDial))})
		}
	}
}

// progress sends the requests that are due and receives the answers.
func (s *simulation) progress(e *simEntry) {
	var left []*simRequest
	for _, r := range e.requests {
		switch {
		case !r.sent && !s.now.Before(r.sendAt):
			if s.checksAtSend && e.set.State(s.now, r.server.lifetime).Reason != Open {
				continue
			}
			s.arrive(e, r)
			left = append(left, r)
		case r.sent && !s.now.Before(r.answerAt):
			e.set.Record(s.now, r.server.lifetime, r.notice)
			if r.notice.Leaving {
				e.passedOnLeaving[r.server.lifetime] = true
			}
		default:
			left = append(left, r)
		}
	}
	e.requests = left
}

// arrive delivers a request to the server and checks the rules there.
func (s *simulation) arrive(e *simEntry, r *simRequest) {
	server := r.server
	s.sentCount++
	if e.passedOnLeaving[server.lifetime] {
		s.violations = append(s.violations, fmt.Sprintf("%v got a request after the entry had passed on that it leaves", server.lifetime))
	}
	arrivedAt := s.now.Add(s.upTo(simNetwork))
	for _, p := range server.pauses[e] {
		if arrivedAt.Before(p.from.Add(pauseGrace)) || !arrivedAt.Before(p.until) {
			continue
		}
		if p.arrived++; p.arrived > maxInPause {
			s.violations = append(s.violations, fmt.Sprintf("%v got %d requests in a pause", server.lifetime, p.arrived))
		}
	}
	r.sent = true
	answeredAt := arrivedAt.Add(s.upTo(simAnswer))
	r.notice.Leaving = server.leaving
	if s.now.Before(server.refusesUntil) {
		answeredAt = arrivedAt
		r.notice.Pause = server.pause
		s.pauseCount++
		server.pauses[e] = append(server.pauses[e], &simPause{from: answeredAt, until: answeredAt.Add(server.pause)})
	}
	r.answerAt = answeredAt.Add(s.upTo(simNetwork))
}

// TestRandomServersGetNoRequestsTheyDoNotWant plays servers that leave, refuse and
// restart, and entries that freeze and restart, and checks at the servers that no
// entry sends a request to a leaving server, or more than two into a pause. A frozen
// entry sends nothing, so that it needs no excuse.
func TestRandomServersGetNoRequestsTheyDoNotWant(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSimulation(t, seed, 1+int(seed)*8, 1+int(seed%4))
			for range 6000 {
				s.step()
			}
			require.Empty(t, s.violations)
			require.Greater(t, s.sentCount, 200)
			require.Positive(t, s.pauseCount)
			s.requireOpenAfterPauses()
		})
	}
}

// requireOpenAfterPauses checks that no server that stays is closed for good.
func (s *simulation) requireOpenAfterPauses() {
	later := s.now.Add(simMaxPause + simAnswer)
	for _, e := range s.entries {
		for _, server := range s.servers {
			if !server.leaving {
				require.Equal(s.t, Open, e.set.State(later, server.lifetime).Reason)
			}
		}
	}
}

func TestRandomServersDetectAMissingCheckBeforeSending(t *testing.T) {
	s := newSimulation(t, 1, 4, 2)
	s.checksAtSend = false
	for range 6000 {
		s.step()
	}
	require.NotEmpty(t, s.violations)
}
