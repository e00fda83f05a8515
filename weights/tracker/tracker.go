package tracker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/wire"
)

const (
	maxExtents     = 4096
	maxVersions    = 64
	defaultFetcher = 4
	defaultMember  = 30 * time.Second
	defaultFetch   = 30 * time.Second
	defaultVersion = 10 * time.Minute
)

// Config configures a Tracker. The zero value is usable.
type Config struct {
	// MemberTTL is how long a downloader is named after its last report.
	MemberTTL time.Duration
	// FetchTimeout is when an extent is given to another downloader.
	FetchTimeout time.Duration
	// VersionTTL is how long an unused version is remembered.
	VersionTTL time.Duration
	// MaxFetchersPerRegion bounds the downloaders of a region that draw extents at once.
	MaxFetchersPerRegion int
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Seed seeds the choice of peers.
	Seed uint64
}

func (c *Config) applyDefaults() error {
	if c.MemberTTL < 0 || c.FetchTimeout < 0 || c.VersionTTL < 0 || c.MaxFetchersPerRegion < 0 {
		return fmt.Errorf("tracker: negative value in %+v", *c)
	}
	if c.MemberTTL == 0 {
		c.MemberTTL = defaultMember
	}
	if c.FetchTimeout == 0 {
		c.FetchTimeout = defaultFetch
	}
	if c.VersionTTL == 0 {
		c.VersionTTL = defaultVersion
	}
	if c.MaxFetchersPerRegion == 0 {
		c.MaxFetchersPerRegion = defaultFetcher
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return nil
}

// Tracker answers KindTrack calls. It is safe for concurrent use.
type Tracker struct {
	config Config

	mu       sync.Mutex
	random   *rand.Rand
	versions map[core.Digest]*version
}

// New returns a tracker without state.
func New(config Config) (*Tracker, error) {
	if err := config.applyDefaults(); err != nil {
		return nil, err
	}
	return &Tracker{
		config:   config,
		random:   rand.New(rand.NewPCG(config.Seed, 0)),
		versions: map[core.Digest]*version{},
	}, nil
}

// Register makes peer answer KindTrack calls.
func (t *Tracker) Register(peer *wire.Endpoint) {
	peer.Handle(wire.KindTrack, func(_ context.Context, stream *wire.Stream) error {
		var request wire.TrackRequest
		if err := stream.Recv(&request); err != nil {
			return err
		}
		return stream.Send(t.Track(request))
	})
}

// Track answers one report.
func (t *Tracker) Track(request wire.TrackRequest) wire.TrackReply {
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.versions[request.Root]
	if known == nil {
		t.expire(now)
		if len(t.versions) >= maxVersions {
			return wire.TrackReply{}
		}
		known = newVersion()
		t.versions[request.Root] = known
	}
	return known.track(request, now, limits{member: t.config.MemberTTL, fetch: t.config.FetchTimeout, fetchers: t.config.MaxFetchersPerRegion}, t.random)
}

func (t *Tracker) expire(now time.Time) {
	for root, known := range t.versions {
		if now.Sub(known.seen) > t.config.VersionTTL {
			delete(t.versions, root)
		}
	}
}
