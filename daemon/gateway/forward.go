package gateway

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/direct"
	"currantusher.dev/requests/dispatch"
	"currantusher.dev/requests/fair"
	"currantusher.dev/requests/latency"
	"currantusher.dev/requests/placement"
)

const (
	// startTimeoutObjectives is the time without the head of a response, in
	// multiples of the route's objective, after which another server is asked as well
	// for the answer to a repeatable request.
	startTimeoutObjectives = 4
	minStartTimeout        = 300 * time.Millisecond
	// streamIdleGaps is the longest gap within a stream, in multiples of the
	// route's gap objective, after which another server is asked to continue it,
	// whatever other streams of its server do.
	streamIdleGaps       = 4
	minStreamIdleTimeout = 1500 * time.Millisecond
	// handoverFraction is the fraction of the time for which callers wait for an event
	// that a handover may take. The rest is for the stream if it goes on at its server.
	handoverFraction = 0.5
	// stallFraction is the fraction of the time for which callers wait for an event after
	// which another server is asked to continue the stream of a stalled one. The rest is
	// for that server's first event.
	stallFraction = 0.5
	// minCallerTimeout, callerTimeoutObjectives and callerTimeoutGaps give the time
	// for which callers wait for an event before they disconnect: the maximum of a
	// fixed time and of multiples of the route's objective and gap objective. The
	// platform's protocol defines these values.
	minCallerTimeout        = 2 * time.Second
	callerTimeoutObjectives = 4
	callerTimeoutGaps       = 8
	// firstTryFraction is the fraction of the route's timeout that is always left
	// when a caller sends a request for the first time; callers' timeouts vary by
	// about a sixth.
	firstTryFraction = 0.84
	// dispatchFraction is the fraction of a stream's objective within which it
	// must be dispatched; the remainder is for reading the prompt and producing
	// the first event. It applies where load is not shed; see isLoadShedding.
	dispatchFraction = 0.5
	// defaultFirstTokenTime and defaultTokenInterval are the times to the first token
	// and between tokens of an engine whose timing is unknown.
	defaultFirstTokenTime = 130 * time.Millisecond
	defaultTokenInterval  = 10 * time.Millisecond
	// forwardingTime is the time for the network and the wait for an engine's pass, in
	// addition to the time to the first token.
	forwardingTime = 50 * time.Millisecond
	// lengthHintMargin covers five of six length hints; in a third of the requests
	// they are off by a factor of 1.6.
	lengthHintMargin = 1.6
	// maxHintTokens stands for all larger length hints.
	maxHintTokens = 1 << 20
	// maxEnginePriority is the least urgent priority that engines accept.
	maxEnginePriority = 9
)

// forward dispatches an admitted request and writes the response.
func (g *Gateway) forward(c *call, w http.ResponseWriter, r *http.Request) {
	request := g.newDirectRequest(c, r)
	c.traits = requestTraits(c, request.Model, r, g.config.Headers.PromptParts)
	if err := g.crashGuard.check(c.traits); err != nil {
		g.refuse(c, w, err)
		return
	}
	g.seekPlace(r.Context(), g.requirementsOf(c, r))
	observer := observer{gateway: g, service: c.service, model: request.Model, requestID: c.id, traits: c.traits, cost: c.cost}
	exchange := direct.New(g.upstream, g.config.Headers, observer, request, w)
	c.predicted = g.expectedDuration(c, r)
	stoppable := g.newStoppable(r.Context(), c, exchange, w)
	defer stoppable.release()
	queueStats := g.services.queue(core.PoolName(c.service)).Stats()
	c.outcome.queue = &queueStats
	err := g.dispatcher.Do(stoppable.ctx, g.newDispatchRequest(c, stoppable, r), stoppable)
	c.outcome.stopCause = stoppable.stopCause()
	if err != nil && c.outcome.stopCause != nil && exchange.FirstByteAt().IsZero() {
		err = stoppedError(err, c.outcome.stopCause)
	}
	c.outcome.attempts = exchange.Attempts()
	c.outcome.server = exchange.LastServer()
	if sentAt := exchange.FirstSentAt(); !sentAt.IsZero() {
		c.outcome.queueTime = sentAt.Sub(c.startedAt)
		if err == nil {
			g.durations.add(c.route.Name, time.Since(sentAt))
			g.observeServiceTime(c, time.Since(sentAt))
		}
	}
	if firstByteAt := exchange.FirstByteAt(); !firstByteAt.IsZero() {
		c.outcome.firstByteTime = firstByteAt.Sub(c.startedAt)
		c.outcome.status = http.StatusOK
	}
	if err == nil {
		return
	}
	c.outcome.err = err
	switch failure := exchange.Failure(); {
	case !exchange.FirstByteAt().IsZero() || core.CodeOf(err) == core.CodeCancelled:
		// Aborting the connection is the only way to signal an incomplete response.
		abortResponse(r)
	case failure != nil && core.CodeOf(err) == core.CodeEngineFailed:
		c.outcome.status = failure.Status
		// A write error means that the caller has disconnected.
		_ = exchange.WriteFailure(failure)
	default:
		g.refuse(c, w, err)
	}
}

