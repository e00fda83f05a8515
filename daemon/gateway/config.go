package gateway

import (
	"fmt"
	"time"

	"currantusher.dev/core/fleet"
	"currantusher.dev/daemon/obs"
	"currantusher.dev/platform/nodefile"
)

// Defaults of Config.
const (
	// DefaultAddressTTL limits the rate of directory requests, and is short
	// enough that callers move away from a leaving entry before it stops.
	DefaultAddressTTL = 2 * time.Second
	// DefaultQueueLength bounds the queued requests of one team at one service.
	DefaultQueueLength = 64
	// DefaultMaxAnswerBytes bounds a non-streaming response, which is
	// buffered until it is complete.
	DefaultMaxAnswerBytes = 4 << 20
	// DefaultDeadline bounds requests without a deadline header on routes
	// without a timeout.
	DefaultDeadline = 30 * time.Second
)

// Config holds the settings of a Gateway.
type Config struct {
	Node    nodefile.Node
	Headers fleet.HeaderNames
	// AddressTTL is how long callers may cache a directory response.
	AddressTTL     time.Duration
	QueueLength    int
	MaxAnswerBytes int
	Deadline       time.Duration
	// MetricsAddr is the listen address of /metrics; empty disables it.
	MetricsAddr string
	Log         *obs.Logger
	// Reload reads the settings file again; nil disables reloading.
	Reload func() (nodefile.Node, error)
}

// Validate checks the settings.
func (c *Config) Validate() error {
	n := c.Node
	if n.CallerAddr == "" {
		return fmt.Errorf("the settings file sets no listen address for callers")
	}
	if n.StoreAddr == "" {
		return fmt.Errorf("the settings file sets no store address")
	}
	if c.AddressTTL <= 0 || c.Deadline <= 0 {
		return fmt.Errorf("address-ttl and deadline must be above 0")
	}
	if c.QueueLength <= 0 || c.MaxAnswerBytes <= 0 {
		return fmt.Errorf("queue-length and max-answer must be above 0")
	}
	if limit := n.Bounds.AddressTTL; limit > 0 && c.AddressTTL > limit {
		return fmt.Errorf("address-ttl %s exceeds the platform's maximum of %s", c.AddressTTL, limit)
	}
	return nil
}
