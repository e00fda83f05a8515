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
	rigChunks    = 16
	rigChunkSize = 2048
	rigAgents    = 4
	rigDeadline  = 60 * time.Second
)

// gate blocks transfers while it is shut.
type gate struct {
	mu   sync.Mutex
	open chan struct{}
}

func newGate() *gate {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	return g
}

func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = make(chan struct{})
}

func (g *gate) reopen() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.open)
}

func (g *gate) wait(ctx context.Context) error {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	select {
	case <-open:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// gatedLinks passes transfers through an agent's gate, and far ones through
// the border's.
type gatedLinks struct {
	own, border *gate
}

func (l gatedLinks) WaitUpload(ctx context.Context, _ int, far bool) error {
	if err := l.own.wait(ctx); err != nil || !far {
		return err
	}
	return l.border.wait(ctx)
}

func (l gatedLinks) WaitDownload(ctx context.Context, size int, far bool) error {
	return l.WaitUpload(ctx, size, far)
}

// direct passes requests to a handler in the same process.
type direct struct {
	handler http.Handler
}

func (d direct) RoundTrip(request *http.Request) (answer *http.Response, err error) {
	defer func() {
		if recover() != nil {
			answer, err = nil, io.ErrUnexpectedEOF
		}
	}()
	recorder := httptest.NewRecorder()
	d.handler.ServeHTTP(recorder, request)
	return recorder.Result(), nil
}

type openRollout struct{}

func (openRollout) Acquire(context.Context, core.Digest) (func(), error) { return func() {}, nil }

type fixedFence core.FencingToken

func (f fixedFence) Do(ctx context.Context, order func(context.Context, core.FencingToken) error) error {
	return order(ctx, core.FencingToken(f))
}

// rig is a small fleet in one process.
type rig struct {
	t        *testing.T
	tls      *tls.Config
	origin   *origin.Origin
	store    *origin.Origin
	urls     []string
	tables   *store.Memory
	border   *gate
	trackers []*wire.Endpoint
	agents   []*rigAgent

	mu         sync.Mutex
	violations []string
}

// rigAgent is one slot: its engine outlives the agent's processes.
type rigAgent struct {
	rig         *rig
	index       int
	engine      *engine.Server
	gate        *gate
	hooks       hooks
	incarnation core.Incarnation

	mu      sync.Mutex
	manager *Manager
	peer    *wire.Endpoint
	cancel  context.CancelFunc
	done    chan struct{}
}

func newRig(t *testing.T, regions int) *rig {
	authority, err := keys.NewAuthority()
	require.NoError(t, err)
	pair, err := authority.Issue("rig")
	require.NoError(t, err)
	config, err := keys.TLSConfig(authority.CertPEM(), pair)
	require.NoError(t, err)
	r := &rig{
		t:      t,
		tls:    config,
		origin: origin.New(origin.Config{}),
		store:  origin.New(origin.Config{}),
		tables: store.NewMemory(store.Config{}),
		border: newGate(),
	}
	previous := invariant.SetReporter(r.violation)
	t.Cleanup(func() { invariant.SetReporter(previous) })
	for _, served := range []*origin.Origin{r.origin, r.store} {
		server := httptest.NewServer(served)
		t.Cleanup(server.Close)
		r.urls = append(r.urls, server.URL)
	}
	for range 2 {
		r.addTracker()
	}
	for i := range rigAgents {
		built := &rigAgent{rig: r, index: i, gate: newGate()}
		built.engine = engine.New(engine.Config{Name: fmt.Sprint("engine-", i), CheckFence: true})
		r.agents = append(r.agents, built)
		built.start(regions)
		t.Cleanup(built.stop)
	}
	return r
}

func (r *rig) violation(promise invariant.ID, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprint(promise, ": ", detail))
}

func (r *rig) addTracker() {
	peer, err := wire.Listen("127.0.0.1:0", r.tls)
	require.NoError(r.t, err)
	tracked, err := tracker.New(tracker.Config{FetchTimeout: 100 * time.Millisecond, Seed: 1})
	require.NoError(r.t, err)
	tracked.Register(peer)
	go func() { _ = peer.Serve(r.t.Context()) }()
	r.trackers = append(r.trackers, peer)
	r.t.Cleanup(func() { _ = peer.Close() })
}

func (r *rig) trackerAddrs(core.Digest) []string {
	var addrs []string
	for _, peer := range r.trackers {
		addrs = append(addrs, peer.Addr())
	}
	return addrs
}

// publish stores a version whose last chunks depend on seed.
func (r *rig) publish(seed uint64) (core.Digest, weights.Manifest) {
	var manifest weights.Manifest
	var clients []*source.Client
	for _, url := range r.urls {
		sink, err := source.New(source.Config{URL: url})
		require.NoError(r.t, err)
		clients = append(clients, sink)
	}
	for i := range rigChunks {
		random := rand.New(rand.NewPCG(uint64(i), 0))
		if i >= rigChunks/2 {
			random = rand.New(rand.NewPCG(uint64(i), seed))
		}
		content := make([]byte, rigChunkSize)
		for j := range content {
			content[j] = byte(random.Uint32())
		}
		digest := core.DigestOf(content)
		manifest.Chunks = append(manifest.Chunks, weights.Chunk{Digest: digest, Size: rigChunkSize})
		for _, sink := range clients {
			require.NoError(r.t, sink.PutChunk(r.t.Context(), digest, content))
		}
	}
	manifest.Files = []weights.File{{Path: "weights", Size: rigChunks * rigChunkSize}}
	encoded, root, err := manifest.Encode()
	require.NoError(r.t, err)
	for _, sink := range clients {
		require.NoError(r.t, sink.PutManifest(r.t.Context(), root, encoded))
	}
	return root, manifest
}

func (a *rigAgent) start(regions int) {
	r := a.rig
	a.mu.Lock()
	defer a.mu.Unlock()
	a.incarnation++
	peer, err := wire.Listen("127.0.0.1:0", r.tls)
	require.NoError(r.t, err)
	dc := core.DataCentre(fmt.Sprint("dc-", a.index%regions))
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	config := Config{
		Self:               core.InstanceID(fmt.Sprint("agent-", a.index)),
		DataCentre:         dc,
		Region:             core.Region(fmt.Sprint("region-", a.index%regions)),
		Incarnation:        a.incarnation,
		Peer:               peer,
		Staging:            client.New("http://engine", &http.Client{Transport: direct{a.engine}}),
		OriginGrants:       budget.NewGrantStore(r.tables),
		TrackerAddrs:       r.trackerAddrs,
		ActivationSlots:    openRollout{},
		EngineLease:        fixedFence(a.incarnation),
		BandwidthLimiter:   gatedLinks{own: a.gate, border: r.border},
		AnnounceInterval:   20 * time.Millisecond,
		HaveUpdateInterval: 5 * time.Millisecond,
		ChunkTimeout:       400 * time.Millisecond,
		StallTimeout:       150 * time.Millisecond,
		StatePollInterval:  20 * time.Millisecond,
		RetryDelay:         10 * time.Millisecond,
		UploadWindow:       time.Hour,
		Seed:               uint64(a.index) + 1,
		Log:                logrus.NewEntry(quiet),
	}
	for i, url := range r.urls {
		from, err := source.New(source.Config{URL: url, DataCentre: dc})
		require.NoError(r.t, err)
		if i == 0 {
			config.Sources.Origin = from
		} else {
			config.Sources.WeightStore = from
		}
	}
	manager, err := New(config)
	require.NoError(r.t, err)
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

// stop ends the agent's process; the engine keeps running.
func (a *rigAgent) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancel()
	_ = a.peer.Close()
	<-a.done
}

func (a *rigAgent) setTarget(root core.Digest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.manager.SetTarget(root)
}

func (a *rigAgent) usage() TransferStats {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.manager.Status().Transfer
}

func (r *rig) setTarget(root core.Digest) {
	for _, member := range r.agents {
		member.setTarget(root)
	}
}

// waitActive waits until every engine uses root. Only a hang ends it early.
func (r *rig) waitActive(root core.Digest) {
	r.t.Helper()
	require.Eventually(r.t, func() bool {
		for _, member := range r.agents {
			if member.engine.ActiveRoot() != root {
				return false
			}
		}
		return true
	}, rigDeadline, 5*time.Millisecond)
}

// checkBounds checks the promises that hold in every run. An engine that starts
// with nothing needs its content once more.
func (r *rig) checkBounds(versions, restarts int) {
	r.t.Helper()
	r.mu.Lock()
	require.Empty(r.t, r.violations)
	r.mu.Unlock()
	root, manifest := r.publish(1)
	require.False(r.t, root.IsZero())
	encoded, _, err := manifest.Encode()
	require.NoError(r.t, err)
	size := manifest.Size() + int64(len(encoded))
	require.LessOrEqual(r.t, r.origin.TotalSentBytes(), int64(budget.MaxFetchesPerChunk*versions)*size, "origin")
	for _, member := range r.agents {
		usage := member.usage()
		copies := int64(maxCopies * versions)
		if member.index == 0 {
			copies += int64(restarts)
		}
		require.LessOrEqual(r.t, usage.ReceivedBytes+usage.SentBytes, copies*size, "link of agent %d: %+v", member.index, usage)
		require.Zero(r.t, member.engine.Counters().PartialWeights)
	}
}
