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
	engineclient "currantusher.dev/weights/engine"
	"currantusher.dev/weights/source"
	"currantusher.dev/weights/swarm"
	"currantusher.dev/weights/tracker"
	"currantusher.dev/wire"
)

const (
	statePollInterval   = 2 * time.Second
	stallTimeoutDivisor = 4
	// Intervals of an agent, as multiples of the transfer time of one chunk over
	// the link of an instance.
	announceIntervalChunks   = 4
	haveUpdateIntervalChunks = 1
	retryDelayChunks         = 1
	uploadSlotTimeoutChunks  = 2
)

// fleet holds the agents, trackers and sources of one run.
type fleet struct {
	config            Config
	tls               *tls.Config
	originServer      *origin.Origin
	weightStoreServer *origin.Origin
	servers           []*http.Server
	sourceURLs        map[*origin.Origin]string
	tables            *store.Memory
	trackers          []*wire.Endpoint
	regions           []regionLinks
	agents            []*agent
	root              core.Digest
	manifest          weights.Manifest
	encodedManifest   []byte
	sharedChunks      *engine.SharedChunks
	log               *logrus.Entry
	wg                sync.WaitGroup
}

type regionLinks struct {
	up, down *linkLimiter
}

// agent is one instance with its engine, endpoint and swarm manager. The manager
// and the endpoint are nil with the OriginOnly strategy.
type agent struct {
	index    int
	region   int
	links    *instanceLinks
	engine   *engine.Server
	staging  *engineclient.Client
	endpoint *wire.Endpoint
	manager  *swarm.Manager
	sources  swarm.Sources
	// originBytes counts the bytes received with the OriginOnly strategy.
	originBytes int64
}

