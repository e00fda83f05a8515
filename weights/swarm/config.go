// Package swarm downloads versions of model weights into an engine's staging
// area from peers, the origin and the weight store, uploads verified chunks to
// peers and activates a version once all its chunks are staged.
package swarm

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"currantusher.dev/core"
	"currantusher.dev/weights/budget"
	"currantusher.dev/weights/engine"
	"currantusher.dev/wire"
)

// Staging is the API of one engine: the staging area for weights and the
// commands that activate and evict them.
type Staging interface {
	State(ctx context.Context) (engine.State, error)
	PutManifest(ctx context.Context, root core.Digest, encoded []byte) error
	PutChunk(ctx context.Context, digest core.Digest, content []byte) error
	GetChunk(ctx context.Context, digest core.Digest) ([]byte, error)
	ListChunks(ctx context.Context) ([]core.Digest, error)
	Activate(ctx context.Context, root core.Digest, fence core.FencingToken) error
	Evict(ctx context.Context, keep []core.Digest, fence core.FencingToken) error
}

// Source serves manifests and chunks. It is the origin or the weight store.
type Source interface {
	Manifest(ctx context.Context, root core.Digest) ([]byte, error)
	Chunk(ctx context.Context, digest core.Digest) ([]byte, error)
}

// Sources are the servers that weights are read from besides peers. Either may
// be nil.
type Sources struct {
	// Origin is read only with a grant from Config.OriginGrants.
	Origin Source
	// WeightStore is the rate-limited weight store. It is read when the fetch
	// budget of the origin is spent or no grant can be obtained.
	WeightStore Source
}

// OriginGrants bounds how often each chunk is fetched from the origin.
type OriginGrants interface {
	Acquire(ctx context.Context, request budget.GrantRequest) (budget.Grant, error)
}

// ActivationSlots bounds how many instances of a pool activate a version at the
// same time.
type ActivationSlots interface {
	// Acquire blocks until a slot is acquired or ctx ends. The caller must call
	// release to return the slot.
	Acquire(ctx context.Context, root core.Digest) (release func(), err error)
}

// EngineLease guards the commands that this agent sends to its engine, so that
// only one agent process commands an engine at a time. The agent implements it
// with package members/lease.
type EngineLease interface {
	// Do runs command while this agent holds the lease. The context of command
	// is cancelled when the lease may have expired.
	Do(ctx context.Context, command func(ctx context.Context, fence core.FencingToken) error) error
}

// BandwidthLimiter limits the rate of transfers. Both methods block until size
// bytes may be transferred or ctx ends. far marks a transfer to or from another
// region, a source included.
type BandwidthLimiter interface {
	WaitUpload(ctx context.Context, size int, far bool) error
	WaitDownload(ctx context.Context, size int, far bool) error
}

const (
	defaultMaxNearPeers       = 10
	defaultMaxFarPeers        = 2
	defaultMaxInFlightChunks  = 6
	defaultMaxUploads         = 3
	defaultUploadSlotTimeout  = 200 * time.Millisecond
	defaultAnnounceInterval   = 2 * time.Second
	defaultHaveUpdateInterval = 100 * time.Millisecond
	defaultChunkTimeout       = 15 * time.Second
	defaultStallTimeout       = 20 * time.Second
	defaultStatePollInterval  = 2 * time.Second
	defaultLinkBudgetWindow   = 10 * time.Minute
	defaultRetryDelay         = 500 * time.Millisecond
)

