package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"currantusher.dev/core"
	"currantusher.dev/daemon/obs"
)

const (
	// minRetryAfter is the least Retry-After of a refusal, so that callers do
	// not retry immediately when no recovery time is known.
	minRetryAfter = 100 * time.Millisecond
	// minLoggedQueueTime is the time until the first attempt from which a request counts
	// as queued, so that its log line contains the queue's inputs.
	minLoggedQueueTime = 10 * time.Millisecond
)

// refuse responds to a request for which no backend server response exists.
func (g *Gateway) refuse(c *call, w http.ResponseWriter, err error) {
	c.outcome.err = err
	if core.CodeOf(err) == core.CodeCancelled {
		// The caller disconnected or aborted its request body.
		panic(http.ErrAbortHandler)
	}
	status := statusOf(err)
	c.outcome.status = status
	g.closeIfLeaving(w)
	header := w.Header()
	header.Set("Content-Length", "0")
	if status == http.StatusServiceUnavailable {
		c.outcome.retryAfter = max(core.RetryAfterOf(err), minRetryAfter)
		header.Set("Retry-After", retryAfterText(c.outcome.retryAfter))
	}
	w.WriteHeader(status)
}

// retryAfterText returns the value of a Retry-After header, in seconds.
func retryAfterText(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

// statusOf returns the HTTP status for a request without a backend server's
// response. 503 guarantees that the request did not run and never will.
func statusOf(err error) int {
	switch core.CodeOf(err) {
	case core.CodeInvalidField:
		return http.StatusBadRequest
	case core.CodeUnauthorized:
		return http.StatusUnauthorized
	case core.CodeUnknownRoute:
		return http.StatusNotFound
	case core.CodeBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case core.CodeBodyStalled:
		return http.StatusRequestTimeout
	}
	switch {
	case core.ExecutionOf(err) == core.ExecutionNotRun:
		return http.StatusServiceUnavailable
	case core.CodeOf(err) == core.CodeTimeout:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// recordCall logs a finished request and updates its metrics.
func (g *Gateway) recordCall(c *call) {
	duration := time.Since(c.startedAt)
	fields := logrus.Fields{
		"id": c.id, "status": c.outcome.status, "code": core.CodeOf(c.outcome.err).String(),
		"attempts": c.outcome.attempts, "ms": duration.Milliseconds(), "revision": c.view.OperatorPosition.Revision,
		"store_age_ms": g.follower.SinceLastReply().Milliseconds(),
	}
	if c.route != nil {
		fields["route"] = c.route.Name
		fields["deadline_ms"] = c.deadline.Sub(c.startedAt).Milliseconds()
		fields["service"] = c.service
		fields["config"] = c.view.Table.Config.Version
	}
	if c.team != nil {
		fields["team"] = c.team.Name
	}
	if c.outcome.server != "" {
		fields["server"] = c.outcome.server
	}
	if c.outcome.attempts > 0 {
		fields["wait_ms"] = c.outcome.queueTime.Milliseconds()
		g.histogram("requests.queue_millis").Update(c.outcome.queueTime.Milliseconds())
	}
	if c.outcome.firstByteTime > 0 {
		fields["first_ms"] = c.outcome.firstByteTime.Milliseconds()
		g.histogram("requests.first_byte_millis").Update(c.outcome.firstByteTime.Milliseconds())
	}
	if c.outcome.retryAfter > 0 {
		fields["retry_after_ms"] = c.outcome.retryAfter.Milliseconds()
	}
	if c.outcome.err != nil || c.outcome.queueTime >= minLoggedQueueTime {
		addQueueInputs(fields, c.outcome.queue)
	}
	if g.schedule.Load() != nil {
		fields["leave"] = c.outcome.leaveDecision()
		metrics.GetOrRegisterCounter("leave."+c.outcome.leaveDecision(), g.registry).Inc(1)
	}
	if isQuarantined(c.outcome.err) {
		addTraits(fields, c.traits)
	}
	if c.outcome.err != nil {
		fields["reason"] = core.DetailWithCausesOf(c.outcome.err)
	}
	if core.CodeOf(c.outcome.err) == core.CodeStreamBroken {
		cause := core.CauseCodeOf(c.outcome.err).Info().Name
		fields["cause"] = cause
		metrics.GetOrRegisterCounter("streams.broken."+cause, g.registry).Inc(1)
	}
	level := logrus.InfoLevel
	if c.outcome.err != nil {
		// Warnings survive when the logger drops lines under load.
		level = logrus.WarnLevel
	}
	g.requestLog.WithFields(fields).Log(level, "Request ended.")
	metrics.GetOrRegisterCounter("requests.code."+core.CodeOf(c.outcome.err).Info().Name, g.registry).Inc(1)
	g.histogram("requests.whole_millis").Update(duration.Milliseconds())
}

func (g *Gateway) histogram(name string) metrics.Histogram {
	return obs.Histogram(g.registry, name)
}
