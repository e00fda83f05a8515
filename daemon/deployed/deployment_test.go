package deployed

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/daemon/gateway"
	"currantusher.dev/daemon/loader"
	"currantusher.dev/daemon/obs"
	"currantusher.dev/platform/headers"
	"currantusher.dev/platform/nodefile"
	"currantusher.dev/platform/rowstore"
	"currantusher.dev/platform/standin"
)

const (
	modelName       = "m"
	streamHost      = "stream.example"
	plainHost       = "plain.example"
	apiKey          = "secret"
	otherAPIKey     = "other-secret"
	requestIDPrefix = "test"
	// waitTimeout bounds every wait. No test asserts a shorter time.
	waitTimeout = 30 * time.Second
)

// deployment is a fake platform with two data centres. Each has an engine with its
// agent, a backend server without an engine, and an entry.
type deployment struct {
	t              *testing.T
	store          *standin.Store
	storeAddr      string
	origin         *standin.Origin
	config         fleet.Configuration
	engines        []*standin.Backend
	plainServers   []*standin.Backend
	entries        []nodefile.Node
	metricsAddrs   []string
	stopFuncs      []context.CancelFunc
	entryStops     []context.CancelFunc
	runningDaemons sync.WaitGroup
	originAddr     string
	// servers are the HTTP servers of backend servers that may be killed.
	servers map[*standin.Backend]*httptest.Server
	// log collects the logs of the entries; nil discards them.
	log *logBuffer
}

func startDeployment(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{t: t, store: standin.NewStore(), origin: standin.NewOrigin(8, 512)}
	storeAddr := d.startHTTPServer(d.store)
	d.storeAddr = storeAddr
	originAddr := d.startHTTPServer(d.origin)
	for i, dataCentre := range []string{"a", "b"} {
		d.engines = append(d.engines, d.startBackend("llm", modelName, dataCentre, i))
		d.plainServers = append(d.plainServers, d.startBackend("lots", "", dataCentre, i))
	}
	d.config = d.configuration(originAddr)
	d.store.PutConfig(d.config)
	for i, dataCentre := range []string{"a", "b"} {
		d.runEntry(d.newNode(fmt.Sprintf("entry-%d", i), dataCentre, storeAddr))
		agent := d.newNode(fmt.Sprintf("agent-%d", i), dataCentre, storeAddr)
		agent.BackendAddr, agent.BackendService = d.engines[i].Addr, "llm"
		d.runAgent(agent)
	}
	t.Cleanup(d.stop)
	d.awaitReady()
	return d
}

func (d *deployment) stop() {
	for _, stop := range d.stopFuncs {
		stop()
	}
	d.runningDaemons.Wait()
}

