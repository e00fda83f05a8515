package deployed

import (
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/platform/standin"
)

const (
	// soakSeedsVariable sets the number of seeds of a soak that is run by hand.
	soakSeedsVariable = "LIMIT_SOAK_SEEDS"
	soakSeedsInCI     = 2
	soakDuration      = 25 * time.Second
)

// limitPeriod is a time in which a process of a server names the same limit.
type limitPeriod struct {
	from, to  time.Time
	perSecond float64
}

type runningEntry struct {
	index int
	addr  string
}

// limitSoak changes limits, restarts servers and stops and starts entries at random.
type limitSoak struct {
	*deployment
	random *rand.Rand

	mu      sync.Mutex
	running []runningEntry
	periods map[*standin.Backend][]limitPeriod
}

// changeLimits lets a server name random limits, one after the other, and restart.
func (s *limitSoak) changeLimits(server *standin.Backend, random *rand.Rand, done <-chan struct{}) {
	for {
		from := time.Now()
		limit := []string{"", "0", "0.5", "1.9", "1.9", "20"}[random.IntN(6)]
		server.NameLimit(limit)
		isOver := !sleepUntil(done, time.Duration(4+random.IntN(6))*time.Second)
		if perSecond, err := strconv.ParseFloat(limit, 64); err == nil {
			s.mu.Lock()
			s.periods[server] = append(s.periods[server], limitPeriod{from: from, to: time.Now(), perSecond: perSecond})
			s.mu.Unlock()
		}
		if isOver {
			return
		}
		if random.IntN(3) == 0 {
			server.Start(1)
		}
	}
}

// changeEntries stops and starts entries. At least two run at any time.
func (s *limitSoak) changeEntries(random *rand.Rand, done <-chan struct{}) {
	for sleepUntil(done, time.Duration(500+random.IntN(3000))*time.Millisecond) {
		s.mu.Lock()
		running := slices.Clone(s.running)
		s.mu.Unlock()
		if len(running) > 2 && random.IntN(2) == 0 {
			stopped := running[random.IntN(len(running))]
			s.stopEntry(stopped.index)
			s.setRunning(slices.DeleteFunc(running, func(e runningEntry) bool { return e == stopped }))
			continue
		}
		s.startEntries(1)
		s.setRunning(append(running, s.lastEntry()))
	}
}

func (s *limitSoak) lastEntry() runningEntry {
	last := len(s.entries) - 1
	return runningEntry{index: last, addr: s.entries[last].CallerAddr}
}

func (s *limitSoak) setRunning(entries []runningEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = entries
}

// callers sends requests to the entries that run, and to some that stop meanwhile.
func (s *limitSoak) callers(random *rand.Rand, done <-chan struct{}) {
	var requests sync.WaitGroup
	defer requests.Wait()
	for sleepUntil(done, time.Duration(random.ExpFloat64()*float64(20*time.Millisecond))) {
		s.mu.Lock()
		addr := s.running[random.IntN(len(s.running))].addr
		s.mu.Unlock()
		requests.Go(func() { s.sendRequestTo(addr, plainHost, "POST", "/look", "", nil) })
	}
}

// sleepUntil sleeps and reports whether done is still open.
func sleepUntil(done <-chan struct{}, d time.Duration) bool {
	select {
	case <-done:
		return false
	case <-time.After(d):
		return true
	}
}

// requireBounds checks the arrivals from limitSettleTime after the start of each period.
func (s *limitSoak) requireBounds(t *testing.T) {
	for server, periods := range s.periods {
		arrivals := server.Arrivals()
		for _, p := range periods {
			var within []time.Time
			for _, a := range arrivals {
				if a.At.After(p.from.Add(limitSettleTime)) && a.At.Before(p.to) {
					within = append(within, a.At)
				}
			}
			for i, first := range within {
				n := 0
				for _, at := range within[i:] {
					if at.Sub(first) <= limitWindow {
						n++
					}
				}
				require.LessOrEqual(t, n, allowedArrivals(p.perSecond), "%s, %v a second", server.ID, p.perSecond)
			}
		}
	}
}

// Limits begin, change and end, servers restart, and entries stop and start in series.
func TestLimitsHoldInASoakWithRestarts(t *testing.T) {
	seeds := soakSeedsInCI
	if text := os.Getenv(soakSeedsVariable); text != "" {
		var err error
		seeds, err = strconv.Atoi(text)
		require.NoError(t, err)
	}
	for seed := range uint64(seeds) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			random := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }
			s := &limitSoak{deployment: startDeployment(t), random: random(0), periods: map[*standin.Backend][]limitPeriod{}}
			s.addEntries(2 * s.random.IntN(4))
			for i, entry := range s.entries {
				s.running = append(s.running, runningEntry{index: i, addr: entry.CallerAddr})
			}
			done := make(chan struct{})
			var tasks sync.WaitGroup
			for i, server := range s.plainServers {
				tasks.Go(func() { s.changeLimits(server, random(uint64(1+i)), done) })
			}
			tasks.Go(func() { s.changeEntries(random(8), done) })
			tasks.Go(func() { s.callers(random(9), done) })
			time.Sleep(soakDuration)
			close(done)
			tasks.Wait()
			s.requireBounds(t)
		})
	}
}
