package fault

import (
	"net/http"
	"time"
)

// Kind is the stable word for a class of errors.
type Kind string

// Kinds of errors.
const (
	Unauthorized  Kind = "unauthorized"
	Forbidden     Kind = "forbidden"
	NotFound      Kind = "not_found"
	Invalid       Kind = "invalid_request"
	TooLarge      Kind = "too_large"
	Conflict      Kind = "conflict"
	KeyRequired   Kind = "idempotency_key_required"
	KeyInvalid    Kind = "idempotency_key_invalid"
	KeyExpired    Kind = "idempotency_key_expired"
	KeyReused     Kind = "idempotency_key_reused"
	InProgress    Kind = "in_progress"
	Limited       Kind = "rate_limited"
	Overloaded    Kind = "overloaded"
	Unavailable   Kind = "unavailable"
	Timeout       Kind = "timeout"
	OutcomeUnsure Kind = "outcome_unknown"
	NotReady      Kind = "not_ready"
	Blocked       Kind = "blocked"
)

// Outcome tells whether the request ran.
type Outcome string

// Outcomes of a request that was not answered by a backend server.
const (
	NotRun  Outcome = "not_run"
	Unknown Outcome = "unknown"
)

var statuses = map[Kind]int{
	Unauthorized:  http.StatusUnauthorized,
	Forbidden:     http.StatusForbidden,
	NotFound:      http.StatusNotFound,
	Invalid:       http.StatusBadRequest,
	TooLarge:      http.StatusRequestEntityTooLarge,
	Conflict:      http.StatusConflict,
	KeyRequired:   http.StatusBadRequest,
	KeyInvalid:    http.StatusBadRequest,
	KeyExpired:    http.StatusUnprocessableEntity,
	KeyReused:     http.StatusUnprocessableEntity,
	InProgress:    http.StatusConflict,
	Limited:       http.StatusTooManyRequests,
	Overloaded:    http.StatusServiceUnavailable,
	Unavailable:   http.StatusServiceUnavailable,
	Timeout:       http.StatusGatewayTimeout,
	OutcomeUnsure: http.StatusBadGateway,
	NotReady:      http.StatusServiceUnavailable,
	Blocked:       http.StatusUnprocessableEntity,
}

// Error is an error with its remedy.
type Error struct {
	Kind    Kind
	Outcome Outcome
	Message string
	Remedy  string
	// RetryAfter is when to come back, zero where coming back does not help.
	RetryAfter time.Duration
}

// New returns an error for a request that has not run.
func New(kind Kind, message, remedy string) *Error {
	return &Error{Kind: kind, Outcome: NotRun, Message: message, Remedy: remedy}
}

// Error returns the message and the remedy.
func (er *Error) Error() string {
	return er.Message + "; " + er.Remedy
}

// Status returns the HTTP status of the error.
func (er *Error) Status() int {
	if status, ok := statuses[er.Kind]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// WithRetryAfter returns a copy that tells when to come back.
func (er *Error) WithRetryAfter(wait time.Duration) *Error {
	cp := *er
	cp.RetryAfter = wait
	return &cp
}

// WithOutcome returns a copy with another outcome.
func (er *Error) WithOutcome(outcome Outcome) *Error {
	cp := *er
	cp.Outcome = outcome
	return &cp
}
