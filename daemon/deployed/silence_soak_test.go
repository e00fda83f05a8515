package deployed

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/fleet"
	"currantusher.dev/platform/headers"
	"currantusher.dev/platform/standin"
)

const (
	// silenceSeedsVariable sets the number of seeds of a soak that is run by hand.
	silenceSeedsVariable = "SILENCE_SOAK_SEEDS"
	silenceSeedsInCI     = 2
	silenceSoakDuration  = 15 * time.Second

	soakServers      = 6
	soakSlots        = 8
	soakEvents       = 40
	soakDeadline     = 10 * time.Second
	soakGapObjective = 300 * time.Millisecond
	// soakConfigVersion is the version of the soak's first configuration. Entries ignore
	// another one with the version 1 of the deployment's own.
	soakConfigVersion = 2
	// soakArrivalPause is the mean time between two streams that keeps most slots in use.
	soakArrivalPause = soakEvents * silenceEventInterval * 10 / (9 * soakServers * soakSlots)
)

// silenceSoak silences servers while entries stop, servers refuse requests and
// configurations change.
type silenceSoak struct {
	*deployment
	settings silenceSettings
	client   *http.Client

	mu      sync.Mutex
	running []runningEntry
	calls   []soakCall
}

// soakCall is a request of the soak and its result.
type soakCall struct {
	id, host, path, body string
	// leaveAfter is when the caller leaves, 0 for never.
	leaveAfter time.Duration
	duration   time.Duration
	result     callResult
}

func (c soakCall) isWhole() bool {
	if c.result.err != nil || c.result.status != http.StatusOK {
		return false
	}
	if c.host == streamHost {
		return c.result.body == completeStream(soakEvents)
	}
	return strings.HasSuffix(c.result.body, " answers "+c.body)
}

// outcome names the result of a counted call.
func (c soakCall) outcome(runs int) string {
	switch {
	case c.isWhole():
		return "whole"
	case c.result.status == http.StatusOK && c.result.err != nil && strings.HasPrefix(completeStream(soakEvents), c.result.body):
		return "cut"
	case c.result.status == http.StatusOK:
		return "wrong"
	case c.result.status != 0:
		return strconv.Itoa(c.result.status)
	case runs > 0:
		return "closed"
	default:
		return "not read"
	}
}

func (s *silenceSoak) send(c soakCall, addr string) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if c.leaveAfter > 0 {
		defer time.AfterFunc(c.leaveAfter, cancel).Stop()
	}
	request, err := http.NewRequestWithContext(ctx, "POST", "http://"+addr+c.path, strings.NewReader(c.body))
	if err != nil {
		panic(err)
	}
	names := headers.Names()
	request.Host = c.host
	request.Header.Set(names.RequestID, c.id)
	request.Header.Set(names.Deadline, strconv.FormatInt(soakDeadline.Milliseconds(), 10))
	request.Header.Set(names.APIKey, apiKey)
	if c.host == streamHost {
		request.Header.Set(names.Model, modelName)
		request.Header.Set(names.TokenCounts, fmt.Sprint("10,", soakEvents))
	}
	startedAt := time.Now()
	response, err := s.client.Do(request)
	c.result.err = err
	if err == nil {
		text, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		c.result = callResult{status: response.StatusCode, body: string(text), err: readErr}
	}
	c.duration = time.Since(startedAt)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, c)
}

// callers sends streams and, now and then, requests with one answer.
func (s *silenceSoak) callers(random *rand.Rand, done <-chan struct{}) {
	var requests sync.WaitGroup
	defer requests.Wait()
	for sleepUntil(done, time.Duration(random.ExpFloat64()*float64(soakArrivalPause))) {
		c := soakCall{id: nextRequestID(), host: streamHost, path: silentRoutePrefix + "x", body: nextBody()}
		switch random.IntN(10) {
		case 0:
			c.host, c.path = plainHost, "/look"
		case 1:
			c.host, c.path = plainHost, "/issue/1"
		}
		if random.IntN(20) == 0 {
			c.leaveAfter = 1 + time.Duration(random.IntN(3000))*time.Millisecond
		}
		s.mu.Lock()
		addr := s.running[random.IntN(len(s.running))].addr
		s.mu.Unlock()
		requests.Go(func() { s.send(c, addr) })
	}
}

// draw returns one, most or all servers of each kind.
func (s *silenceSoak) draw(random *rand.Rand) []*standin.Backend {
	count := []int{1, soakServers - 2, soakServers}[random.IntN(3)]
	var drawn []*standin.Backend
	for _, i := range random.Perm(soakServers)[:count] {
		drawn = append(drawn, s.engines[i], s.plainServers[i])
	}
	return drawn
}

// silences lets servers fall silent for about a second.
func (s *silenceSoak) silences(random *rand.Rand, done <-chan struct{}) {
	for sleepUntil(done, time.Duration(500+random.IntN(2000))*time.Millisecond) {
		var ends sync.WaitGroup
		for _, server := range s.draw(random) {
			start := time.Duration(random.IntN(200)) * time.Millisecond
			length := time.Duration(600+random.IntN(1200)) * time.Millisecond
			ends.Go(func() {
				time.Sleep(start)
				server.Silence()
				time.Sleep(length)
				server.Resume()
			})
		}
		ends.Wait()
	}
}

// refusals lets one to all but one servers refuse requests for a while.
func (s *silenceSoak) refusals(random *rand.Rand, done <-chan struct{}) {
	for sleepUntil(done, time.Duration(500+random.IntN(3000))*time.Millisecond) {
		refusal := []standin.Refusal{standin.RefuseMisdirected, standin.RefuseNotExecuted}[random.IntN(2)]
		refusing := random.Perm(soakServers)[:1+random.IntN(soakServers-1)]
		set := func(refusal standin.Refusal) {
			for _, i := range refusing {
				refuseAll([]*standin.Backend{s.engines[i], s.plainServers[i]}, refusal)
			}
		}
		set(refusal)
		sleepUntil(done, time.Duration(300+random.IntN(1500))*time.Millisecond)
		set(standin.RefuseNone)
	}
}

