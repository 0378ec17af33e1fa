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

// executions returns the non-idempotent calls that the services executed, by request id.
func (c *cluster) executions() map[string]standin.ServiceCall {
	executed := make(map[string]standin.ServiceCall)
	for _, s := range c.services {
		counts := s.ExecutionsByRequest()
		for _, call := range s.Calls() {
			if counts[call.ID] > 0 && call.Method == http.MethodPost {
				executed[call.ID] = call
			}
		}
	}
	return executed
}

// recordEndpointHistory adds the requests and orders that engines received and the calls that services executed to the history.
func (c *cluster) recordEndpointHistory() {
	salts := c.teamsBySalt()
	for name, e := range c.engines {
		for _, r := range e.Requests() {
			c.history.AddExecution(history.Execution{RequestID: r.ID, Endpoint: name, Team: salts[r.CacheSalt], At: r.ReceivedAt,
				KeyExposed: c.containsKey(r.Header, string(r.Body))})
		}
		for _, o := range e.Orders() {
			c.history.AddOrder(history.Order{Target: name, ID: o.ID, FencingToken: o.Fence, Kind: string(o.Kind), Value: o.Value, Applied: o.Applied})
		}
	}
	for name, s := range c.services {
		counts := s.ExecutionsByRequest()
		for _, call := range s.Calls() {
			if counts[call.ID] == 0 {
				continue
			}
			c.history.AddExecution(history.Execution{RequestID: call.ID, Endpoint: name, Team: teamFromPath(call.URI),
				IdempotencyKey: call.Header.Get("Idempotency-Key"), At: call.ReceivedAt, KeyExposed: c.containsKey(call.Header, call.URI+string(call.Body))})
		}
	}
}

// teamsBySalt maps each cache salt that engines received to the team that sent the first request with it.
func (c *cluster) teamsBySalt() map[string]string {
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

// teamFromPath returns the team that the path of a call names, as in "/of/skippers/7", or "" when it names none.
func teamFromPath(uri string) string {
	rest, ok := strings.CutPrefix(uri, "/of/")
	if !ok {
		return ""
	}
	team, _, _ := strings.Cut(rest, "/")
	return team
}

// containsKey reports whether the headers or the rest of a request that an endpoint received contain any issued key.
func (c *cluster) containsKey(header http.Header, rest string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, key := range c.issuedKeys {
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

// enforceBounds makes tests check the time bounds of docs/design.md by wall time. It is off by default, because a slow machine
// would exceed them.
var enforceBounds = os.Getenv("CROCUSGLADE_E2E_TIMED") != ""

// bounds returns the times within which changes must be in force. Without enforceBounds a test fails only for a change that is
// not in force within waitTimeout.
func bounds() history.Bounds {
	if enforceBounds {
		return history.DefaultBounds
	}
	return history.Bounds{Withdrawal: waitTimeout, Leaving: waitTimeout, Config: waitTimeout}
}

// checkGuarantees completes the history and fails the test for each violation of a guarantee.
func (c *cluster) checkGuarantees() {
	c.t.Helper()
	c.recordEndpointHistory()
	for _, v := range c.history.CheckGuarantees(bounds()) {
		c.t.Error(v)
	}
	c.t.Log(c.history.Summary())
}

// platformFaults are the faults that the stand-in platform injects.
type platformFaults = memplatform.Faults

// unescapeTwice decodes percent escapes once and, where possible, a second time, as two servers in a row do. It returns both
// results.
func unescapeTwice(s string) (string, error) {
	once, err := url.QueryUnescape(s)
	if err != nil {
		return "", err
	}
	if twice, err := url.QueryUnescape(once); err == nil {
		return once + "\n" + twice, nil
	}
	return once, nil
}
