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

// OpenRouteTeam is the team to which requests on open routes without a key are attributed.
const OpenRouteTeam = "open"

// AdminScopes are the valid scopes of administrator credentials.
var AdminScopes = []string{"read", "config", "keys", "endpoints", "admin"}

// decodeStrict decodes one JSON value. It rejects unknown fields, because a misspelt field would otherwise silently keep its
// default.
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
	var errs fieldErrors
	errs.checkName("name", t.Name)
	for i, g := range t.Models {
		field := fmt.Sprintf("models[%d]", i)
		errs.checkNotEmpty(field+".model", g.Model)
		if slices.ContainsFunc(t.Models[:i], func(o ModelGrant) bool { return o.Model == g.Model }) {
			errs.add(field+".model", "merge the grants of one model", "%q is granted twice", g.Model)
		}
		for j, v := range g.Versions {
			errs.checkNotEmpty(fmt.Sprintf("%s.versions[%d]", field, j), v)
		}
	}
	errs.checkNames("routes", t.Routes)
	errs.checkNames("open_routes", t.OpenRoutes)
	errs.checkPriority("priority", t.Priority)
	for route, p := range t.RoutePriority {
		errs.checkPriority("route_priority."+route, p)
		if !slices.Contains(t.Routes, route) && !slices.Contains(t.OpenRoutes, route) {
			errs.add("route_priority."+route, "add the route to routes or remove its priority", "the template does not allow this route")
		}
	}
	if t.Retire != RetireWait && t.Retire != RetireMove {
		errs.add("retire", "use wait or move", "%q is not a way to retire an endpoint", t.Retire)
	}
	errs.checkLimits("limits", t.Limits)
	return errs
}

// Validate implements Validator.
func (t *Team) Validate() []error {
	var errs fieldErrors
	errs.checkName("name", t.Name)
	errs.checkName("template", t.Template)
	errs.checkNotNegative("weight", t.Weight)
	errs.checkLimits("limits", t.Limits)
	errs.checkNotNegative("first_token_target_ms", float64(t.FirstTokenTargetMS))
	return errs
}

// Validate implements Validator.
func (p *Pool) Validate() []error {
	var errs fieldErrors
	errs.checkName("name", p.Name)
	switch p.Kind {
	case PoolEngine:
		errs.checkNotEmpty("model", p.Model)
	case PoolService:
		if p.Model != "" || p.Version != "" || len(p.Adapters) > 0 {
			errs.add("model", "remove model, version and adapters, or use kind engine", "a service pool serves no model")
		}
	default:
		errs.add("kind", "use engine or service", "%q is not a kind of pool", p.Kind)
	}
	for i := range p.Endpoints {
		p.checkEndpoint(&errs, i)
	}
	errs.checkNames("drained", p.Drained)
	errs.checkNotNegative("min_on_demand", float64(p.MinOnDemand))
	errs.checkNotNegative("max_endpoints", float64(p.MaxEndpoints))
	errs.checkNotNegative("clean_every_hours", float64(p.CleanEveryHours))
	if p.MaxEndpoints > 0 && p.MinOnDemand > p.MaxEndpoints {
		errs.add("min_on_demand", "lower it or raise max_endpoints", "%d is above max_endpoints %d", p.MinOnDemand, p.MaxEndpoints)
	}
	return errs
}

func (p *Pool) checkEndpoint(errs *fieldErrors, i int) {
	e, field := p.Endpoints[i], fmt.Sprintf("endpoints[%d]", i)
	errs.checkName(field+".name", e.Name)
	errs.checkAddr(field+".addr", e.Addr)
	errs.checkName(field+".failure_domain", e.FailureDomain)
	if e.Class != OnDemand && e.Class != Reclaimable {
		errs.add(field+".class", "use on_demand or reclaimable", "%q is not an endpoint class", e.Class)
	}
	for _, o := range p.Endpoints[:i] {
		if o.Name == e.Name {
			errs.add(field+".name", "give each endpoint its own name", "%q is used twice", e.Name)
		}
		if o.Addr == e.Addr {
			errs.add(field+".addr", "give each endpoint its own address", "%q is used twice", e.Addr)
		}
	}
}

// Validate implements Validator.
func (r *Route) Validate() []error {
	var errs fieldErrors
	errs.checkName("name", r.Name)
	errs.checkName("pool", r.Pool)
	for i, method := range r.IdempotentMethods {
		if method == "" || method != strings.ToUpper(method) || strings.ContainsAny(method, " \t/") || method == http.MethodConnect {
			errs.add(fmt.Sprintf("idempotent_methods[%d]", i), "use upper-case HTTP methods such as GET", "%q is not a valid method", method)
		}
	}
	errs.checkNotNegative("timeout_ms", float64(r.TimeoutMS))
	return errs
}

// Validate implements Validator.
func (c *AdminCredential) Validate() []error {
	var errs fieldErrors
	errs.checkName("name", c.Name)
	if len(c.Scopes) == 0 {
		errs.add("scopes", "give at least one of "+strings.Join(AdminScopes, ", "), "no scope is given")
	}
	for i, s := range c.Scopes {
		if !slices.Contains(AdminScopes, s) {
			errs.add(fmt.Sprintf("scopes[%d]", i), "use one of "+strings.Join(AdminScopes, ", "), "%q is not a scope", s)
		}
	}
	errs.checkNames("teams", c.Teams)
	return errs
}
