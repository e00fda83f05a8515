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
	"currantusher.dev/requests/direct"
	"currantusher.dev/requests/dispatch"
	"currantusher.dev/requests/placement"
	"currantusher.dev/tables/watch"
)

const (
	// notReadyRetry is suggested while no configuration is known.
	notReadyRetry = 500 * time.Millisecond
	// startObjectives is the time, in objectives of the route, in which a
	// repeatable request must get a first sign before it is tried elsewhere.
	startObjectives = 4
	minStart        = 300 * time.Millisecond
	// gapObjectives bounds a stream's pause, in the route's objectives, before
	// it goes on elsewhere. Callers leave after a little more than two seconds.
	gapObjectives = 4
	minSilence    = 1500 * time.Millisecond
	// minPatience, patienceObjectives and patienceGaps are how long callers
	// wait for an event before they leave: the longest of a fixed time and of
	// multiples of the route's objectives. The platform's protocol states them.
	minPatience        = 2 * time.Second
	patienceObjectives = 4
	patienceGaps       = 8
	// freshPart is the part of a route's timeout that a caller has at least
	// when it comes first: callers' patience differs by about a sixth.
	freshPart   = 0.84
	maxPriority = 9
	// placePart is the part of a stream's objective in which it must get its
	// place; the rest is for its prompt to be read and the first event to come.
	placePart   = 0.5
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
		return core.Refuse(core.CodeNotReady, notReadyRetry, "no configuration is known yet")
	}
	if err := g.checkForm(c, r); err != nil {
		return err
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if c.route = c.view.Table.Route(r.Host, path); c.route == nil {
		return core.Refuse(core.CodeUnknownRoute, 0, "no route for host %q and path %q", r.Host, path)
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
		return core.Refuse(core.CodeInvalidField, 0, "the target is no path")
	}
	if isAmbiguous(r) {
		return core.Refuse(core.CodeInvalidField, 0, "the body has a length and is chunked")
	}
	ids := r.Header.Values(g.config.Headers.RequestID)
	if len(ids) != 1 || c.id == "" || len(c.id) > maxIDLength {
		return core.Refuse(core.CodeInvalidField, 0, "want one %s, got %d", g.config.Headers.RequestID, len(ids))
	}
	return nil
}

func (g *Gateway) authenticate(c *call, r *http.Request) error {
	if !c.view.Table.NeedsKey(c.route) {
		return nil
	}
	keys := r.Header.Values(g.config.Headers.Key)
	if len(keys) != 1 {
		return core.Refuse(core.CodeUnauthorized, 0, "want one key, got %d", len(keys))
	}
	if c.team = c.view.Table.Team(keys[0]); c.team == nil {
		return core.Refuse(core.CodeUnauthorized, 0, "the key belongs to no team")
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
		return time.Time{}, core.Refuse(core.CodeInvalidField, 0, "%s %q is no number above 0", g.config.Headers.Deadline, text)
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
		return core.Refuse(core.CodeBodyTooLarge, 0, "the body has %d bytes, the limit is %d", r.ContentLength, limit)
	}
	reader := r.Body
	if limit > 0 {
		reader = http.MaxBytesReader(w, r.Body, limit)
	}
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(c.deadline); err != nil {
		return core.Wrap(err, core.CodeInternal, core.WorkNotRun, "no bound for the body")
	}
	body, err := io.ReadAll(reader)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return core.Refuse(core.CodeBodyTooLarge, 0, "the body is over %d bytes", limit)
	case err != nil:
		return core.Wrap(err, core.CodeCancelled, core.WorkNotRun, "the body did not arrive whole")
	}
	c.body = body
	if err := controller.SetReadDeadline(time.Time{}); err != nil {
		return core.Wrap(err, core.CodeInternal, core.WorkNotRun, "no bound for the body")
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
	return core.Refuse(core.CodeNoBackend, notReadyRetry, "route %q has no service", c.route.Name)
}

