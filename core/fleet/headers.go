package fleet

// HeaderNames are the canonical names of the HTTP headers that callers and
// backend servers of a deployment use. The platform adapter supplies them.
type HeaderNames struct {
	// RequestID identifies one attempt of a caller; backend servers echo it.
	RequestID string
	// Deadline is how long the sender waits for the answer, in milliseconds.
	Deadline string
	// LastEventID is the id of the last event of a stream that the caller has
	// received.
	LastEventID string
	// Signature authenticates an answer as that of the backend server.
	Signature string
	// Team names the team that sent the request.
	Team string
	// ExpectServer is the id of the only backend server that may run the
	// request.
	ExpectServer string
	// ServerID is the id of the backend server that answers.
	ServerID string
	// NotExecuted says that the backend server did not run the request.
	NotExecuted string
	// ColdRemaining is how much longer the backend server is cold, in
	// milliseconds.
	ColdRemaining string
	// Leaving says that the backend server is leaving and wants no new requests.
	Leaving string
	// RateLimit is the number of requests a second that the backend server accepts from
	// all entries together, for as long as its answers name it.
	RateLimit string
	// Model names the model that a request needs.
	Model string
	// PromptParts lists the parts of a request's prompt in order.
	PromptParts string
	// TokenCounts holds the number of prompt tokens and the maximum number of
	// output tokens.
	TokenCounts string
	// LengthHint is the caller's estimate of the number of output tokens. Its
	// median is right; a third of the estimates are off by a factor of 1.6.
	LengthHint string
	// Priority orders requests in the engine's queue, from 0 (first) to 9.
	Priority string
	// WeightsVersion is the version of the weights that produced the answer.
	WeightsVersion string
	// ExpectedVersion is the only version of the weights that may serve the
	// request.
	ExpectedVersion string
	// EnginePath lists the engines among which the model layers for one
	// request are split. Only this system sets it, never the caller.
	EnginePath string
	// APIKey is the secret that authenticates the caller.
	APIKey string
}
