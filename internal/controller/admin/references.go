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

// The checks of references read the platform before the write, so concurrent changes by two operators can still leave a reference
// to an object that does not exist. Processes treat the missing object as one that grants nothing.

// checkReferences returns an error for a team whose template, or a route whose pool, does not exist.
func (s *Server) checkReferences(ctx context.Context, kind, name string, data []byte) error {
	switch kind {
	case apitypes.KindTeam:
		var t apitypes.Team
		if err := json.Unmarshal(data, &t); err != nil {
			return err
		}
		return s.checkExists(ctx, apitypes.KindTemplate, t.Template, kind, name)
	case apitypes.KindRoute:
		var r apitypes.Route
		if err := json.Unmarshal(data, &r); err != nil {
			return err
		}
		return s.checkExists(ctx, apitypes.KindPool, r.Pool, kind, name)
	}
	return nil
}

// checkExists returns an error when an object to which another one refers does not exist.
func (s *Server) checkExists(ctx context.Context, kind, name, referrerKind, referrerName string) error {
	_, err := s.Store.Get(ctx, kind, name)
	if errors.Is(err, objectstore.ErrNotFound) {
		return apierror.New(apierror.InvalidRequest, "create the "+kind+" first, or name one that exists",
			"%s %s refers to %s %s, which does not exist", referrerKind, referrerName, kind, name)
	}
	return s.storeError(ctx, kind, name, err)
}

// checkUnused returns an error for a template that teams use, a pool that routes use, or a route that templates name.
func (s *Server) checkUnused(ctx context.Context, kind, name string) error {
	switch kind {
	case apitypes.KindTemplate:
		return checkNoReferrers(ctx, s, kind, name, apitypes.KindTeam, func(t apitypes.Team) bool { return t.Template == name })
	case apitypes.KindPool:
		return checkNoReferrers(ctx, s, kind, name, apitypes.KindRoute, func(r apitypes.Route) bool { return r.Pool == name })
	case apitypes.KindRoute:
		return checkNoReferrers(ctx, s, kind, name, apitypes.KindTemplate, func(t apitypes.Template) bool {
			return slices.Contains(t.Routes, name) || slices.Contains(t.OpenRoutes, name)
		})
	}
	return nil
}

// checkNoReferrers returns an error that names the first referrers when objects of referrerKind refer to the object.
func checkNoReferrers[T any](ctx context.Context, s *Server, kind, name, referrerKind string, refers func(T) bool) error {
	referrers, err := listObjects[T](ctx, s, referrerKind)
	if err != nil {
		return err
	}
	maps.DeleteFunc(referrers, func(_ string, v T) bool { return !refers(v) })
	if len(referrers) == 0 {
		return nil
	}
	names := slices.Sorted(maps.Keys(referrers))
	return apierror.New(apierror.Conflict, "change or delete the objects that refer to it first", "%s %s is used by %d objects of kind %s, such as %v",
		kind, name, len(names), referrerKind, names[:min(len(names), maxNamedReferrers)])
}

// maxNamedReferrers is the number of referrers that an error names at most.
const maxNamedReferrers = 5
