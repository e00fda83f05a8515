package gateway

import (
	"math"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/cost"
	"currantusher.dev/requests/fair"
	"currantusher.dev/requests/latency"
	"currantusher.dev/tables/watch"
)

const (
	// startUnreadPrompts is the number of usual prompts that a full engine is expected to
	// read before a new one. It sets the latest start of a request; see
	// docs/design/overload.md for the figures.
	startUnreadPrompts = 2
	// usualCost is the cost of a request of usual length, in the unit of fair.Request.Cost.
	usualCost = 100
)

// isLoadShedding reports whether the requests of a service are served on time or refused. It
// depends only on the configuration; see cost.Enabled.
func (g *Gateway) isLoadShedding(name fleet.ServiceName) bool {
	table := g.follower.View().Table
	return table != nil && g.costs.get(table, name).settings.Load().enabled
}

// admissionInputs are what the queue learns of a request beyond its deadline.
type admissionInputs struct {
	// startBy is the latest start that meets the objective; zero means none.
	startBy time.Time
	// cost is the amount charged to the team; 0 means that of a usual request.
	cost int
}

// admission returns what the queue learns of a call.
func (g *Gateway) admission(c *call, r *http.Request, isRetry bool) admissionInputs {
	var inputs admissionInputs
	hasObjective := c.route.Kind == fleet.RouteStreaming && !isRetry
	request := g.costOf(c, r)
	if request == nil {
		if hasObjective {
			inputs.startBy = c.startedAt.Add(time.Duration(dispatchFraction * float64(c.route.LatencyObjective)))
		}
		return inputs
	}
	engine := request.engine
	if hasObjective {
		first := latency.FullEngineFirstEvent(engine.Timing, engine.Slots, startUnreadPrompts, request.estimate.PromptTokens)
		inputs.startBy = c.startedAt.Add(c.route.LatencyObjective - first)
	}
	inputs.cost = chargeOf(engine, request.estimate)
	return inputs
}

// chargeOf returns the engine time of a request relative to that of a usual one.
func chargeOf(engine *fleet.Engine, e cost.Estimate) int {
	usual := latency.EngineTime(engine.Timing, engine.Slots, engine.Timing.MeanPromptTokens, engine.Timing.MeanAnswerTokens)
	if usual <= 0 {
		return usualCost
	}
	charge := usualCost * float64(latency.EngineTime(engine.Timing, engine.Slots, e.PromptTokens, e.AnswerTokens)) / float64(usual)
	return max(int(math.Round(charge)), 1)
}

// slotShare returns how many of a server's free slots this entry may use.
func (g *Gateway) slotShare(server *watch.Server, region core.Region, free int, shedsLoad bool) int {
	division := g.slotDivision.Load()
	if shedsLoad {
		return division.EvenShare(server.ID, region, slotsOf(server), free)
	}
	return division.share(server.ID, region, free)
}

// addQueueInputs adds what the queue decided on when a call arrived.
func addQueueInputs(fields logrus.Fields, stats *fair.Stats) {
	if stats == nil {
		return
	}
	fields["queue_waiting"] = stats.Waiting
	fields["queue_running"] = stats.Running
	fields["queue_limit"] = stats.Limit
	fields["queue_late_limit"] = stats.LateLimit
	fields["queue_late_running"] = stats.RunningLate
	fields["queue_mean_run_ms"] = stats.MeanRunTime.Milliseconds()
	if stats.ShedsLoad {
		fields["queue_on_time_rate"] = math.Round(stats.OnTimeRate*10) / 10
	}
}

// recordQueue updates the metrics of a service's queue.
func recordQueue(registry metrics.Registry, service core.PoolName, stats fair.Stats) {
	gauge := func(name string, value int64) {
		metrics.GetOrRegisterGauge("queue."+name+"."+string(service), registry).Update(value)
	}
	gauge("waiting", int64(stats.Waiting))
	gauge("running", int64(stats.Running))
	gauge("limit", int64(stats.Limit))
	gauge("late_limit", int64(stats.LateLimit))
	gauge("late_running", int64(stats.RunningLate))
	gauge("late_held_back", stats.HeldBack)
	for reason, count := range stats.Refusals {
		gauge("refused."+string(reason), count)
	}
}
