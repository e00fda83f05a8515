// Package netdial returns dialers with keep-alive probes that detect an
// unresponsive peer.
package netdial

import (
	"net"
	"time"
)

// With these values keep-alive probes close the connection to a peer that has
// lost power or no longer responds after about three seconds. A second is the
// shortest period that the operating system accepts.
const (
	keepAlivePeriod = time.Second
	keepAliveCount  = 2
)

// New returns a dialer that waits at most timeout for a connection.
func New(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAlivePeriod, Interval: keepAlivePeriod, Count: keepAliveCount,
		},
	}
}
