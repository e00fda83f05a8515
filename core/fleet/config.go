package fleet

import (
	"time"

	"currantusher.dev/core"
)

// RouteKind says what may be repeated of a route's requests.
type RouteKind uint8

const (
	// Safe requests may run more than once.
	Safe RouteKind = iota
	// Unsafe requests may run once at most.
	Unsafe
	// Streaming requests are answered by a series of events.
	Streaming
)

// String returns the name used in logs.
func (k RouteKind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Unsafe:
		return "unsafe"
	case Streaming:
		return "streaming"
	default:
		return "unknown"
	}
}

// ServiceName names a set of backend servers that serve the same requests.
type ServiceName string

// Model names a set of weights.
type Model string

// WeightsVersion numbers the successive weights of a model. 0 means none.
type WeightsVersion int64

// Target is one service of a route with its share of the route's requests.
type Target struct {
	Service ServiceName
	Weight  float64
}

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name   core.RouteName
	Host   string
	Prefix string
	Kind   RouteKind
	// Timeout bounds how long a request is kept waiting for its whole answer.
	Timeout time.Duration
	// LatencyObjective is the time to the answer, or to the first event of a stream,
	// within which an answer is on time.
	LatencyObjective time.Duration
	// GapObjective is the longest pause between events of a stream that is on
	// time.
	GapObjective time.Duration
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	Targets  []Target
	// MaxAttempts bounds the backend servers that one request is sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another backend server.
	Resumable bool
	// Regions are the only ones that may serve the route; empty means all.
	Regions []core.Region
}

// IsRepeatable reports whether a request of the route may run more than once.
func (r *Route) IsRepeatable() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests run at once in one engine.
	Slots  int
	Models []Model
	// Pieces and PieceBytes are the number and the size of a version's pieces.
	Pieces     int
	PieceBytes int
	Timing     EngineTiming
}

// EngineTiming holds the figures from which the pace of an engine follows. It works in
// passes: each reads some tokens of the prompts that wait, and then makes Stride
// tokens of each answer that is being written. Zero figures are unknown.
type EngineTiming struct {
	// StepTime is the time of one step without any answer, PerAnswer what each
	// answer adds to it, and PerContext what each 1,000 tokens of its context do.
	StepTime             time.Duration
	StepTimePerAnswer    time.Duration
	StepTimePer1KContext time.Duration
	// PrefillTokensPerSecond is how many tokens of prompts are read in a second.
	PrefillTokensPerSecond float64
	// PrefillTimePer1MPairs is the time that a million pairs of a token and an earlier one
	// add to the reading of a prompt.
	PrefillTimePer1MPairs time.Duration
	// PrefillChunkTokens bounds the tokens that one pass reads.
	PrefillChunkTokens int
	// StepsPerPass is how many steps a pass makes in which answers are written.
	StepsPerPass int
	// MeanPromptTokens and MeanAnswerTokens are mean lengths in tokens.
	MeanPromptTokens, MeanAnswerTokens float64
}

// IsKnown reports whether the figures that decide the pace are there.
func (p EngineTiming) IsKnown() bool {
	return p.StepTime > 0 && p.PrefillTokensPerSecond > 0 && p.MeanPromptTokens > 0
}

// Service is a set of backend servers.
type Service struct {
	Name       ServiceName
	HealthPath string
	// MaxConns is how many connections one backend server takes, of all
	// callers together.
	MaxConns int
	// ColdStart is how long a backend server is cold after its start.
	ColdStart time.Duration
	// ColdPerSecond is how many requests a second a cold backend server bears;
	// 0 means that a cold one is not limited.
	ColdPerSecond float64
	// Engine is nil for plain services.
	Engine *Engine
	// Origin is the address of an origin of weights, empty for others.
	Origin string
	// OriginDataCentre is where the origin stands.
	OriginDataCentre core.DataCentre
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Team is a group of callers with its own keys.
type Team struct {
	Name core.Team
	Keys []string
	// Priority replaces the route's when HasPriority is set.
	Priority    int
	HasPriority bool
	// Regions are the only ones that may serve the team; empty means all.
	Regions []core.Region
}

// Configuration is what operators have put in force, in full.
type Configuration struct {
	// Version grows with each change, in uneven steps.
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Teams is empty when requests need no key.
	Teams []Team
}
