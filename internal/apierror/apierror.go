// Package apierror defines the typed errors that crocusglade returns to callers and operators.
//
// Each error has a kind (a stable name), a message, a remedy (what the caller or operator can do about it) and, for an error of a
// request, whether the request was executed. The remedy is never empty.
package apierror

import (
	"fmt"
	"net/http"

	"github.com/go-faster/errors"
)

// Execution states whether the request that failed was executed on an endpoint.
type Execution string

const (
	// NotExecuted means that no endpoint has executed the request or will: no byte of it was sent, or the service rejected it and has
	// no record of it.
	NotExecuted Execution = "not_run"
	// Executed means that an endpoint executed the request at least in part.
	Executed Execution = "run"
	// ExecutionUnknown means that the request was dispatched and its outcome can't be determined.
	ExecutionUnknown Execution = "unknown"
)

// Kind is the stable name of a class of errors. Clients may depend on it.
type Kind string

// Kinds of errors. The comments give the HTTP status that HTTPStatus returns for each.
const (
	InvalidRequest        Kind = "invalid_request"         // 400
	Unauthenticated       Kind = "unauthenticated"         // 401
	KeyWithdrawn          Kind = "key_withdrawn"           // 401
	Forbidden             Kind = "forbidden"               // 403
	NotFound              Kind = "not_found"               // 404
	RequestTimeout        Kind = "request_timeout"         // 408
	Conflict              Kind = "conflict"                // 409
	InProgress            Kind = "in_progress"             // 409
	PreconditionFailed    Kind = "precondition_failed"     // 412
	TooLarge              Kind = "too_large"               // 413
	IdempotencyMismatch   Kind = "idempotency_key_reused"  // 422
	Quarantined           Kind = "request_quarantined"     // 422
	RateLimited           Kind = "rate_limited"            // 429
	Overloaded            Kind = "overloaded"              // 503
	DeadlineUnreachable   Kind = "deadline_unreachable"    // 503
	Unavailable           Kind = "unavailable"             // 503
	Draining              Kind = "draining"                // 503
	OutcomeUnknown        Kind = "outcome_unknown"         // 502
	InvalidEndpointAnswer Kind = "endpoint_answer_invalid" // 502
	AnswerIncomplete      Kind = "answer_incomplete"       // 502
	TimedOut              Kind = "timed_out"               // 504
	Internal              Kind = "internal"                // 500
)

var httpStatusByKind = map[Kind]int{
	InvalidRequest: http.StatusBadRequest, Unauthenticated: http.StatusUnauthorized, KeyWithdrawn: http.StatusUnauthorized,
	Forbidden: http.StatusForbidden, NotFound: http.StatusNotFound, RequestTimeout: http.StatusRequestTimeout, Conflict: http.StatusConflict, InProgress: http.StatusConflict,
	PreconditionFailed: http.StatusPreconditionFailed, TooLarge: http.StatusRequestEntityTooLarge,
	IdempotencyMismatch: http.StatusUnprocessableEntity, Quarantined: http.StatusUnprocessableEntity,
	RateLimited: http.StatusTooManyRequests, Overloaded: http.StatusServiceUnavailable,
	DeadlineUnreachable: http.StatusServiceUnavailable, Unavailable: http.StatusServiceUnavailable,
	Draining: http.StatusServiceUnavailable, OutcomeUnknown: http.StatusBadGateway, InvalidEndpointAnswer: http.StatusBadGateway,
	AnswerIncomplete: http.StatusBadGateway, TimedOut: http.StatusGatewayTimeout, Internal: http.StatusInternalServerError,
}

// Error is a typed error. It is encoded as the "error" member of every JSON error body.
type Error struct {
	Kind      Kind      `json:"type"`
	Message   string    `json:"message"`
	Remedy    string    `json:"remedy"`
	Execution Execution `json:"run,omitempty"`
	// RequestID is set by the gateway when it writes the response.
	RequestID string `json:"request_id,omitempty"`
	// Addresses lists other gateways that are serving, when Kind is Draining or Unavailable.
	Addresses []string `json:"addresses,omitempty"`
	// RetryAfterSeconds is the time in seconds after which a retry can succeed; 0 when unknown.
	RetryAfterSeconds int `json:"retry_after_seconds,omitempty"`
}

// New returns an error of the given kind for a request that was not executed. format and args give the message.
func New(kind Kind, remedy, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...), Remedy: remedy, Execution: NotExecuted}
}

// WithExecution returns a copy of e with the given Execution.
func (e *Error) WithExecution(execution Execution) *Error {
	updated := *e
	updated.Execution = execution
	return &updated
}

// Error returns the kind, the message and the remedy in one line.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s; %s", e.Kind, e.Message, e.Remedy)
}

// HTTPStatus returns the HTTP status code for the error's kind; 500 for a kind that has none.
func (e *Error) HTTPStatus() int {
	if s, ok := httpStatusByKind[e.Kind]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// From returns the *Error in err's chain. If there is none, it returns an error of kind Internal with err's message and the given
// Execution.
func From(err error, execution Execution) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Kind: Internal, Message: err.Error(), Remedy: "retry; if it persists, report the request id to the operators", Execution: execution}
}