func (g *Gateway) newDirectRequest(c *call, r *http.Request) direct.Request {
	model := g.model(c, r)
	request := direct.Request{
		ID:          c.id,
		Method:      r.Method,
		Target:      r.RequestURI,
		Host:        r.Host,
		Header:      r.Header,
		Body:        c.body,
		HasBody:     c.hasBody,
		Kind:        c.route.Kind,
		Repeatable:  c.route.IsRepeatable(),
		MaxAttempts: c.route.MaxAttempts,
		Resumable:   c.route.Kind == fleet.RouteStreaming && c.route.Resumable,
		Model:       model,
		Priority:    min(max(c.priority(), 0), maxEnginePriority),
		Version: func(server core.InstanceID) fleet.WeightsVersion {
			return g.expectedVersion(requirements{service: c.service, model: model, recallable: c.route.IsRepeatable()}, server)
		},
	}
	if c.team != nil {
		request.Team = c.team.Name
	}
	return request
}

// model returns the model that a request needs, or "" for services without an
// engine.
func (g *Gateway) model(c *call, r *http.Request) fleet.Model {
	service := c.view.Table.Service(c.service)
	if service == nil || service.Engine == nil {
		return ""
	}
	return fleet.Model(r.Header.Get(g.config.Headers.Model))
}

// expectedDuration estimates the duration of a stream from the caller's length
// hint, in tokens. It returns 0 without a valid hint.
func (g *Gateway) expectedDuration(c *call, r *http.Request) time.Duration {
	text := r.Header.Get(g.config.Headers.LengthHint)
	if c.route.Kind != fleet.RouteStreaming || text == "" {
		return 0
	}
	tokens, err := strconv.ParseFloat(text, 64)
	// The value of a number out of range is infinite. NaN is not above anything.
	if isLength := tokens >= 0; err != nil && !errors.Is(err, strconv.ErrRange) || !isLength {
		g.requestLog.WithField("id", c.id).WithField("hint", text).Info("Invalid length hint; treating the length as unknown.")
		return 0
	}
	firstToken, interval := usualPace(c.view.Table.Service(c.service))
	return firstToken + time.Duration(lengthHintMargin*min(tokens, maxHintTokens)*float64(interval))
}

// usualPace returns the time to the first token and between tokens at an engine of a
// service with half of its slots in use.
func usualPace(service *fleet.Service) (firstToken, interval time.Duration) {
	if service == nil || service.Engine == nil || !service.Engine.Timing.IsKnown() {
		return defaultFirstTokenTime, defaultTokenInterval
	}
	timing := service.Engine.Timing
	load := latency.Load{ActiveAnswers: service.Engine.Slots / 2, MeanContextTokens: timing.MeanPromptTokens}
	return forwardingTime + latency.TimeToFirstToken(timing, load, timing.MeanPromptTokens), latency.TimePerToken(timing, load)
}

// pauseStarts returns a function that returns when a server pauses in order to
// load weights, for streams that can be resumed at another server; nil for other
// requests.
func (g *Gateway) pauseStarts(c *call, model fleet.Model) func(core.InstanceID) time.Time {
	if model == "" || !c.route.Resumable {
		return nil
	}
	return func(id core.InstanceID) time.Time {
		server := g.follower.View().Server(c.service, id)
		if server == nil {
			return time.Time{}
		}
		return g.pauseStart(time.Now(), server, model)
	}
}

