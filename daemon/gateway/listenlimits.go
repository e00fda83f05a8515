package gateway

import (
	"time"

	"currantusher.dev/core/netlimit"
	"currantusher.dev/tables/versionages"
)

const (
	// peerConnFraction and directoryConnFraction are the fractions of the descriptors beside
	// the reserved ones for connections from other daemons and for the directory. With
	// callerConnFraction they leave 13% and the reserved ones for servers, the store and
	// probes.
	peerConnFraction      = 0.15
	directoryConnFraction = 0.12
	// minPeerConns allows for the relay calls and exchanges of the daemons of one data
	// centre, which are 136 at 350 entries and 600 agents in 7 data centres.
	minPeerConns      = 64
	minDirectoryConns = 32
	// probeConns is enough for the platform's readiness checks and the readers of metrics,
	// which are a few a second.
	probeConns = 32

	// directoryHeadBytes is the operators' limit for callers' heads (maxHeaderBytes). Other
	// daemons' heads are under 1 KiB.
	directoryHeadBytes = 16 << 10
	daemonHeadBytes    = 4 << 10
	// peerTransferBytes holds an answer of 30 KB for each of the 136 daemons of a data
	// centre. Each request has its own copy of the answer.
	peerTransferBytes  = 4 << 20
	probeTransferBytes = 2 << 20

	listenerHeadTime  = 3 * time.Second
	listenerBodyTime  = 3 * time.Second
	listenerIdleTime  = 30 * time.Second
	listenerWriteTime = 5 * time.Second
	// listenerAnswerTime is twice the longest wait of a feed (30 s). Clients of relays give
	// up after 4 s.
	listenerAnswerTime = time.Minute
)

// listenerLimits returns the limits of a listener other than that for callers' requests,
// which callerConns bounds.
func (g *Gateway) listenerLimits(addr string) (netlimit.Limits, bool) {
	n := g.config.Node
	limits := netlimit.Limits{
		HeadBytes: daemonHeadBytes, HeadTime: listenerHeadTime, BodyTime: listenerBodyTime, IdleTime: listenerIdleTime,
		WriteTime: listenerWriteTime, AnswerTime: listenerAnswerTime, Conns: probeConns, TransferBytes: probeTransferBytes,
	}
	switch addr {
	case n.ReadyAddr:
		limits.Name = "readiness"
	case g.config.MetricsAddr:
		limits.Name = "metrics"
	case n.DirectoryAddr:
		limits.Name, limits.HeadBytes = "directory", directoryHeadBytes
		limits.Conns = max(minDirectoryConns, connShare(n.MaxOpenFiles, directoryConnFraction))
	case n.PeerAddr:
		limits.Name, limits.BodyBytes, limits.TransferBytes = "peers", versionages.MaxBodyBytes, peerTransferBytes
		limits.Conns = max(minPeerConns, connShare(n.MaxOpenFiles, peerConnFraction))
	default:
		return netlimit.Limits{}, false
	}
	return limits, true
}

// connShare returns a fraction of the descriptors beside the reserved ones, for a descriptor
// limit or for defaultMaxConns callers.
func connShare(maxFiles int, fraction float64) int {
	return int(fraction / callerConnFraction * float64(maxCallerConns(maxFiles)))
}
