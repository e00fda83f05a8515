package deployed

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
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
	silentRoutePrefix = "/s/"
	onceRoutePrefix   = "/once/"
	// silenceEvents and silenceEventInterval make streams that last for a second.
	silenceEvents        = 20
	silenceEventInterval = 50 * time.Millisecond
	// eventsBeforeSilence is the number of events of a stream after which its server falls
	// silent.
	eventsBeforeSilence = 3
	// silenceObjective is short, so that entries do not wait long for the head of an answer.
	silenceObjective = 250 * time.Millisecond
	// silenceGapObjective is short, so that entries soon ask another server to continue a
	// stream.
	silenceGapObjective = 100 * time.Millisecond
	// patientGapObjective is so long that callers wait for a first event for longer than any
	// silence.
	patientGapObjective = 2 * time.Second
	// longSilence is longer than the time after which an entry sends a request to another
	// server.
	longSilence = 2500 * time.Millisecond
)

// silenceSettings are the settings of a deployment whose servers fall silent.
type silenceSettings struct {
	entries, servers, maxAttempts int
	retryRatio, retrySlack        float64
	// slots is the number of slots of each server, 0 for the default, and events the number
	// of events of a stream, 0 for silenceEvents.
	slots, events int
	// hasRemoteServer puts the last server of each kind into another data centre.
	hasRemoteServer bool
	// stop is the stop time of the entries; 0 means waitTimeout.
	stop time.Duration
	// gapObjective is the one of streams, 0 for silenceGapObjective.
	gapObjective time.Duration
	// versionInForce is the bound of the entries, 0 for the default.
	versionInForce time.Duration
}

// startSilenceDeployment starts entries before engines and as many servers without an
// engine. There are no agents.
func startSilenceDeployment(t *testing.T, settings silenceSettings) *deployment {
	t.Helper()
	d := &deployment{t: t, store: standin.NewStore(), origin: standin.NewOrigin(8, 512), log: &logBuffer{}}
	d.storeAddr = d.startHTTPServer(d.store)
	for i := range settings.servers {
		zone := "a"
		if settings.hasRemoteServer && i == settings.servers-1 {
			zone = "b"
		}
		events := settings.events
		if events == 0 {
			events = silenceEvents
		}
		engine := &standin.Backend{
			ID: fmt.Sprint("llm-", i), Service: "llm", Zone: zone, Model: modelName, Slots: settings.slots,
			EventCount: events, EventInterval: silenceEventInterval,
		}
		plain := &standin.Backend{ID: fmt.Sprint("lots-", i), Service: "lots", Zone: zone, Slots: settings.slots}
		d.startSilentBackend(engine)
		d.startSilentBackend(plain)
		d.engines = append(d.engines, engine)
		d.plainServers = append(d.plainServers, plain)
	}
	d.originAddr = d.startHTTPServer(d.origin)
	d.store.PutConfig(settings.config(1, d.originAddr))
	for i := range settings.entries {
		d.startSilenceEntry(settings, i)
	}
	t.Cleanup(d.stop)
	t.Cleanup(d.resumeAll)
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(d.log.warnings())
		}
	})
	d.awaitReady()
	return d
}

func (d *deployment) startSilentBackend(b *standin.Backend) {
	b.Store, b.Origin = d.store, d.origin
	server := httptest.NewUnstartedServer(b)
	server.Listener = b.Listen(server.Listener)
	server.Start()
	d.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	if d.servers == nil {
		d.servers = map[*standin.Backend]*httptest.Server{}
	}
	d.servers[b] = server
	b.Addr = server.Listener.Addr().String()
	b.Start(1)
}

func (d *deployment) startSilenceEntry(settings silenceSettings, i int) {
	node := d.newNode(fmt.Sprintf("entry-%d", i), "a", d.storeAddr)
	node.Bounds.Stop = waitTimeout
	if settings.stop > 0 {
		node.Bounds.Stop = settings.stop
	}
	node.Bounds.RetryRatio, node.Bounds.RetrySlack = settings.retryRatio, settings.retrySlack
	if settings.versionInForce > 0 {
		node.Bounds.VersionInForce = settings.versionInForce
	}
	d.runEntry(node)
}

// kill resets the connections of a server, which accepts no others.
func (d *deployment) kill(b *standin.Backend) {
	// The server is closed once more at the end of the test.
	_ = d.servers[b].Listener.Close()
	d.servers[b].CloseClientConnections()
}

func (d *deployment) resumeAll() {
	for _, servers := range [][]*standin.Backend{d.engines, d.plainServers} {
		for _, server := range servers {
			server.Resume()
		}
	}
}

func (s silenceSettings) config(version int64, originAddr string) fleet.Configuration {
	config := silenceConfig(version, originAddr, s.maxAttempts)
	for i := range config.Routes {
		if s.gapObjective > 0 && config.Routes[i].GapObjective > 0 {
			config.Routes[i].GapObjective = s.gapObjective
		}
	}
	return config
}