// forward dispatches an admitted request and writes its answer.
func (g *Gateway) forward(c *call, w http.ResponseWriter, r *http.Request) {
	exchange := direct.New(g.upstream, g.config.Headers, observer{g}, g.directRequest(c, r), w)
	err := g.dispatcher.Do(r.Context(), g.dispatchRequest(c, exchange, r), exchange)
	c.outcome.attempts = exchange.Attempts()
	c.outcome.server = exchange.Server()
	if sent := exchange.Sent(); !sent.IsZero() {
		c.outcome.wait = sent.Sub(c.began)
	}
	if began := exchange.Began(); !began.IsZero() {
		c.outcome.first = began.Sub(c.began)
		c.outcome.status = http.StatusOK
	}
	if err == nil {
		return
	}
	c.outcome.err = err
	switch failure := exchange.Failure(); {
	case !exchange.Began().IsZero() || core.CodeOf(err) == core.CodeCancelled:
		// A cut connection is the only way to say that the answer is not whole.
		panic(http.ErrAbortHandler)
	case failure != nil && core.CodeOf(err) == core.CodeEngineFailed:
		c.outcome.status = failure.Status
		// A failed write concerns this caller only, which is gone.
		_ = exchange.WriteFailure(failure)
	default:
		g.refuse(c, w, err)
	}
}

func (g *Gateway) directRequest(c *call, r *http.Request) direct.Request {
	names := g.config.Headers
	model := fleet.Model("")
	if service := c.view.Table.Service(c.service); service != nil && service.Engine != nil {
		model = fleet.Model(r.Header.Get(names.Model))
	}
	request := direct.Request{
		ID:         c.id,
		Method:     r.Method,
		Target:     r.RequestURI,
		Host:       r.Host,
		Header:     r.Header,
		Body:       c.body,
		HasBody:    c.hasBody,
		Kind:       c.route.Kind,
		Repeatable: c.route.IsRepeatable(),
		Resumable:  c.route.Kind == fleet.Streaming && c.route.Resumable,
		Model:      model,
		Priority:   min(max(c.priority(), 0), maxPriority),
		Silence:    max(gapObjectives*c.route.GapObjective, minSilence),
		Version: func(server core.InstanceID) fleet.WeightsVersion {
			return g.expectedVersion(c.service, server, model)
		},
	}
	if c.team != nil {
		request.Team = c.team.Name
	}
	return request
}

// streamPatience is how long callers wait for the first event of a stream.
func streamPatience(route *fleet.Route) time.Duration {
	return max(minPatience, patienceObjectives*route.Objective, patienceGaps*route.GapObjective)
}

// isReturning reports whether the caller has spent so much of its time that its
// request missed the objective elsewhere, as one does that comes back after a
// refusal. Nothing else tells such requests apart.
func (c *call) isReturning() bool {
	left := c.deadline.Sub(c.began)
	return c.route.Timeout > 0 && left < time.Duration(freshPart*float64(c.route.Timeout))
}

// priority is the team's, or else the route's.
func (c *call) priority() int {
	if c.team != nil && c.team.HasPriority {
		return c.team.Priority
	}
	return c.route.Priority
}

func (g *Gateway) dispatchRequest(c *call, exchange *direct.Exchange, r *http.Request) dispatch.Request {
	pool := core.PoolName(c.service)
	need := demand{service: c.service, regions: [][]core.Region{c.route.Regions}}
	if service := c.view.Table.Service(c.service); service != nil && service.Engine != nil {
		need.model = fleet.Model(r.Header.Get(g.config.Headers.Model))
	}
	var team core.Team
	if c.team != nil {
		team = c.team.Name
		need.regions = append(need.regions, c.team.Regions)
	}
	placer := g.services.placer(pool)
	late := c.isReturning()
	var objective, patience time.Time
	if c.route.Kind == fleet.Streaming {
		patience = c.began.Add(streamPatience(c.route))
	}
	if c.route.Kind == fleet.Streaming && !late {
		objective = c.began.Add(time.Duration(placePart * float64(c.route.Objective)))
	}
	return dispatch.Request{
		Patience:     patience,
		Objective:    objective,
		Late:         late,
		ID:           c.id,
		Team:         team,
		Route:        c.route.Name,
		Pool:         pool,
		Priority:     -c.priority(),
		Deadline:     c.deadline,
		AtMostOnce:   !c.route.IsRepeatable(),
		Unclaimed:    true,
		Stream:       c.route.Kind == fleet.Streaming,
		Sender:       exchange,
		Candidates:   func() []placement.Candidate { return g.candidates(placer, need) },
		MaxAttempts:  c.route.MaxAttempts,
		StartTimeout: max(startObjectives*c.route.Objective, minStart),
	}
}