// changeEntries replaces one entry after the other.
func (s *silenceSoak) changeEntries(random *rand.Rand, done <-chan struct{}) {
	for sleepUntil(done, time.Duration(2000+random.IntN(3000))*time.Millisecond) {
		i := len(s.entries)
		s.startSilenceEntry(s.settings, i)
		added := runningEntry{index: i, addr: s.entries[i].CallerAddr}
		waitAtMost(waitTimeout, func() bool { return standin.IsReady(s.entries[i].ReadyAddr) })
		s.mu.Lock()
		gone := random.IntN(len(s.running))
		stopped := s.running[gone]
		s.running = append(slices.Delete(slices.Clone(s.running), gone, gone+1), added)
		s.mu.Unlock()
		s.stopEntry(stopped.index)
	}
}

// changeConfig writes configurations with other numbers of slots and connections.
func (s *silenceSoak) changeConfig(random *rand.Rand, done <-chan struct{}) {
	for version := int64(soakConfigVersion + 1); sleepUntil(done, time.Duration(1500+random.IntN(3000))*time.Millisecond); version++ {
		s.store.PutConfig(s.config(version, soakSlots+random.IntN(3)))
	}
}

func (s *silenceSoak) config(version int64, slots int) fleet.Configuration {
	config := s.settings.config(version, s.originAddr)
	for i := range config.Services {
		if config.Services[i].Engine != nil {
			config.Services[i].Engine.Slots = slots
		}
	}
	return config
}

// runs returns how often each call ran, by its body.
func (s *silenceSoak) runs() map[string]int {
	runs := map[string]int{}
	for _, server := range append(slices.Clone(s.engines), s.plainServers...) {
		for _, executed := range server.ExecutedRequests() {
			runs[executed.Body]++
		}
	}
	return runs
}

// requireNoneIsLost checks the results of all calls.
func (s *silenceSoak) requireNoneIsLost(t *testing.T, seed uint64) {
	runs := s.runs()
	streams, plain, left, late := map[string]int{}, map[string]int{}, 0, 0
	for _, c := range s.calls {
		switch {
		case c.leaveAfter > 0:
			left++
			continue
		case c.duration >= soakDeadline:
			late++
			continue
		}
		outcome := c.outcome(runs[c.body])
		counts := streams
		if c.host == plainHost {
			counts = plain
		}
		counts[outcome]++
		if !slices.Contains([]string{"whole", "not read", "408", "421", "429", "503"}, outcome) {
			t.Errorf("seed %d: %s %s ended as %s after %v: %v\n%s", seed, c.id, c.path, outcome, c.duration, c.result.err, strings.Join(s.log.find(" id="+c.id+" "), ""))
		}
		if c.path == "/issue/1" {
			require.LessOrEqual(t, runs[c.body], 1, "%s ran twice", c.id)
			require.False(t, outcome[0] == '4' && runs[c.body] > 0 || outcome == "503" && runs[c.body] > 0, "%s was refused and ran", c.id)
		}
	}
	t.Logf("seed %d: streams %s; plain %s; not counted: %d left, %d reached their deadline", seed, describeCounts(streams), describeCounts(plain), left, late)
	for _, line := range s.log.find("Request ended.", `code="307`) {
		t.Logf("seed %d: %s", seed, line)
	}
}

func describeCounts(counts map[string]int) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(&b, "%s %d, ", name, counts[name])
	}
	return strings.TrimSuffix(b.String(), ", ")
}

func startSilenceSoak(t *testing.T, random *rand.Rand, versionInForce time.Duration) *silenceSoak {
	settings := silenceSettings{
		entries: 2 + random.IntN(3), servers: soakServers, maxAttempts: 2, retryRatio: 0.2, retrySlack: 10, slots: soakSlots, events: soakEvents,
		versionInForce: versionInForce, gapObjective: soakGapObjective,
	}
	s := &silenceSoak{
		deployment: startSilenceDeployment(t, settings), settings: settings,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: soakServers * soakSlots}},
	}
	t.Cleanup(s.client.CloseIdleConnections)
	for i, entry := range s.entries {
		s.running = append(s.running, runningEntry{index: i, addr: entry.CallerAddr})
	}
	return s
}

// seedCount returns the number of seeds in an environment variable.
func seedCount(t *testing.T, variable string, usual int) uint64 {
	text := os.Getenv(variable)
	if text == "" {
		return uint64(usual)
	}
	seeds, err := strconv.Atoi(text)
	require.NoError(t, err)
	return uint64(seeds)
}

// Servers fall silent together while entries are replaced, servers refuse requests and
// configurations change. No request may be lost.
func TestNoRequestIsLostInASoakWithSilentServers(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(t, silenceSeedsVariable, silenceSeedsInCI) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			random := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }
			s := startSilenceSoak(t, random(0), 0)
			s.store.PutConfig(s.config(soakConfigVersion, soakSlots))
			done := make(chan struct{})
			var tasks sync.WaitGroup
			for i, task := range []func(*rand.Rand, <-chan struct{}){s.callers, s.silences, s.refusals, s.changeEntries, s.changeConfig} {
				tasks.Go(func() { task(random(uint64(1+i)), done) })
			}
			time.Sleep(silenceSoakDuration)
			close(done)
			tasks.Wait()
			s.requireNoneIsLost(t, seed)
		})
	}
}
