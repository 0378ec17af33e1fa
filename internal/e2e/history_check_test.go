package e2e

import (
	"net/http"
	"net/url"
	"os"
	"strings"

	"crocusglade.example/crocusglade/internal/history"
	"crocusglade.example/crocusglade/internal/objectstore/memplatform"
	"crocusglade.example/crocusglade/internal/standin"
)

// executions returns the executed non-idempotent calls of all services by request id.
func (c *cluster) executions() map[string]standin.ServiceCall {
	out := make(map[string]standin.ServiceCall)
	for _, s := range c.services {
		ran := s.ExecutionsByRequest()
		for _, call := range s.Calls() {
			if ran[call.ID] > 0 && call.Method == http.MethodPost {
				out[call.ID] = call
			}
		}
	}
	return out
}

// gather adds what endpoints and the platform saw to the history.
func (c *cluster) gather() {
	salts := c.teamsOfSalts()
	for name, e := range c.engines {
		for _, r := range e.Requests() {
			c.history.AddExecution(history.Execution{RequestID: r.ID, Endpoint: name, Team: salts[r.CacheSalt], At: r.At,
				KeyExposed: c.holdsKey(r.Header, string(r.Body))})
		}
		for _, o := range e.Orders() {
			c.history.AddOrder(history.Order{Target: name, ID: o.ID, Fence: o.Fence, Kind: string(o.Kind), Value: o.Value, Applied: o.Applied})
		}
	}
	for name, s := range c.services {
		ran := s.ExecutionsByRequest()
		for _, call := range s.Calls() {
			if ran[call.ID] == 0 {
				continue
			}
			c.history.AddExecution(history.Execution{RequestID: call.ID, Endpoint: name, Team: teamOfPath(call.URI),
				IdempotencyKey: call.Header.Get("Idempotency-Key"), At: call.At, KeyExposed: c.holdsKey(call.Header, call.URI+string(call.Body))})
		}
	}
}

// teamsOfSalts returns the team of each cache salt that engines saw: the team whose caller sent the first request with it.
func (c *cluster) teamsOfSalts() map[string]string {
	teams, salts := make(map[string]string), make(map[string]string)
	for _, r := range c.history.Requests {
		teams[r.ID] = r.Team
	}
	for _, e := range c.engines {
		for _, r := range e.Requests() {
			if team := teams[r.ID]; team != "" && salts[r.CacheSalt] == "" {
				salts[r.CacheSalt] = team
			}
		}
	}
	return salts
}

// teamOfPath returns the team that a caller named in the path of its call, as in "/of/skippers/7"; empty when it named none.
func teamOfPath(uri string) string {
	rest, ok := strings.CutPrefix(uri, "/of/")
	if !ok {
		return ""
	}
	team, _, _ := strings.Cut(rest, "/")
	return team
}

// holdsKey tells whether any key is part of what an endpoint received.
func (c *cluster) holdsKey(header http.Header, rest string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, key := range c.issued {
		if strings.Contains(rest, key) {
			return true
		}
		for _, values := range header {
			if strings.Contains(strings.Join(values, "\n"), key) {
				return true
			}
		}
	}
	return false
}

// timed judges the bounds of the design page by wall time. It is off by default, because a slow machine would fail it.
var timed = os.Getenv("CROCUSGLADE_E2E_TIMED") != ""

// bounds returns the times within which changes have to be in force. Without timed only a change that never comes fails.
func bounds() history.Bounds {
	if timed {
		return history.DefaultBounds
	}
	return history.Bounds{Withdrawal: patience, Leaving: patience, Config: patience}
}

// check gathers and fails the test for each violation of a guarantee.
func (c *cluster) check() {
	c.t.Helper()
	c.gather()
	for _, v := range c.history.CheckGuarantees(bounds()) {
		c.t.Error(v)
	}
	c.t.Log(c.history.Summary())
}

// memFaults are the faults of the stand-in platform.
type memFaults = memplatform.Faults

// unescapeAll undoes percent escapes twice, as a server behind a server does.
func unescapeAll(s string) (string, error) {
	once, err := url.QueryUnescape(s)
	if err != nil {
		return "", err
	}
	if twice, err := url.QueryUnescape(once); err == nil {
		return once + "\n" + twice, nil
	}
	return once, nil
}
