package core

import "strconv"

// Execution says whether a request was executed. Only ExecutionNotRun permits
// a retry of a request that is not idempotent.
type Execution uint8

const (
	// ExecutionUnknown means that the request may or may not have run.
	ExecutionUnknown Execution = iota
	// ExecutionNotRun means that the request has not started and is guaranteed
	// never to start.
	ExecutionNotRun
	// ExecutionRan means that the request ran to completion.
	ExecutionRan
)

// String returns "unknown", "not-run" or "ran".
func (e Execution) String() string {
	switch e {
	case ExecutionNotRun:
		return "not-run"
	case ExecutionRan:
		return "ran"
	default:
		return "unknown"
	}
}

// Code is a numbered result code. Numbers are stable: a number is never reused
// with another meaning. docs/RESULT-CODES.md lists all codes; a test compares
// that page with Codes.
type Code int

// Result codes, grouped by hundreds: 1xx request validation, 2xx capacity and
// placement, 3xx execution, 4xx configuration, 5xx weights, 6xx platform.
const (
	CodeOK Code = 0

	CodeInvalidField    Code = 100
	CodeUnknownRoute    Code = 101
	CodeUnknownTeam     Code = 102
	CodeBodyTooLarge    Code = 103
	CodeUnauthorized    Code = 104
	CodeKeyRequired     Code = 105
	CodeKeyReused       Code = 106
	CodeUnknownEntity   Code = 107
	CodeDeadlineTooLate Code = 108
	CodeBodyStalled     Code = 109

	CodeQueueFull          Code = 200
	CodeDeadlineShort      Code = 201
	CodeNoBackend          Code = 202
	CodeLimitReached       Code = 203
	CodeRetryBudget        Code = 204
	CodeDraining           Code = 205
	CodeDataCentreOut      Code = 206
	CodeConfigStale        Code = 207
	CodeDigestMismatch     Code = 208
	CodeFenced             Code = 209
	CodeStaleIncarnation   Code = 210
	CodeNotReady           Code = 211
	CodeAgentUnreachable   Code = 212
	CodeRevisionTooLow     Code = 213
	CodeEngineNotServing   Code = 214
	CodeTombstoned         Code = 215
	CodeAlreadyDispatched  Code = 216
	CodeServerClosed       Code = 217
	CodePartQuarantined    Code = 218
	CodeRequestQuarantined Code = 219
	CodeServerLimited      Code = 220
	CodeTransferLimit      Code = 221
	CodeMemoryFull         Code = 222

	CodeIncomplete       Code = 300
	CodeEngineFailed     Code = 301
	CodeCrossedAnswer    Code = 302
	CodeTimeout          Code = 303
	CodeCancelled        Code = 304
	CodeInProgress       Code = 305
	CodeOutcomeUnknown   Code = 306
	CodeStreamBroken     Code = 307
	CodeChecksumMismatch Code = 308

	CodeRevisionConflict Code = 400
	CodeDanglingJoin     Code = 401
	CodeInvalidRow       Code = 402
	CodeRevisionReverted Code = 403
	CodeEditUnknown      Code = 404
	CodeUnreadableRow    Code = 405

	CodeChunkCorrupt     Code = 500
	CodeManifestInvalid  Code = 501
	CodeOriginBudget     Code = 502
	CodeOriginFailed     Code = 503
	CodePeerFailed       Code = 504
	CodeSuperseded       Code = 505
	CodeStagingFailed    Code = 506
	CodeActivationFailed Code = 507

	CodeStoreUnavailable Code = 600
	CodeStoreOutcomeLost Code = 601
	CodeStoreConflict    Code = 602
	CodeStoreThrottled   Code = 603
	CodeInternal         Code = 699
)

// CodeInfo describes a result code for documentation and HTTP replies.
type CodeInfo struct {
	Code Code
	// Name is the kebab-case name of the code.
	Name string
	// HTTPStatus is the HTTP status of a problem reply with this code.
	HTTPStatus int
	// Meaning is a one-sentence explanation for operators and callers.
	Meaning string
}

