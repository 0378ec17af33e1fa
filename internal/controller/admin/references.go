package admin

import (
	"context"
	"encoding/json"
	"maps"
	"slices"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/objectstore"
)

// The checks of references read the platform before the write, so two operators who race can still leave a reference to an
// object that is gone. Processes treat such an object as one that grants nothing.

// checkReferences refuses a team whose template, or a route whose pool, does not exist.
func (s *Server) checkReferences(ctx context.Context, kind, name string, data []byte) error {
	switch kind {
	case apitypes.KindTeam:
		var t apitypes.Team
		if err := json.Unmarshal(data, &t); err != nil {
			return err
		}
		return s.mustExist(ctx, apitypes.KindTemplate, t.Template, kind, name)
	case apitypes.KindRoute:
		var r apitypes.Route
		if err := json.Unmarshal(data, &r); err != nil {
			return err
		}
		return s.mustExist(ctx, apitypes.KindPool, r.Pool, kind, name)
	}
	return nil
}

func (s *Server) mustExist(ctx context.Context, kind, name, byKind, byName string) error {
	_, err := s.Store.Get(ctx, kind, name)
	if errors.Is(err, objectstore.ErrNotFound) {
		return apierror.New(apierror.InvalidRequest, "create the "+kind+" first, or name one that exists",
			"%s %s refers to %s %s, which does not exist", byKind, byName, kind, name)
	}
	return s.explain(ctx, kind, name, err)
}

// checkUnused refuses to delete a template that teams use, a pool that routes use, or a route that templates name.
func (s *Server) checkUnused(ctx context.Context, kind, name string) error {
	switch kind {
	case apitypes.KindTemplate:
		return unused(ctx, s, kind, name, apitypes.KindTeam, func(t apitypes.Team) bool { return t.Template == name })
	case apitypes.KindPool:
		return unused(ctx, s, kind, name, apitypes.KindRoute, func(r apitypes.Route) bool { return r.Pool == name })
	case apitypes.KindRoute:
		return unused(ctx, s, kind, name, apitypes.KindTemplate, func(t apitypes.Template) bool {
			return slices.Contains(t.Routes, name) || slices.Contains(t.OpenRoutes, name)
		})
	}
	return nil
}

// unused refuses a deletion when an object of kind by refers to the object. It names the first few.
func unused[T any](ctx context.Context, s *Server, kind, name, by string, refers func(T) bool) error {
	all, err := list[T](ctx, s, by)
	if err != nil {
		return err
	}
	maps.DeleteFunc(all, func(_ string, v T) bool { return !refers(v) })
	if len(all) == 0 {
		return nil
	}
	names := slices.Sorted(maps.Keys(all))
	return apierror.New(apierror.Conflict, "change or delete what refers to it first", "%s %s is used by %d objects of kind %s, such as %v",
		kind, name, len(names), by, names[:min(len(names), namedUsers)])
}

// namedUsers is how many users of an object an error names.
const namedUsers = 5
