package agent

import (
	"crypto/tls"
	"fmt"
	"net/url"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/daemon/obs"
	"currantusher.dev/weights/swarm"
)

// Defaults of Config.
const (
	DefaultDrainTimeout      = 30 * time.Second
	DefaultStatePollInterval = 250 * time.Millisecond
	DefaultConfigMaxAge      = 4 * time.Second
	DefaultLeaseDuration     = 30 * time.Second
)

// Config holds an agent's settings.
type Config struct {
	Instance   core.InstanceID
	DataCentre core.DataCentre
	Region     core.Region
	Group      core.Group
	// PeerListen is the IP and UDP port for other daemons.
	PeerListen string
	// PeerAdvertise is the address by which other daemons reach PeerListen; ""
	// means PeerListen itself.
	PeerAdvertise string
	// HTTPListen is the IP and TCP port of /metrics and the health pages; ""
	// serves none.
	HTTPListen string
	// BackendURL is the backend server in the slot.
	BackendURL string
	// PlatformURL is the platform's table service, object store and list.
	PlatformURL string
	// OriginURL and WeightStoreURL are the two sources of weights; each may be
	// "" but engines need one.
	OriginURL      string
	WeightStoreURL string
	// TLS holds the daemon's certificate and the authority.
	TLS *tls.Config
	// EngineIgnoresFence makes the agent wait out an earlier holder's lease
	// before its first order.
	EngineIgnoresFence bool
	// ConfigMaxAge bounds the age of the configuration's confirmation.
	ConfigMaxAge time.Duration
	// StalePolicy is "stop" or "serve" past ConfigMaxAge.
	StalePolicy string
	// DrainTimeout bounds how long a planned stop waits for work in progress.
	DrainTimeout time.Duration
	// StatePollInterval is the time between two readings of the backend server's state.
	StatePollInterval time.Duration
	// LeaseDuration is the time for which an order lease is held.
	LeaseDuration time.Duration
	// BandwidthLimiter paces weight transfers; nil does not.
	BandwidthLimiter swarm.BandwidthLimiter
	Log              *obs.Logger
}

func (c Config) applyDefaults() Config {
	if c.DrainTimeout == 0 {
		c.DrainTimeout = DefaultDrainTimeout
	}
	if c.StatePollInterval == 0 {
		c.StatePollInterval = DefaultStatePollInterval
	}
	if c.ConfigMaxAge == 0 {
		c.ConfigMaxAge = DefaultConfigMaxAge
	}
	if c.LeaseDuration == 0 {
		c.LeaseDuration = DefaultLeaseDuration
	}
	if c.Log == nil {
		c.Log = obs.DiscardLogger()
	}
	return c
}

// Validate checks the settings; the error names the field and its value.
func (c Config) Validate() error {
	names := []struct{ field, value string }{
		{"instance", string(c.Instance)},
		{"data-centre", string(c.DataCentre)},
		{"region", string(c.Region)},
		{"group", string(c.Group)},
	}
	for _, name := range names {
		if err := core.CheckName(name.field, name.value); err != nil {
			return err
		}
	}
	if err := checkURL("backend-url", c.BackendURL, true); err != nil {
		return err
	}
	if err := checkURL("platform-url", c.PlatformURL, true); err != nil {
		return err
	}
	if err := checkURL("origin-url", c.OriginURL, false); err != nil {
		return err
	}
	if err := checkURL("weight-store-url", c.WeightStoreURL, false); err != nil {
		return err
	}
	if c.TLS == nil {
		return fmt.Errorf("tls: certificate, key and authority are required")
	}
	return nil
}

func checkURL(field, value string, required bool) error {
	if value == "" && !required {
		return nil
	}
	parsed, err := url.Parse(value)
	if err != nil || parsed.Host == "" {
		return fmt.Errorf("%s %q: want a URL such as http://127.0.0.1:9000", field, value)
	}
	return nil
}
