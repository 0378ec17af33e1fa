package retry

import (
	"slices"
	"time"
)

const (
	// maxTries bounds the tries of one request, the first included.
	maxTries = 3
	// retryTime is the time after the first try within which a retry may start. Later, most callers have given up or
	// repeated the request themselves.
	retryTime = 10 * time.Second
)

// History is the history of one request: where it was tried and which endpoints died under it. It belongs to the goroutine
// of the request and is not safe for concurrent use.
type History struct {
	started     time.Time
	deadline    time.Time
	idempotent  bool
	fingerprint uint64
	tried       []string
	died        []string
}

// NewHistory returns the history of a request whose first try begins now. The deadline is the latest useful time for the first
// token; zero when there is none.
func NewHistory(fingerprint uint64, idempotent bool, deadline time.Time) *History {
	return &History{started: time.Now(), deadline: deadline, idempotent: idempotent, fingerprint: fingerprint}
}

// RecordFailure records that a try at an endpoint failed; died tells whether the endpoint died under the request.
func (r *History) RecordFailure(endpoint string, died bool, q *Quarantine) {
	r.tried = append(r.tried, endpoint)
	if died {
		r.died = append(r.died, endpoint)
		q.RecordCrash(r.fingerprint, endpoint)
	}
}

// TriedEndpoints returns the endpoints that failed the request, for the choice of the next one.
func (r *History) TriedEndpoints() []string { return slices.Clone(r.tried) }

// CrashedEndpoints returns the endpoints that died under the request.
func (r *History) CrashedEndpoints() []string { return slices.Clone(r.died) }

// MayRetry tells whether the request may be tried again and takes the retry from the pool's budget. It never may when it is
// not idempotent, was quarantined, was tried too often or would start too late.
func (r *History) MayRetry(pool string, b *Budget, q *Quarantine) bool {
	now := time.Now()
	switch {
	case !r.idempotent:
		return false
	case len(r.tried) >= maxTries:
		return false
	case now.Sub(r.started) >= retryTime:
		return false
	case !r.deadline.IsZero() && !now.Before(r.deadline):
		return false
	case q.Blocked(r.fingerprint):
		return false
	}
	return b.AllowRetry(pool)
}