func newFleet(ctx context.Context, config Config) (*fleet, error) {
	discardLog := logrus.New()
	discardLog.SetOutput(io.Discard)
	f := &fleet{
		config:       config,
		sourceURLs:   map[*origin.Origin]string{},
		tables:       store.NewMemory(store.Config{}),
		sharedChunks: engine.NewSharedChunks(),
		log:          discardLog.WithField("part", "burst"),
	}
	f.originServer = origin.New(origin.Config{BytesPerSecond: config.OriginBytesPerSecond})
	f.weightStoreServer = origin.New(origin.Config{BytesPerSecond: config.WeightStoreBytesPerSecond})
	for range config.Regions {
		f.regions = append(f.regions, regionLinks{
			up:   newLinkLimiter(config.RegionBytesPerSecond, config.ChunkBytes),
			down: newLinkLimiter(config.RegionBytesPerSecond, config.ChunkBytes),
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
	for _, server := range []*origin.Origin{f.originServer, f.weightStoreServer} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		httpServer := &http.Server{Handler: server, ReadHeaderTimeout: time.Minute}
		f.servers = append(f.servers, httpServer)
		f.sourceURLs[server] = "http://" + listener.Addr().String()
		f.wg.Go(func() { _ = httpServer.Serve(listener) })
	}
	return nil
}

// publish generates random weights and stores them in both sources.
func (f *fleet) publish(ctx context.Context) error {
	random := rand.New(rand.NewPCG(f.config.Seed, 3))
	content := make([]byte, f.config.ChunkBytes)
	sinks := []weights.Sink{}
	for _, server := range []*origin.Origin{f.originServer, f.weightStoreServer} {
		sink, err := source.New(source.Config{URL: f.sourceURLs[server]})
		if err != nil {
			return err
		}
		sinks = append(sinks, sink)
	}
	for remaining := f.config.WeightsBytes; remaining > 0; remaining -= len(content) {
		content = content[:min(remaining, len(content))]
		for i := range content {
			content[i] = byte(random.Uint32())
		}
		digest := core.DigestOf(content)
		f.manifest.Chunks = append(f.manifest.Chunks, weights.Chunk{Digest: digest, Size: int64(len(content))})
		for _, sink := range sinks {
			if err := sink.PutChunk(ctx, digest, content); err != nil {
				return err
			}
		}
	}
	f.manifest.Files = []weights.File{{Path: "weights", Size: int64(f.config.WeightsBytes)}}
	var err error
	f.encodedManifest, f.root, err = f.manifest.Encode()
	if err != nil {
		return err
	}
	for _, sink := range sinks {
		if err := sink.PutManifest(ctx, f.root, f.encodedManifest); err != nil {
			return err
		}
	}
	return nil
}

// copyBytes returns the size of one copy: the manifest and all chunks.
func (f *fleet) copyBytes() int64 { return int64(f.config.WeightsBytes + len(f.encodedManifest)) }

// listen opens an endpoint, which f.serve starts.
func (f *fleet) listen() (*wire.Endpoint, error) {
	return wire.Listen("127.0.0.1:0", f.tls)
}

func (f *fleet) serve(ctx context.Context, endpoint *wire.Endpoint) {
	f.wg.Go(func() { _ = endpoint.Serve(ctx) })
}

func (f *fleet) startTrackers(ctx context.Context) error {
	for i := range f.config.Trackers {
		endpoint, err := f.listen()
		if err != nil {
			return err
		}
		f.trackers = append(f.trackers, endpoint)
		if f.config.Strategy == Chain {
			newChainTracker(f.config.Regions).register(endpoint)
		} else {
			server, err := tracker.New(tracker.Config{
				Seed:                 f.config.Seed + uint64(i),
				FetchTimeout:         f.stallTimeout(),
				MaxFetchersPerRegion: f.config.Fetchers,
			})
			if err != nil {
				return err
			}
			server.Register(endpoint)
		}
		f.serve(ctx, endpoint)
	}
	return nil
}

// stallTimeout returns a fraction of the time to transfer one copy over the link
// of an instance, and at least 1 second.
func (f *fleet) stallTimeout() time.Duration {
	return max(time.Second, f.instanceCopyTime()/stallTimeoutDivisor)
}

func (f *fleet) instanceCopyTime() time.Duration {
	return transferTime(f.copyBytes(), f.config.InstanceBytesPerSecond)
}

func transferTime(size int64, bytesPerSecond int) time.Duration {
	return time.Duration(float64(size) / float64(bytesPerSecond) * float64(time.Second))
}

func (f *fleet) trackerAddrs(core.Digest) []string {
	addrs := make([]string, 0, len(f.trackers))
	for _, endpoint := range f.trackers {
		addrs = append(addrs, endpoint.Addr())
	}
	return addrs
}

func (f *fleet) startAgents(ctx context.Context) error {
	for i := range f.config.Agents {
		a, err := f.newAgent(i)
		if err != nil {
			return fmt.Errorf("agent %d: %w", i, err)
		}
		f.agents = append(f.agents, a)
		if a.manager == nil {
			continue
		}
		f.serve(ctx, a.endpoint)
		f.wg.Go(func() { _ = a.manager.Run(ctx) })
	}
	return nil
}

func (f *fleet) newAgent(index int) (*agent, error) {
	region := index % f.config.Regions
	a := &agent{
		index:  index,
		region: region,
		links: &instanceLinks{
			up:         newLinkLimiter(f.config.InstanceBytesPerSecond, f.config.ChunkBytes),
			down:       newLinkLimiter(f.config.InstanceBytesPerSecond, f.config.ChunkBytes),
			regionUp:   f.regions[region].up,
			regionDown: f.regions[region].down,
		},
		engine: engine.New(engine.Config{Name: fmt.Sprint("engine-", index), CheckFence: true, SharedChunks: f.sharedChunks}),
	}
	a.staging = engineclient.New("http://engine", &http.Client{Transport: handlerTransport{a.engine}})
	dc := core.DataCentre(fmt.Sprint("dc-", region))
	for _, server := range []*origin.Origin{f.originServer, f.weightStoreServer} {
		weightSource, err := source.New(source.Config{URL: f.sourceURLs[server], DataCentre: dc})
		if err != nil {
			return nil, err
		}
		if server == f.originServer {
			a.sources.Origin = weightSource
		} else {
			a.sources.WeightStore = weightSource
		}
	}
	if f.config.Strategy == OriginOnly {
		return a, nil
	}
	return a, f.addManager(a, dc)
}

func (f *fleet) addManager(a *agent, dc core.DataCentre) error {
	var err error
	if a.endpoint, err = f.listen(); err != nil {
		return err
	}
	chunkTime := transferTime(int64(f.config.ChunkBytes), f.config.InstanceBytesPerSecond)
	config := swarm.Config{
		Self:               core.InstanceID(fmt.Sprintf("agent-%04d", a.index)),
		DataCentre:         dc,
		Region:             core.Region(fmt.Sprint("region-", a.region)),
		Incarnation:        1,
		Peer:               a.endpoint,
		Staging:            a.staging,
		Sources:            a.sources,
		OriginGrants:       budget.NewGrantStore(f.tables),
		TrackerAddrs:       f.trackerAddrs,
		ActivationSlots:    unlimitedSlots{},
		EngineLease:        staticLease{},
		BandwidthLimiter:   a.links,
		MaxNearPeers:       f.config.Peers,
		AnnounceInterval:   announceIntervalChunks * chunkTime,
		HaveUpdateInterval: haveUpdateIntervalChunks * chunkTime,
		StallTimeout:       f.stallTimeout(),
		StatePollInterval:  statePollInterval,
		RetryDelay:         retryDelayChunks * chunkTime,
		UploadSlotTimeout:  uploadSlotTimeoutChunks * chunkTime,
		Seed:               f.config.Seed*1000 + uint64(a.index),
		Log:                f.log,
	}
	a.manager, err = swarm.New(config)
	return err
}

func (f *fleet) close() {
	for _, a := range f.agents {
		if a.endpoint != nil {
			_ = a.endpoint.Close()
		}
	}
	for _, endpoint := range f.trackers {
		_ = endpoint.Close()
	}
	for _, httpServer := range f.servers {
		_ = httpServer.Close()
	}
	f.wg.Wait()
}

// handlerTransport sends requests to a handler in the same process. A panic of
// the handler is reported as a closed connection.
type handlerTransport struct {
	handler http.Handler
}

// RoundTrip implements http.RoundTripper.
func (t handlerTransport) RoundTrip(request *http.Request) (answer *http.Response, err error) {
	defer func() {
		if recover() != nil {
			answer, err = nil, errors.New("handler panicked: connection reset")
		}
	}()
	recorder := httptest.NewRecorder()
	t.handler.ServeHTTP(recorder, request)
	return recorder.Result(), nil
}

// unlimitedSlots grants an activation slot without waiting.
type unlimitedSlots struct{}

// Acquire implements swarm.ActivationSlots.
func (unlimitedSlots) Acquire(context.Context, core.Digest) (func(), error) { return func() {}, nil }

// staticLease is always held, because each engine has only one agent.
type staticLease struct{}

// Do implements swarm.EngineLease.
func (staticLease) Do(ctx context.Context, command func(context.Context, core.FencingToken) error) error {
	return command(ctx, 1)
}
