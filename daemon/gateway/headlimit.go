package gateway

import (
	"context"
	"math"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// defaultHeaderBytes applies until a configuration is in force.
	defaultHeaderBytes = 16 << 10
	// headSlopBytes is what a head may have beyond the bound, as in net/http.
	headSlopBytes = 4 << 10
	// serverHeaderBytes is the bound of the HTTP server itself, which cannot change and is
	// above each one of a configuration.
	serverHeaderBytes = math.MaxInt32
	// keptHeadBytes is the longest buffer for heads that a connection keeps while idle.
	keptHeadBytes = 16 << 10
	// refusalLinger is how long a connection stays open after the refusal of a head.
	refusalLinger = 500 * time.Millisecond
	// copiesOfAHead is how often a head is in memory: as it was read and decoded.
	copiesOfAHead = 2
)

// maxHeaderBytes returns the bound on heads that is in force, in bytes.
func (g *Gateway) maxHeaderBytes() int {
	if maxBytes := g.limits().HeaderBytes; maxBytes > 0 {
		return maxBytes
	}
	return defaultHeaderBytes
}

// watchHeadMemory logs what each bound on heads that comes into force needs, until ctx ends.
func (g *Gateway) watchHeadMemory(ctx context.Context) error {
	memory := headMemory{maxConns: g.conns.maxConns, log: g.log}
	return runPeriodically(ctx, connCheckPeriod, func() {
		if g.follower.View().Table != nil {
			memory.check(g.maxHeaderBytes(), debug.SetMemoryLimit(-1))
		}
	})
}

// headMemory watches whether heads of the greatest length on all connections fit in the
// memory of the process.
type headMemory struct {
	maxConns int
	log      *logrus.Entry
	// checked is the bound on heads for which this was last checked, in bytes.
	checked int
}

// check logs by how much heads of maxBytes exceed the memory limit, once for each bound.
func (m *headMemory) check(maxBytes int, limit int64) {
	if maxBytes == m.checked {
		return
	}
	m.checked = maxBytes
	required := float64(m.maxConns) * copiesOfAHead * float64(maxBytes+headSlopBytes)
	fields := logrus.Fields{"max_header_bytes": maxBytes, "connections": m.maxConns, "required_bytes": int64(required), "limit_bytes": limit}
	if excess := required - float64(limit); excess > 0 {
		fields["excess_bytes"] = int64(excess)
		m.log.WithFields(fields).Warn("A new bound on heads is in force; heads of that length on all connections exceed the memory limit.")
		return
	}
	m.log.WithFields(fields).Info("A new bound on heads is in force.")
}
