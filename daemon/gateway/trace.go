package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/dispatch"
	"currantusher.dev/requests/placement"
)

// callTrace implements dispatch.Trace. It logs the dispatch decisions for one
// call with the inputs that led to them.
type callTrace struct {
	gateway *Gateway
	call    *call
	// model is the model that the call needs, or "".
	model fleet.Model
}

// Placed implements dispatch.Trace.
func (t callTrace) Placed(attempt int, server placement.Candidate, candidates int, sentBytes int64) {
	now := time.Now()
	fields := logrus.Fields{
		"id": t.call.id, "attempt": attempt, "server": server.ID, "addr": server.Addr, "data_centre": server.DataCentre,
		"among": candidates, "running": server.Running, "limit": server.Limit, "room": server.FreeSlots,
		"loads_age_ms": now.Sub(server.ReportedAt).Milliseconds(), "revision": t.gateway.follower.View().ServersPosition.Revision,
		"after_ms": now.Sub(t.call.startedAt).Milliseconds(),
	}
	if !server.PauseStart.IsZero() {
		fields["closes_in_ms"] = server.PauseStart.Sub(now).Milliseconds()
	}
	if closed := t.gateway.closedServers(now, t.call.service); len(closed) > 0 {
		fields["closed"] = closed
	}
	if sentBytes > 0 {
		fields["resumed_after_bytes"] = sentBytes
	}
	t.addKnownWeights(fields, server.ID)
	t.call.cost.addTo(fields, server.Prediction)
	t.gateway.requestLog.WithFields(fields).Info("Request placed.")
}

// addKnownWeights adds the version of the weights that a server has according to each
// source, 0 if the source has none. A server refuses a request that expects another one.
func (t callTrace) addKnownWeights(fields logrus.Fields, id core.InstanceID) {
	server := t.gateway.follower.View().Server(t.call.service, id)
	if t.model == "" || server == nil {
		return
	}
	fields["listed_version"] = server.Weights[t.model]
	fields["answered_version"] = t.gateway.observations.version(t.gateway.clock.Now(), lifetimeOf(server), t.model)
	fields["announced_version"] = t.gateway.pauses.LoadedVersion(server.Addr, t.model, server.StartedAt)
}

// Failed implements dispatch.Trace.
func (t callTrace) Failed(attempt int, server core.InstanceID, err error, willRetry bool) {
	fields := logrus.Fields{
		"id": t.call.id, "attempt": attempt, "server": server, "code": core.CodeOf(err).String(),
		"work": core.ExecutionOf(err).String(), "reason": core.DetailWithCausesOf(err), "retries": willRetry,
		"after_ms": time.Since(t.call.startedAt).Milliseconds(),
	}
	if core.ExecutionOf(err) == core.ExecutionUnknown {
		addTraits(fields, t.call.traits)
	}
	t.gateway.requestLog.WithFields(fields).Warn("Attempt failed.")
}

// HandedOver implements dispatch.Trace.
func (t callTrace) HandedOver(reason dispatch.HandoverReason, from, to core.InstanceID) {
	message := "Moving a stream away from a server that is about to load weights."
	if reason == dispatch.HandoverSilence {
		message = "Another server continues the request of a silent one."
	}
	t.gateway.requestLog.WithFields(logrus.Fields{
		"id": t.call.id, "server": from, "to": to, "after_ms": time.Since(t.call.startedAt).Milliseconds(),
	}).Info(message)
}

// HandoverFailed implements dispatch.Trace.
func (t callTrace) HandoverFailed(reason dispatch.HandoverReason, attempt int, from, to core.InstanceID, err error) {
	t.gateway.requestLog.WithFields(logrus.Fields{
		"id": t.call.id, "attempt": attempt, "server": from, "to": to, "because": string(reason), "code": core.CodeOf(err).String(),
		"work": core.ExecutionOf(err).String(), "reason": core.DetailWithCausesOf(err),
		"after_ms": time.Since(t.call.startedAt).Milliseconds(),
	}).Info("Handover failed; the request stays at its server.")
}

// Stays implements dispatch.Trace.
func (t callTrace) Stays(server core.InstanceID, reason dispatch.StayReason, others int) {
	retries := t.gateway.services.placer(core.PoolName(t.call.service)).Retries()
	t.gateway.requestLog.WithFields(logrus.Fields{
		"id": t.call.id, "server": server, "because": string(reason), "among": others, "retries_left": retries,
		"quiet_ms": t.gateway.silence(server).Milliseconds(), "after_ms": time.Since(t.call.startedAt).Milliseconds(),
	}).Info("No other server is asked; the request stays at its server.")
}
