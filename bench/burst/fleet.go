package burst

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"currantusher.dev/core"
	"currantusher.dev/core/keys"
	"currantusher.dev/standin/engine"
	"currantusher.dev/standin/origin"
	"currantusher.dev/standin/store"
	"currantusher.dev/weights"
	"currantusher.dev/weights/budget"
	client "currantusher.dev/weights/engine"
	"currantusher.dev/weights/source"
	"currantusher.dev/weights/swarm"
	"currantusher.dev/weights/tracker"
	"currantusher.dev/wire"
)

const (
	statePoll  = 2 * time.Second
	stallParts = 4
	// The intervals of an agent in chunk times on a machine's link.
	announceChunks = 4
	haveChunks     = 1
	retryChunks    = 1
	waitChunks     = 2
)

// fleet is everything of one run.
type fleet struct {
	config   Config
	tls      *tls.Config
	origin   *origin.Origin
	store    *origin.Origin
	servers  []*http.Server
	urls     map[*origin.Origin]string
	tables   *store.Memory
	trackers []*wire.Endpoint
	regions  []regionLinks
	agents   []*agent
	root     core.Digest
	manifest weights.Manifest
	encoded  []byte
	content  *engine.SharedChunks
	log      *logrus.Entry
	wg       sync.WaitGroup
}

type regionLinks struct {
	up, down *link
}

// agent is one machine: its engine, its endpoint and its downloader.
type agent struct {
	index   int
	region  int
	links   *machineLinks
	engine  *engine.Server
	staging *client.Client
	peer    *wire.Endpoint
	manager *swarm.Manager
	sources swarm.Sources
	// received counts the content of the origin-only strategy.
	received int64
}

func newFleet(ctx context.Context, config Config) (*fleet, error) {
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	f := &fleet{
		config:  config,
		urls:    map[*origin.Origin]string{},
		tables:  store.NewMemory(store.Config{}),
		content: engine.NewSharedChunks(),
		log:     quiet.WithField("part", "burst"),
	}
	f.origin = origin.New(origin.Config{BytesPerSecond: config.OriginBytesPerSecond})
	f.store = origin.New(origin.Config{BytesPerSecond: config.WeightStoreBytesPerSecond})
	for range config.Regions {
		f.regions = append(f.regions, regionLinks{
			up:   newLink(config.RegionBytesPerSecond, config.ChunkBytes),
			down: newLink(config.RegionBytesPerSecond, config.ChunkBytes),
		})
	}
	steps := []func(context.Context) error{f.issueKeys, f.serveSources, f.publish, f.startTrackers, f.startAgents}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			f.close()
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) issueKeys(context.Context) error {
	authority, err := keys.NewAuthority()
	if err != nil {
		return err
	}
	pair, err := authority.Issue("bench")
	if err != nil {
		return err
	}
	f.tls, err = keys.TLSConfig(authority.CertPEM(), pair)
	return err
}

func (f *fleet) serveSources(context.Context) error {
	for _, served := range []*origin.Origin{f.origin, f.store} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		server := &http.Server{Handler: served, ReadHeaderTimeout: time.Minute}
		f.servers = append(f.servers, server)
		f.urls[served] = "http://" + listener.Addr().String()
		f.wg.Go(func() { _ = server.Serve(listener) })
	}
	return nil
}

// publish makes random weights and puts them into both sources.
func (f *fleet) publish(ctx context.Context) error {
	random := rand.New(rand.NewPCG(f.config.Seed, 3))
	content := make([]byte, f.config.ChunkBytes)
	clients := []weights.Sink{}
	for _, served := range []*origin.Origin{f.origin, f.store} {
		sink, err := source.New(source.Config{URL: f.urls[served]})
		if err != nil {
			return err
		}
		clients = append(clients, sink)
	}
	for left := f.config.WeightsBytes; left > 0; left -= len(content) {
		content = content[:min(left, len(content))]
		for i := range content {
			content[i] = byte(random.Uint32())
		}
		digest := core.DigestOf(content)
		f.manifest.Chunks = append(f.manifest.Chunks, weights.Chunk{Digest: digest, Size: int64(len(content))})
		for _, sink := range clients {
			if err := sink.PutChunk(ctx, digest, content); err != nil {
				return err
			}
		}
	}
	f.manifest.Files = []weights.File{{Path: "weights", Size: int64(f.config.WeightsBytes)}}
	var err error
	f.encoded, f.root, err = f.manifest.Encode()
	if err != nil {
		return err
	}
	for _, sink := range clients {
		if err := sink.PutManifest(ctx, f.root, f.encoded); err != nil {
			return err
		}
	}
	return nil
}

// copySize is the size of the manifest and all chunks.
func (f *fleet) copySize() int64 { return int64(f.config.WeightsBytes + len(f.encoded)) }

// listen opens an endpoint; f.serve starts it.
func (f *fleet) listen() (*wire.Endpoint, error) {
	return wire.Listen("127.0.0.1:0", f.tls)
}

func (f *fleet) serve(ctx context.Context, peer *wire.Endpoint) {
	f.wg.Go(func() { _ = peer.Serve(ctx) })
}

