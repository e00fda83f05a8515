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
	// maxExtents bounds the extents of a version, and maxVersions the versions that
	// are tracked at once.
	maxExtents                  = 4096
	maxVersions                 = 64
	defaultMaxFetchersPerRegion = 4
	defaultMemberTTL            = 30 * time.Second
	defaultFetchTimeout         = 30 * time.Second
	defaultVersionTTL           = 10 * time.Minute
)

// Config configures a Tracker. The zero value is usable.
type Config struct {
	// MemberTTL is how long a downloader is returned as a peer after its last report.
	MemberTTL time.Duration
	// FetchTimeout is the time without progress after which an extent is reassigned
	// to another downloader.
	FetchTimeout time.Duration
	// VersionTTL is how long the state of a version is kept after its last report.
	VersionTTL time.Duration
	// MaxFetchersPerRegion bounds the extents of a version that the downloaders of a
	// region fetch from sources at once.
	MaxFetchersPerRegion int
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Seed seeds the random choice of peers.
	Seed uint64
}

func (c *Config) applyDefaults() error {
	if c.MemberTTL < 0 || c.FetchTimeout < 0 || c.VersionTTL < 0 || c.MaxFetchersPerRegion < 0 {
		return fmt.Errorf("tracker: MemberTTL, FetchTimeout, VersionTTL and MaxFetchersPerRegion must not be negative: %+v", *c)
	}
	if c.MemberTTL == 0 {
		c.MemberTTL = defaultMemberTTL
	}
	if c.FetchTimeout == 0 {
		c.FetchTimeout = defaultFetchTimeout
	}
	if c.VersionTTL == 0 {
		c.VersionTTL = defaultVersionTTL
	}
	if c.MaxFetchersPerRegion == 0 {
		c.MaxFetchersPerRegion = defaultMaxFetchersPerRegion
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return nil
}

// Tracker answers KindTrack calls of downloaders. It is safe for concurrent use.
type Tracker struct {
	config Config

	mu       sync.Mutex
	random   *rand.Rand
	versions map[core.Digest]*versionState
}

// New returns a tracker without state.
func New(config Config) (*Tracker, error) {
	if err := config.applyDefaults(); err != nil {
		return nil, err
	}
	return &Tracker{
		config:   config,
		random:   rand.New(rand.NewPCG(config.Seed, 0)),
		versions: map[core.Digest]*versionState{},
	}, nil
}

// Register registers the handler of KindTrack calls at peer.
func (t *Tracker) Register(peer *wire.Endpoint) {
	peer.Handle(wire.KindTrack, func(_ context.Context, stream *wire.Stream) error {
		var request wire.TrackRequest
		if err := stream.Recv(&request); err != nil {
			return err
		}
		return stream.Send(t.Track(request))
	})
}

// Track handles one report. The reply is empty for a new version if maxVersions
// versions are tracked already.
func (t *Tracker) Track(request wire.TrackRequest) wire.TrackReply {
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.versions[request.Root]
	if state == nil {
		t.expireVersions(now)
		if len(t.versions) >= maxVersions {
			return wire.TrackReply{}
		}
		state = newVersionState()
		t.versions[request.Root] = state
	}
	return state.handleReport(request, now, limits{memberTTL: t.config.MemberTTL, fetchTimeout: t.config.FetchTimeout, maxFetchers: t.config.MaxFetchersPerRegion}, t.random)
}

func (t *Tracker) expireVersions(now time.Time) {
	for root, state := range t.versions {
		if now.Sub(state.lastReport) > t.config.VersionTTL {
			delete(t.versions, root)
		}
	}
}
