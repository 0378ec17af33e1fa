package catalog

import "time"

// Role is what an engine does for a request.
type Role string

const (
	// Prefill engines read prompts, Decode engines make tokens and may read prompts at half speed.
	Prefill Role = "prefill"
	Decode  Role = "decode"
)

// Endpoint is a running instance of a service.
type Endpoint struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Slots         int
	// Leaving endpoints finish their work and take no more.
	Leaving bool
	// WarmupRemaining is how much longer the endpoint is slow after its start.
	WarmupRemaining time.Duration
	// Role is empty for plain services.
	Role   Role
	Models []string
	// Reclaimable endpoints are cheap and may be taken away at short notice.
	Reclaimable bool
	// StartedAtMS is the Unix time of the endpoint's start in milliseconds; it tells incarnations under one id apart.
	StartedAtMS int64
}

// HasModel tells whether the endpoint has loaded a model. Endpoints that name no models take all.
func (e *Endpoint) HasModel(model string) bool {
	if model == "" || len(e.Models) == 0 {
		return true
	}
	for _, m := range e.Models {
		if m == model {
			return true
		}
	}
	return false
}
