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
	// DefaultAddressTTL keeps directory answers cheap and lets a leaving entry
	// lose its callers within its time to stop.
	DefaultAddressTTL = 2 * time.Second
	// DefaultQueueLength bounds the waiting requests of one team and service.
	DefaultQueueLength = 64
	// DefaultMaxAnswerBytes bounds a plain answer, which is held until it is whole.
	DefaultMaxAnswerBytes = 4 << 20
	// DefaultDeadline bounds requests that name no deadline on routes without
	// a timeout.
	DefaultDeadline = 30 * time.Second
)

// Config holds the settings of a Gateway.
type Config struct {
	Node    nodefile.Node
	Headers fleet.HeaderNames
	// AddressTTL is how long callers keep a directory answer.
	AddressTTL     time.Duration
	QueueLength    int
	MaxAnswerBytes int
	Deadline       time.Duration
	// MetricsAddr serves /metrics; empty serves none.
	MetricsAddr string
	Log         *obs.Logger
	// Reload returns the settings file's new content.
	Reload func() (nodefile.Node, error)
}

// Validate checks the settings.
func (c *Config) Validate() error {
	n := c.Node
	if n.CallerAddr == "" {
		return fmt.Errorf("the settings file names no address for callers")
	}
	if n.StoreAddr == "" {
		return fmt.Errorf("the settings file names no store")
	}
	if c.AddressTTL <= 0 || c.Deadline <= 0 {
		return fmt.Errorf("address-ttl and deadline must be above 0")
	}
	if c.QueueLength <= 0 || c.MaxAnswerBytes <= 0 {
		return fmt.Errorf("queue-length and max-answer must be above 0")
	}
	if limit := n.Bounds.AddressTTL; limit > 0 && c.AddressTTL > limit {
		return fmt.Errorf("address-ttl %s is over the platform's %s", c.AddressTTL, limit)
	}
	return nil
}
