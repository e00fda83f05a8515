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

// Config holds the settings of an Agent.
type Config struct {
	Instance   core.InstanceID
	DataCentre core.DataCentre
	Region     core.Region
	Group      core.Group
	// PeerListen is the IP address and UDP port for connections of other daemons.
	PeerListen string
	// PeerAdvertise is the address at which other daemons reach PeerListen; ""
	// means the address of PeerListen.
	PeerAdvertise string
	// HTTPListen is the IP address and TCP port of /metrics and the health
	// endpoints; "" disables them.
	HTTPListen string
	// BackendURL is the base URL of the agent's backend server.
	BackendURL string
	// PlatformURL is the base URL of the platform's table service, object store
	// and instance list.
	PlatformURL string
	// OriginURL and WeightStoreURL are the base URLs of the two sources of
	// weights. Either may be "". If both are "", the agent distributes no weights.
	OriginURL      string
	WeightStoreURL string
	// TLS holds the daemon's certificate and the certificate authority.
	TLS *tls.Config
	// EngineIgnoresFence marks an engine that ignores fencing tokens. Before its
	// first command the agent then waits until every earlier holder's lease has
	// expired.
	EngineIgnoresFence bool
	// ConfigMaxAge is the time since the last confirmation of the configuration
	// after which it is stale.
	ConfigMaxAge time.Duration
	// StalePolicy applies when the configuration is stale: "stop" starts no new
	// work, "serve" goes on with the last configuration.
	StalePolicy string
	// DrainTimeout bounds the wait for work in progress at a planned stop.
	DrainTimeout time.Duration
	// StatePollInterval is the time between two polls of the backend server's
	// state.
	StatePollInterval time.Duration
	// LeaseDuration is the term of the lease that allows commands to the engine.
	LeaseDuration time.Duration
	// BandwidthLimiter limits the rate of weight transfers; nil means no limit.
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

// Validate checks the settings. The error names the setting and its value.
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
