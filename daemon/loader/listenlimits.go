package loader

import (
	"time"

	"currantusher.dev/core/netlimit"
)

const (
	// reservedFiles is the number of descriptors kept for other open files.
	reservedFiles = 200
	// peerConnFraction is the fraction of the remaining descriptors for connections from
	// other agents; the engine, the origin, the store and calls to agents use the rest.
	peerConnFraction = 0.35
	// defaultPeerConns applies when the descriptor limit is unknown. It is more than the
	// 600 agents of the target size.
	defaultPeerConns = 646
	minPeerConns     = 64
	metricsConns     = 32

	// headBytes is several times the length of other daemons' heads.
	headBytes = 4 << 10
	// transferBytes is many times the pieces that are sent at once (3) and the manifests.
	transferBytes = 4 << 20

	headerTimeout = 3 * time.Second
	// idleTimeout bounds the idle time of connections from other agents. They send requests
	// within a second of each other while they download a version, and are idle for seconds
	// between versions.
	idleTimeout = 15 * time.Second
	// writeTimeout is above the time to send one piece, which staging bounds at 2 s.
	writeTimeout = 5 * time.Second
	// answerTimeout covers the wait for a piece (1 s), the queue of the uplink, which the
	// receiver leaves after 1.8 s, and the transfer.
	answerTimeout = time.Minute
)

// peerLimits returns the limits of the listener for other agents, whose requests have no
// body.
func (l *Loader) peerLimits() netlimit.Limits {
	limits := metricsLimits()
	limits.Name, limits.Conns, limits.TransferBytes = "peers", defaultPeerConns, transferBytes
	if files := l.config.Node.MaxOpenFiles; files > reservedFiles {
		limits.Conns = max(minPeerConns, int(peerConnFraction*float64(files-reservedFiles)))
	}
	return limits
}

func metricsLimits() netlimit.Limits {
	return netlimit.Limits{
		Name: "metrics", Conns: metricsConns, HeadBytes: headBytes, TransferBytes: transferBytes,
		HeadTime: headerTimeout, IdleTime: idleTimeout, WriteTime: writeTimeout, AnswerTime: answerTimeout,
	}
}