func (d *deployment) startHTTPServer(handler http.Handler) string {
	server := httptest.NewServer(handler)
	d.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

func (d *deployment) startBackend(service, model, dataCentre string, i int) *standin.Backend {
	b := &standin.Backend{
		ID: fmt.Sprintf("%s-%d", service, i), Service: service, Zone: dataCentre, Model: model,
		Store: d.store, Origin: d.origin, EventCount: 6, EventInterval: time.Millisecond,
	}
	b.Addr = d.startHTTPServer(b)
	b.Start(1)
	return b
}

// configuration returns the first configuration.
func (d *deployment) configuration(originAddr string) fleet.Configuration {
	const longTimeout = 20 * time.Second
	targets := func(service fleet.ServiceName) []fleet.Target { return []fleet.Target{{Service: service, Weight: 1}} }
	return fleet.Configuration{
		Version: 1,
		Routes: []fleet.Route{
			{Name: "r-stream", Host: streamHost, Prefix: "/s/", Kind: fleet.RouteStreaming, Timeout: longTimeout, LatencyObjective: 5 * time.Second,
				GapObjective: 5 * time.Second, Targets: targets("llm"), MaxAttempts: 3, Resumable: true},
			{Name: "r-stream-once", Host: streamHost, Prefix: "/once/", Kind: fleet.RouteStreaming, Timeout: longTimeout, LatencyObjective: 5 * time.Second,
				GapObjective: 5 * time.Second, Targets: targets("llm"), MaxAttempts: 1},
			{Name: "r-safe", Host: plainHost, Prefix: "/", Kind: fleet.RouteSafe, Timeout: longTimeout, LatencyObjective: 5 * time.Second, Targets: targets("lots"), MaxAttempts: 2},
			{Name: "r-unsafe", Host: plainHost, Prefix: "/issue/", Kind: fleet.RouteUnsafe, Timeout: longTimeout, LatencyObjective: 5 * time.Second, Targets: targets("lots"), MaxAttempts: 1},
			{Name: "r-public", Host: plainHost, Prefix: "/public/", Kind: fleet.RouteSafe, Timeout: longTimeout, Targets: targets("lots"), MaxAttempts: 2, Public: true},
		},
		Services: []fleet.Service{
			{Name: "llm", MaxConns: 100, Engine: &fleet.Engine{
				Slots: 16, Models: []fleet.Model{modelName}, Pieces: d.origin.Pieces, PieceBytes: d.origin.PieceBytes,
			}},
			{Name: "lots", MaxConns: 100},
			{Name: "origin", Origin: originAddr, OriginDataCentre: "a"},
		},
		Limits: fleet.Limits{HeaderBytes: 16384, BodyBytes: 100000, HeaderTimeout: longTimeout, IdleTimeout: longTimeout},
		Teams: []fleet.Team{
			{Name: "team-1", Keys: []string{apiKey}, Priority: 1},
			{Name: "team-2", Keys: []string{otherAPIKey}, Priority: 1},
		},
	}
}

func (d *deployment) newNode(name, dataCentre, store string) nodefile.Node {
	peer := freePort(d.t)
	return nodefile.Node{
		Instance: core.InstanceID(name), IP: "127.0.0.1", DataCentre: core.DataCentre(dataCentre), Region: core.Region("region-" + dataCentre),
		PeerAddr: loopbackAddr(peer), PeerPort: peer, StoreAddr: store,
		Regions: map[core.DataCentre]core.Region{"a": "region-a", "b": "region-b"},
		Bounds: nodefile.Bounds{
			Stop: 4 * time.Second, AddressTTL: 5 * time.Second, VersionInForce: 2 * time.Second,
			RetryRatio: 1, RetrySlack: 1000, ColdOvershoot: 1.5, ColdSlack: 5,
		},
	}
}

// The ports are below the operating system's range of ephemeral ports, so that no
// outgoing connection takes a port between its choice and its use, and below those of the
// tests under bench, which run at the same time.
const (
	firstPort = 2000
	lastPort  = 11999
)

var (
	nextPortMu sync.Mutex
	nextPort   = firstPort + os.Getpid()%(lastPort-firstPort)
)

// freePort returns a port that is free for TCP and UDP. It returns a port again
// only after all others.
func freePort(t *testing.T) int {
	t.Helper()
	nextPortMu.Lock()
	defer nextPortMu.Unlock()
	for range lastPort - firstPort {
		nextPort++
		if nextPort > lastPort {
			nextPort = firstPort
		}
		listener, err := net.Listen("tcp", loopbackAddr(nextPort))
		if err != nil {
			continue
		}
		require.NoError(t, listener.Close())
		socket, err := net.ListenPacket("udp", loopbackAddr(nextPort))
		if err != nil {
			continue
		}
		require.NoError(t, socket.Close())
		return nextPort
	}
	t.Fatal("no free port")
	return 0
}

func loopbackAddr(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

func (d *deployment) runEntry(node nodefile.Node) {
	node.CallerAddr, node.ReadyAddr, node.DirectoryAddr = loopbackAddr(freePort(d.t)), loopbackAddr(freePort(d.t)), loopbackAddr(freePort(d.t))
	d.entries = append(d.entries, node)
	metricsAddr := loopbackAddr(freePort(d.t))
	d.metricsAddrs = append(d.metricsAddrs, metricsAddr)
	daemon, err := gateway.New(gateway.Config{
		MetricsAddr: metricsAddr,
		Node:        node, Headers: headers.Names(), AddressTTL: gateway.DefaultAddressTTL, QueueLength: gateway.DefaultQueueLength,
		MaxAnswerBytes: gateway.DefaultMaxAnswerBytes, Deadline: gateway.DefaultDeadline, Log: d.entryLogger(node),
	})
	require.NoError(d.t, err)
	d.entryStops = append(d.entryStops, d.runDaemon(daemon.Run))
}

func (d *deployment) entryLogger(node nodefile.Node) *obs.Logger {
	if d.log == nil {
		return obs.DiscardLogger()
	}
	logger, err := obs.NewLogger(d.log, "debug", "text", node.Instance)
	require.NoError(d.t, err)
	return logger
}

func (d *deployment) runAgent(node nodefile.Node) {
	daemon, err := loader.New(loader.Config{Node: node, Log: obs.DiscardLogger()})
	require.NoError(d.t, err)
	d.runDaemon(daemon.Run)
}

func (d *deployment) runDaemon(run func(context.Context) error) context.CancelFunc {
	ctx, stop := context.WithCancel(context.Background())
	d.stopFuncs = append(d.stopFuncs, stop)
	d.runningDaemons.Go(func() {
		if err := run(ctx); err != nil {
			d.t.Errorf("daemon stopped with an error: %v", err)
		}
	})
	return stop
}

func (d *deployment) awaitReady() {
	for _, entry := range d.entries {
		d.eventually(func() bool { return standin.IsReady(entry.ReadyAddr) }, "entry %s is not ready", entry.Instance)
	}
	for _, host := range []string{streamHost, plainHost} {
		d.eventually(func() bool { return d.sendRequest(0, host, "GET", "/s/x", "", nil).status == http.StatusOK }, "requests to host %s do not succeed", host)
	}
}

// awaitRetries waits until an entry has a share of the retries, and lets it
// accumulate a retry.
func (d *deployment) awaitRetries(entry int) {
	d.t.Helper()
	noShare := regexp.MustCompile(`(?m)^currantusher_limits_retry_share 0$`)
	d.eventually(func() bool {
		text := d.metrics(entry)
		return strings.Contains(text, "currantusher_limits_retry_share ") && !noShare.MatchString(text)
	}, "entry %d has no share of the retries", entry)
	for range 2 {
		require.Equal(d.t, http.StatusOK, d.sendRequest(entry, plainHost, "POST", "/look", "", nil).status)
	}
}

// metrics returns the metrics page of an entry, or "" if it does not reply.
func (d *deployment) metrics(entry int) string {
	response, err := http.Get("http://" + d.metricsAddrs[entry] + "/metrics")
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return ""
	}
	return string(text)
}

// readRows returns all rows of a table in the store.
func (d *deployment) readRows(table string) []rowstore.Row {
	d.t.Helper()
	page, err := rowstore.New(d.storeAddr).ReadAll(d.t.Context(), table)
	require.NoError(d.t, err)
	return page.Rows
}

func (d *deployment) eventually(condition func() bool, failure string, args ...any) {
	d.t.Helper()
	require.Eventually(d.t, condition, waitTimeout, 5*time.Millisecond, fmt.Sprintf(failure, args...))
}

type callResult struct {
	status int
	header http.Header
	body   string
	err    error
}

var (
	requestSequenceMu sync.Mutex
	requestSequence   int
)

func nextRequestID() string {
	requestSequenceMu.Lock()
	defer requestSequenceMu.Unlock()
	requestSequence++
	return fmt.Sprintf("%s-%d", requestIDPrefix, requestSequence)
}

// sendRequest sends a valid request to an entry, after change has modified it, and
// reads the whole response.
func (d *deployment) sendRequest(entry int, host, method, path, body string, change func(*http.Request)) callResult {
	d.t.Helper()
	return d.sendRequestTo(d.entries[entry].CallerAddr, host, method, path, body, change)
}

func (d *deployment) sendRequestTo(addr, host, method, path, body string, change func(*http.Request)) callResult {
	d.t.Helper()
	request, err := http.NewRequest(method, "http://"+addr+path, bytes.NewBufferString(body))
	require.NoError(d.t, err)
	request.Host = host
	names := headers.Names()
	request.Header.Set(names.RequestID, nextRequestID())
	request.Header.Set(names.Deadline, "20000")
	request.Header.Set(names.APIKey, apiKey)
	if host == streamHost {
		request.Header.Set(names.Model, modelName)
		request.Header.Set(names.TokenCounts, "10,10")
	}
	if change != nil {
		change(request)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return callResult{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return callResult{status: response.StatusCode, header: response.Header, body: string(text), err: err}
}

func completeStream(events int) string {
	var b bytes.Buffer
	for id := 1; id <= events; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", id, id)
	}
	return b.String()
}
