package swarm

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/invariant"
	"currantusher.dev/core/keys"
	"currantusher.dev/standin/engine"
	"currantusher.dev/standin/origin"
	"currantusher.dev/standin/store"
	"currantusher.dev/weights"
	"currantusher.dev/weights/budget"
	client "currantusher.dev/weights/engine"
	"currantusher.dev/weights/source"
	"currantusher.dev/weights/tracker"
	"currantusher.dev/wire"
)

const (
	testChunks     = 16
	testChunkBytes = 2048
	testAgents     = 4
	testTimeout    = 60 * time.Second
)

// gate blocks transfers between calls to block and unblock.
type gate struct {
	mu        sync.Mutex
	unblocked chan struct{}
}

func newGate() *gate {
	g := &gate{unblocked: make(chan struct{})}
	close(g.unblocked)
	return g
}

func (g *gate) block() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unblocked = make(chan struct{})
}

func (g *gate) unblock() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.unblocked)
}

func (g *gate) wait(ctx context.Context) error {
	g.mu.Lock()
	unblocked := g.unblocked
	g.mu.Unlock()
	select {
	case <-unblocked:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// gatedBandwidth is a BandwidthLimiter that waits for the agent's gate and, for
// transfers between regions, also for the region gate.
type gatedBandwidth struct {
	agentGate, regionGate *gate
}

func (b gatedBandwidth) WaitUpload(ctx context.Context, _ int, far bool) error {
	if err := b.agentGate.wait(ctx); err != nil || !far {
		return err
	}
	return b.regionGate.wait(ctx)
}

func (b gatedBandwidth) WaitDownload(ctx context.Context, size int, far bool) error {
	return b.WaitUpload(ctx, size, far)
}

// handlerTransport is an http.RoundTripper that calls a handler in the same
// process. A panic of the handler becomes a broken connection.
type handlerTransport struct {
	handler http.Handler
}

func (h handlerTransport) RoundTrip(request *http.Request) (response *http.Response, err error) {
	defer func() {
		if recover() != nil {
			response, err = nil, io.ErrUnexpectedEOF
		}
	}()
	recorder := httptest.NewRecorder()
	h.handler.ServeHTTP(recorder, request)
	return recorder.Result(), nil
}

// unlimitedSlots grants every activation slot at once.
type unlimitedSlots struct{}

func (unlimitedSlots) Acquire(context.Context, core.Digest) (func(), error) { return func() {}, nil }

// fixedFenceLease is a lease that is always held, with a fixed fencing token.
type fixedFenceLease core.FencingToken

func (f fixedFenceLease) Do(ctx context.Context, command func(context.Context, core.FencingToken) error) error {
	return command(ctx, core.FencingToken(f))
}

// testCluster is a set of agents, trackers and sources in one process.
type testCluster struct {
	t           *testing.T
	timeouts    testTimeouts
	tlsConfig   *tls.Config
	origin      *origin.Origin
	weightStore *origin.Origin
	sourceURLs  []string
	tables      *store.Memory
	regionGate  *gate
	trackers    []*wire.Endpoint
	agents      []*testAgent

	mu         sync.Mutex
	violations []string
}

// testAgent is an agent and its engine. The engine keeps running while the agent
// is stopped and started again.
type testAgent struct {
	cluster     *testCluster
	index       int
	engine      *engine.Server
	gate        *gate
	hooks       testHooks
	incarnation core.Incarnation

	mu      sync.Mutex
	manager *Manager
	peer    *wire.Endpoint
	cancel  context.CancelFunc
	done    chan struct{}
}

// testTimeouts are the timeouts of agents and trackers; zero values are the defaults of
// Config and tracker.Config.
type testTimeouts struct {
	chunk, stall, fetch time.Duration
}

// faultTimeouts let agents notice an injected fault soon. On a busy machine transfers
// without any fault reach them as well, which is why only tests use them that hold
// whatever was taken for a fault.
var faultTimeouts = testTimeouts{chunk: 400 * time.Millisecond, stall: 150 * time.Millisecond, fetch: 100 * time.Millisecond}

// newTestCluster returns agents that use faultTimeouts.
func newTestCluster(t *testing.T, regions int) *testCluster {
	return newTestClusterWith(t, regions, faultTimeouts)
}

// newCalmTestCluster returns agents with the default timeouts, for tests that inject no
// fault and check what must hold then.
func newCalmTestCluster(t *testing.T, regions int) *testCluster {
	return newTestClusterWith(t, regions, testTimeouts{})
}

func newTestClusterWith(t *testing.T, regions int, timeouts testTimeouts) *testCluster {
	authority, err := keys.NewAuthority()
	require.NoError(t, err)
	keyPair, err := authority.Issue("test-cluster")
	require.NoError(t, err)
	tlsConfig, err := keys.TLSConfig(authority.CertPEM(), keyPair)
	require.NoError(t, err)
	c := &testCluster{
		t:           t,
		timeouts:    timeouts,
		tlsConfig:   tlsConfig,
		origin:      origin.New(origin.Config{}),
		weightStore: origin.New(origin.Config{}),
		tables:      store.NewMemory(store.Config{}),
		regionGate:  newGate(),
	}
	previousReporter := invariant.SetReporter(c.recordViolation)
	t.Cleanup(func() { invariant.SetReporter(previousReporter) })
	for _, weightSource := range []*origin.Origin{c.origin, c.weightStore} {
		server := httptest.NewServer(weightSource)
		t.Cleanup(server.Close)
		c.sourceURLs = append(c.sourceURLs, server.URL)
	}
	for range 2 {
		c.addTracker()
	}
	for i := range testAgents {
		agent := &testAgent{cluster: c, index: i, gate: newGate()}
		agent.engine = engine.New(engine.Config{Name: fmt.Sprint("engine-", i), CheckFence: true})
		c.agents = append(c.agents, agent)
		agent.start(regions)
		t.Cleanup(agent.stop)
	}
	return c
}

func (c *testCluster) recordViolation(id invariant.ID, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprint(id, ": ", detail))
}

func (c *testCluster) addTracker() {
	peer, err := wire.Listen("127.0.0.1:0", c.tlsConfig)
	require.NoError(c.t, err)
	trackerService, err := tracker.New(tracker.Config{FetchTimeout: c.timeouts.fetch, Seed: 1})
	require.NoError(c.t, err)
	trackerService.Register(peer)
	go func() { _ = peer.Serve(c.t.Context()) }()
	c.trackers = append(c.trackers, peer)
	c.t.Cleanup(func() { _ = peer.Close() })
}

func (c *testCluster) trackerAddrs(core.Digest) []string {
	var addrs []string
	for _, peer := range c.trackers {
		addrs = append(addrs, peer.Addr())
	}
	return addrs
}

// publish stores a version at all sources. The first half of its chunks is the
// same for every seed.
func (c *testCluster) publish(seed uint64) (core.Digest, weights.Manifest) {
	var manifest weights.Manifest
	var sourceClients []*source.Client
	for _, url := range c.sourceURLs {
		sourceClient, err := source.New(source.Config{URL: url})
		require.NoError(c.t, err)
		sourceClients = append(sourceClients, sourceClient)
	}
	for i := range testChunks {
		random := rand.New(rand.NewPCG(uint64(i), 0))
		if i >= testChunks/2 {
			random = rand.New(rand.NewPCG(uint64(i), seed))
		}
		content := make([]byte, testChunkBytes)
		for j := range content {
			content[j] = byte(random.Uint32())
		}
		digest := core.DigestOf(content)
		manifest.Chunks = append(manifest.Chunks, weights.Chunk{Digest: digest, Size: testChunkBytes})
		for _, sourceClient := range sourceClients {
			require.NoError(c.t, sourceClient.PutChunk(c.t.Context(), digest, content))
		}
	}
	manifest.Files = []weights.File{{Path: "weights", Size: testChunks * testChunkBytes}}
	encoded, root, err := manifest.Encode()
	require.NoError(c.t, err)
	for _, sourceClient := range sourceClients {
		require.NoError(c.t, sourceClient.PutManifest(c.t.Context(), root, encoded))
	}
	return root, manifest
}

func (a *testAgent) start(regions int) {
	c := a.cluster
	a.mu.Lock()
	defer a.mu.Unlock()
	a.incarnation++
	peer, err := wire.Listen("127.0.0.1:0", c.tlsConfig)
	require.NoError(c.t, err)
	dc := core.DataCentre(fmt.Sprint("dc-", a.index%regions))
	discardLog := logrus.New()
	discardLog.SetOutput(io.Discard)
	config := Config{
		Self:               core.InstanceID(fmt.Sprint("agent-", a.index)),
		DataCentre:         dc,
		Region:             core.Region(fmt.Sprint("region-", a.index%regions)),
		Incarnation:        a.incarnation,
		Peer:               peer,
		Staging:            client.New("http://engine", &http.Client{Transport: handlerTransport{a.engine}}),
		OriginGrants:       budget.NewGrantStore(c.tables),
		TrackerAddrs:       c.trackerAddrs,
		ActivationSlots:    unlimitedSlots{},
		EngineLease:        fixedFenceLease(a.incarnation),
		BandwidthLimiter:   gatedBandwidth{agentGate: a.gate, regionGate: c.regionGate},
		AnnounceInterval:   20 * time.Millisecond,
		HaveUpdateInterval: 5 * time.Millisecond,
		ChunkTimeout:       c.timeouts.chunk,
		StallTimeout:       c.timeouts.stall,
		StatePollInterval:  20 * time.Millisecond,
		RetryDelay:         10 * time.Millisecond,
		LinkBudgetWindow:   time.Hour,
		Seed:               uint64(a.index) + 1,
		Log:                logrus.NewEntry(discardLog),
	}
	for i, url := range c.sourceURLs {
		sourceClient, err := source.New(source.Config{URL: url, DataCentre: dc})
		require.NoError(c.t, err)
		if i == 0 {
			config.Sources.Origin = sourceClient
		} else {
			config.Sources.WeightStore = sourceClient
		}
	}
	manager, err := New(config)
	require.NoError(c.t, err)
	manager.hooks = a.hooks
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = peer.Serve(ctx) }()
	go func() {
		defer close(done)
		_ = manager.Run(ctx)
	}()
	a.manager, a.peer, a.cancel, a.done = manager, peer, cancel, done
}

