package e2e

import (
	"net/http"
	"strings"

	"crocusglade.example/crocusglade/internal/history"
	"crocusglade.example/crocusglade/internal/standin"
)

// executions returns the executed non-idempotent calls of all services by request id.
func (c *cluster) executions() map[string]standin.ServiceCall {
	out := make(map[string]standin.ServiceCall)
	for _, s := range c.services {
		ran := s.Executions()
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
	for name, e := range c.engines {
		for _, r := range e.Requests() {
			c.history.AddExecution(history.Execution{RequestID: r.ID, Endpoint: name, SawSecret: c.holdsKey(r.Header, string(r.Body))})
		}
		for _, o := range e.Orders() {
			c.history.AddOrder(history.Order{Target: name, ID: o.ID, Fence: o.Fence, Kind: string(o.Kind), Value: o.Value, Applied: o.Applied})
		}
	}
	for name, s := range c.services {
		ran := s.Executions()
		for _, call := range s.Calls() {
			if ran[call.ID] == 0 {
				continue
			}
			c.history.AddExecution(history.Execution{RequestID: call.ID, Endpoint: name, IdempotencyKey: call.Header.Get("Idempotency-Key"),
				SawSecret: c.holdsKey(call.Header, call.URI+string(call.Body))})
		}
	}
}

// holdsKey tells whether any key is part of what an endpoint received.
func (c *cluster) holdsKey(header http.Header, rest string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, key := range c.keys {
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

// check gathers and fails the test for each violation of a guarantee.
func (c *cluster) check() {
	c.t.Helper()
	c.gather()
	for _, v := range c.history.Check(history.DefaultBounds) {
		c.t.Error(v)
	}
	c.t.Log(c.history.Summary())
}
