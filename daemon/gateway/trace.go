package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"currantusher.dev/core"
	"currantusher.dev/requests/placement"
)

// callTrace logs the decisions on one call, with what they were based on.
type callTrace struct {
	gateway *Gateway
	call    *call
}

// Placed implements dispatch.Trace.
func (t callTrace) Placed(attempt int, server placement.Candidate, among int, sent int64) {
	now := time.Now()
	fields := logrus.Fields{
		"id": t.call.id, "attempt": attempt, "server": server.ID, "addr": server.Addr, "data_centre": server.DataCentre,
		"among": among, "running": server.Running, "limit": server.Limit, "room": server.FreeSlots,
		"loads_age_ms": now.Sub(server.ReportedAt).Milliseconds(), "revision": t.gateway.follower.View().ServerRevision,
		"after_ms": now.Sub(t.call.began).Milliseconds(),
	}
	if !server.PauseStart.IsZero() {
		fields["closes_in_ms"] = server.PauseStart.Sub(now).Milliseconds()
	}
	if sent > 0 {
		fields["resumed_after_bytes"] = sent
	}
	t.gateway.requests.WithFields(fields).Info("Request placed.")
}

// Failed implements dispatch.Trace.
func (t callTrace) Failed(attempt int, server core.InstanceID, err error, retries bool) {
	t.gateway.requests.WithFields(logrus.Fields{
		"id": t.call.id, "attempt": attempt, "server": server, "code": core.CodeOf(err).String(),
		"work": core.ExecutionOf(err).String(), "reason": core.DetailWithCausesOf(err), "retries": retries,
		"after_ms": time.Since(t.call.began).Milliseconds(),
	}).Warn("Attempt failed.")
}

// Moved implements dispatch.Trace.
func (t callTrace) Moved(from, to core.InstanceID) {
	t.gateway.requests.WithFields(logrus.Fields{
		"id": t.call.id, "server": from, "to": to, "after_ms": time.Since(t.call.began).Milliseconds(),
	}).Info("Stream leaves a server that loads weights.")
}
