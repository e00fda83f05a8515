package dispatch

import (
	"currantusher.dev/core"
	"currantusher.dev/requests/placement"
)

// Trace is told of the decisions on one request, in their order.
type Trace interface {
	// Placed reports the server that an attempt goes to, and among how many it
	// was chosen. Attempts count from 1; sent is how much of the answer the
	// caller has.
	Placed(attempt int, server placement.Candidate, among int, sent int64)
	// Failed reports an attempt that gave no whole answer. retries says that
	// another one follows.
	Failed(attempt int, server core.InstanceID, err error, retries bool)
	// Moved reports a stream that goes on elsewhere because its server closes.
	Moved(from, to core.InstanceID)
}

// noTrace is the trace of requests that nobody follows.
type noTrace struct{}

func (noTrace) Placed(int, placement.Candidate, int, int64) {}
func (noTrace) Failed(int, core.InstanceID, error, bool)    {}
func (noTrace) Moved(core.InstanceID, core.InstanceID)      {}
