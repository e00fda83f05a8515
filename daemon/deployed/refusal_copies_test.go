package deployed

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/platform/headers"
	"currantusher.dev/platform/standin"
)

const (
	// copySeedsVariable sets the number of seeds of a run by hand.
	copySeedsVariable = "REFUSAL_COPY_SEEDS"
	copySeedsInCI     = 2
	copyCallers       = 8
	requestsPerCaller = 20
	refusalFraction   = 0.3
	copyFraction      = 0.15
	// maxCopyDelay is short, so that late copies meet the next request on its way.
	maxCopyDelay = 2 * time.Millisecond
)

// copyingServer is a server without an engine that refuses some requests and writes earlier
// refusals once more: right after an answer, a moment later, or when it has read the next
// request, on connections that have carried a request.
type copyingServer struct {
	*standin.Backend
	ran *runCounter

	mu       sync.Mutex
	random   *rand.Rand
	refusals []string
	copies   int
}

// runCounter counts how often each request has run, at all servers.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func (c *runCounter) add(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id]++
}

func (c *runCounter) of(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id]
}

func (d *deployment) startCopyingServers(count int, seed uint64) ([]*copyingServer, *runCounter) {
	counter := &runCounter{runs: map[string]int{}}
	var servers []*copyingServer
	for i := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(d.t, err)
		d.t.Cleanup(func() { _ = listener.Close() })
		s := &copyingServer{ran: counter, random: rand.New(rand.NewPCG(seed, uint64(i))), Backend: &standin.Backend{
			ID: fmt.Sprintf("copying-lots-%d", i), Service: "lots", Zone: []string{"a", "b"}[i%2], Addr: listener.Addr().String(),
			Store: d.store, Origin: d.origin,
		}}
		go s.accept(listener)
		s.Start(1)
		servers = append(servers, s)
	}
	return servers, counter
}

func (s *copyingServer) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn)
	}
}

func (s *copyingServer) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		before := ""
		if n > 0 {
			before = s.maybeCopy()
		}
		if _, err := io.WriteString(conn, before+s.answer(request, string(body))+s.maybeCopy()); err != nil {
			return
		}
		if late := s.maybeCopy(); late != "" {
			time.AfterFunc(s.delay(), func() { _, _ = io.WriteString(conn, late) })
		}
	}
}

// answer refuses or runs a request.
func (s *copyingServer) answer(request *http.Request, body string) string {
	names := headers.Names()
	id := request.Header.Get(names.RequestID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.random.Float64() < refusalFraction {
		head := "HTTP/1.1 421 Misdirected Request\r\n"
		if s.random.IntN(2) == 0 {
			head = "HTTP/1.1 503 Service Unavailable\r\n" + names.NotExecuted + ": 1\r\n"
		}
		const noBody = "Content-Length: 0\r\n\r\n"
		echo := names.RequestID + ": " + id + "\r\n"
		s.refusals = append(s.refusals, head+noBody, head+echo+noBody)
		return head + echo + noBody
	}
	s.ran.add(id)
	text := s.ID + " answers " + body
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal\r\nContent-Length: %d\r\n\r\n%s", names.RequestID, id, names.Signature, len(text), text)
}

// maybeCopy returns one of the last refusals, with or without its id, or "".
func (s *copyingServer) maybeCopy() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.refusals) == 0 || s.random.Float64() >= copyFraction {
		return ""
	}
	s.copies++
	const recent = 8
	return s.refusals[len(s.refusals)-1-s.random.IntN(min(len(s.refusals), recent))]
}

func (s *copyingServer) delay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.random.Int64N(int64(maxCopyDelay)))
}

// callCopyingServers sends safe and unsafe requests one after another.
func (d *deployment) callCopyingServers(caller int, random *rand.Rand) []copyCall {
	var calls []copyCall
	for i := range requestsPerCaller {
		c := copyCall{body: fmt.Sprintf("lot-%d-%d", caller, i), isUnsafe: random.IntN(3) > 0}
		path := "/look"
		if c.isUnsafe {
			path = "/issue/lot"
		}
		c.result = d.sendRequest(random.IntN(len(d.entries)), plainHost, "POST", path, c.body, func(r *http.Request) {
			c.id = r.Header.Get(headers.Names().RequestID)
		})
		calls = append(calls, c)
	}
	return calls
}

// copyCall is a request with its answer.
type copyCall struct {
	id, body string
	isUnsafe bool
	result   callResult
}

func TestCopiesOfRefusalsNeitherRefuseNorRepeatRequestsThatRan(t *testing.T) {
	seeds := copySeedsInCI
	if text := os.Getenv(copySeedsVariable); text != "" {
		var err error
		seeds, err = strconv.Atoi(text)
		require.NoError(t, err)
	}
	for seed := range seeds {
		t.Run(strconv.Itoa(seed), func(t *testing.T) { testRefusalCopies(t, uint64(seed)) })
	}
}

func testRefusalCopies(t *testing.T, seed uint64) {
	d := startDeployment(t)
	for _, server := range d.plainServers {
		// Only the copying servers take requests.
		server.Drain()
	}
	servers, counter := d.startCopyingServers(3, seed)
	d.awaitRequestsAtCopyingServers(counter)
	results := make(chan []copyCall, copyCallers)
	for caller := range copyCallers {
		go func() { results <- d.callCopyingServers(caller, rand.New(rand.NewPCG(seed, uint64(100+caller)))) }()
	}
	var calls []copyCall
	for range copyCallers {
		calls = append(calls, <-results...)
	}
	statuses := map[int]int{}
	for _, call := range calls {
		statuses[call.result.status]++
		call.check(t, counter)
	}
	copies := 0
	for _, s := range servers {
		s.mu.Lock()
		copies += s.copies
		s.mu.Unlock()
	}
	t.Logf("seed %d: %d copies, statuses %v", seed, copies, statuses)
	require.Positive(t, copies)
	require.Positive(t, statuses[http.StatusOK])
}

// awaitRequestsAtCopyingServers waits until no entry sends requests to other servers.
func (d *deployment) awaitRequestsAtCopyingServers(counter *runCounter) {
	for entry := range d.entries {
		d.eventually(func() bool {
			var id string
			result := d.sendRequest(entry, plainHost, "POST", "/look", "lot", func(r *http.Request) { id = r.Header.Get(headers.Names().RequestID) })
			return result.status == http.StatusOK && counter.of(id) > 0
		}, "entry %d sends no request to the copying servers", entry)
	}
}

func (c copyCall) check(t *testing.T, counter *runCounter) {
	t.Helper()
	require.NoError(t, c.result.err)
	runs := counter.of(c.id)
	if c.isUnsafe {
		require.LessOrEqual(t, runs, 1, "%+v ran more than once", c)
	}
	switch c.result.status {
	case http.StatusOK:
		require.Positive(t, runs, "%+v", c)
		require.Regexp(t, "^copying-lots-[0-9] answers "+c.body+"$", c.result.body)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusRequestTimeout:
		require.Zero(t, runs, "%+v was refused and ran", c)
	default:
		require.Equal(t, http.StatusBadGateway, c.result.status, "%+v", c)
	}
}
