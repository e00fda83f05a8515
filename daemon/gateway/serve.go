package gateway

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/core/membudget"
	"currantusher.dev/requests/fair"
	"currantusher.dev/tables/watch"
)

const (
	// notReadyRetryAfter is the Retry-After while no configuration is in force.
	notReadyRetryAfter = 500 * time.Millisecond
	// maxIDLength bounds a request's id in bytes; every log line contains it.
	maxIDLength = 256
	// closedWhileRead is the reason why a request is not passed on whose connection was
	// closed as idle while it arrived.
	closedWhileRead = "the connection was closed while the request arrived"
)

// call is the state of one caller request.
type call struct {
	id        string
	startedAt time.Time
	view      *watch.View
	route     *fleet.Route
	team      *fleet.Team
	service   fleet.ServiceName
	body      []byte
	hasBody   bool
	// memory is charged for the request until it ends, and bodyRead ends its body.
	memory   *membudget.Account
	bodyRead *bodyRead
	// traits are what other requests may share with this one: the shared parts of its prompt
	// and, last, the whole request.
	traits []fleet.Trait
	// deadline is when the response must be complete.
	deadline time.Time
	// predicted is the expected duration; 0 means unknown.
	predicted time.Duration
	// cost is what the request costs an engine, or nil if it is not placed by its cost.
	cost    *requestCost
	outcome outcome
}

// outcome is the result of a call, for its log line and metrics.
type outcome struct {
	status   int
	err      error
	attempts int
	server   core.InstanceID
	// queueTime is the time until the first attempt, and firstByteTime until the
	// caller got the first byte, both from the start of the call.
	queueTime     time.Duration
	firstByteTime time.Duration
	retryAfter    time.Duration
	// queue is the state of the service's queue when the call reached it, or nil.
	queue *fair.Stats
	// stopCause is why a leaving entry stopped the call, or nil.
	stopCause error
}

// serve handles one caller request.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	endHead(r)
	c := &call{startedAt: time.Now(), view: g.follower.View(), id: r.Header.Get(g.config.Headers.RequestID)}
	g.lastRequestNanos.Store(c.startedAt.UnixNano())
	g.requestRate.Record(c.startedAt)
	g.closeIfLeaving(w)
	defer g.recordCall(c)
	setBusy(r, true)
	defer setBusy(r, false)
	c.memory = g.callerMemory.budget.Open(func() { c.bodyRead.evict() })
	c.memory.SetBusy(true)
	defer c.memory.Release()
	if err := g.admit(c, w, r); err != nil {
		g.refuse(c, w, err)
		return
	}
	g.forward(c, w, r)
}

