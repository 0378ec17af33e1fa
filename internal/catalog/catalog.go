// Package catalog holds the configuration in force, with its routes, services and teams, and finds the route and the team of
// a request.
package catalog

import (
	"slices"
	"strings"
	"time"
)

// Semantics states whether the requests of a route may run more than once.
type Semantics string

const (
	// Idempotent requests may run more than once.
	Idempotent Semantics = "idempotent"
	// AtMostOnce requests must not run twice.
	AtMostOnce Semantics = "at_most_once"
	// Stream requests get a stream of events as their response. They run at most once unless the route is resumable.
	Stream Semantics = "stream"
)

// WeightedService is one service of a route with its share of the traffic, relative to the weights of the route's other services.
type WeightedService struct {
	Service string
	Weight  int
}

// Route sends requests of a host and path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Semantics  Semantics
	// Timeout bounds the time to serve a request; 0 when the operator set none.
	Timeout time.Duration
	// Objective is the target latency of a response or of the first event of a stream.
	Objective time.Duration
	// EventGap is the target for the longest pause between two events of a stream; 0 when there is none.
	EventGap time.Duration
	// Priority is the priority of the route's requests; 0 is the most urgent.
	Priority int
	// Attempts is the maximum number of endpoints to which one request is sent.
	Attempts         int
	WeightedServices []WeightedService
	// AllowAnonymous is set for routes that accept requests without a key.
	AllowAnonymous bool
	// Resumable is set for routes whose streams may continue at another endpoint.
	Resumable bool
	// HasPrompts is set for routes whose requests carry prompts for engines.
	HasPrompts bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Semantics == Idempotent || r.Semantics == Stream && r.Resumable
}

// HasService reports whether the route has a service.
func (r *Route) HasService(name string) bool {
	return slices.ContainsFunc(r.WeightedServices, func(s WeightedService) bool { return s.Service == name })
}

// PickService returns the service for a request by weight, given a number in [0,1). It returns "" when the route has no services.
func (r *Route) PickService(fraction float64) string {
	total := 0
	for _, s := range r.WeightedServices {
		total += s.Weight
	}
	remaining := fraction * float64(total)
	for _, s := range r.WeightedServices {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Service
		}
	}
	if len(r.WeightedServices) == 0 {
		return ""
	}
	return r.WeightedServices[len(r.WeightedServices)-1].Service
}

// Engine describes the engines of a service.
type Engine struct {
	Slots           int
	CacheTokens     int64
	KVBytesPerToken float64
	LinkMbps        float64
	HandleTTL       time.Duration
	// RoleSwitchTime is the time that a change of role takes.
	RoleSwitchTime time.Duration
	// CacheWatchers is the number of waiting calls for cache events that an engine allows.
	CacheWatchers int
}

// Scaling bounds the number of endpoints of a service in each failure domain.
type Scaling struct {
	Min, Max int
	// BootTime is the time until a new endpoint serves requests.
	BootTime time.Duration
	// ReclaimablePrice is the price of a reclaimable endpoint as a fraction of the price of an on-demand endpoint; 0 when there are no
	// reclaimable endpoints.
	ReclaimablePrice float64
	// DomainPrices holds the price of one endpoint for a second, by failure domain.
	DomainPrices map[string]float64
}

// Service is a set of endpoints that serve the same requests.
type Service struct {
	Name        string
	Connections int
	// Engine is nil for services without engines; Scaling is nil for services that are not scaled automatically.
	Engine  *Engine
	Scaling *Scaling
}

// Team is a team whose keys are in force.
type Team struct {
	Name string
	// Priority overrides the priority of the route when HasPriority is set.
	Priority    int
	HasPriority bool
	// Quota is the team's quota over all VMs.
	Quota Quota
}

// Quota limits the cost of a team's requests. There is no limit if RatePerSecond is 0.
type Quota struct {
	// InTokens is set if the cost is in tokens, else each request costs 1. PlainTokens is the cost of a request without token counts.
	InTokens    bool
	PlainTokens int64
	// RatePerSecond is the cost per second, Burst the cost that may be used at once.
	RatePerSecond, Burst float64
}

// Cost returns the cost of a request with the given number of tokens; known is false if the request doesn't state it.
func (q *Quota) Cost(tokens int64, known bool) int64 {
	switch {
	case !q.InTokens:
		return 1
	case known:
		return tokens
	}
	return q.PlainTokens
}

// Limits bounds the requests and connections of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Catalog is one version of the configuration. It must not be changed after it was applied to a Holder.
type Catalog struct {
	// Revision is the store revision of the configuration object, Version the number that the operator gave it.
	Revision uint64
	Version  uint64
	Routes   []Route
	Services map[string]Service
	// TeamsByKey maps each key to its team. RequiresKeys is set when requests need a key.
	TeamsByKey   map[string]Team
	RequiresKeys bool
	Limits       Limits
	// Raw is the encoded configuration, as it is sent to other VMs.
	Raw []byte

	byHost map[string][]*Route
	// MaxObjectiveByService holds, for each service, the longest objective of the routes with prompts that lead to it.
	MaxObjectiveByService map[string]time.Duration
}

// Index builds the index for Match and sets MaxObjectiveByService. Call it once after the other fields are set; Holder.Apply does so.
func (c *Catalog) Index() {
	c.byHost, c.MaxObjectiveByService = make(map[string][]*Route), make(map[string]time.Duration)
	for i := range c.Routes {
		r := &c.Routes[i]
		host := normalizeHost(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
		for _, s := range r.WeightedServices {
			if r.HasPrompts {
				c.MaxObjectiveByService[s.Service] = max(c.MaxObjectiveByService[s.Service], r.Objective)
			}
		}
	}
}

// Match returns the route of the host with the longest path prefix that matches the path, or nil.
func (c *Catalog) Match(host, path string) *Route {
	var best *Route
	for _, r := range c.byHost[normalizeHost(host)] {
		if strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}

// normalizeHost returns the host in lower case and without a port.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[i:], "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
