package cost

import (
	"time"

	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/latency"
)

const (
	// pendingPrompts is the number of usual prompts that an engine with requests in all
	// slots reads first, for the decision whether their cost matters.
	pendingPrompts = 3
	// objectiveFraction is the part of the tightest objective that the time to the first
	// event has to exceed then. The rest of the objective is for the network and for
	// prompts longer than usual.
	objectiveFraction = 0.75
)

// Enabled reports whether requests to a service are placed by their cost, and whether they are
// served on time or refused under overload: the timing of its
// engines is known, and a usual request at an engine whose slots are all taken and that has
// some prompts to read gets its first event so late that the tightest objective of the
// streaming routes to the service is at risk.
func Enabled(service *fleet.Service, routes []fleet.Route) bool {
	if service == nil || service.Engine == nil || !service.Engine.Timing.IsKnown() || service.Engine.Timing.MeanAnswerTokens <= 0 || service.Engine.Slots <= 0 {
		return false
	}
	objective := tightestObjective(service.Name, routes)
	return objective > 0 && float64(BusyFirstEvent(service.Engine)) > objectiveFraction*float64(objective)
}

// BusyFirstEvent returns the time to the first event of a usual request at an engine whose
// slots are all taken and that has some usual prompts to read.
func BusyFirstEvent(engine *fleet.Engine) time.Duration {
	return latency.FullEngineFirstEvent(engine.Timing, engine.Slots, pendingPrompts, engine.Timing.MeanPromptTokens)
}

// tightestObjective returns the shortest objective of the streaming routes to a service, or
// 0 if none has an objective.
func tightestObjective(name fleet.ServiceName, routes []fleet.Route) time.Duration {
	tightest := time.Duration(0)
	for i := range routes {
		r := &routes[i]
		if r.Kind != fleet.RouteStreaming || r.LatencyObjective <= 0 || !leadsTo(r, name) {
			continue
		}
		if tightest == 0 || r.LatencyObjective < tightest {
			tightest = r.LatencyObjective
		}
	}
	return tightest
}

func leadsTo(route *fleet.Route, name fleet.ServiceName) bool {
	for _, target := range route.Targets {
		if target.Service == name && target.Weight > 0 {
			return true
		}
	}
	return false
}
