package apitypes

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// OpenRouteTeam is the team that requests on open routes without a key belong to.
const OpenRouteTeam = "open"

// AdminScopes are the scopes of administrators' credentials.
var AdminScopes = []string{"read", "config", "keys", "endpoints", "admin"}

// decodeStrict refuses unknown fields, because a misspelt field would otherwise silently keep its default.
func decodeStrict(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if _, err := d.Token(); err != io.EOF {
		return errors.New("data after the JSON value")
	}
	return nil
}

// Validate implements Validator.
func (t *Template) Validate() []error {
	var m mistakes
	m.checkName("name", t.Name)
	for i, g := range t.Models {
		field := fmt.Sprintf("models[%d]", i)
		m.checkText(field+".model", g.Model)
		if slices.ContainsFunc(t.Models[:i], func(o ModelGrant) bool { return o.Model == g.Model }) {
			m.add(field+".model", "merge the grants of one model", "%q is granted twice", g.Model)
		}
		for j, v := range g.Versions {
			m.checkText(fmt.Sprintf("%s.versions[%d]", field, j), v)
		}
	}
	m.checkNames("routes", t.Routes)
	m.checkNames("open_routes", t.OpenRoutes)
	m.checkPriority("priority", t.Priority)
	for route, p := range t.RoutePriority {
		m.checkPriority("route_priority."+route, p)
		if !slices.Contains(t.Routes, route) && !slices.Contains(t.OpenRoutes, route) {
			m.add("route_priority."+route, "add the route to routes or remove its priority", "the template does not allow this route")
		}
	}
	if t.Retire != RetireWait && t.Retire != RetireMove {
		m.add("retire", "use wait or move", "%q is not a way to retire an endpoint", t.Retire)
	}
	m.checkLimits("limits", t.Limits)
	return m
}

// Validate implements Validator.
func (t *Team) Validate() []error {
	var m mistakes
	m.checkName("name", t.Name)
	m.checkName("template", t.Template)
	m.checkNotNegative("weight", t.Weight)
	m.checkLimits("limits", t.Limits)
	m.checkNotNegative("first_token_target_ms", float64(t.FirstTokenTargetMS))
	return m
}

// Validate implements Validator.
func (p *Pool) Validate() []error {
	var m mistakes
	m.checkName("name", p.Name)
	switch p.Kind {
	case PoolEngine:
		m.checkText("model", p.Model)
	case PoolService:
		if p.Model != "" || p.Version != "" || len(p.Adapters) > 0 {
			m.add("model", "remove model, version and adapters, or use kind engine", "a service pool serves no model")
		}
	default:
		m.add("kind", "use engine or service", "%q is not a kind of pool", p.Kind)
	}
	for i := range p.Endpoints {
		p.checkEndpoint(&m, i)
	}
	m.checkNames("drained", p.Drained)
	m.checkNotNegative("min_on_demand", float64(p.MinOnDemand))
	m.checkNotNegative("max_endpoints", float64(p.MaxEndpoints))
	m.checkNotNegative("clean_every_hours", float64(p.CleanEveryHours))
	if p.MaxEndpoints > 0 && p.MinOnDemand > p.MaxEndpoints {
		m.add("min_on_demand", "lower it or raise max_endpoints", "%d is above max_endpoints %d", p.MinOnDemand, p.MaxEndpoints)
	}
	return m
}

func (p *Pool) checkEndpoint(m *mistakes, i int) {
	e, field := p.Endpoints[i], fmt.Sprintf("endpoints[%d]", i)
	m.checkName(field+".name", e.Name)
	m.checkAddr(field+".addr", e.Addr)
	m.checkName(field+".failure_domain", e.FailureDomain)
	if e.Class != OnDemand && e.Class != Reclaimable {
		m.add(field+".class", "use on_demand or reclaimable", "%q is not a class", e.Class)
	}
	for _, o := range p.Endpoints[:i] {
		if o.Name == e.Name {
			m.add(field+".name", "give each endpoint its own name", "%q is used twice", e.Name)
		}
		if o.Addr == e.Addr {
			m.add(field+".addr", "give each endpoint its own address", "%q is used twice", e.Addr)
		}
	}
}

// Validate implements Validator.
func (r *Route) Validate() []error {
	var m mistakes
	m.checkName("name", r.Name)
	m.checkName("pool", r.Pool)
	for i, method := range r.IdempotentMethods {
		if method == "" || method != strings.ToUpper(method) || strings.ContainsAny(method, " \t/") || method == http.MethodConnect {
			m.add(fmt.Sprintf("idempotent_methods[%d]", i), "use upper-case HTTP methods such as GET", "%q is not a usable method", method)
		}
	}
	m.checkNotNegative("timeout_ms", float64(r.TimeoutMS))
	return m
}

// Validate implements Validator.
func (c *AdminCredential) Validate() []error {
	var m mistakes
	m.checkName("name", c.Name)
	if len(c.Scopes) == 0 {
		m.add("scopes", "give at least one of "+strings.Join(AdminScopes, ", "), "no scope is given")
	}
	for i, s := range c.Scopes {
		if !slices.Contains(AdminScopes, s) {
			m.add(fmt.Sprintf("scopes[%d]", i), "use one of "+strings.Join(AdminScopes, ", "), "%q is not a scope", s)
		}
	}
	m.checkNames("teams", c.Teams)
	return m
}
