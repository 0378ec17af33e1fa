// Package catalog holds the routes, services and teams that are in force, and finds the route and the team of a request.
package catalog

import (
	"strings"
	"time"
)

// Semantics tells how often a request of a route may run.
type Semantics string

const (
	// Idempotent requests may run more than once.
	Idempotent Semantics = "idempotent"
	// AtMostOnce requests must not run twice.
	AtMostOnce Semantics = "at_most_once"
	// Stream requests are answered by a series of events. They run at most once unless the route is resumable.
	Stream Semantics = "stream"
)

// WeightedService is one service of a route with its part of the traffic.
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
	// Timeout is the longest time for which a request is kept waiting; 0 when the operator set none.
	Timeout time.Duration
	// Objective is the time within which an answer, or the first event of a stream, is on time.
	Objective time.Duration
	// EventGap is the longest pause between events for which a stream is on time; 0 when there is none.
	EventGap time.Duration
	// Priority is the rank of the route's requests, 0 first.
	Priority int
	// Attempts is the number of endpoints to which one request may be sent.
	Attempts         int
	WeightedServices []WeightedService
	// AllowAnonymous routes need no key.
	AllowAnonymous bool
	// Resumable streams may go on at another endpoint.
	Resumable bool
	// HasPrompts is set for routes whose requests describe prompts to an engine.
	HasPrompts bool
}

// Repeatable tells whether a request of the route may run a second time.
func (r *Route) Repeatable() bool {
	return r.Semantics == Idempotent || r.Semantics == Stream && r.Resumable
}

// PickService returns the service for a request, given a number from 0 up to but not including 1.
func (r *Route) PickService(at float64) string {
	total := 0
	for _, s := range r.WeightedServices {
		total += s.Weight
	}
	rest := at * float64(total)
	for _, s := range r.WeightedServices {
		rest -= float64(s.Weight)
		if rest < 0 {
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
	RoleSwitch      time.Duration
	CacheWatchers   int
}

// Scaling bounds the number of endpoints of a service in each failure domain.
type Scaling struct {
	Min, Max int
	// Boot is the time until a new endpoint serves.
	Boot time.Duration
	// ReclaimablePrice is the price of a reclaimable endpoint as a part of the price of others; 0 when there are none.
	ReclaimablePrice float64
	// DomainPrices is the price of a second of one endpoint by failure domain.
	DomainPrices map[string]float64
}

// Service is a set of endpoints.
type Service struct {
	Name        string
	Connections int
	// Engine is nil for plain services, Scaling for services whose endpoints are not ordered.
	Engine  *Engine
	Scaling *Scaling
}

// Team is a team whose keys are in force.
type Team struct {
	Name string
	// Priority takes precedence over the route's when HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Catalog is one version of the configuration. It doesn't change once it is in force.
type Catalog struct {
	// Revision is the store's revision of the object, Version the operator's number.
	Revision uint64
	Version  uint64
	Routes   []Route
	Services map[string]Service
	// TeamsByKey maps each key to its team. RequiresKeys tells whether requests need keys at all.
	TeamsByKey   map[string]Team
	RequiresKeys bool
	Limits       Limits
	// Raw is the encoded configuration, for neighbours.
	Raw []byte

	byHost map[string][]*Route
	// MaxObjectiveByService holds the longest objective among the routes to each service that describe prompts.
	MaxObjectiveByService map[string]time.Duration
}

// Index prepares look-ups. Call it once after the fields are set.
func (c *Catalog) Index() {
	c.byHost, c.MaxObjectiveByService = make(map[string][]*Route), make(map[string]time.Duration)
	for i := range c.Routes {
		r := &c.Routes[i]
		host := normalHost(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
		for _, s := range r.WeightedServices {
			if r.HasPrompts {
				c.MaxObjectiveByService[s.Service] = max(c.MaxObjectiveByService[s.Service], r.Objective)
			}
		}
	}
}

// Match returns the route of a host with the longest prefix that begins the path, or nil.
func (c *Catalog) Match(host, path string) *Route {
	var best *Route
	for _, r := range c.byHost[normalHost(host)] {
		if strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}

// normalHost lowers the host's case and removes a port.
func normalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[i:], "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
