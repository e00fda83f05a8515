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
	"strconv"
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
	"currantusher.dev/platform/standin"
)

const (
	model     = "m"
	streams   = "stream.example"
	plain     = "plain.example"
	key       = "secret"
	firstSeed = "lap"
	// patience bounds every wait of these tests; none passes by being fast.
	patience = 30 * time.Second
)

// deployment is a platform with two data centres, an engine and an agent in
// each, two plain servers and two entries.
type deployment struct {
	t       *testing.T
	store   *standin.Store
	origin  *standin.Origin
	engines []*standin.Backend
	plain   []*standin.Backend
	entries []nodefile.Node
	stops   []context.CancelFunc
	running sync.WaitGroup
}

func start(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{t: t, store: standin.NewStore(), origin: standin.NewOrigin(8, 512)}
	storeAddr := d.listen(d.store)
	originAddr := d.listen(d.origin)
	for i, zone := range []string{"a", "b"} {
		d.engines = append(d.engines, d.backend("llm", model, zone, i))
		d.plain = append(d.plain, d.backend("lots", "", zone, i))
	}
	d.configure(originAddr)
	for i, zone := range []string{"a", "b"} {
		d.runEntry(d.node(fmt.Sprintf("entry-%d", i), zone, storeAddr))
		agent := d.node(fmt.Sprintf("agent-%d", i), zone, storeAddr)
		agent.BackendAddr, agent.BackendService = d.engines[i].Addr, "llm"
		d.runAgent(agent)
	}
	t.Cleanup(d.stop)
	d.awaitReady()
	return d
}

func (d *deployment) stop() {
	for _, stop := range d.stops {
		stop()
	}
	d.running.Wait()
}

