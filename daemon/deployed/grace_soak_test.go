package deployed

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/platform/headers"
)

const (
	// graceSeedsVariable sets the number of seeds of a soak that is run by hand.
	graceSeedsVariable = "GRACE_SOAK_SEEDS"
	graceSeedsInCI     = 2
	graceSoakDuration  = 15 * time.Second
	graceSoakStop      = 5 * time.Second
	graceCallers       = 24
	// graceServers have fewer slots than there are callers, so that requests queue.
	graceServers = 4
	graceSlots   = 4
	// maxGraceWork and maxBodyPause are the longest times that a server and a caller take.
	maxGraceWork = 1200 * time.Millisecond
	maxBodyPause = 4 * time.Second
	// operatorPause is the mean time between two changes.
	operatorPause = 700 * time.Millisecond
)

// graceSoak stops and starts entries while callers use their open connections until these
// close.
type graceSoak struct {
	*deployment
	mu    sync.Mutex
	addrs map[int]string
	calls []graceCall
}

// graceCall is a request of the soak and its result.
type graceCall struct {
	id, path, body string
	// isWhole is set if the caller has sent all of the body.
	isWhole bool
	result  callResult
}

func (s *graceSoak) chooseAddr(random *rand.Rand) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	chosen, seen := "", 0
	for entry := range len(s.entries) {
		if addr, ok := s.addrs[entry]; ok {
			seen++
			if random.IntN(seen) == 0 {
				chosen = addr
			}
		}
	}
	return chosen
}

// call sends requests on one connection until it closes or stop is closed.
func (s *graceSoak) call(random *rand.Rand, stop <-chan struct{}) {
	conn, err := net.Dial("tcp", s.chooseAddr(random))
	if err != nil {
		time.Sleep(10 * time.Millisecond)
		return
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		select {
		case <-stop:
			return
		default:
		}
		call := s.exchange(random, conn, reader)
		s.mu.Lock()
		s.calls = append(s.calls, call)
		s.mu.Unlock()
		if call.result.err != nil || call.result.header.Get("Connection") == "close" {
			return
		}
	}
}

// exchange sends one request, often with a pause within its body, and reads the answer.
func (s *graceSoak) exchange(random *rand.Rand, conn net.Conn, reader *bufio.Reader) graceCall {
	path := []string{"/look", "/issue/1"}[random.IntN(2)]
	call := graceCall{id: nextRequestID(), path: path, body: nextBody()}
	answered := make(chan callResult, 1)
	go func() { answered <- readAnswer(reader) }()
	names := headers.Names()
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 20000\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		path, plainHost, names.RequestID, call.id, names.Deadline, names.APIKey, apiKey, len(call.body), call.body[:1])
	if err == nil && random.IntN(2) == 0 {
		select {
		case call.result = <-answered:
			return call
		case <-time.After(time.Duration(random.Int64N(int64(maxBodyPause)))):
		}
	}
	if err == nil {
		_, err = io.WriteString(conn, call.body[1:])
	}
	call.isWhole = err == nil
	call.result = <-answered
	return call
}

func readAnswer(reader *bufio.Reader) callResult {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return callResult{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if response.Close {
		// ReadResponse removes the field.
		response.Header.Set("Connection", "close")
	}
	return callResult{status: response.StatusCode, header: response.Header, body: string(text), err: err}
}

// operate makes random changes until end. At least one entry does not leave.
func (s *graceSoak) operate(random *rand.Rand, settings silenceSettings, end time.Time) {
	version := int64(1)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(operatorPause)))
		switch random.IntN(4) {
		case 0, 1:
			s.replaceEntry(random, settings)
		case 2:
			version++
			s.store.PutConfig(silenceConfig(version, s.originAddr, settings.maxAttempts+int(version%2)))
		case 3:
			s.store.SetDown(true)
			time.Sleep(time.Duration(random.Int64N(int64(operatorPause))))
			s.store.SetDown(false)
		}
	}
}

// replaceEntry starts an entry, and stops another one when the new one is ready. Callers
// go on to use the one that leaves.
func (s *graceSoak) replaceEntry(random *rand.Rand, settings silenceSettings) {
	entry := len(s.entries)
	s.mu.Lock()
	s.startSilenceEntry(settings, entry)
	s.mu.Unlock()
	s.eventually(func() bool {
		return s.sendRequest(entry, plainHost, "POST", "/look", "", nil).status == http.StatusOK
	}, "entry %d does not serve requests", entry)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addrs[entry] = s.entries[entry].CallerAddr
	for leaving := range entry {
		if _, ok := s.addrs[leaving]; ok && random.IntN(2) == 0 {
			s.stopEntry(leaving)
			// Some callers learn of the leave at its end only.
			time.AfterFunc(time.Duration(random.Int64N(int64(graceSoakStop))), func() { s.forget(leaving) })
		}
	}
}

