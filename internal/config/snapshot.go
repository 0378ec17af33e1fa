// Package config holds the versioned configuration of a process and distributes it: from the platform to
// controllers that watch it, and from them down a tree to all other processes.
package config

import (
	"bytes"
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/apitypes"
)

type objectKey struct{ kind, name string }

// Snapshot is one immutable version of the configuration.
type Snapshot struct {
	revision  uint64
	objects   map[objectKey]apitypes.Object
	templates map[string]*apitypes.Template
	teams     map[string]*apitypes.Team
	pools     map[string]*apitypes.Pool
	routes    map[string]*apitypes.Route
	admins    map[string]*apitypes.AdminCredential
	orders    map[string]*apitypes.PoolOrders
	keys      *keyIndex
	openRoute map[string]bool
	bad       map[objectKey]badObject
	// deleted holds the revision of each object's deletion, so that an older version can't bring it back.
	deleted map[objectKey]uint64
	// absent holds objects that a full list left out without a deletion having been seen.
	absent map[objectKey]absence
	digest uint64
}

// absence is weaker than a deletion, because the sender of the list may have missed the object's creation. The same version may
// come back with a late event or with a list of a larger revision; older versions may not.
type absence struct{ version, revision uint64 }

// badObject is an object whose last version can't be parsed, or holds values that can't be.
type badObject struct {
	version uint64
	reason  string
	data    json.RawMessage
}

// Revision returns the platform revision that the snapshot reflects; 0 for an empty one.
func (s *Snapshot) Revision() uint64 { return s.revision }

// Team returns a team, or nil.
func (s *Snapshot) Team(name string) *apitypes.Team { return s.teams[name] }

// Template returns a template, or nil.
func (s *Snapshot) Template(name string) *apitypes.Template { return s.templates[name] }

// Pool returns a pool, or nil.
func (s *Snapshot) Pool(name string) *apitypes.Pool { return s.pools[name] }

// Pools returns all pools by name. The caller must not change the map.
func (s *Snapshot) Pools() map[string]*apitypes.Pool { return s.pools }

// Teams returns all teams by name. The caller must not change the map.
func (s *Snapshot) Teams() map[string]*apitypes.Team { return s.teams }

// Route returns a route, or nil.
func (s *Snapshot) Route(name string) *apitypes.Route { return s.routes[name] }

// Routes returns all routes by name. The caller must not change the map.
func (s *Snapshot) Routes() map[string]*apitypes.Route { return s.routes }

// Admins returns all administrators' credentials by name. The caller must not change the map.
func (s *Snapshot) Admins() map[string]*apitypes.AdminCredential { return s.admins }

// Orders returns the orders object of a pool, or nil.
func (s *Snapshot) Orders(pool string) *apitypes.PoolOrders { return s.orders[pool] }

// RouteOpen tells whether any template opens the route to all.
func (s *Snapshot) RouteOpen(route string) bool { return s.openRoute[route] }

// Key returns the key record with the given keyed hash, or false. Withdrawn keys are returned too.
func (s *Snapshot) Key(hash string) (apitypes.KeyRecord, bool) { return s.keys.get(hash) }

// PoolForModel returns the pool that serves a model, or nil. The first pool by name wins.
func (s *Snapshot) PoolForModel(model string) *apitypes.Pool {
	var found *apitypes.Pool
	for _, p := range s.pools {
		if p.Model == model && (found == nil || p.Name < found.Name) {
			found = p
		}
	}
	return found
}

// UnparsableObjects returns kind/name of objects whose last version can't be parsed, with the reason. Their last good version is in force.
func (s *Snapshot) UnparsableObjects() map[string]string {
	out := make(map[string]string, len(s.bad))
	for k, b := range s.bad {
		out[k.kind+"/"+k.name] = b.reason
	}
	return out
}

// badObjects returns the versions that can't be used. Relays pass them on in full snapshots: a subscriber that was told nothing of such
// an object would drop its own last good version.
func (s *Snapshot) badObjects() []apitypes.Object {
	out := make([]apitypes.Object, 0, len(s.bad))
	for k, b := range s.bad {
		out = append(out, apitypes.Object{Kind: k.kind, Name: k.name, Version: b.version, Data: b.data})
	}
	return out
}

