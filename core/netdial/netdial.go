// Package netdial makes dialers whose connections notice a silent peer.
package netdial

import (
	"net"
	"time"
)

// Keep-alive probes end a connection to a peer that has lost power, or a
// connection that went silent, in about three seconds. A second is the
// shortest period that the operating system takes.
const (
	keepAlivePeriod = time.Second
	keepAliveCount  = 2
)

// New returns a dialer that waits up to timeout for a connection.
func New(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAlivePeriod, Interval: keepAlivePeriod, Count: keepAliveCount,
		},
	}
}
