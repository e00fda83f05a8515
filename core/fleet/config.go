package fleet

import (
	"time"

	"currantusher.dev/core"
)

// RouteKind says whether the requests of a route may run more than once.
type RouteKind uint8

const (
	// RouteSafe: a request may run more than once.
	RouteSafe RouteKind = iota
	// RouteUnsafe: a request may run at most once.
	RouteUnsafe
	// RouteStreaming: a request is answered with a stream of events.
	RouteStreaming
)

// String returns the name of k for logs.
func (k RouteKind) String() string {
	switch k {
	case RouteSafe:
		return "safe"
	case RouteUnsafe:
		return "unsafe"
	case RouteStreaming:
		return "streaming"
	default:
		return "unknown"
	}
}

// ServiceName names a set of interchangeable backend servers.
type ServiceName string

// Model names a model, whose weights have numbered versions.
type Model string

// WeightsVersion is the version number of the weights of a model. 0 means no
// version.
type WeightsVersion int64

// Target is a service of a route and its share of the route's requests.
type Target struct {
	Service ServiceName
	Weight  float64
}

// Route maps the requests of a host and path prefix to services.
type Route struct {
	Name   core.RouteName
	Host   string
	Prefix string
	Kind   RouteKind
	// Timeout bounds the time from a request to the end of its answer.
	Timeout time.Duration
	// LatencyObjective is the longest time to the answer, or to the first
	// event of a stream, that meets the service level objective.
	LatencyObjective time.Duration
	// GapObjective is the longest gap between the events of a stream that
	// meets the service level objective.
	GapObjective time.Duration
	// Priority orders requests; 0 is the most urgent.
	Priority int
	Targets  []Target
	// MaxAttempts bounds how many backend servers a request is sent to.
	MaxAttempts int
	// Public routes require no API key.
	Public bool
	// Resumable streams may be continued by another backend server.
	Resumable bool
	// Regions are the regions that may serve the route; empty means all.
	Regions []core.Region
}

// IsRepeatable reports whether a request of the route may run more than once.
func (r *Route) IsRepeatable() bool {
	return r.Kind == RouteSafe || r.Kind == RouteStreaming && r.Resumable
}

// Engine describes the inference engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots  int
	Models []Model
	// Pieces and PieceBytes are the number and the size of a version's pieces.
	Pieces     int
	PieceBytes int
	// KVCapacityTokens is how many context tokens an engine can hold for all its requests
	// together, 0 if unknown. An engine whose requests exceed it crashes.
	KVCapacityTokens int
	Timing           EngineTiming
}

// EngineTiming holds the parameters that determine the throughput of an
// engine. An engine works in passes: each pass prefills some tokens of the
// waiting prompts, and then decodes StepsPerPass tokens of each running answer.
// A zero parameter is unknown.
type EngineTiming struct {
	// StepTime is the time of one decode step without any answer. Each running
	// answer adds StepTimePerAnswer, and each 1,000 tokens of its context add
	// StepTimePer1KContext.
	StepTime             time.Duration
	StepTimePerAnswer    time.Duration
	StepTimePer1KContext time.Duration
	// PrefillTokensPerSecond is how many prompt tokens are prefilled in a
	// second.
	PrefillTokensPerSecond float64
	// PrefillTimePer1MPairs is the time that a million pairs of a prompt token
	// and an earlier token (the attention cost) add to the prefill.
	PrefillTimePer1MPairs time.Duration
	// PrefillChunkTokens bounds the tokens that one pass prefills.
	PrefillChunkTokens int
	// StepsPerPass is the number of decode steps in a pass.
	StepsPerPass int
	// MeanPromptTokens and MeanAnswerTokens are the mean lengths of prompts and
	// answers.
	MeanPromptTokens, MeanAnswerTokens float64
}

// IsKnown reports whether the parameters that the throughput depends on most
// are set.
func (p EngineTiming) IsKnown() bool {
	return p.StepTime > 0 && p.PrefillTokensPerSecond > 0 && p.MeanPromptTokens > 0
}

// Service is a set of backend servers.
type Service struct {
	Name       ServiceName
	HealthPath string
	// MaxConns is how many connections one backend server accepts from all
	// clients together.
	MaxConns int
	// ColdStart is how long a backend server is cold after its start.
	ColdStart time.Duration
	// ColdPerSecond is how many requests per second a cold backend server
	// handles; 0 means no limit.
	ColdPerSecond float64
	// Engine is nil for plain services.
	Engine *Engine
	// Origin is the address of the origin of weights; empty if the service is
	// not the origin.
	Origin string
	// OriginDataCentre is the data centre of the origin.
	OriginDataCentre core.DataCentre
	// OriginBytesPerSecond is the bandwidth of the origin's link, 0 if unknown.
	OriginBytesPerSecond float64
}

// Limits bounds the size and the duration of what callers send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Team is a group of callers with its own API keys.
type Team struct {
	Name core.Team
	Keys []string
	// Priority replaces the route's priority when HasPriority is set.
	Priority    int
	HasPriority bool
	// Regions are the regions that may serve the team; empty means all.
	Regions []core.Region
}

// Configuration is the complete configuration that operators have set.
type Configuration struct {
	// Version grows with each change, not necessarily by 1.
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Teams holds the teams whose callers may use the routes that are not public.
	Teams []Team
	// IsOpen is set if there is no list of teams at all: requests need no API key then.
	// With an empty list, no API key is valid.
	IsOpen bool
}