// handoverTimeout returns for how long a handover may hold up a stream.
func handoverTimeout(route *fleet.Route) time.Duration {
	return time.Duration(handoverFraction * float64(callerEventTimeout(route)))
}

// stallTimeout returns the time without an event after which a stream that has begun
// leaves a stalled server.
func stallTimeout(route *fleet.Route) time.Duration {
	return time.Duration(stallFraction * float64(callerEventTimeout(route)))
}

// callerEventTimeout returns how long callers wait for the first event of a stream.
func callerEventTimeout(route *fleet.Route) time.Duration {
	return max(minCallerTimeout, callerTimeoutObjectives*route.LatencyObjective, callerTimeoutGaps*route.GapObjective)
}

// isCallerRetry reports whether so much of the caller's time is spent that an
// earlier try must have missed the objective, for example after a refusal. The
// deadline is the only sign of such a retry in the request.
func (c *call) isCallerRetry() bool {
	left := c.deadline.Sub(c.startedAt)
	return c.route.Timeout > 0 && left < time.Duration(firstTryFraction*float64(c.route.Timeout))
}

// priority returns the team's priority, or the route's if the team has none.
func (c *call) priority() int {
	if c.team != nil && c.team.HasPriority {
		return c.team.Priority
	}
	return c.route.Priority
}

// requirementsOf returns the conditions that a call sets for its backend server.
func (g *Gateway) requirementsOf(c *call, r *http.Request) requirements {
	needs := requirements{service: c.service, model: g.model(c, r), regions: [][]core.Region{c.route.Regions}, recallable: c.route.IsRepeatable(), cost: g.costOf(c, r)}
	if c.team != nil {
		needs.regions = append(needs.regions, c.team.Regions)
	}
	return needs
}

func (g *Gateway) newDispatchRequest(c *call, sender *stoppable, r *http.Request) dispatch.Request {
	pool := core.PoolName(c.service)
	needs := g.requirementsOf(c, r)
	var team core.Team
	if c.team != nil {
		team = c.team.Name
	}
	placer := g.services.placer(pool)
	isRetry := c.isCallerRetry()
	admission := g.admission(c, r, isRetry)
	var firstByteDeadline time.Time
	if c.route.Kind == fleet.RouteStreaming {
		firstByteDeadline = c.startedAt.Add(callerEventTimeout(c.route))
	}
	giveUpWait, giveUpSilence := giveUpAfter(c.route)
	var idleTimeout time.Duration
	var silence func(core.InstanceID) time.Duration
	if c.route.Kind == fleet.RouteStreaming {
		silence = g.silence
		idleTimeout = max(streamIdleGaps*c.route.GapObjective, minStreamIdleTimeout)
	}
	return dispatch.Request{
		CloseCaller:       closeCaller(r),
		CanResume:         sender.CanResume,
		PauseStart:        g.pauseStarts(c, needs.model),
		HandoverTimeout:   handoverTimeout(c.route),
		StallTimeout:      stallTimeout(c.route),
		IdleTimeout:       idleTimeout,
		GiveUpAt:          c.startedAt.Add(giveUpWait),
		GiveUpSilence:     giveUpSilence,
		Silence:           silence,
		Trace:             callTrace{gateway: g, call: c, model: needs.model},
		ExpectedDuration:  c.predicted,
		FirstByteDeadline: firstByteDeadline,
		StartBy:           admission.startBy,
		Cost:              admission.cost,
		ObjectiveMissed:   isRetry,
		ID:                c.id,
		Team:              team,
		Route:             c.route.Name,
		Pool:              pool,
		Priority:          -c.priority(),
		Deadline:          c.deadline,
		AtMostOnce:        !c.route.IsRepeatable(),
		Unclaimed:         true,
		Stream:            c.route.Kind == fleet.RouteStreaming,
		Sender:            sender,
		Candidates:        func() []placement.Candidate { return g.candidates(placer, needs) },
		Closure:           func() *fair.Closure { return g.closure(needs) },
		Barred:            func() error { return g.crashGuard.check(c.traits) },
		MaxAttempts:       c.route.MaxAttempts,
		StartTimeout:      max(startTimeoutObjectives*c.route.LatencyObjective, minStartTimeout),
	}
}