func (d *deployment) listen(handler http.Handler) string {
	server := httptest.NewServer(handler)
	d.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

func (d *deployment) backend(service, model, zone string, i int) *standin.Backend {
	b := &standin.Backend{
		ID: fmt.Sprintf("%s-%d", service, i), Service: service, Zone: zone, Model: model,
		Store: d.store, Origin: d.origin, EventCount: 6, EventInterval: time.Millisecond,
	}
	b.Addr = d.listen(b)
	b.Start(1)
	return b
}

func (d *deployment) configure(originAddr string) {
	const long = 20 * time.Second
	to := func(service fleet.ServiceName) []fleet.Target { return []fleet.Target{{Service: service, Weight: 1}} }
	d.store.PutConfig(fleet.Configuration{
		Version: 1,
		Routes: []fleet.Route{
			{Name: "r-stream", Host: streams, Prefix: "/s/", Kind: fleet.RouteStreaming, Timeout: long, LatencyObjective: 5 * time.Second,
				GapObjective: 5 * time.Second, Targets: to("llm"), MaxAttempts: 3, Resumable: true},
			{Name: "r-safe", Host: plain, Prefix: "/", Kind: fleet.RouteSafe, Timeout: long, LatencyObjective: 5 * time.Second, Targets: to("lots"), MaxAttempts: 2},
			{Name: "r-unsafe", Host: plain, Prefix: "/issue/", Kind: fleet.RouteUnsafe, Timeout: long, LatencyObjective: 5 * time.Second, Targets: to("lots"), MaxAttempts: 1},
			{Name: "r-public", Host: plain, Prefix: "/public/", Kind: fleet.RouteSafe, Timeout: long, Targets: to("lots"), MaxAttempts: 2, Public: true},
		},
		Services: []fleet.Service{
			{Name: "llm", MaxConns: 100, Engine: &fleet.Engine{
				Slots: 16, Models: []fleet.Model{model}, Pieces: d.origin.Pieces, PieceBytes: d.origin.PieceBytes,
			}},
			{Name: "lots", MaxConns: 100},
			{Name: "origin", Origin: originAddr, OriginDataCentre: "a"},
		},
		Limits: fleet.Limits{HeaderBytes: 16384, BodyBytes: 100000, HeaderTimeout: long, IdleTimeout: long},
		Teams:  []fleet.Team{{Name: "team-1", Keys: []string{key}, Priority: 1}},
	})
}

func (d *deployment) node(name, zone, store string) nodefile.Node {
	peer := freePort(d.t)
	return nodefile.Node{
		Instance: core.InstanceID(name), IP: "127.0.0.1", DataCentre: core.DataCentre(zone), Region: core.Region("region-" + zone),
		PeerAddr: addr(peer), PeerPort: peer, StoreAddr: store,
		Regions: map[core.DataCentre]core.Region{"a": "region-a", "b": "region-b"},
		Bounds: nodefile.Bounds{
			Stop: 4 * time.Second, AddressTTL: 5 * time.Second, VersionInForce: 2 * time.Second,
			RetryRatio: 1, RetrySlack: 1000, ColdOvershoot: 1.5, ColdSlack: 5,
		},
	}
}

// Ports are taken below the range from which the system draws those of
// outgoing connections, so that none of these takes one between its choice and
// its use.
const (
	firstPort = 20000
	lastPort  = 32000
)

var nextPort = firstPort + os.Getpid()%(lastPort-firstPort)

// freePort returns a port that is free for TCP and UDP and was not returned
// before.
func freePort(t *testing.T) int {
	t.Helper()
	for range lastPort - firstPort {
		nextPort++
		if nextPort > lastPort {
			nextPort = firstPort
		}
		listener, err := net.Listen("tcp", addr(nextPort))
		if err != nil {
			continue
		}
		require.NoError(t, listener.Close())
		socket, err := net.ListenPacket("udp", addr(nextPort))
		if err != nil {
			continue
		}
		require.NoError(t, socket.Close())
		return nextPort
	}
	t.Fatal("no free port")
	return 0
}

func addr(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

func (d *deployment) runEntry(node nodefile.Node) {
	node.CallerAddr, node.ReadyAddr, node.DirectoryAddr = addr(freePort(d.t)), addr(freePort(d.t)), addr(freePort(d.t))
	d.entries = append(d.entries, node)
	daemon, err := gateway.New(gateway.Config{
		Node: node, Headers: headers.Names(), AddressTTL: gateway.DefaultAddressTTL, QueueLength: gateway.DefaultQueueLength,
		MaxAnswerBytes: gateway.DefaultMaxAnswerBytes, Deadline: gateway.DefaultDeadline, Log: obs.DiscardLogger(),
	})
	require.NoError(d.t, err)
	d.run(daemon.Run)
}

func (d *deployment) runAgent(node nodefile.Node) {
	daemon, err := loader.New(loader.Config{Node: node, Log: obs.DiscardLogger()})
	require.NoError(d.t, err)
	d.run(daemon.Run)
}

func (d *deployment) run(work func(context.Context) error) {
	ctx, stop := context.WithCancel(context.Background())
	d.stops = append(d.stops, stop)
	d.running.Go(func() {
		if err := work(ctx); err != nil {
			d.t.Errorf("daemon: %v", err)
		}
	})
}

func (d *deployment) awaitReady() {
	for _, entry := range d.entries {
		d.eventually(func() bool { return standin.IsReady(entry.ReadyAddr) }, "%s is ready", entry.Instance)
	}
	for _, host := range []string{streams, plain} {
		d.eventually(func() bool { return d.ask(0, host, "GET", "/s/x", "", nil).status == http.StatusOK }, "%s is served", host)
	}
}

func (d *deployment) eventually(condition func() bool, text string, args ...any) {
	d.t.Helper()
	require.Eventually(d.t, condition, patience, 5*time.Millisecond, fmt.Sprintf(text, args...))
}

type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

var (
	sequenceMu sync.Mutex
	sequence   int
)

func nextID() string {
	sequenceMu.Lock()
	defer sequenceMu.Unlock()
	sequence++
	return fmt.Sprintf("%s-%d", firstSeed, sequence)
}

// ask sends a proper request to an entry.
func (d *deployment) ask(entry int, host, method, path, body string, change func(*http.Request)) answer {
	d.t.Helper()
	request, err := http.NewRequest(method, "http://"+d.entries[entry].CallerAddr+path, bytes.NewBufferString(body))
	require.NoError(d.t, err)
	request.Host = host
	names := headers.Names()
	request.Header.Set(names.RequestID, nextID())
	request.Header.Set(names.Deadline, "20000")
	request.Header.Set(names.APIKey, key)
	if host == streams {
		request.Header.Set(names.Model, model)
		request.Header.Set(names.TokenCounts, "10,10")
	}
	if change != nil {
		change(request)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(text), err: err}
}

func wholeStream(events int) string {
	var b bytes.Buffer
	for id := 1; id <= events; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", id, id)
	}
	return b.String()
}
