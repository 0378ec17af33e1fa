package retry

import (
	"slices"
	"time"
)

const (
	// maxTries is the largest number of tries of one request, including the first.
	maxTries = 3
	// retryWindow is the time after the first try within which a retry may start. After that, most callers have given up or have
	// repeated the request themselves.
	retryWindow = 10 * time.Second
)

// History records the endpoints at which one request failed, and which of them crashed while they ran it. It is not safe for concurrent
// use.
type History struct {
	started     time.Time
	deadline    time.Time
	idempotent  bool
	fingerprint uint64
	tried       []string
	crashed     []string
}

// NewHistory returns the history of a request whose first try starts now. The deadline is the latest useful time for the first token;
// the zero time is no deadline.
func NewHistory(fingerprint uint64, idempotent bool, deadline time.Time) *History {
	return &History{started: time.Now(), deadline: deadline, idempotent: idempotent, fingerprint: fingerprint}
}

// RecordFailure records a failed try at an endpoint. If the endpoint crashed, it also records the crash in the quarantine.
func (r *History) RecordFailure(endpoint string, crashed bool, q *Quarantine) {
	r.tried = append(r.tried, endpoint)
	if crashed {
		r.crashed = append(r.crashed, endpoint)
		q.RecordCrash(r.fingerprint, endpoint)
	}
}

// TriedEndpoints returns the endpoints at which the request failed.
func (r *History) TriedEndpoints() []string { return slices.Clone(r.tried) }

// CrashedEndpoints returns the endpoints that crashed while they ran the request.
func (r *History) CrashedEndpoints() []string { return slices.Clone(r.crashed) }

// MayRetry reports whether the request may be tried again, and if so takes the retry from the pool's budget. It returns false for a request
// that is not idempotent or is quarantined, after maxTries, after retryWindow or the deadline, and when the budget is exhausted.
func (r *History) MayRetry(pool string, b *Budget, q *Quarantine) bool {
	now := time.Now()
	switch {
	case !r.idempotent:
		return false
	case len(r.tried) >= maxTries:
		return false
	case now.Sub(r.started) >= retryWindow:
		return false
	case !r.deadline.IsZero() && !now.Before(r.deadline):
		return false
	case q.Blocked(r.fingerprint):
		return false
	}
	return b.AllowRetry(pool)
}
