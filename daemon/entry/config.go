package entry

import (
	"crypto/tls"
	"fmt"
	"net/url"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/daemon/obs"
)

// Defaults of Config.
const (
	DefaultAddressTTL     = 10 * time.Second
	DefaultDrainTimeout   = 30 * time.Second
	DefaultConfigMaxAge   = 4 * time.Second
	DefaultQueueLength    = 512
	DefaultMaxBodyBytes   = 1 << 20
	DefaultMaxAnswerBytes = 16 << 20
	DefaultDeadline       = 30 * time.Second
)

// Config holds an entry's settings.
type Config struct {
	Instance   core.InstanceID
	DataCentre core.DataCentre
	Region     core.Region
	// StoreRegion is the region of the platform's table service; "" means any.
	StoreRegion core.Region
	// HTTPListen is the IP and TCP port for callers and operators.
	HTTPListen string
	// HTTPAdvertise is the address by which callers reach HTTPListen; "" means
	// HTTPListen itself.
	HTTPAdvertise string
	// HTTPTLS serves HTTPS when set.
	HTTPTLS *tls.Config
	// PeerListen is the IP and UDP port for other daemons.
	PeerListen string
	// PeerAdvertise is the address by which other daemons reach PeerListen; ""
	// means PeerListen itself.
	PeerAdvertise string
	// PlatformURL is the platform's table service, object store and list.
	PlatformURL string
	// TLS holds the daemon's certificate and the authority.
	TLS *tls.Config
	// OperatorToken is needed for edits.
	OperatorToken string
	// AddressTTL is how long callers may keep an address answer.
	AddressTTL time.Duration
	// DrainTimeout bounds how long a planned stop waits for work in progress,
	// after AddressTTL has passed.
	DrainTimeout time.Duration
	// ConfigMaxAge bounds the age of the configuration's confirmation.
	ConfigMaxAge time.Duration
	// StalePolicy is "stop" or "serve" past ConfigMaxAge.
	StalePolicy string
	// QueueLength bounds the waiting requests of one team.
	QueueLength int
	// MaxBodyBytes bounds a request's body, in bytes.
	MaxBodyBytes int
	// MaxAnswerBytes bounds a plain answer, in bytes.
	MaxAnswerBytes int
	// Deadline is the deadline of requests whose route and caller give none.
	Deadline time.Duration
	Log      *obs.Logger
}

func (c Config) applyDefaults() Config {
	if c.AddressTTL == 0 {
		c.AddressTTL = DefaultAddressTTL
	}
	if c.DrainTimeout == 0 {
		c.DrainTimeout = DefaultDrainTimeout
	}
	if c.ConfigMaxAge == 0 {
		c.ConfigMaxAge = DefaultConfigMaxAge
	}
	if c.QueueLength == 0 {
		c.QueueLength = DefaultQueueLength
	}
	if c.MaxBodyBytes == 0 {
		c.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if c.MaxAnswerBytes == 0 {
		c.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	if c.Deadline == 0 {
		c.Deadline = DefaultDeadline
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
	}
	for _, name := range names {
		if err := core.CheckName(name.field, name.value); err != nil {
			return err
		}
	}
	parsed, err := url.Parse(c.PlatformURL)
	if err != nil || parsed.Host == "" {
		return fmt.Errorf("platform-url %q: want a URL such as http://127.0.0.1:9000", c.PlatformURL)
	}
	if c.TLS == nil {
		return fmt.Errorf("tls: certificate, key and authority are required")
	}
	if c.OperatorToken == "" {
		return fmt.Errorf("operator-token: required")
	}
	if c.QueueLength < 0 || c.MaxBodyBytes < 0 || c.MaxAnswerBytes < 0 {
		return fmt.Errorf("queue-length, max-body and max-answer must not be negative")
	}
	return nil
}
