package catalog

import "time"

// Role is the part of a request's work that an engine does.
type Role string

const (
	// Prefill engines only process prompts. Decode engines generate tokens and can also process prompts, at half the rate.
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
	// Draining is set while the endpoint drains: it finishes its requests and accepts no new ones.
	Draining bool
	// WarmupRemaining is the remaining time for which the endpoint is slow after its start.
	WarmupRemaining time.Duration
	// Role is empty for endpoints of services without engines.
	Role   Role
	Models []string
	// Reclaimable is set for cheap endpoints that the provider may take back at short notice.
	Reclaimable bool
	// SoftwareVersion is the version of the endpoint's software, not of its models; empty if unknown.
	SoftwareVersion string
	// StartedAtMS is the start time of the endpoint in Unix milliseconds. It distinguishes successive endpoints with the same id.
	StartedAtMS int64
}

// HasModel reports whether the endpoint has loaded a model. An endpoint that lists no models accepts every model.
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