// Objects returns all objects ordered by kind and name.
func (s *Snapshot) Objects() []apitypes.Object {
	objects := slices.Collect(maps.Values(s.objects))
	slices.SortFunc(objects, func(a, b apitypes.Object) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return objects
}

func emptySnapshot() *Snapshot {
	return &Snapshot{
		objects:   map[objectKey]apitypes.Object{},
		templates: map[string]*apitypes.Template{},
		teams:     map[string]*apitypes.Team{},
		pools:     map[string]*apitypes.Pool{},
		routes:    map[string]*apitypes.Route{},
		admins:    map[string]*apitypes.AdminCredential{},
		orders:    map[string]*apitypes.PoolOrders{},
		keys:      newKeyIndex(),
		openRoute: map[string]bool{},
		bad:       map[objectKey]badObject{},
		deleted:   map[objectKey]uint64{},
		absent:    map[objectKey]absence{},
	}
}

func (s *Snapshot) clone() *Snapshot {
	return &Snapshot{
		revision:  s.revision,
		objects:   maps.Clone(s.objects),
		templates: maps.Clone(s.templates),
		teams:     maps.Clone(s.teams),
		pools:     maps.Clone(s.pools),
		routes:    maps.Clone(s.routes),
		admins:    maps.Clone(s.admins),
		orders:    maps.Clone(s.orders),
		keys:      s.keys.clone(),
		openRoute: s.openRoute,
		bad:       maps.Clone(s.bad),
		deleted:   maps.Clone(s.deleted),
		absent:    maps.Clone(s.absent),
		digest:    s.digest,
	}
}

// put stores an object. When its data can't be parsed, the last good version from old stays in force.
func (s *Snapshot) put(o apitypes.Object, old *Snapshot) {
	k := objectKey{o.Kind, o.Name}
	delete(s.deleted, k)
	delete(s.absent, k)
	if err := s.parse(k, o.Data); err != nil {
		s.bad[k] = badObject{o.Version, err.Error(), o.Data}
		if good, ok := old.objects[k]; ok {
			s.store(k, good)
			// The good version was parsed before, so parsing it again can't fail.
			_ = s.parse(k, good.Data)
		}
		return
	}
	delete(s.bad, k)
	s.store(k, o)
}

// store keeps the object's data and updates the digest.
func (s *Snapshot) store(k objectKey, o apitypes.Object) {
	if held, ok := s.objects[k]; ok {
		s.digest ^= hashVersion(held)
	}
	s.objects[k] = o
	s.digest ^= hashVersion(o)
}

// hashVersion hashes identity and version of an object. The digest of a snapshot is the XOR over its objects.
func hashVersion(o apitypes.Object) uint64 {
	return xxhash.Sum64String(o.Kind + "/" + o.Name + "@" + strconv.FormatUint(o.Version, 10))
}

// seen returns the newest version of an object that the snapshot has seen, deletions and unparsable versions included.
func (s *Snapshot) seen(k objectKey) uint64 {
	seen := max(s.objects[k].Version, s.bad[k].version, s.deleted[k])
	if a, ok := s.absent[k]; ok && a.version > 0 {
		seen = max(seen, a.version-1)
	}
	return seen
}

// ObjectVersion returns the version in force of an object, or 0 when it does not exist. A version that can't be parsed
// is not in force.
func (s *Snapshot) ObjectVersion(kind, name string) uint64 {
	return s.objects[objectKey{kind, name}].Version
}

// Digest identifies the versions of all objects in force. Two snapshots with the same objects have the same digest.
func (s *Snapshot) Digest() uint64 { return s.digest }

// OperatorsDigest is the digest without the objects that the system writes itself, the orders of pools. It changes only when operators
// change something, such as keys.
func (s *Snapshot) OperatorsDigest() uint64 {
	d := s.digest
	for pool := range s.orders {
		if o, ok := s.objects[objectKey{apitypes.KindOrders, pool}]; ok {
			d ^= hashVersion(o)
		}
	}
	return d
}

// parse puts an object's value in force, or returns an error and changes nothing.
func (s *Snapshot) parse(k objectKey, data []byte) error {
	if string(bytes.TrimSpace(data)) == "null" {
		return errors.New("parse: the value is null")
	}
	switch k.kind {
	case apitypes.KindTemplate:
		return parseInto(s.templates, k.name, data)
	case apitypes.KindTeam:
		return parseInto(s.teams, k.name, data)
	case apitypes.KindPool:
		return parseInto(s.pools, k.name, data)
	case apitypes.KindRoute:
		return parseInto(s.routes, k.name, data)
	case apitypes.KindAdmin:
		return parseInto(s.admins, k.name, data)
	case apitypes.KindOrders:
		orders := new(apitypes.PoolOrders)
		if err := parseValid(orders, data); err != nil {
			return err
		}
		s.orders[k.name] = orders
	case apitypes.KindKeySet:
		var set apitypes.KeySet
		if err := parseValid(&set, data); err != nil {
			return err
		}
		s.keys.replace(k.name, set.Keys)
	}
	return nil
}

func parseInto[T any](into map[string]*T, name string, data []byte) error {
	v := new(T)
	if err := json.Unmarshal(data, v); err != nil {
		return errors.Wrap(err, "parse")
	}
	into[name] = v
	return nil
}

// parseValid parses an object that only the system writes. Impossible values in it are damage, never an operator's choice.
func parseValid(v apitypes.Validator, data []byte) error {
	if err := json.Unmarshal(data, v); err != nil {
		return errors.Wrap(err, "parse")
	}
	if found := v.Validate(); len(found) > 0 {
		return errors.Wrapf(found[0], "%d impossible value(s), the first", len(found))
	}
	return nil
}

func (s *Snapshot) remove(k objectKey, revision uint64) {
	if held, ok := s.objects[k]; ok {
		s.digest ^= hashVersion(held)
	}
	s.deleted[k] = revision
	delete(s.absent, k)
	delete(s.objects, k)
	delete(s.bad, k)
	switch k.kind {
	case apitypes.KindTemplate:
		delete(s.templates, k.name)
	case apitypes.KindTeam:
		delete(s.teams, k.name)
	case apitypes.KindPool:
		delete(s.pools, k.name)
	case apitypes.KindRoute:
		delete(s.routes, k.name)
	case apitypes.KindAdmin:
		delete(s.admins, k.name)
	case apitypes.KindOrders:
		delete(s.orders, k.name)
	case apitypes.KindKeySet:
		s.keys.replace(k.name, nil)
	}
}

func (s *Snapshot) indexOpenRoutes() {
	s.openRoute = make(map[string]bool)
	for _, t := range s.templates {
		for _, r := range t.OpenRoutes {
			s.openRoute[r] = true
		}
	}
}
