package gateway

import (
	"net/http"
	"strconv"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/direct"
	"currantusher.dev/requests/dispatch"
	"currantusher.dev/requests/placement"
)

const (
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
	freshPart = 0.84
	// placePart is the part of a stream's objective in which it must get its
	// place; the rest is for its prompt to be read and the first event to come.
	placePart = 0.5
	// firstTime and tokenTime are the usual times to the first token and between
	// tokens, as measured on the users' engines at half of their slots.
	firstTime = 130 * time.Millisecond
	tokenTime = 10 * time.Millisecond
	// hintMargin covers five of six estimates, which are off by a factor of 1.6
	// in a third of the requests.
	hintMargin = 1.6
	// maxHint bounds the tokens that an estimate may name.
	maxHint = 1 << 20
	// maxPriority is the least urgent rank that engines know.
	maxPriority = 9
)

// forward dispatches an admitted request and writes its answer.
func (g *Gateway) forward(c *call, w http.ResponseWriter, r *http.Request) {
	exchange := direct.New(g.upstream, g.config.Headers, observer{g}, g.directRequest(c, r), w)
	err := g.dispatcher.Do(r.Context(), g.dispatchRequest(c, exchange, r), exchange)
	c.outcome.attempts = exchange.Attempts()
	c.outcome.server = exchange.LastServer()
	if sent := exchange.FirstSentAt(); !sent.IsZero() {
		c.outcome.wait = sent.Sub(c.began)
	}
	if began := exchange.FirstByteAt(); !began.IsZero() {
		c.outcome.first = began.Sub(c.began)
		c.outcome.status = http.StatusOK
	}
	if err == nil {
		return
	}
	c.outcome.err = err
	switch failure := exchange.Failure(); {
	case !exchange.FirstByteAt().IsZero() || core.CodeOf(err) == core.CodeCancelled:
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
	model := g.model(c, r)
	request := direct.Request{
		ID:                c.id,
		Method:            r.Method,
		Target:            r.RequestURI,
		Host:              r.Host,
		Header:            r.Header,
		Body:              c.body,
		HasBody:           c.hasBody,
		Kind:              c.route.Kind,
		Repeatable:        c.route.IsRepeatable(),
		Resumable:         c.route.Kind == fleet.RouteStreaming && c.route.Resumable,
		Model:             model,
		Priority:          min(max(c.priority(), 0), maxPriority),
		StreamIdleTimeout: max(gapObjectives*c.route.GapObjective, minSilence),
		Version: func(server core.InstanceID) fleet.WeightsVersion {
			return g.expectedVersion(c.service, server, model)
		},
	}
	if c.team != nil {
		request.Team = c.team.Name
	}
	return request
}

// model returns the weights that a request needs, or "" for plain services.
func (g *Gateway) model(c *call, r *http.Request) fleet.Model {
	service := c.view.Table.Service(c.service)
	if service == nil || service.Engine == nil {
		return ""
	}
	return fleet.Model(r.Header.Get(g.config.Headers.Model))
}

// expectedTime estimates how long a stream takes from its caller's estimate of
// its length, or returns 0 when there is none.
func (g *Gateway) expectedTime(c *call, r *http.Request) time.Duration {
	text := r.Header.Get(g.config.Headers.LengthHint)
	if c.route.Kind != fleet.RouteStreaming || text == "" {
		return 0
	}
	tokens, err := strconv.ParseFloat(text, 64)
	if err != nil || tokens < 0 || tokens > maxHint {
		g.requests.WithField("id", c.id).WithField("hint", text).Info("Length hint not read; the length counts as unknown.")
		return 0
	}
	return firstTime + time.Duration(hintMargin*tokens*float64(tokenTime))
}

// closing returns when a server loads weights, for streams that may leave it
// then; nil for others.
func (g *Gateway) closing(c *call, model fleet.Model) func(core.InstanceID) time.Time {
	if model == "" || !c.route.Resumable {
		return nil
	}
	return func(id core.InstanceID) time.Time {
		server := g.follower.View().Server(c.service, id)
		if server == nil {
			return time.Time{}
		}
		return g.closesAt(time.Now(), server, model)
	}
}

// streamPatience is how long callers wait for the first event of a stream.
func streamPatience(route *fleet.Route) time.Duration {
	return max(minPatience, patienceObjectives*route.LatencyObjective, patienceGaps*route.GapObjective)
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
	need := demand{service: c.service, model: g.model(c, r), regions: [][]core.Region{c.route.Regions}}
	var team core.Team
	if c.team != nil {
		team = c.team.Name
		need.regions = append(need.regions, c.team.Regions)
	}
	placer := g.services.placer(pool)
	late := c.isReturning()
	var objective, patience time.Time
	if c.route.Kind == fleet.RouteStreaming {
		patience = c.began.Add(streamPatience(c.route))
	}
	if c.route.Kind == fleet.RouteStreaming && !late {
		objective = c.began.Add(time.Duration(placePart * float64(c.route.LatencyObjective)))
	}
	return dispatch.Request{
		ClosesAt:          g.closing(c, need.model),
		Trace:             callTrace{gateway: g, call: c},
		ExpectedDuration:  g.expectedTime(c, r),
		FirstByteDeadline: patience,
		StartBy:           objective,
		ObjectiveMissed:   late,
		ID:                c.id,
		Team:              team,
		Route:             c.route.Name,
		Pool:              pool,
		Priority:          -c.priority(),
		Deadline:          c.deadline,
		AtMostOnce:        !c.route.IsRepeatable(),
		Unclaimed:         true,
		Stream:            c.route.Kind == fleet.RouteStreaming,
		Sender:            exchange,
		Candidates:        func() []placement.Candidate { return g.candidates(placer, need) },
		MaxAttempts:       c.route.MaxAttempts,
		StartTimeout:      max(startObjectives*c.route.LatencyObjective, minStart),
	}
}