// stop stops the agent; the engine keeps running.
func (a *testAgent) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancel()
	_ = a.peer.Close()
	<-a.done
}

func (a *testAgent) setTarget(root core.Digest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.manager.SetTarget(root)
}

func (a *testAgent) transferStats() TransferStats {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.manager.Status().Transfer
}

// linkBudgetRenewals returns how often the link budget of the target was renewed.
func (a *testAgent) linkBudgetRenewals() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	current := a.manager.sessionFor(a.manager.Status().Target)
	if current == nil || !current.isReady() {
		return 0
	}
	current.linkBudget.mu.Lock()
	defer current.linkBudget.mu.Unlock()
	return current.linkBudget.renewals
}

func (c *testCluster) setTarget(root core.Digest) {
	for _, agent := range c.agents {
		agent.setTarget(root)
	}
}

// waitActive waits until every engine uses root and fails the test after
// testTimeout.
func (c *testCluster) waitActive(root core.Digest) {
	c.t.Helper()
	require.Eventually(c.t, func() bool {
		for _, agent := range c.agents {
			if agent.engine.ActiveRoot() != root {
				return false
			}
		}
		return true
	}, testTimeout, 5*time.Millisecond)
}

// checkBounds checks the limits that hold in every run: no invariant violation, no
// activation of partial weights, and bounds on the bytes sent by the origin and
// carried by each agent's link. restarts counts the times that the first engine
// lost its staged content and had to receive a copy again, which others may send only
// after their link budgets were renewed.
func (c *testCluster) checkBounds(versions, restarts int) {
	c.t.Helper()
	c.mu.Lock()
	require.Empty(c.t, c.violations)
	c.mu.Unlock()
	root, manifest := c.publish(1)
	require.False(c.t, root.IsZero())
	encoded, _, err := manifest.Encode()
	require.NoError(c.t, err)
	copyBytes := manifest.Size() + int64(len(encoded))
	require.LessOrEqual(c.t, c.origin.TotalSentBytes(), int64(budget.MaxFetchesPerChunk*versions)*copyBytes, "bytes sent by the origin")
	for _, agent := range c.agents {
		stats := agent.transferStats()
		copies := int64(maxLinkCopies * versions)
		if agent.index == 0 || agent.linkBudgetRenewals() > 0 {
			copies += int64(restarts)
		}
		require.LessOrEqual(c.t, stats.ReceivedBytes+stats.SentBytes, copies*copyBytes, "bytes received and sent by agent %d: %+v", agent.index, stats)
		require.Zero(c.t, agent.engine.Counters().PartialWeights)
	}
}
