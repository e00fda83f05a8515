package gateway

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/tables/watch"
)

const (
	// notReadyRetry is suggested while no configuration is known.
	notReadyRetry = 500 * time.Millisecond
	// maxIDLength bounds a request's id, which goes into every log line.
	maxIDLength = 256
)

// call is one request of a caller on its way through this entry.
type call struct {
	id      string
	began   time.Time
	view    *watch.View
	route   *fleet.Route
	team    *fleet.Team
	service fleet.ServiceName
	body    []byte
	hasBody bool
	// deadline is when the answer must be out.
	deadline time.Time
	outcome  outcome
}

// outcome is what a call's log line says of its end.
type outcome struct {
	status   int
	err      error
	attempts int
	server   core.InstanceID
	// wait is the time until the first attempt, and first until the caller got
	// the first byte.
	wait  time.Duration
	first time.Duration
	retry time.Duration
}

// serve takes one caller's request.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	c := &call{began: time.Now(), view: g.follower.View(), id: r.Header.Get(g.config.Headers.RequestID)}
	g.lastRequest.Store(c.began.UnixNano())
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	defer g.record(c)
	if err := g.admit(c, w, r); err != nil {
		g.refuse(c, w, err)
		return
	}
	g.forward(c, w, r)
}

// admit checks a request against the configuration and reads its body.
func (g *Gateway) admit(c *call, w http.ResponseWriter, r *http.Request) error {
	if c.view.Table == nil {
		return core.NewRefusal(core.CodeNotReady, notReadyRetry, "no configuration is known yet")
	}
	if err := g.checkForm(c, r); err != nil {
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
	return g.chooseService(c)
}

func (g *Gateway) checkForm(c *call, r *http.Request) error {
	if !strings.HasPrefix(r.RequestURI, "/") {
		return core.NewRefusal(core.CodeInvalidField, 0, "the target is no path")
	}
	if isAmbiguous(r) {
		return core.NewRefusal(core.CodeInvalidField, 0, "the body has a length and is chunked")
	}
	ids := r.Header.Values(g.config.Headers.RequestID)
	if len(ids) != 1 || c.id == "" || len(c.id) > maxIDLength {
		return core.NewRefusal(core.CodeInvalidField, 0, "want one %s, got %d", g.config.Headers.RequestID, len(ids))
	}
	return nil
}

func (g *Gateway) authenticate(c *call, r *http.Request) error {
	if !c.view.Table.NeedsKey(c.route) {
		return nil
	}
	keys := r.Header.Values(g.config.Headers.APIKey)
	if len(keys) != 1 {
		return core.NewRefusal(core.CodeUnauthorized, 0, "want one key, got %d", len(keys))
	}
	if c.team = c.view.Table.Team(keys[0]); c.team == nil {
		return core.NewRefusal(core.CodeUnauthorized, 0, "the key belongs to no team")
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
		return c.began.Add(limit), nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 {
		return time.Time{}, core.NewRefusal(core.CodeInvalidField, 0, "%s %q is no number above 0", g.config.Headers.Deadline, text)
	}
	return c.began.Add(min(limit, time.Duration(ms)*time.Millisecond)), nil
}

func (g *Gateway) readBody(c *call, w http.ResponseWriter, r *http.Request) error {
	c.hasBody = r.ContentLength != 0
	if !c.hasBody {
		// A length of 0 that was given is handed on.
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
	if err := controller.SetReadDeadline(c.deadline); err != nil {
		return core.Wrap(err, core.CodeInternal, core.ExecutionNotRun, "no bound for the body")
	}
	body, err := io.ReadAll(reader)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return core.NewRefusal(core.CodeBodyTooLarge, 0, "the body is over %d bytes", limit)
	case err != nil:
		return core.Wrap(err, core.CodeCancelled, core.ExecutionNotRun, "the body did not arrive whole")
	}
	c.body = body
	if err := controller.SetReadDeadline(time.Time{}); err != nil {
		return core.Wrap(err, core.CodeInternal, core.ExecutionNotRun, "no bound for the body")
	}
	return nil
}

// chooseService draws one of the route's services by their shares.
func (g *Gateway) chooseService(c *call) error {
	total := 0.0
	for _, target := range c.route.Targets {
		total += target.Weight
	}
	left := rand.Float64() * total
	for _, target := range c.route.Targets {
		left -= target.Weight
		if left < 0 {
			c.service = target.Service
			return nil
		}
	}
	return core.NewRefusal(core.CodeNoBackend, notReadyRetry, "route %q has no service", c.route.Name)
}
