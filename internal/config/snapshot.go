// Package config holds the versioned configuration of a process and distributes it: controllers that watch the platform relay
// it down a tree to all other processes.
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

// objectKey identifies a configuration object.
type objectKey struct{ kind, name string }

// Snapshot is one immutable version of the configuration.
type Snapshot struct {
	revision   uint64
	objects    map[objectKey]apitypes.Object
	templates  map[string]*apitypes.Template
	teams      map[string]*apitypes.Team
	pools      map[string]*apitypes.Pool
	routes     map[string]*apitypes.Route
	admins     map[string]*apitypes.AdminCredential
	orders     map[string]*apitypes.PoolOrders
	keys       *keyIndex
	openRoutes map[string]bool
	unparsable map[objectKey]unparsableObject
	// deleted holds the revision of each object's deletion, so that an older version can't restore the object.
	deleted map[objectKey]uint64
	// absent holds objects that a full list omitted although no deletion was received.
	absent map[objectKey]absentObject
	digest uint64
}

// absentObject holds the version in force of an object that a full list omitted, and the revision of that list. An omission is weaker
// than a deletion, because the sender of the list may have missed the object's creation: a late event or a list of a larger revision
// may restore the same version, but not an older one.
type absentObject struct{ version, revision uint64 }

// unparsableObject is a last version of an object that can't be parsed or holds invalid values.
type unparsableObject struct {
	version uint64
	reason  string
	data    json.RawMessage
}

// Revision returns the platform revision that the snapshot reflects; 0 for an empty one.
func (s *Snapshot) Revision() uint64 { return s.revision }

// Team returns the team with the given name, or nil.
func (s *Snapshot) Team(name string) *apitypes.Team { return s.teams[name] }

// Template returns the template with the given name, or nil.
func (s *Snapshot) Template(name string) *apitypes.Template { return s.templates[name] }

// Pool returns the pool with the given name, or nil.
func (s *Snapshot) Pool(name string) *apitypes.Pool { return s.pools[name] }

// Pools returns all pools by name. The caller must not change the map.
func (s *Snapshot) Pools() map[string]*apitypes.Pool { return s.pools }

// Teams returns all teams by name. The caller must not change the map.
func (s *Snapshot) Teams() map[string]*apitypes.Team { return s.teams }

// Route returns the route with the given name, or nil.
func (s *Snapshot) Route(name string) *apitypes.Route { return s.routes[name] }

// Routes returns all routes by name. The caller must not change the map.
func (s *Snapshot) Routes() map[string]*apitypes.Route { return s.routes }

// Admins returns all administrators' credentials by name. The caller must not change the map.
func (s *Snapshot) Admins() map[string]*apitypes.AdminCredential { return s.admins }

// Orders returns the orders object of a pool, or nil.
func (s *Snapshot) Orders(pool string) *apitypes.PoolOrders { return s.orders[pool] }

// IsRouteOpen reports whether any template opens the route to callers without a key.
func (s *Snapshot) IsRouteOpen(route string) bool { return s.openRoutes[route] }

// Key returns the key record with the given keyed hash, or false. Withdrawn keys are returned too.
func (s *Snapshot) Key(hash string) (apitypes.KeyRecord, bool) { return s.keys.get(hash) }

// PoolForModel returns the pool that serves a model, or nil. If there are several, it returns the first by name.
func (s *Snapshot) PoolForModel(model string) *apitypes.Pool {
	var found *apitypes.Pool
	for _, p := range s.pools {
		if p.Model == model && (found == nil || p.Name < found.Name) {
			found = p
		}
	}
	return found
}

// UnparsableObjects returns the reason by kind/name for each object whose last version can't be parsed or holds invalid values. The
// last good version of these objects stays in force.
func (s *Snapshot) UnparsableObjects() map[string]string {
	out := make(map[string]string, len(s.unparsable))
	for k, b := range s.unparsable {
		out[k.kind+"/"+k.name] = b.reason
	}
	return out
}

// unparsableVersions returns the versions that can't be parsed. Relays include them in full snapshots: a subscriber would drop its own
// last good version of an object that a full snapshot omits.
func (s *Snapshot) unparsableVersions() []apitypes.Object {
	out := make([]apitypes.Object, 0, len(s.unparsable))
	for k, b := range s.unparsable {
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
		objects:    map[objectKey]apitypes.Object{},
		templates:  map[string]*apitypes.Template{},
		teams:      map[string]*apitypes.Team{},
		pools:      map[string]*apitypes.Pool{},
		routes:     map[string]*apitypes.Route{},
		admins:     map[string]*apitypes.AdminCredential{},
		orders:     map[string]*apitypes.PoolOrders{},
		keys:       newKeyIndex(),
		openRoutes: map[string]bool{},
		unparsable: map[objectKey]unparsableObject{},
		deleted:    map[objectKey]uint64{},
		absent:     map[objectKey]absentObject{},
	}
}

func (s *Snapshot) clone() *Snapshot {
	return &Snapshot{
		revision:   s.revision,
		objects:    maps.Clone(s.objects),
		templates:  maps.Clone(s.templates),
		teams:      maps.Clone(s.teams),
		pools:      maps.Clone(s.pools),
		routes:     maps.Clone(s.routes),
		admins:     maps.Clone(s.admins),
		orders:     maps.Clone(s.orders),
		keys:       s.keys.clone(),
		openRoutes: s.openRoutes,
		unparsable: maps.Clone(s.unparsable),
		deleted:    maps.Clone(s.deleted),
		absent:     maps.Clone(s.absent),
		digest:     s.digest,
	}
}

