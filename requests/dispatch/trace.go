package dispatch

import (
	"currantusher.dev/core"
	"currantusher.dev/requests/placement"
)

// Trace receives the decisions on one request, in order.
type Trace interface {
	// Placed reports the server that an attempt is sent to and the number of
	// candidates. Attempts count from 1; sentBytes is the length of the answer
	// sent to the caller so far.
	Placed(attempt int, server placement.Candidate, candidates int, sentBytes int64)
	// Failed reports an attempt without a complete answer. willRetry means that
	// another attempt follows.
	Failed(attempt int, server core.InstanceID, err error, willRetry bool)
	// HandedOver reports that a server continues the stream of one that pauses.
	HandedOver(from, to core.InstanceID)
	// HandoverFailed reports an attempt that did not take over the stream of a server
	// that pauses. The stream goes on there.
	HandoverFailed(attempt int, from, to core.InstanceID, err error)
}

// noTrace discards all decisions. It is used for requests without a trace.
type noTrace struct{}

func (noTrace) Placed(int, placement.Candidate, int, int64)                 {}
func (noTrace) Failed(int, core.InstanceID, error, bool)                    {}
func (noTrace) HandedOver(core.InstanceID, core.InstanceID)                 {}
func (noTrace) HandoverFailed(int, core.InstanceID, core.InstanceID, error) {}
