package deployed

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"currantusher.dev/platform/standin"
	"currantusher.dev/tables/watch"
)

const (
	// versionSeedsVariable sets the number of seeds of a soak that is run by hand.
	versionSeedsVariable = "VERSION_SOAK_SEEDS"
	versionSeedsInCI     = 2
	versionSoakRounds    = 3

	soakVersionInForce = 3 * time.Second
	// soakResumeDelay is how long after a version must be in force the engines go on that
	// stood still. It leaves a busy machine time for the recalls.
	soakResumeDelay = time.Second
	// minBegunEvents is the least number of events of a request that an engine ran. It
	// writes the first one before it notices that the request was recalled.
	minBegunEvents = 2
)

// versionSoak names versions while engines stand still until after the versions must be in
// force, most of their rows lapse, and entries are replaced.
type versionSoak struct {
	*silenceSoak
	// acknowledged holds the times of the versions from 2 on.
	acknowledged []time.Time
}

// runRounds names versions one after the other. It returns once all engines have the last
// one.
func (s *versionSoak) runRounds(random *rand.Rand) {
	for round := range versionSoakRounds {
		time.Sleep(time.Duration(random.IntN(800)) * time.Millisecond)
		version := 2 + round
		s.store.PutVersion(modelName, version)
		s.acknowledged = append(s.acknowledged, time.Now())
		standing := 1 + random.IntN(soakServers-1)
		var engines sync.WaitGroup
		for i, engine := range random.Perm(soakServers) {
			delay := time.Duration(random.IntN(1500)) * time.Millisecond
			lapse := time.Duration(random.IntN(1200)) * time.Millisecond
			lapses := random.IntN(4) > 0
			if i < standing {
				engines.Go(func() { s.standStill(s.engines[engine], version, delay, lapse, lapses) })
			} else {
				engines.Go(func() { s.loadInTime(s.engines[engine], version, delay) })
			}
		}
		engines.Wait()
	}
}

func (s *versionSoak) loadInTime(engine *standin.Backend, version int, delay time.Duration) {
	time.Sleep(delay)
	engine.Load(version)
	time.Sleep(soakVersionInForce - delay)
}

// standStill silences an engine from a delay after the version was named until after it
// must be in force. The engine loads the version later than it goes on.
func (s *versionSoak) standStill(engine *standin.Backend, version int, delay, lapse time.Duration, lapses bool) {
	time.Sleep(delay)
	engine.Silence()
	time.Sleep(lapse)
	if lapses {
		s.store.Remove(watch.ServersTable, engine.ID)
	}
	time.Sleep(soakVersionInForce + soakResumeDelay - delay - lapse)
	engine.Resume()
	time.Sleep(lapse / 4)
	engine.Load(version)
}

// requireNoneIsOutdated checks on which version each request began.
func (s *versionSoak) requireNoneIsOutdated(t *testing.T, seed uint64) {
	begun := 0
	for _, engine := range s.engines {
		for _, executed := range engine.ExecutedRequests() {
			if executed.Aborted && executed.Events < minBegunEvents {
				continue
			}
			begun++
			for i, at := range s.acknowledged {
				if version := 2 + i; executed.Version < version && executed.StartedAt.Sub(at) > soakVersionInForce {
					t.Errorf("seed %d: %s began %s on version %d, %v after version %d was acknowledged at %v; %d events, aborted %v\n%s",
						seed, engine.ID, executed.ID, executed.Version, executed.StartedAt.Sub(at), version, at, executed.Events, executed.Aborted, strings.Join(s.log.find("id="+executed.ID+" "), ""))
				}
			}
		}
	}
	outcomes, runs := map[string]int{}, s.runs()
	for _, c := range s.calls {
		if c.host == streamHost && c.leaveAfter == 0 {
			outcomes[c.outcome(runs[c.body])]++
		}
	}
	t.Logf("seed %d: %d begun, %d recalled; streams %s", seed, begun, s.log.count("Recalling a request"), describeCounts(outcomes))
}

// Engines stood still while a version came into force, and began older requests on the
// weights before it.
func TestNoRequestBeginsOnOutdatedWeightsInASoakWithEnginesThatStandStill(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(t, versionSeedsVariable, versionSeedsInCI) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			random := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }
			s := &versionSoak{silenceSoak: startSilenceSoak(t, random(0), soakVersionInForce)}
			s.store.PutConfig(s.config(soakConfigVersion, soakSlots))
			done := make(chan struct{})
			var tasks sync.WaitGroup
			for i, task := range []func(*rand.Rand, <-chan struct{}){s.callers, s.changeEntries} {
				tasks.Go(func() { task(random(uint64(1+i)), done) })
			}
			s.runRounds(random(3))
			close(done)
			tasks.Wait()
			s.requireNoneIsOutdated(t, seed)
		})
	}
}