func (s *graceSoak) forget(entry int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.addrs, entry)
}

// known returns the entries that callers know. A delayed forget may run beside it.
func (s *graceSoak) known() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.addrs))
}

// requireTrue checks the results of all calls.
func (s *graceSoak) requireTrue(t *testing.T, seed uint64) {
	runs := map[string]int{}
	for _, server := range s.plainServers {
		for _, executed := range server.ExecutedRequests() {
			runs[executed.Body]++
		}
	}
	counts := map[string]int{}
	for _, call := range s.calls {
		outcome, fault := call.judge(runs[call.body], s.log)
		counts[outcome]++
		if fault != "" {
			t.Errorf("seed %d: %s %s ran %d times and got %d %v: %s\n%s", seed, call.id, call.path, runs[call.body],
				call.result.status, call.result.err, fault, strings.Join(s.log.find(" id="+call.id+" "), ""))
		}
	}
	var decisions []string
	for _, decision := range []string{"answered", "refused_late", "stopped", "failed"} {
		decisions = append(decisions, fmt.Sprintf("%s %d", decision, s.log.count("Request ended.", "leave="+decision)))
	}
	t.Logf("seed %d: %d calls, %v; by leaving entries: %s", seed, len(s.calls), counts, strings.Join(decisions, ", "))
}

// judge names the result of a call, and the rule that it breaks, if any.
func (c graceCall) judge(runs int, log *logBuffer) (outcome, fault string) {
	if c.path == "/issue/1" && runs > 1 {
		return "repeated", "it must not run twice"
	}
	if c.result.err != nil {
		// A request that crosses the close of its connection has no answer.
		crossed := log.count("Request ended.", " id="+c.id+" ", "aborted the body") + log.count("Request ended.", " id="+c.id+" ", "was closed while")
		switch {
		case runs > 0:
			return "lost", "it was passed on and not answered"
		case c.isWhole && log.count("Request ended.", " id="+c.id+" ") > crossed:
			return "lost", "it was read and not answered"
		}
		return "closed", ""
	}
	outcome = strconv.Itoa(c.result.status)
	switch c.result.status {
	case http.StatusOK:
		if !strings.HasSuffix(c.result.body, " answers "+c.body) {
			fault = "the body is not that of the server"
		}
	case http.StatusServiceUnavailable:
		if runs > 0 {
			fault = "it was refused and ran"
		}
	case http.StatusBadGateway, http.StatusGatewayTimeout:
	default:
		fault = "no such status is expected"
	}
	return outcome, fault
}

func TestRandomPlannedStopsLoseNoRequest(t *testing.T) {
	seeds := graceSeedsInCI
	if text := os.Getenv(graceSeedsVariable); text != "" {
		var err error
		seeds, err = strconv.Atoi(text)
		require.NoError(t, err)
	}
	for seed := range uint64(seeds) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			if seeds > graceSeedsInCI {
				t.Parallel()
			}
			random := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }
			settings := silenceSettings{entries: 3, servers: graceServers, maxAttempts: 2, retryRatio: 1, retrySlack: 1000, slots: graceSlots, stop: graceSoakStop}
			s := &graceSoak{deployment: startSilenceDeployment(t, settings), addrs: map[int]string{}}
			operator := random(0)
			for _, server := range s.plainServers {
				server.AnswerTime = time.Duration(operator.Int64N(int64(maxGraceWork)))
			}
			for entry, node := range s.entries {
				s.addrs[entry] = node.CallerAddr
			}
			stop := make(chan struct{})
			var callers sync.WaitGroup
			for caller := range uint64(graceCallers) {
				callerRandom := random(caller + 1)
				callers.Go(func() {
					for {
						select {
						case <-stop:
							return
						default:
							s.call(callerRandom, stop)
						}
					}
				})
			}
			s.operate(operator, settings, time.Now().Add(graceSoakDuration))
			close(stop)
			callers.Wait()
			for _, entry := range s.known() {
				s.stopEntry(entry)
			}
			s.requireTrue(t, seed)
		})
	}
}
