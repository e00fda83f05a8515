// Package swarm downloads versions of weights into an engine's staging area
// from peers, the origin and the weight store, offers verified chunks to peers
// and activates whole versions.
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

// Staging is an engine's staging area and its orders.
type Staging interface {
	State(ctx context.Context) (engine.State, error)
	PutManifest(ctx context.Context, root core.Digest, encoded []byte) error
	PutChunk(ctx context.Context, digest core.Digest, content []byte) error
	GetChunk(ctx context.Context, digest core.Digest) ([]byte, error)
	ListChunks(ctx context.Context) ([]core.Digest, error)
	Activate(ctx context.Context, root core.Digest, fence core.FencingToken) error
	Evict(ctx context.Context, keep []core.Digest, fence core.FencingToken) error
}

// Source is the origin or the weight store.
type Source interface {
	Manifest(ctx context.Context, root core.Digest) ([]byte, error)
	Chunk(ctx context.Context, digest core.Digest) ([]byte, error)
}

// Sources are the places that weights come from besides peers. Either may be
// nil.
type Sources struct {
	// Origin is read only with a grant.
	Origin Source
	// WeightStore is the rate-limited weight store, read when the origin's budget
	// is spent or cannot be asked.
	WeightStore Source
}

// OriginGrants bounds the origin fetches.
type OriginGrants interface {
	Acquire(ctx context.Context, ask budget.GrantRequest) (budget.Grant, error)
}

// ActivationSlots bounds the instances that activate at once.
type ActivationSlots interface {
	// Acquire waits for a slot. release returns it.
	Acquire(ctx context.Context, root core.Digest) (release func(), err error)
}

// EngineLease gives this agent's orders to its engine. members/lease implements it.
type EngineLease interface {
	// Do runs order while this agent is the only one that may order the
	// engine. The context of order ends when that is no longer sure.
	Do(ctx context.Context, order func(ctx context.Context, fence core.FencingToken) error) error
}

// BandwidthLimiter paces transfers. Wait blocks until size bytes may pass; far transfers
// cross a region border.
type BandwidthLimiter interface {
	WaitUpload(ctx context.Context, size int, far bool) error
	WaitDownload(ctx context.Context, size int, far bool) error
}

const (
	defaultPeers      = 10
	defaultFarPeers   = 2
	defaultInFlight   = 6
	defaultQueue      = 3
	defaultWait       = 200 * time.Millisecond
	defaultAnnounce   = 2 * time.Second
	defaultHaveEvery  = 100 * time.Millisecond
	defaultTimeout    = 15 * time.Second
	defaultStall      = 20 * time.Second
	defaultStatePoll  = 2 * time.Second
	defaultWindow     = 10 * time.Minute
	defaultRetryDelay = 500 * time.Millisecond
)

// Config configures a Manager.
type Config struct {
	Self        core.InstanceID
	DataCentre  core.DataCentre
	Region      core.Region
	Incarnation core.Incarnation
	// Peer is the daemon's endpoint. Addr is its address as peers reach it;
	// "" means Peer.Addr().
	Peer          *wire.Endpoint
	AdvertiseAddr string

	Staging      Staging
	Sources      Sources
	OriginGrants OriginGrants
	// TrackerAddrs returns the peer addresses of the entries that track root, the
	// best ranked first.
	TrackerAddrs    func(root core.Digest) []string
	ActivationSlots ActivationSlots
	EngineLease     EngineLease
	// BandwidthLimiter is optional.
	BandwidthLimiter BandwidthLimiter

	// MaxNearPeers and FarPeers bound the peers of the own and of other regions.
	MaxNearPeers int
	FarPeers     int
	// InFlight bounds the chunks requested at once.
	InFlight int
	// UploadQueue bounds the chunks being sent at once, and UploadWait the
	// time that a request waits for its turn.
	UploadQueue       int
	UploadSlotTimeout time.Duration
	// AnnounceInterval is the interval of reports to the tracker.
	AnnounceInterval time.Duration
	// HaveUpdateInterval is the shortest interval of updates to one peer.
	HaveUpdateInterval time.Duration
	// ChunkTimeout bounds the transfer of one chunk.
	ChunkTimeout time.Duration
	// StallTimeout is how long no chunk may arrive before the downloader turns
	// to a source without being asked by a tracker.
	StallTimeout time.Duration
	// StatePollInterval is the interval of looks at the engine's state.
	StatePollInterval time.Duration
	// UploadWindow is the longest time until the budget of a version's link
	// bytes is renewed; it is shorter for a version that came quickly.
	UploadWindow time.Duration
	// RetryDelay is the pause after a failed step.
	RetryDelay time.Duration
	// Seed seeds the random choices; 0 draws one.
	Seed uint64
	Log  *logrus.Entry
}

func (c *Config) applyDefaults() error {
	if c.Self == "" || c.Peer == nil || c.Staging == nil || c.TrackerAddrs == nil || c.ActivationSlots == nil || c.EngineLease == nil {
		return errors.New("swarm: Self, Peer, Staging, Trackers, Rollout and Fence are required")
	}
	if c.Sources.Origin != nil && c.OriginGrants == nil {
		return errors.New("swarm: an origin needs Grants")
	}
	if c.AdvertiseAddr == "" {
		c.AdvertiseAddr = c.Peer.Addr()
	}
	if c.BandwidthLimiter == nil {
		c.BandwidthLimiter = unpaced{}
	}
	if c.Seed == 0 {
		c.Seed = rand.Uint64()
	}
	if c.Log == nil {
		c.Log = logrus.WithField("part", "swarm")
	}
	setDefault(&c.MaxNearPeers, defaultPeers)
	setDefault(&c.FarPeers, defaultFarPeers)
	setDefault(&c.InFlight, defaultInFlight)
	setDefault(&c.UploadQueue, defaultQueue)
	setDefault(&c.UploadSlotTimeout, defaultWait)
	setDefault(&c.AnnounceInterval, defaultAnnounce)
	setDefault(&c.HaveUpdateInterval, defaultHaveEvery)
	setDefault(&c.ChunkTimeout, defaultTimeout)
	setDefault(&c.StallTimeout, defaultStall)
	setDefault(&c.StatePollInterval, defaultStatePoll)
	setDefault(&c.UploadWindow, defaultWindow)
	setDefault(&c.RetryDelay, defaultRetryDelay)
	return c.checkRanges()
}

func (c *Config) checkRanges() error {
	counts := []int{c.MaxNearPeers, c.FarPeers, c.InFlight, c.UploadQueue}
	for _, count := range counts {
		if count < 0 {
			return fmt.Errorf("swarm: negative count in %v", counts)
		}
	}
	times := []time.Duration{c.UploadSlotTimeout, c.AnnounceInterval, c.HaveUpdateInterval, c.ChunkTimeout, c.StallTimeout, c.StatePollInterval, c.UploadWindow, c.RetryDelay}
	for _, span := range times {
		if span < 0 {
			return fmt.Errorf("swarm: negative duration in %v", times)
		}
	}
	return nil
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

type unpaced struct{}

func (unpaced) WaitUpload(context.Context, int, bool) error   { return nil }
func (unpaced) WaitDownload(context.Context, int, bool) error { return nil }
