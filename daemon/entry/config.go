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
	// DefaultMaxConns leaves half of the usual 8,192 descriptors to connections to agents.
	DefaultMaxConns = 4096
	// DefaultTransferMemory holds the longest queue of one team with bodies of the largest
	// size: 512 requests of 1 MiB.
	DefaultTransferMemory = 512 << 20
)

// Config holds the settings of an Entry.
type Config struct {
	Instance   core.InstanceID
	DataCentre core.DataCentre
	Region     core.Region
	// StoreRegion is the region of the platform's table service; "" means any
	// region.
	StoreRegion core.Region
	// HTTPListen is the IP address and TCP port for callers and operators.
	HTTPListen string
	// HTTPAdvertise is the address at which callers reach HTTPListen; "" means the
	// address of HTTPListen.
	HTTPAdvertise string
	// HTTPTLS enables HTTPS; nil means plain HTTP.
	HTTPTLS *tls.Config
	// PeerListen is the IP address and UDP port for connections of other daemons.
	PeerListen string
	// PeerAdvertise is the address at which other daemons reach PeerListen; ""
	// means the address of PeerListen.
	PeerAdvertise string
	// PlatformURL is the base URL of the platform's table service, object store
	// and instance list.
	PlatformURL string
	// TLS holds the daemon's certificate and the certificate authority.
	TLS *tls.Config
	// OperatorToken is the bearer token that operators' calls, such as edits, must
	// carry.
	OperatorToken string
	// AddressTTL is how long callers may cache a response with entry addresses.
	AddressTTL time.Duration
	// DrainTimeout bounds the wait for work in progress at a planned stop. The
	// wait begins when AddressTTL has passed.
	DrainTimeout time.Duration
	// ConfigMaxAge is the time since the last confirmation of the configuration
	// after which it is stale.
	ConfigMaxAge time.Duration
	// StalePolicy applies when the configuration is stale: "stop" starts no new
	// work, "serve" goes on with the last configuration.
	StalePolicy string
	// QueueLength bounds the queued requests of one team at one pool.
	QueueLength int
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int
	// MaxAnswerBytes bounds a plain answer, which is buffered until it is verified.
	MaxAnswerBytes int
	// Deadline is the time limit of requests whose route sets none. Callers may
	// only shorten it.
	Deadline time.Duration
	// MaxConns bounds the connections of callers and operators.
	MaxConns int
	// TransferMemory bounds the bytes of the bodies of all requests in progress, and
	// likewise of the answers being written.
	TransferMemory int
	Log            *obs.Logger
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
	if c.MaxConns == 0 {
		c.MaxConns = DefaultMaxConns
	}
	if c.TransferMemory == 0 {
		c.TransferMemory = DefaultTransferMemory
	}
	if c.Log == nil {
		c.Log = obs.DiscardLogger()
	}
	return c
}

// Validate checks the settings. The error names the setting and, where it helps,
// its value.
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
	if c.MaxConns < 1 {
		return fmt.Errorf("max-conns %d: must be at least 1", c.MaxConns)
	}
	if c.TransferMemory < c.MaxBodyBytes {
		return fmt.Errorf("transfer-memory %d: must not be below max-body, %d", c.TransferMemory, c.MaxBodyBytes)
	}
	return nil
}