// admit validates a request against the configuration, authenticates it, reads
// its body and selects its service.
func (g *Gateway) admit(c *call, w http.ResponseWriter, r *http.Request) error {
	if err := limitUnreadBody(w, r); err != nil {
		return err
	}
	if !c.memory.Grow(c.startedAt, requestBytes) {
		g.callerMemory.refusedRequests.Add(1)
		return errMemoryFull()
	}
	if c.view.Table == nil {
		return core.NewRefusal(core.CodeNotReady, notReadyRetryAfter, "no configuration is in force yet")
	}
	if err := g.validateRequest(c, r); err != nil {
		return err
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if c.route = c.view.Table.Route(r.Host, path); c.route == nil {
		return core.NewRefusal(core.CodeUnknownRoute, 0, "no route for host %q and path %q", r.Host, path)
	}
	if err := g.authenticate(c, r); err != nil {
		return err
	}
	deadline, err := g.deadline(c, r)
	if err != nil {
		return err
	}
	c.deadline = deadline
	if err := g.readBody(c, w, r); err != nil {
		return err
	}
	if isConnClosed(r) {
		return core.NewRefusal(core.CodeCancelled, 0, "%s", closedWhileRead)
	}
	return g.chooseService(c)
}

func (g *Gateway) validateRequest(c *call, r *http.Request) error {
	if !strings.HasPrefix(r.RequestURI, "/") {
		return core.NewRefusal(core.CodeInvalidField, 0, "the request target is not an absolute path")
	}
	if hasAmbiguousFraming(r) {
		return core.NewRefusal(core.CodeInvalidField, 0, "the request has both a Content-Length and a chunked body")
	}
	ids := r.Header.Values(g.config.Headers.RequestID)
	if len(ids) != 1 || c.id == "" || len(c.id) > maxIDLength {
		return core.NewRefusal(core.CodeInvalidField, 0, "want exactly one %s header, not empty and not too long; got %d", g.config.Headers.RequestID, len(ids))
	}
	return nil
}

func (g *Gateway) authenticate(c *call, r *http.Request) error {
	if !c.view.Table.NeedsKey(c.route) {
		return nil
	}
	keys := r.Header.Values(g.config.Headers.APIKey)
	if len(keys) != 1 {
		return core.NewRefusal(core.CodeUnauthorized, 0, "want one API key, got %d", len(keys))
	}
	if c.team = c.view.Table.Team(keys[0]); c.team == nil {
		return core.NewRefusal(core.CodeUnauthorized, 0, "the API key belongs to no team")
	}
	return nil
}

func (g *Gateway) deadline(c *call, r *http.Request) (time.Time, error) {
	limit := g.config.Deadline
	if c.route.Timeout > 0 {
		limit = c.route.Timeout
	}
	text := r.Header.Get(g.config.Headers.Deadline)
	if text == "" {
		return c.startedAt.Add(limit), nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 {
		return time.Time{}, core.NewRefusal(core.CodeInvalidField, 0, "%s %q is not a positive integer", g.config.Headers.Deadline, text)
	}
	return c.startedAt.Add(min(limit, time.Duration(ms)*time.Millisecond)), nil
}

func (g *Gateway) readBody(c *call, w http.ResponseWriter, r *http.Request) error {
	c.hasBody = r.ContentLength != 0
	if !c.hasBody {
		// An explicit Content-Length of 0 is forwarded.
		c.hasBody = r.Header.Get("Content-Length") != ""
		return nil
	}
	limit := c.view.Table.Config.Limits.BodyBytes
	if limit > 0 && r.ContentLength > limit {
		return core.NewRefusal(core.CodeBodyTooLarge, 0, "the body has %d bytes, the limit is %d", r.ContentLength, limit)
	}
	reader := r.Body
	if limit > 0 {
		reader = http.MaxBytesReader(w, r.Body, limit)
	}
	controller := http.NewResponseController(w)
	c.bodyRead = &bodyRead{controller: controller, account: c.memory, startedAt: time.Now(), deadline: c.deadline}
	setBody(r, c.bodyRead)
	c.predicted = g.expectedDuration(c, r)
	stop := g.atLastStart(c, c.bodyRead.end)
	c.memory.SetBusy(false)
	body, err := c.bodyRead.readAll(reader, r.ContentLength)
	c.memory.SetBusy(true)
	setBody(r, nil)
	isLate := stop()
	if err := g.bodyError(c, err, isLate, limit); err != nil {
		// The HTTP server does not wait for the rest of the body. An error means that the
		// connection is closed.
		_ = controller.SetReadDeadline(time.Now())
		w.Header().Set("Connection", "close")
		return err
	}
	c.body = body
	if err := controller.SetReadDeadline(time.Time{}); err != nil {
		return core.Wrap(err, core.CodeInternal, core.ExecutionNotRun, "set read deadline for the body")
	}
	return nil
}

// bodyError returns the refusal of a request whose body was read with err, or nil.
func (g *Gateway) bodyError(c *call, err error, isLate bool, limit int64) error {
	isEvicted := c.bodyRead.finish() || c.memory.IsClosed()
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return core.NewRefusal(core.CodeBodyTooLarge, 0, "the body exceeds the limit of %d bytes", limit)
	case isLate:
		c.outcome.stopCause = errTooLate
		return core.NewRefusal(core.CodeDraining, 0, "%v", errTooLate)
	case isEvicted || core.CodeOf(err) == core.CodeMemoryFull:
		g.callerMemory.refusedRequests.Add(1)
		return errMemoryFull()
	case errors.Is(err, os.ErrDeadlineExceeded):
		g.callerMemory.bodyTimeouts.Add(1)
		return core.NewRefusal(core.CodeBodyStalled, 0, "the body made no progress or did not arrive before the deadline")
	case err != nil:
		return core.Wrap(err, core.CodeCancelled, core.ExecutionNotRun, "the caller aborted the body")
	}
	return nil
}

// chooseService picks one of the route's services at random, by weight.
func (g *Gateway) chooseService(c *call) error {
	totalWeight := 0.0
	for _, target := range c.route.Targets {
		totalWeight += target.Weight
	}
	remaining := rand.Float64() * totalWeight
	for _, target := range c.route.Targets {
		remaining -= target.Weight
		if remaining < 0 {
			c.service = target.Service
			return nil
		}
	}
	return core.NewRefusal(core.CodeNoBackend, notReadyRetryAfter, "route %q has no service", c.route.Name)
}