// Config configures a Manager.
type Config struct {
	Self        core.InstanceID
	DataCentre  core.DataCentre
	Region      core.Region
	Incarnation core.Incarnation
	// Peer is the daemon's endpoint for calls between daemons. AdvertiseAddr is
	// the address under which peers reach it; "" means Peer.Addr().
	Peer          *wire.Endpoint
	AdvertiseAddr string

	Staging      Staging
	Sources      Sources
	OriginGrants OriginGrants
	// TrackerAddrs returns the peer addresses of the entries that track root,
	// in the order in which they are tried.
	TrackerAddrs    func(root core.Digest) []string
	ActivationSlots ActivationSlots
	EngineLease     EngineLease
	// BandwidthLimiter is optional; nil means no limit.
	BandwidthLimiter BandwidthLimiter

	// MaxNearPeers and MaxFarPeers bound the peers in the same region and in
	// other regions to which the downloader subscribes.
	MaxNearPeers int
	MaxFarPeers  int
	// MaxInFlightChunks bounds the chunks requested from peers at once.
	MaxInFlightChunks int
	// MaxUploads bounds the chunks uploaded at once. UploadSlotTimeout bounds how
	// long a request waits for an upload slot before it is refused as busy.
	MaxUploads        int
	UploadSlotTimeout time.Duration
	// AnnounceInterval is the interval between reports to the tracker.
	AnnounceInterval time.Duration
	// HaveUpdateInterval is the minimum interval between two messages that list
	// newly verified chunks to one peer.
	HaveUpdateInterval time.Duration
	// ChunkTimeout bounds the transfer of one chunk or manifest.
	ChunkTimeout time.Duration
	// StallTimeout is how long the downloader waits without receiving a chunk
	// before it fetches from a source that no tracker assigned to it.
	StallTimeout time.Duration
	// StatePollInterval is the interval between reads of the engine's state.
	StatePollInterval time.Duration
	// LinkBudgetWindow is the maximum time until the link budget of a version is
	// renewed. The window is shorter if the version was downloaded quickly.
	LinkBudgetWindow time.Duration
	// RetryDelay is the base delay before a failed step is retried.
	RetryDelay time.Duration
	// Seed seeds the random choices; 0 means a random seed.
	Seed uint64
	Log  *logrus.Entry
}

func (c *Config) applyDefaults() error {
	if c.Self == "" || c.Peer == nil || c.Staging == nil || c.TrackerAddrs == nil || c.ActivationSlots == nil || c.EngineLease == nil {
		return errors.New("swarm: Self, Peer, Staging, TrackerAddrs, ActivationSlots and EngineLease are required")
	}
	if c.Sources.Origin != nil && c.OriginGrants == nil {
		return errors.New("swarm: OriginGrants is required if Sources.Origin is set")
	}
	if c.AdvertiseAddr == "" {
		c.AdvertiseAddr = c.Peer.Addr()
	}
	if c.BandwidthLimiter == nil {
		c.BandwidthLimiter = unlimitedBandwidth{}
	}
	if c.Seed == 0 {
		c.Seed = rand.Uint64()
	}
	if c.Log == nil {
		c.Log = logrus.WithField("part", "swarm")
	}
	setDefault(&c.MaxNearPeers, defaultMaxNearPeers)
	setDefault(&c.MaxFarPeers, defaultMaxFarPeers)
	setDefault(&c.MaxInFlightChunks, defaultMaxInFlightChunks)
	setDefault(&c.MaxUploads, defaultMaxUploads)
	setDefault(&c.UploadSlotTimeout, defaultUploadSlotTimeout)
	setDefault(&c.AnnounceInterval, defaultAnnounceInterval)
	setDefault(&c.HaveUpdateInterval, defaultHaveUpdateInterval)
	setDefault(&c.ChunkTimeout, defaultChunkTimeout)
	setDefault(&c.StallTimeout, defaultStallTimeout)
	setDefault(&c.StatePollInterval, defaultStatePollInterval)
	setDefault(&c.LinkBudgetWindow, defaultLinkBudgetWindow)
	setDefault(&c.RetryDelay, defaultRetryDelay)
	return c.checkRanges()
}

func (c *Config) checkRanges() error {
	counts := []int{c.MaxNearPeers, c.MaxFarPeers, c.MaxInFlightChunks, c.MaxUploads}
	for _, count := range counts {
		if count < 0 {
			return fmt.Errorf("swarm: MaxNearPeers, MaxFarPeers, MaxInFlightChunks and MaxUploads must not be negative: %v", counts)
		}
	}
	durations := []time.Duration{c.UploadSlotTimeout, c.AnnounceInterval, c.HaveUpdateInterval, c.ChunkTimeout, c.StallTimeout, c.StatePollInterval, c.LinkBudgetWindow, c.RetryDelay}
	for _, duration := range durations {
		if duration < 0 {
			return fmt.Errorf("swarm: intervals, timeouts and delays must not be negative: %v", durations)
		}
	}
	return nil
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// unlimitedBandwidth is the BandwidthLimiter that never blocks.
type unlimitedBandwidth struct{}

func (unlimitedBandwidth) WaitUpload(context.Context, int, bool) error   { return nil }
func (unlimitedBandwidth) WaitDownload(context.Context, int, bool) error { return nil }
