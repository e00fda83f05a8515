package fleet

// HeaderNames are the canonical names of the HTTP headers that callers and
// backend servers of a deployment use. The platform's adapter supplies them.
type HeaderNames struct {
	// RequestID identifies one attempt of a caller; backend servers echo it.
	RequestID string
	// Deadline is how many milliseconds the sender will wait.
	Deadline string
	// LastEventID is the id of the last event that the caller has of a stream.
	LastEventID string
	// Signature is a backend server's proof that an answer is its own.
	Signature string
	// Team tells the backend server whose request it is.
	Team string
	// ExpectServer bars all backend servers but the named one.
	ExpectServer string
	// ServerID is the id of the backend server that answers.
	ServerID string
	// NotExecuted says that the backend server did not run the request.
	NotExecuted string
	// ColdRemaining is how many milliseconds the backend server stays cold.
	ColdRemaining string
	// Model names the weights that a request needs.
	Model string
	// TokenCounts holds the prompt's tokens and the most output tokens.
	TokenCounts string
	// LengthHint is the caller's estimate of the output tokens, right at the
	// median and off by a factor of 1.6 in a third of the requests.
	LengthHint string
	// Priority ranks a request in the engine's queue, 0 to 9, 0 first.
	Priority string
	// WeightsVersion is the version of the weights that made the answer.
	WeightsVersion string
	// ExpectedVersion bars backend servers with other weights.
	ExpectedVersion string
	// EnginePath lists the engines that share one request's layers. The
	// system sets it alone.
	EnginePath string
	// APIKey is the caller's secret.
	APIKey string
}
