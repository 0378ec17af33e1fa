package history

import (
	"testing"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// Guards against a CheckBilling that accepts lost usage, usage billed twice or wrong token counts.
func TestCheckBilling(t *testing.T) {
	complete := Request{Team: "a", Result: ResultComplete, Tokens: 10}
	window := func(id string, requests, tokens uint64) UsageReport {
		return UsageReport{Window: id, Teams: map[string]apitypes.Usage{"a": {Requests: requests, PromptTokens: tokens}}}
	}
	cases := []struct {
		name string
		h    *History
		ok   bool
	}{
		{"exact over two windows", &History{Requests: []Request{complete, complete}, UsageReports: []UsageReport{window("1", 1, 10), window("2", 1, 10)}}, true},
		{"repeated report", &History{Requests: []Request{complete}, UsageReports: []UsageReport{window("1", 1, 10), window("1", 1, 10)}}, true},
		{"in flight and billed", &History{Requests: []Request{complete, {Team: "a", Result: ResultDisconnected}}, UsageReports: []UsageReport{window("1", 2, 20)}}, true},
		{"in flight and not billed", &History{Requests: []Request{complete, {Team: "a", Result: ResultDisconnected}}, UsageReports: []UsageReport{window("1", 1, 10)}}, true},
		{"lost", &History{Requests: []Request{complete, complete}, UsageReports: []UsageReport{window("1", 1, 10)}}, false},
		{"nothing reported", &History{Requests: []Request{complete}}, false},
		{"billed twice", &History{Requests: []Request{complete}, UsageReports: []UsageReport{window("1", 1, 10), window("2", 1, 10)}}, false},
		{"refusal billed", &History{Requests: []Request{{Team: "a", Result: ResultRefused, RunState: "not_run"}}, UsageReports: []UsageReport{window("1", 1, 10)}}, false},
		{"tokens lost", &History{Requests: []Request{complete}, UsageReports: []UsageReport{window("1", 1, 9)}}, false},
		{"team without requests", &History{UsageReports: []UsageReport{window("1", 1, 9)}}, false},
	}
	for _, c := range cases {
		if v := c.h.CheckBilling(); (len(v) == 0) != c.ok {
			t.Errorf("%s: %v", c.name, v)
		}
	}
}
