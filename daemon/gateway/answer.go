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
	// minRetryAfter keeps callers from coming back at once when no time is
	// known.
	minRetryAfter = 100 * time.Millisecond
)

// refuse answers a request that has no answer of a backend server.
func (g *Gateway) refuse(c *call, w http.ResponseWriter, err error) {
	c.outcome.err = err
	if core.CodeOf(err) == core.CodeCancelled {
		// The caller is gone or broke off its own body.
		panic(http.ErrAbortHandler)
	}
	status := statusOf(err)
	c.outcome.status = status
	header := w.Header()
	header.Set("Content-Length", "0")
	if status == http.StatusServiceUnavailable {
		c.outcome.retry = max(core.RetryAfterOf(err), minRetryAfter)
		header.Set("Retry-After", strconv.FormatFloat(c.outcome.retry.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(status)
}

// statusOf returns the status for a request without a backend server's answer.
// 503 says that it did not run and never will.
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

// record writes the log line and counts of a finished request.
func (g *Gateway) record(c *call) {
	whole := time.Since(c.began)
	fields := logrus.Fields{
		"id": c.id, "status": c.outcome.status, "code": core.CodeOf(c.outcome.err).String(),
		"attempts": c.outcome.attempts, "ms": whole.Milliseconds(), "revision": c.view.OperatorRevision,
		"store_age_ms": g.follower.Contact().Milliseconds(),
	}
	if c.route != nil {
		fields["route"] = c.route.Name
		fields["deadline_ms"] = c.deadline.Sub(c.began).Milliseconds()
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
		fields["wait_ms"] = c.outcome.wait.Milliseconds()
		g.histogram("requests.queue_millis").Update(c.outcome.wait.Milliseconds())
	}
	if c.outcome.first > 0 {
		fields["first_ms"] = c.outcome.first.Milliseconds()
		g.histogram("requests.first_byte_millis").Update(c.outcome.first.Milliseconds())
	}
	if c.outcome.retry > 0 {
		fields["retry_after_ms"] = c.outcome.retry.Milliseconds()
	}
	if c.outcome.err != nil {
		fields["reason"] = core.DetailWithCausesOf(c.outcome.err)
	}
	level := logrus.InfoLevel
	if c.outcome.err != nil {
		// Failures and refusals are kept when lines must be dropped.
		level = logrus.WarnLevel
	}
	g.requests.WithFields(fields).Log(level, "Request ended.")
	metrics.GetOrRegisterCounter("requests.code."+core.CodeOf(c.outcome.err).Info().Name, g.registry).Inc(1)
	g.histogram("requests.whole_millis").Update(whole.Milliseconds())
}

func (g *Gateway) histogram(name string) metrics.Histogram {
	return obs.Histogram(g.registry, name)
}
