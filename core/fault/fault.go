package fault

import (
	"net/http"
	"time"
)

// Kind is the stable code of a class of errors.
type Kind string

// Kinds of errors.
const (
	Unauthorized Kind = "unauthorized"
	Forbidden    Kind = "forbidden"
	NotFound     Kind = "not_found"
	Invalid      Kind = "invalid_request"
	TooLarge     Kind = "too_large"
	Conflict     Kind = "conflict"
	KeyRequired  Kind = "idempotency_key_required"
	KeyInvalid   Kind = "idempotency_key_invalid"
	KeyExpired   Kind = "idempotency_key_expired"
	KeyReused    Kind = "idempotency_key_reused"
	// InProgress means that an earlier attempt with the same idempotency key has not ended.
	InProgress Kind = "in_progress"
	// RateLimited means that the team has reached one of its limits.
	RateLimited Kind = "rate_limited"
	// Overloaded means that no backend server can run the request in time, or that the entry node has no memory for its
	// body; it may be sent again later.
	Overloaded Kind = "overloaded"
	// Unavailable means that no backend server can be chosen, that the log or the entry node cannot be
	// used, or that the request failed in a way without a kind of its own.
	Unavailable    Kind = "unavailable"
	Timeout        Kind = "timeout"
	OutcomeUnknown Kind = "outcome_unknown"
	// NotReady means that the node has not read its settings or routes yet.
	NotReady Kind = "not_ready"
	// Blocked means that the request was in flight at too many engine crashes (package poison).
	Blocked Kind = "blocked"
	// Quarantined means the same on platforms whose callers take any 4xx status as final, although
	// the request is accepted again after a while.
	Quarantined Kind = "quarantined"
	// NotResumable means that a stream cannot go on at any backend server; it can only begin anew.
	NotResumable Kind = "not_resumable"
)

// Outcome says whether a failed request has run, over all its attempts.
type Outcome string

// Outcomes of a request that the caller gets no answer from a backend server for.
const (
	// NotRun means that the request has certainly not run.
	NotRun Outcome = "not_run"
	// Unknown means that the request may or may not have run.
	Unknown Outcome = "unknown"
)

// httpStatuses maps each kind to the HTTP status of the answer.
var httpStatuses = map[Kind]int{
	Unauthorized:   http.StatusUnauthorized,
	Forbidden:      http.StatusForbidden,
	NotFound:       http.StatusNotFound,
	Invalid:        http.StatusBadRequest,
	TooLarge:       http.StatusRequestEntityTooLarge,
	Conflict:       http.StatusConflict,
	KeyRequired:    http.StatusBadRequest,
	KeyInvalid:     http.StatusBadRequest,
	KeyExpired:     http.StatusUnprocessableEntity,
	KeyReused:      http.StatusUnprocessableEntity,
	InProgress:     http.StatusConflict,
	RateLimited:    http.StatusTooManyRequests,
	Overloaded:     http.StatusServiceUnavailable,
	Unavailable:    http.StatusServiceUnavailable,
	Timeout:        http.StatusGatewayTimeout,
	OutcomeUnknown: http.StatusBadGateway,
	NotReady:       http.StatusServiceUnavailable,
	Blocked:        http.StatusUnprocessableEntity,
	Quarantined:    http.StatusServiceUnavailable,
	NotResumable:   http.StatusServiceUnavailable,
}

// Error is an error for a caller or operator, with what to do about it.
type Error struct {
	Kind    Kind
	Outcome Outcome
	Message string
	Remedy  string
	// RetryAfter is the time to wait before trying again, zero if trying again does not help.
	RetryAfter time.Duration
}

// New returns an error with outcome NotRun.
func New(kind Kind, message, remedy string) *Error {
	return &Error{Kind: kind, Outcome: NotRun, Message: message, Remedy: remedy}
}

// Error returns the message and the remedy.
func (er *Error) Error() string {
	return er.Message + "; " + er.Remedy
}

// Status returns the HTTP status code of the error, 500 for an unknown kind.
func (er *Error) Status() int {
	if status, ok := httpStatuses[er.Kind]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// WithRetryAfter returns a copy with the time to wait before trying again.
func (er *Error) WithRetryAfter(wait time.Duration) *Error {
	clone := *er
	clone.RetryAfter = wait
	return &clone
}

// WithOutcome returns a copy with the given outcome.
func (er *Error) WithOutcome(outcome Outcome) *Error {
	clone := *er
	clone.Outcome = outcome
	return &clone
}