func silenceConfig(version int64, originAddr string, maxAttempts int) fleet.Configuration {
	const longTimeout = 20 * time.Second
	targets := func(service fleet.ServiceName) []fleet.Target { return []fleet.Target{{Service: service, Weight: 1}} }
	return fleet.Configuration{
		Version: version,
		Routes: []fleet.Route{
			{Name: "r-stream", Host: streamHost, Prefix: silentRoutePrefix, Kind: fleet.RouteStreaming, Timeout: longTimeout, LatencyObjective: silenceObjective,
				GapObjective: silenceGapObjective, Targets: targets("llm"), MaxAttempts: maxAttempts, Resumable: true},
			{Name: "r-stream-once", Host: streamHost, Prefix: onceRoutePrefix, Kind: fleet.RouteStreaming, Timeout: longTimeout, LatencyObjective: silenceObjective,
				GapObjective: silenceGapObjective, Targets: targets("llm"), MaxAttempts: 1},
			{Name: "r-safe", Host: plainHost, Prefix: "/", Kind: fleet.RouteSafe, Timeout: longTimeout, LatencyObjective: silenceObjective, Targets: targets("lots"), MaxAttempts: maxAttempts},
			{Name: "r-unsafe", Host: plainHost, Prefix: "/issue/", Kind: fleet.RouteUnsafe, Timeout: longTimeout, LatencyObjective: silenceObjective, Targets: targets("lots"), MaxAttempts: 1},
		},
		Services: []fleet.Service{
			{Name: "llm", MaxConns: 100, Engine: &fleet.Engine{Slots: 16, Models: []fleet.Model{modelName}, Pieces: 8, PieceBytes: 512}},
			{Name: "lots", MaxConns: 100},
			{Name: "origin", Origin: originAddr, OriginDataCentre: "a"},
		},
		Limits: fleet.Limits{HeaderBytes: 16384, BodyBytes: 100000, HeaderTimeout: longTimeout, IdleTimeout: longTimeout},
		Teams:  []fleet.Team{{Name: "team-1", Keys: []string{apiKey}, Priority: 1}},
	}
}

// logBuffer collects the logs of the entries.
type logBuffer struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

// Write implements io.Writer.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines.Write(p)
}

// warnings returns the lines that tell of trouble.
func (l *logBuffer) warnings() string {
	return strings.Join(append(l.find("level=warning"), l.find("level=error")...), "")
}

// count returns the number of lines that have all of these texts.
func (l *logBuffer) count(texts ...string) int { return len(l.find(texts...)) }

// find returns the lines that have all of these texts.
func (l *logBuffer) find(texts ...string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for line := range strings.Lines(l.lines.String()) {
		hasAll := true
		for _, text := range texts {
			hasAll = hasAll && strings.Contains(line, text)
		}
		if hasAll {
			found = append(found, line)
		}
	}
	return found
}

// runningCall is a request whose answer is read while the test goes on.
type runningCall struct {
	d      *deployment
	id     string
	body   string
	cancel func()
	done   chan struct{}

	mu     sync.Mutex
	status int
	text   strings.Builder
	err    error
}

var callBodies struct {
	sync.Mutex
	count int
}

func nextBody() string {
	callBodies.Lock()
	defer callBodies.Unlock()
	callBodies.count++
	return fmt.Sprint("call ", callBodies.count)
}

// startCall sends a request with a body of its own to an entry.
func (d *deployment) startCall(addr, host, path string) *runningCall {
	c := &runningCall{d: d, id: nextRequestID(), body: nextBody(), done: make(chan struct{})}
	request, err := http.NewRequest("POST", "http://"+addr+path, strings.NewReader(c.body))
	require.NoError(d.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	d.t.Cleanup(cancel)
	request = request.WithContext(ctx)
	request.Host = host
	names := headers.Names()
	request.Header.Set(names.RequestID, c.id)
	request.Header.Set(names.Deadline, "20000")
	request.Header.Set(names.APIKey, apiKey)
	if host == streamHost {
		request.Header.Set(names.Model, modelName)
		request.Header.Set(names.TokenCounts, "10,10")
	}
	go c.run(request)
	return c
}

func (c *runningCall) run(request *http.Request) {
	defer close(c.done)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		c.record(0, "", err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	c.record(response.StatusCode, "", nil)
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		c.record(response.StatusCode, lines.Text()+"\n", nil)
	}
	c.record(response.StatusCode, "", lines.Err())
}

func (c *runningCall) record(status int, text string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.status, c.err = status, err
	c.text.WriteString(text)
}

func (c *runningCall) result() callResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	return callResult{status: c.status, body: c.text.String(), err: c.err}
}

func (c *runningCall) hasEnded() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// awaitEvents waits until the caller has this number of whole events.
func (c *runningCall) awaitEvents(events int) {
	c.d.t.Helper()
	c.d.eventually(func() bool { return strings.Count(c.result().body, "\n\n") >= events }, "a stream has fewer than %d events", events)
}

// requireWholeStream waits for the end of the stream. Each event must have come once and
// in order, and the end must be clean.
func (c *runningCall) requireWholeStream() {
	c.d.t.Helper()
	c.d.eventually(c.hasEnded, "the stream does not end")
	got := c.result()
	require.NoError(c.d.t, got.err, "the stream was cut after %q", lastLine(got.body))
	require.Equal(c.d.t, http.StatusOK, got.status)
	require.Equal(c.d.t, completeStream(silenceEvents), got.body)
}

func lastLine(text string) string {
	lines := strings.Fields(strings.ReplaceAll(strings.TrimSpace(text), "\n", "|"))
	return strings.Join(lines[max(len(lines)-3, 0):], " ")
}

// others returns the servers without the given one.
func others(servers []*standin.Backend, excluded *standin.Backend) []*standin.Backend {
	var list []*standin.Backend
	for _, server := range servers {
		if server != excluded {
			list = append(list, server)
		}
	}
	return list
}

// giveRetries lets the entries accumulate retries for both services.
func (d *deployment) giveRetries() {
	for entry := range d.entries {
		d.awaitRetries(entry)
		for range 4 {
			require.Equal(d.t, http.StatusOK, d.sendRequest(entry, streamHost, "POST", silentRoutePrefix+"x", "", nil).status)
		}
	}
}

// waitAtMost waits until a condition holds, but no longer than limit. Whether the
// condition holds then is not checked.
func waitAtMost(limit time.Duration, condition func() bool) {
	for end := time.Now().Add(limit); time.Now().Before(end) && !condition(); {
		time.Sleep(5 * time.Millisecond)
	}
}
