package gossip

import (
	"time"

	"github.com/sirupsen/logrus"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
)

// Config configures a Node.
type Config struct {
	Self Member
	// Revisions returns the store's latest known era and the latest revision in it of
	// each table that this entry has read in that era.
	Revisions func() (era uint64, revisions map[string]uint64)
	// ReachesStore reports whether the platform's store responds to this entry.
	ReachesStore func() bool
	// Loads returns this entry's requests in flight by backend server.
	Loads func() map[core.InstanceID]int
	// Paces returns the backend servers that this entry observes to be slower than
	// usual, with the factor.
	Paces func() map[core.InstanceID]float64
	// Work returns the work of this entry's requests by backend server, for those with
	// work. It returns nil if the work is not known.
	Work func() map[core.InstanceID]fleet.Work
	// NewestWeights returns the newest weights versions that this entry has
	// learned of. OnNewestWeights is called with those of another entry.
	NewestWeights   func() []NewestWeights
	OnNewestWeights func([]NewestWeights)
	// Evidence returns what this entry knows of prompt parts that crash backend
	// servers. OnEvidence is called with what another entry knows.
	Evidence   func() fleet.CrashEvidence
	OnEvidence func(fleet.CrashEvidence)
	// RateLimits returns the limits of backend servers to tell the others in this round.
	// OnRateLimits is called with what another entry tells.
	RateLimits   func() []fleet.RateLimit
	OnRateLimits func(from core.InstanceID, limits []fleet.RateLimit)
	// OnPlaceRequest decides whether to give away a place at a server.
	OnPlaceRequest func(fleet.PlaceRequest) fleet.PlaceReply
	// OnPauseNotice is called with each pause notice that an agent sends about
	// its backend server, or that another entry forwards.
	OnPauseNotice func(fleet.PauseNotice)
	Log           *logrus.Entry
	// Now is the clock. The default is time.Now.
	Now func() time.Time
}

func (c *Config) applyDefaults() {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.OnPauseNotice == nil {
		c.OnPauseNotice = func(fleet.PauseNotice) {}
	}
	if c.Paces == nil {
		c.Paces = func() map[core.InstanceID]float64 { return nil }
	}
	if c.Work == nil {
		c.Work = func() map[core.InstanceID]fleet.Work { return nil }
	}
	if c.Evidence == nil {
		c.Evidence = func() fleet.CrashEvidence { return fleet.CrashEvidence{} }
	}
	if c.OnEvidence == nil {
		c.OnEvidence = func(fleet.CrashEvidence) {}
	}
	if c.RateLimits == nil {
		c.RateLimits = func() []fleet.RateLimit { return nil }
	}
	if c.OnRateLimits == nil {
		c.OnRateLimits = func(core.InstanceID, []fleet.RateLimit) {}
	}
	if c.OnPlaceRequest == nil {
		c.OnPlaceRequest = func(fleet.PlaceRequest) fleet.PlaceReply { return fleet.PlaceReply{} }
	}
	if c.NewestWeights == nil {
		c.NewestWeights = func() []NewestWeights { return nil }
	}
	if c.OnNewestWeights == nil {
		c.OnNewestWeights = func([]NewestWeights) {}
	}
}
