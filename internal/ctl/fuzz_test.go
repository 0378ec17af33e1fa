package ctl

import (
	"encoding/json"
	"testing"
)

// Guards against a YAML file that makes crocusgladectl panic, an error without a line, and an accepted object that can't be
// encoded as JSON.
func FuzzYAML(f *testing.F) {
	for _, s := range []string{"kind: team\nname: a\ntemplate: b\n", "kind: pool\nname: p\nendpoints:\n  - name: e\n    addr: 1.2.3.4:5\n", "---\n---\n", "kind: [", "a: &a [*a]",
		"kind: route\nname: r\npool: p\nkind: team\n", "kind: team\n<<: {name: x}\n", "kind: template\nname: t\nlimits: {tokens_per_second: .inf}\n", "? [kind]\n: team\n", "kind: !!binary aGk=\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var r documentReader
		r.readData("f.yaml", data)
		r.rejectDuplicates()
		for _, e := range r.errs {
			if e.Line < 1 || e.Problem == "" {
				t.Errorf("%q: error %+v", data, e)
			}
		}
		for _, d := range r.documents {
			if _, err := json.Marshal(d); err != nil {
				t.Errorf("%q: document %+v: %v", data, d, err)
			}
		}
	})
}