var codeInfos = []CodeInfo{
	{CodeOK, "ok", 200, "The request ran and the answer is complete."},
	{CodeInvalidField, "invalid-field", 400, "A field of the request is malformed; the detail names it and its value."},
	{CodeUnknownRoute, "unknown-route", 404, "No route has this name."},
	{CodeUnknownTeam, "unknown-team", 403, "No team has this name."},
	{CodeBodyTooLarge, "body-too-large", 413, "The body is larger than the limit in the detail."},
	{CodeUnauthorized, "unauthorized", 401, "The operator token is missing or invalid."},
	{CodeKeyRequired, "key-required", 400, "The route is at-most-once and the request has no Idempotency-Key."},
	{CodeKeyReused, "key-reused", 422, "The Idempotency-Key was already used with a different body."},
	{CodeUnknownEntity, "unknown-entity", 404, "The named table row does not exist."},
	{CodeDeadlineTooLate, "deadline-too-late", 400, "The deadline is longer than the configured maximum."},
	{CodeBodyStalled, "body-stalled", 408, "The body of the request made no progress for some seconds."},
	{CodeQueueFull, "queue-full", 429, "The team's queue is full."},
	{CodeDeadlineShort, "deadline-short", 503, "The request would wait in the queue past its deadline."},
	{CodeNoBackend, "no-backend", 503, "No backend server of the pool can accept the request now."},
	{CodeLimitReached, "limit-reached", 503, "The backend server is at its limit of requests or tokens in flight."},
	{CodeRetryBudget, "retry-budget", 503, "The retry budget is exhausted."},
	{CodeDraining, "draining", 503, "The daemon is draining and starts no new work."},
	{CodeDataCentreOut, "data-centre-out", 503, "The data centre is out of service and starts no new work."},
	{CodeConfigStale, "config-stale", 503, "The daemon has not confirmed its configuration within the age limit."},
	{CodeDigestMismatch, "digest-mismatch", 503, "The engine does not have the weights version that the request requires."},
	{CodeFenced, "fenced", 503, "The daemon's fencing token is stale."},
	{CodeStaleIncarnation, "stale-incarnation", 503, "The request was dispatched to a daemon process that has since been replaced."},
	{CodeNotReady, "not-ready", 503, "The daemon has no configuration yet."},
	{CodeAgentUnreachable, "agent-unreachable", 503, "The agent could not be reached and the request was not sent."},
	{CodeRevisionTooLow, "revision-too-low", 503, "The agent's configuration is older than the entry's."},
	{CodeEngineNotServing, "engine-not-serving", 503, "The engine is not serving."},
	{CodeTombstoned, "tombstoned", 503, "The attempt was cancelled before it started."},
	{CodeAlreadyDispatched, "already-dispatched", 409, "The agent has already received this attempt."},
	{CodeServerClosed, "server-closed", 503, "The backend server has announced that it is leaving or that it wants no requests for some time."},
	{CodePartQuarantined, "part-quarantined", 503, "A part of the prompt has crashed backend servers; requests with it are refused for some time."},
	{CodeRequestQuarantined, "request-quarantined", 503, "The same request has crashed backend servers; it is refused for some time."},
	{CodeServerLimited, "server-limited", 503, "The limits that backend servers name permit no request now."},
	{CodeTransferLimit, "transfer-limit", 503, "The bodies of the requests in progress use all the memory that is set for them."},
	{CodeMemoryFull, "memory-full", 503, "Callers hold all memory or connections of the daemon that are meant for them."},
	{CodeIncomplete, "incomplete", 502, "The answer ended without an end frame."},
	{CodeEngineFailed, "engine-failed", 502, "The backend server answered with an error."},
	{CodeCrossedAnswer, "crossed-answer", 502, "The backend server returned the answer to another request."},
	{CodeTimeout, "timeout", 504, "The deadline passed after dispatch."},
	{CodeCancelled, "cancelled", 499, "The caller cancelled the request."},
	{CodeInProgress, "in-progress", 409, "The first request with this Idempotency-Key is still running."},
	{CodeOutcomeUnknown, "outcome-unknown", 502, "It is unknown whether the request ran; it will not be started again."},
	{CodeStreamBroken, "stream-broken", 502, "The stream was interrupted and could not be resumed."},
	{CodeChecksumMismatch, "checksum-mismatch", 502, "The answer's checksum does not match its end frame."},
	{CodeRevisionConflict, "revision-conflict", 409, "The edit was based on an older revision; nothing was changed."},
	{CodeDanglingJoin, "dangling-join", 422, "A row refers to a row that does not exist; the detail lists the names."},
	{CodeInvalidRow, "invalid-row", 422, "A table row is malformed; the detail names the field and value."},
	{CodeRevisionReverted, "revision-reverted", 500, "The store returned an older revision, which was ignored."},
	{CodeEditUnknown, "edit-unknown", 502, "It is unknown whether the edit was accepted; send it again with the same edit id."},
	{CodeUnreadableRow, "unreadable-row", 500, "A row of the store cannot be decoded; its last valid value is kept."},
	{CodeChunkCorrupt, "chunk-corrupt", 502, "A chunk does not match its digest and was discarded."},
	{CodeManifestInvalid, "manifest-invalid", 502, "A manifest is malformed or does not match its root digest."},
	{CodeOriginBudget, "origin-budget", 503, "The budget of origin fetches for this version is exhausted."},
	{CodeOriginFailed, "origin-failed", 502, "The origin or the weight store failed."},
	{CodePeerFailed, "peer-failed", 502, "A peer failed to deliver a chunk."},
	{CodeSuperseded, "superseded", 409, "A newer version replaced this version while it was being fetched."},
	{CodeStagingFailed, "staging-failed", 502, "The engine's staging area rejected a chunk."},
	{CodeActivationFailed, "activation-failed", 502, "The engine refused to activate the version."},
	{CodeStoreUnavailable, "store-unavailable", 503, "The table service did not accept the request; nothing was changed."},
	{CodeStoreOutcomeLost, "store-outcome-lost", 502, "The table service's answer was lost; the change may have taken effect."},
	{CodeStoreConflict, "store-conflict", 409, "A precondition of the transaction failed; nothing was changed."},
	{CodeStoreThrottled, "store-throttled", 503, "The table service rejected the request because of its rate limit."},
	{CodeInternal, "internal", 500, "An unexpected error; the cause is in the log."},
}

var infoByCode = func() map[Code]CodeInfo {
	index := make(map[Code]CodeInfo, len(codeInfos))
	for _, info := range codeInfos {
		index[info.Code] = info
	}
	return index
}()

// Codes returns every result code in ascending order.
func Codes() []CodeInfo { return append([]CodeInfo(nil), codeInfos...) }

// Info returns the description of c, or that of CodeInternal if c is not
// listed.
func (c Code) Info() CodeInfo {
	if info, ok := infoByCode[c]; ok {
		return info
	}
	return infoByCode[CodeInternal]
}

// String returns the number and the name, such as "203 limit-reached".
func (c Code) String() string {
	return strconv.Itoa(int(c)) + " " + c.Info().Name
}
