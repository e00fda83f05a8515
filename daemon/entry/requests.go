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
	eventStream     = "text/event-stream"
	// prefixBytes is the length of the prompt's start that placement hashes.
	prefixBytes = 256
)

// serve runs one caller's request and writes the answer or a problem.
func (e *Entry) serve(ctx context.Context, body []byte, params oas.SendRequestParams, w http.ResponseWriter) error {
	defer e.life.Work.Begin()()
	started := time.Now()
	id := uuid.NewString()
	w.Header().Set(headerRequestID, id)
	out := &sink{writer: w, stream: strings.Contains(params.Accept.Or(""), eventStream), started: started}
	request, route, err := e.request(id, started, body, params)
	if err == nil {
		request.Stream = out.stream
		err = e.dispatcher.Do(ctx, request, out)
	}
	e.record(route, params.XTeam, out, started, err)
	if err == nil {
		return nil
	}
	e.log.request.WithField("request", id).WithField("code", core.CodeOf(err).String()).Debug(core.DetailOf(err))
	if out.begun {
		return out.fail(err, id)
	}
	return convert.Problem(err, id)
}

// request checks the caller's parameters against the configuration.
func (e *Entry) request(id string, now time.Time, body []byte, params oas.SendRequestParams) (dispatch.Request, tables.Route, error) {
	var none dispatch.Request
	if err := e.spread.CheckFresh(now); err != nil {
		return none, tables.Route{}, err
	}
	current := e.spread.Current()
	route, ok := current.Route(core.RouteName(params.Route))
	if !ok {
		return none, tables.Route{}, core.NewRefusal(core.CodeUnknownRoute, 0, "route %q", params.Route)
	}
	team, ok := current.Team(core.Team(params.XTeam))
	if !ok {
		return none, route, core.NewRefusal(core.CodeUnknownTeam, 0, "team %q", params.XTeam)
	}
	deadline, err := e.deadline(now, route, params.XDeadlineMillis)
	if err != nil {
		return none, route, err
	}
	key := params.IdempotencyKey.Or("")
	if route.AtMostOnce && key == "" {
		return none, route, core.NewRefusal(core.CodeKeyRequired, 0, "route %q needs an Idempotency-Key", route.Name)
	}
	pool, _ := current.Pool(route.Pool)
	return dispatch.Request{
		ID:            id,
		Team:          team.Name,
		Route:         route.Name,
		Pool:          pool.Name,
		ChooseWeights: func() core.Digest { return e.servedWeights(pool) },
		Revision:      current.Revision(),
		Priority:      params.XPriority.Or(0),
		Deadline:      deadline,
		MaxTokens:     maxTokens(pool, body),
		Prefix:        prefixHash(pool, body),
		AtMostOnce:    route.AtMostOnce,
		Key:           key,
		Path:          route.Path,
		Body:          body,
	}, route, nil
}

func (e *Entry) deadline(now time.Time, route tables.Route, asked oas.OptInt64) (time.Time, error) {
	limit := e.config.Deadline
	if route.DeadlineMillis > 0 {
		limit = time.Duration(route.DeadlineMillis) * time.Millisecond
	}
	millis, ok := asked.Get()
	if !ok {
		return now.Add(limit), nil
	}
	wanted := time.Duration(millis) * time.Millisecond
	if wanted <= 0 {
		return now, core.NewRefusal(core.CodeInvalidField, 0, "X-Deadline-Millis %d must be above 0", millis)
	}
	if wanted > limit {
		return now, core.NewRefusal(core.CodeDeadlineTooLate, 0, "X-Deadline-Millis %d is over the route's %d", millis, limit.Milliseconds())
	}
	return now.Add(wanted), nil
}

// servedWeights chooses the version for a request: the pinned one once any
// agent serves it with free capacity, else the version with the most capacity.
func (e *Entry) servedWeights(pool tables.Pool) core.Digest {
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
	return chooseVersion(pool.Weights, capacity, rand.Float64())
}

// chooseVersion picks a version with a probability in proportion to its
// capacity. draw is in [0, 1).
func chooseVersion(pinned core.Digest, capacity map[core.Digest]int, draw float64) core.Digest {
	total := 0
	for _, share := range capacity {
		total += share
	}
	left := int(draw * float64(total))
	for _, version := range slices.SortedFunc(maps.Keys(capacity), compareDigests) {
		left -= capacity[version]
		if left < 0 {
			return version
		}
	}
	return pinned
}

func compareDigests(a, b core.Digest) int { return bytes.Compare(a[:], b[:]) }

type promptBody struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
}

func maxTokens(pool tables.Pool, body []byte) int {
	if pool.Kind != tables.PoolEngine {
		return 0
	}
	var prompt promptBody
	if json.Unmarshal(body, &prompt) != nil {
		return 0
	}
	return max(0, prompt.MaxTokens)
}

func prefixHash(pool tables.Pool, body []byte) uint64 {
	if pool.Kind != tables.PoolEngine {
		return 0
	}
	var prompt promptBody
	if json.Unmarshal(body, &prompt) != nil {
		return 0
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(prompt.Prompt[:min(prefixBytes, len(prompt.Prompt))]))
	return hash.Sum64()
}

// record counts a finished request for metrics and for the burn report.
func (e *Entry) record(route tables.Route, team string, out *sink, started time.Time, err error) {
	metrics.GetOrRegisterCounter("requests.code."+core.CodeOf(err).Info().Name, e.registry).Inc(1)
	if route.Name == "" || callerFault(err) {
		return
	}
	latency := time.Since(started)
	if out.begun {
		latency = out.firstByte.Sub(started)
	}
	obs.Histogram(e.registry, "requests.first_byte_millis").Update(latency.Milliseconds())
	objective := time.Duration(route.ObjectiveMillis) * time.Millisecond
	e.burn.Record(time.Now(), route.Name, core.Team(team), objective, route.ObjectiveRatio, latency, err == nil)
}

// callerFault reports whether the error is the caller's own, which spends no
// error budget.
func callerFault(err error) bool {
	if err == nil {
		return false
	}
	code := core.CodeOf(err)
	return code == core.CodeCancelled || code.Info().HTTPStatus < http.StatusInternalServerError && code != core.CodeQueueFull
}
