package admin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/auth"
	"crocusglade.example/crocusglade/internal/objectstore"
)

// configKinds are the kinds of objects that /config serves.
var configKinds = []string{apitypes.KindTemplate, apitypes.KindTeam, apitypes.KindPool, apitypes.KindRoute}

// authorizeConfig returns the kind and the name in the path after checking the kind and the credential's scope. A credential that
// is limited to teams may change only the objects of these teams.
func authorizeConfig(c echo.Context, scope string) (kind, name string, err error) {
	kind, name = c.Param("kind"), c.Param("name")
	if !slices.Contains(configKinds, kind) {
		return "", "", apierror.New(apierror.NotFound, "use template, team, pool or route", "%q is not a configuration kind", kind)
	}
	if scope == auth.ScopeRead {
		return kind, name, nil
	}
	team := ""
	if kind == apitypes.KindTeam {
		team = name
	}
	return kind, name, authorize(c, scope, team)
}

func (s *Server) listConfig(c echo.Context) error {
	kind, _, err := authorizeConfig(c, auth.ScopeRead)
	if err != nil {
		return err
	}
	items, revision, err := s.Store.List(c.Request().Context(), kind)
	if err != nil {
		return s.storeError(c.Request().Context(), kind, "list", err)
	}
	if items == nil {
		items = []apitypes.Object{}
	}
	return c.JSON(http.StatusOK, map[string]any{"revision": revision, "items": items})
}

func (s *Server) getConfig(c echo.Context) error {
	kind, name, err := authorizeConfig(c, auth.ScopeRead)
	if err != nil {
		return err
	}
	o, err := s.Store.Get(c.Request().Context(), kind, name)
	if err != nil {
		return s.storeError(c.Request().Context(), kind, name, err)
	}
	return c.JSON(http.StatusOK, o)
}

// writeResult is the response to a change: the object's new version, 0 after a deletion, and the gateways that have it in force.
type writeResult struct {
	Version uint64 `json:"version"`
	confirmation
}

func (s *Server) putConfig(c echo.Context) error {
	kind, name, err := authorizeConfig(c, auth.ScopeConfig)
	if err != nil {
		return err
	}
	expected, err := expectedVersion(c)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return apierror.New(apierror.TooLarge, "send at most 1 MiB", "can't read the request body: %v", err)
	}
	data, err := validateBody(kind, name, body)
	if err != nil {
		return err
	}
	ctx := c.Request().Context()
	if err := s.checkReferences(ctx, kind, name, data); err != nil {
		return err
	}
	version, err := s.writeObject(ctx, kind, name, data, expected)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, writeResult{version, s.confirm(ctx, kind, name, version)})
}

// validateBody returns the canonical JSON of an object, or one error that lists all that is invalid in it.
func validateBody(kind, name string, body []byte) (json.RawMessage, error) {
	v, errs := apitypes.ValidateObject(kind, name, body)
	if kind == apitypes.KindTeam && name == apitypes.OpenRouteTeam {
		errs = append(errs, errors.New(`name: "open" is reserved for requests without a key; use another name`))
	}
	if len(errs) == 0 {
		return apitypes.MarshalObject(v)
	}
	lines := make([]string, len(errs))
	for i, err := range errs {
		lines[i] = err.Error()
	}
	return nil, apierror.New(apierror.InvalidRequest, "correct the named fields and send the object again", "%s", strings.Join(lines, " | "))
}

func (s *Server) deleteConfig(c echo.Context) error {
	kind, name, err := authorizeConfig(c, auth.ScopeConfig)
	if err != nil {
		return err
	}
	expected, err := expectedVersion(c)
	if err != nil {
		return err
	}
	ctx := c.Request().Context()
	if expected == 0 {
		return apierror.New(apierror.InvalidRequest, `send 'If-Match: "<version>"'`, "the deletion names no version")
	}
	if err := s.checkUnused(ctx, kind, name); err != nil {
		return err
	}
	if err := s.deleteObject(ctx, kind, name, expected); err != nil {
		return err
	}
	return c.JSON(http.StatusOK, writeResult{0, s.confirm(ctx, kind, name, 0)})
}

// listObjects returns the objects of a kind by name. Objects that can't be parsed are left out.
func listObjects[T any](ctx context.Context, s *Server, kind string) (map[string]T, error) {
	items, _, err := s.Store.List(ctx, kind)
	if errors.Is(err, objectstore.ErrNotFound) {
		err = nil
	}
	if err != nil {
		return nil, s.storeError(ctx, kind, "list", err)
	}
	out := make(map[string]T, len(items))
	for _, o := range items {
		var v T
		if json.Unmarshal(o.Data, &v) == nil {
			out[o.Name] = v
		}
	}
	return out, nil
}