// put applies a version of an object. If its data can't be parsed, the last good version from old stays in force.
func (s *Snapshot) put(o apitypes.Object, old *Snapshot) {
	k := objectKey{o.Kind, o.Name}
	delete(s.deleted, k)
	delete(s.absent, k)
	if err := s.parseObject(k, o.Data); err != nil {
		s.unparsable[k] = unparsableObject{o.Version, err.Error(), o.Data}
		if good, ok := old.objects[k]; ok {
			s.setObject(k, good)
			// This can't fail: the good version was parsed before.
			_ = s.parseObject(k, good.Data)
		}
		return
	}
	delete(s.unparsable, k)
	s.setObject(k, o)
}

// setObject stores the object's data and updates the digest.
func (s *Snapshot) setObject(k objectKey, o apitypes.Object) {
	if previous, ok := s.objects[k]; ok {
		s.digest ^= hashVersion(previous)
	}
	s.objects[k] = o
	s.digest ^= hashVersion(o)
}

// hashVersion hashes the kind, name and version of an object. The digest of a snapshot is the XOR over its objects.
func hashVersion(o apitypes.Object) uint64 {
	return xxhash.Sum64String(o.Kind + "/" + o.Name + "@" + strconv.FormatUint(o.Version, 10))
}

// newestVersion returns the newest version of an object that was applied to the snapshot, including deletions and unparsable versions.
// For an absent object it is one less than the absent version, so that a late event can restore that version.
func (s *Snapshot) newestVersion(k objectKey) uint64 {
	newest := max(s.objects[k].Version, s.unparsable[k].version, s.deleted[k])
	if a, ok := s.absent[k]; ok && a.version > 0 {
		newest = max(newest, a.version-1)
	}
	return newest
}

// ObjectVersion returns the version of an object that is in force, or 0 if the object does not exist. A version that can't be parsed
// is never in force.
func (s *Snapshot) ObjectVersion(kind, name string) uint64 {
	return s.objects[objectKey{kind, name}].Version
}

// Digest identifies the versions of all objects in force. Two snapshots with the same objects have the same digest.
func (s *Snapshot) Digest() uint64 { return s.digest }

// OperatorDigest is the digest without the orders of pools, which the system writes itself. It changes only when operators change
// the configuration, for example keys.
func (s *Snapshot) OperatorDigest() uint64 {
	d := s.digest
	for pool := range s.orders {
		if o, ok := s.objects[objectKey{apitypes.KindOrders, pool}]; ok {
			d ^= hashVersion(o)
		}
	}
	return d
}

// parseObject puts an object's parsed value in force. On error it changes nothing.
func (s *Snapshot) parseObject(k objectKey, data []byte) error {
	if string(bytes.TrimSpace(data)) == "null" {
		return errors.New("parse: the value is null")
	}
	switch k.kind {
	case apitypes.KindTemplate:
		return parseJSON(s.templates, k.name, data)
	case apitypes.KindTeam:
		return parseJSON(s.teams, k.name, data)
	case apitypes.KindPool:
		return parseJSON(s.pools, k.name, data)
	case apitypes.KindRoute:
		return parseJSON(s.routes, k.name, data)
	case apitypes.KindAdmin:
		return parseJSON(s.admins, k.name, data)
	case apitypes.KindOrders:
		orders := new(apitypes.PoolOrders)
		if err := parseValidated(orders, data); err != nil {
			return err
		}
		s.orders[k.name] = orders
	case apitypes.KindKeySet:
		var set apitypes.KeySet
		if err := parseValidated(&set, data); err != nil {
			return err
		}
		s.keys.replace(k.name, set.Keys)
	}
	return nil
}

// parseJSON parses data and stores the value in into under name.
func parseJSON[T any](into map[string]*T, name string, data []byte) error {
	v := new(T)
	if err := json.Unmarshal(data, v); err != nil {
		return errors.Wrap(err, "parse")
	}
	into[name] = v
	return nil
}

// parseValidated parses and validates an object that only the system writes. Invalid values in it are always corruption and never an
// operator's setting.
func parseValidated(v apitypes.Validator, data []byte) error {
	if err := json.Unmarshal(data, v); err != nil {
		return errors.Wrap(err, "parse")
	}
	if problems := v.Validate(); len(problems) > 0 {
		return errors.Wrapf(problems[0], "%d invalid value(s), the first", len(problems))
	}
	return nil
}

// remove deletes an object at the given revision.
func (s *Snapshot) remove(k objectKey, revision uint64) {
	if previous, ok := s.objects[k]; ok {
		s.digest ^= hashVersion(previous)
	}
	s.deleted[k] = revision
	delete(s.absent, k)
	delete(s.objects, k)
	delete(s.unparsable, k)
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

// indexOpenRoutes collects the open routes of all templates.
func (s *Snapshot) indexOpenRoutes() {
	s.openRoutes = make(map[string]bool)
	for _, t := range s.templates {
		for _, r := range t.OpenRoutes {
			s.openRoutes[r] = true
		}
	}
}
