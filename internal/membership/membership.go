// Package membership tracks the VMs of the deployment and assigns neighbours, watchers and other responsibilities among them.
package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rendezvous returns the n names with the highest hash weight for key, in order of weight (rendezvous hashing). All processes compute
// the same result from the same names, and adding or removing a name moves only the keys assigned to that name.
func Rendezvous(key string, names []string, n int) []string {
	type weighted struct {
		name   string
		weight uint64
	}
	all := make([]weighted, len(names))
	for i, name := range names {
		all[i] = weighted{name, xxhash.Sum64String(key + "\x00" + name)}
	}
	slices.SortFunc(all, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
	})
	out := make([]string, 0, min(n, len(all)))
	for _, w := range all[:min(n, len(all))] {
		out = append(out, w.name)
	}
	return out
}
