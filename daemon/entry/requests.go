package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"currantusher.dev/api/oas"
	"currantusher.dev/core"
	"currantusher.dev/daemon/convert"
	"currantusher.dev/daemon/obs"
	"currantusher.dev/requests/dispatch"
	"currantusher.dev/tables"
)

const (
	headerRequestID = "X-Request-Id"
	headerWeights   = "X-Weights"
	eventStreamType = "text/event-stream"
	// promptPrefixBytes is the length of the prompt prefix whose hash placement
	// uses.
	promptPrefixBytes = 256
)

// serveRequest runs one caller's request and writes its answer. It returns the
// problem if the answer has not started, and aborts the connection otherwise.
func (e *Entry) serveRequest(ctx context.Context, body []byte, params oas.SendRequestParams, w http.ResponseWriter) error {
	defer e.lifecycle.Work.Begin()()
	started := time.Now()
	id := uuid.NewString()
	w.Header().Set(headerRequestID, id)
	out := &responseSink{writer: w, stream: strings.Contains(params.Accept.Or(""), eventStreamType), started: started}
	request, route, err := e.newRequest(id, started, body, params)
	if err == nil {
		request.Stream = out.stream
		err = e.dispatcher.Do(ctx, request, out)
	}
	e.recordResult(route, params.XTeam, out, started, err)
	if err == nil {
		return nil
	}
	e.log.request.WithField("request", id).WithField("code", core.CodeOf(err).String()).Debug(core.DetailOf(err))
	if out.headerSent {
		return out.abort(err, id)
	}
	return convert.ProblemFromError(err, id)
}

// newRequest validates the caller's parameters against the configuration and
// returns the request for the dispatcher. With an error it returns the route if
// that is known.
func (e *Entry) newRequest(id string, now time.Time, body []byte, params oas.SendRequestParams) (dispatch.Request, tables.Route, error) {
	var none dispatch.Request
	if err := e.spread.CheckFresh(now); err != nil {
		return none, tables.Route{}, err
	}
	current := e.spread.Current()
	route, ok := current.Route(core.RouteName(params.Route))
	if !ok {
		return none, tables.Route{}, core.NewRefusal(core.CodeUnknownRoute, 0, "unknown route %q", params.Route)
	}
	team, ok := current.Team(core.Team(params.XTeam))
	if !ok {
		return none, route, core.NewRefusal(core.CodeUnknownTeam, 0, "unknown team %q", params.XTeam)
	}
	deadline, err := e.deadline(now, route, params.XDeadlineMillis)
	if err != nil {
		return none, route, err
	}
	key := params.IdempotencyKey.Or("")
	if route.AtMostOnce && key == "" {
		return none, route, core.NewRefusal(core.CodeKeyRequired, 0, "route %q requires the header Idempotency-Key", route.Name)
	}
	pool, _ := current.Pool(route.Pool)
	return dispatch.Request{
		ID:            id,
		Team:          team.Name,
		Route:         route.Name,
		Pool:          pool.Name,
		ChooseWeights: func() core.Digest { return e.chooseWeights(pool) },
		Revision:      current.Revision(),
		Priority:      params.XPriority.Or(0),
		Deadline:      deadline,
		MaxTokens:     maxTokens(pool, body),
		Prefix:        promptPrefixHash(pool, body),
		AtMostOnce:    route.AtMostOnce,
		Key:           key,
		Path:          route.Path,
		Body:          body,
	}, route, nil
}

func (e *Entry) deadline(now time.Time, route tables.Route, requestedMillis oas.OptInt64) (time.Time, error) {
	limit := e.config.Deadline
	if route.DeadlineMillis > 0 {
		limit = time.Duration(route.DeadlineMillis) * time.Millisecond
	}
	millis, ok := requestedMillis.Get()
	if !ok {
		return now.Add(limit), nil
	}
	requested := time.Duration(millis) * time.Millisecond
	if requested <= 0 {
		return now, core.NewRefusal(core.CodeInvalidField, 0, "X-Deadline-Millis is %d, must be above 0", millis)
	}
	if requested > limit {
		return now, core.NewRefusal(core.CodeDeadlineTooLate, 0, "X-Deadline-Millis is %d, must be at most %d on this route", millis, limit.Milliseconds())
	}
	return now.Add(requested), nil
}

// chooseWeights returns the weights version for a request: one that the pool's
// agents serve, chosen at random in proportion to capacity, so that requests move
// to the pinned version during a rollout as agents activate it.
func (e *Entry) chooseWeights(pool tables.Pool) core.Digest {
	if pool.Kind != tables.PoolEngine {
		return core.Digest{}
	}
	capacity := map[core.Digest]int{}
	for _, candidate := range e.candidates(pool.Name) {
		if candidate.DataCentreOut || candidate.Leaving || candidate.Weights.IsZero() {
			continue
		}
		capacity[candidate.Weights] += candidate.Limit
	}
	return pickWeightsByCapacity(pool.Weights, capacity, rand.Float64())
}

// pickWeightsByCapacity picks a version with a probability in proportion to its
// capacity, or pinned if no version has capacity. random is in [0, 1).
func pickWeightsByCapacity(pinned core.Digest, capacity map[core.Digest]int, random float64) core.Digest {
	total := 0
	for _, limit := range capacity {
		total += limit
	}
	remaining := int(random * float64(total))
	for _, version := range slices.SortedFunc(maps.Keys(capacity), compareDigests) {
		remaining -= capacity[version]
		if remaining < 0 {
			return version
		}
	}
	return pinned
}

func compareDigests(a, b core.Digest) int { return bytes.Compare(a[:], b[:]) }

type promptRequest struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
}

func maxTokens(pool tables.Pool, body []byte) int {
	if pool.Kind != tables.PoolEngine {
		return 0
	}
	var prompt promptRequest
	if json.Unmarshal(body, &prompt) != nil {
		return 0
	}
	return max(0, prompt.MaxTokens)
}

func promptPrefixHash(pool tables.Pool, body []byte) uint64 {
	if pool.Kind != tables.PoolEngine {
		return 0
	}
	var prompt promptRequest
	if json.Unmarshal(body, &prompt) != nil {
		return 0
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(prompt.Prompt[:min(promptPrefixBytes, len(prompt.Prompt))]))
	return hash.Sum64()
}

// recordResult counts a finished request in the metrics and in the burn report.
func (e *Entry) recordResult(route tables.Route, team string, out *responseSink, started time.Time, err error) {
	metrics.GetOrRegisterCounter("requests.code."+core.CodeOf(err).Info().Name, e.registry).Inc(1)
	if route.Name == "" || isCallerError(err) {
		return
	}
	latency := time.Since(started)
	if out.headerSent {
		latency = out.firstByte.Sub(started)
	}
	obs.Histogram(e.registry, "requests.first_byte_millis").Update(latency.Milliseconds())
	objective := time.Duration(route.ObjectiveMillis) * time.Millisecond
	e.burn.Record(time.Now(), route.Name, core.Team(team), objective, route.ObjectiveRatio, latency, err == nil)
}

// isCallerError reports whether the caller caused the error. Such errors do not
// count against the error budget.
func isCallerError(err error) bool {
	if err == nil {
		return false
	}
	code := core.CodeOf(err)
	return code == core.CodeCancelled || code.Info().HTTPStatus < http.StatusInternalServerError && code != core.CodeQueueFull
}