func (f *fleet) startTrackers(ctx context.Context) error {
	for i := range f.config.Trackers {
		peer, err := f.listen()
		if err != nil {
			return err
		}
		f.trackers = append(f.trackers, peer)
		if f.config.Strategy == Chain {
			newChain(f.config.Regions).register(peer)
		} else {
			tracked, err := tracker.New(tracker.Config{
				Seed:                 f.config.Seed + uint64(i),
				FetchTimeout:         f.stall(),
				MaxFetchersPerRegion: f.config.Fetchers,
			})
			if err != nil {
				return err
			}
			tracked.Register(peer)
		}
		f.serve(ctx, peer)
	}
	return nil
}

// stall is the stall timeout: a part of one copy's time on a machine's link.
func (f *fleet) stall() time.Duration {
	return max(time.Second, f.copyTime()/stallParts)
}

func (f *fleet) copyTime() time.Duration {
	return seconds(f.copySize(), f.config.InstanceBytesPerSecond)
}

func seconds(size int64, rate int) time.Duration {
	return time.Duration(float64(size) / float64(rate) * float64(time.Second))
}

func (f *fleet) trackerAddrs(core.Digest) []string {
	addrs := make([]string, 0, len(f.trackers))
	for _, peer := range f.trackers {
		addrs = append(addrs, peer.Addr())
	}
	return addrs
}

func (f *fleet) startAgents(ctx context.Context) error {
	for i := range f.config.Agents {
		built, err := f.newAgent(i)
		if err != nil {
			return fmt.Errorf("agent %d: %w", i, err)
		}
		f.agents = append(f.agents, built)
		if built.manager == nil {
			continue
		}
		f.serve(ctx, built.peer)
		f.wg.Go(func() { _ = built.manager.Run(ctx) })
	}
	return nil
}

func (f *fleet) newAgent(index int) (*agent, error) {
	region := index % f.config.Regions
	built := &agent{
		index:  index,
		region: region,
		links: &machineLinks{
			up:         newLink(f.config.InstanceBytesPerSecond, f.config.ChunkBytes),
			down:       newLink(f.config.InstanceBytesPerSecond, f.config.ChunkBytes),
			regionUp:   f.regions[region].up,
			regionDown: f.regions[region].down,
		},
		engine: engine.New(engine.Config{Name: fmt.Sprint("engine-", index), CheckFence: true, SharedChunks: f.content}),
	}
	built.staging = client.New("http://engine", &http.Client{Transport: direct{built.engine}})
	dc := core.DataCentre(fmt.Sprint("dc-", region))
	for _, served := range []*origin.Origin{f.origin, f.store} {
		from, err := source.New(source.Config{URL: f.urls[served], DataCentre: dc})
		if err != nil {
			return nil, err
		}
		if served == f.origin {
			built.sources.Origin = from
		} else {
			built.sources.WeightStore = from
		}
	}
	if f.config.Strategy == OriginOnly {
		return built, nil
	}
	return built, f.addManager(built, dc)
}

func (f *fleet) addManager(built *agent, dc core.DataCentre) error {
	var err error
	if built.peer, err = f.listen(); err != nil {
		return err
	}
	chunk := seconds(int64(f.config.ChunkBytes), f.config.InstanceBytesPerSecond)
	config := swarm.Config{
		Self:               core.InstanceID(fmt.Sprintf("agent-%04d", built.index)),
		DataCentre:         dc,
		Region:             core.Region(fmt.Sprint("region-", built.region)),
		Incarnation:        1,
		Peer:               built.peer,
		Staging:            built.staging,
		Sources:            built.sources,
		OriginGrants:       budget.NewGrantStore(f.tables),
		TrackerAddrs:       f.trackerAddrs,
		ActivationSlots:    openRollout{},
		EngineLease:        openFence{},
		BandwidthLimiter:   built.links,
		MaxNearPeers:       f.config.Peers,
		AnnounceInterval:   announceChunks * chunk,
		HaveUpdateInterval: haveChunks * chunk,
		StallTimeout:       f.stall(),
		StatePollInterval:  statePoll,
		RetryDelay:         retryChunks * chunk,
		UploadSlotTimeout:  waitChunks * chunk,
		Seed:               f.config.Seed*1000 + uint64(built.index),
		Log:                f.log,
	}
	built.manager, err = swarm.New(config)
	return err
}

func (f *fleet) close() {
	for _, built := range f.agents {
		if built.peer != nil {
			_ = built.peer.Close()
		}
	}
	for _, peer := range f.trackers {
		_ = peer.Close()
	}
	for _, server := range f.servers {
		_ = server.Close()
	}
	f.wg.Wait()
}

// direct passes requests to a handler in the same process.
type direct struct {
	handler http.Handler
}

// RoundTrip implements http.RoundTripper.
func (d direct) RoundTrip(request *http.Request) (answer *http.Response, err error) {
	defer func() {
		if recover() != nil {
			answer, err = nil, errors.New("connection reset")
		}
	}()
	recorder := httptest.NewRecorder()
	d.handler.ServeHTTP(recorder, request)
	return recorder.Result(), nil
}

// openRollout gives a slot at once.
type openRollout struct{}

// Acquire implements swarm.Rollout.
func (openRollout) Acquire(context.Context, core.Digest) (func(), error) { return func() {}, nil }

// openFence is held by the only agent of each engine.
type openFence struct{}

// Do implements swarm.Fence.
func (openFence) Do(ctx context.Context, order func(context.Context, core.FencingToken) error) error {
	return order(ctx, 1)
}
