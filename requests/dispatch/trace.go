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
	// HandedOver reports that a server continues the request of another one.
	HandedOver(reason HandoverReason, from, to core.InstanceID)
	// HandoverFailed reports an attempt that did not take over the request of another
	// server. The request goes on there, unless that attempt has failed as well.
	HandoverFailed(reason HandoverReason, attempt int, from, to core.InstanceID, err error)
	// Stays reports why no other server is asked to continue the request of a silent one,
	// each reason once in a silence. others is the number of servers that the last pick
	// chose from.
	Stays(server core.InstanceID, reason StayReason, others int)
}

// HandoverReason says why a request should leave its server.
type HandoverReason string

// Reasons of handovers.
const (
	// HandoverPause means that the server pauses to load weights.
	HandoverPause HandoverReason = "pause"
	// HandoverSilence means that the server sends nothing.
	HandoverSilence HandoverReason = "silence"
)

// StayReason says why no other server is asked to continue the request of a silent one.
type StayReason string

// Reasons to stay at a silent server.
const (
	// StayNoServer means that no other server may get the request and has room.
	StayNoServer StayReason = "no-server"
	// StayNoRetry means that the retry budget is spent.
	StayNoRetry StayReason = "no-retry"
	// StayNoAttempt means that the request may have run at MaxAttempts servers.
	StayNoAttempt StayReason = "no-attempt"
	// StayNotResumable means that the answer has begun and cannot be resumed.
	StayNotResumable StayReason = "not-resumable"
	// StayCallerGone means that the answer cannot be written to the caller.
	StayCallerGone StayReason = "caller-gone"
)

// noTrace discards all decisions. It is used for requests without a trace.
type noTrace struct{}

func (noTrace) Placed(int, placement.Candidate, int, int64)                 {}
func (noTrace) Failed(int, core.InstanceID, error, bool)                    {}
func (noTrace) HandedOver(HandoverReason, core.InstanceID, core.InstanceID) {}
func (noTrace) HandoverFailed(HandoverReason, int, core.InstanceID, core.InstanceID, error) {
}
func (noTrace) Stays(core.InstanceID, StayReason, int) {}
