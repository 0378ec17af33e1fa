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

// configKinds are the kinds that /config serves.
var configKinds = []string{apitypes.KindTemplate, apitypes.KindTeam, apitypes.KindPool, apitypes.KindRoute}

// configScope checks kind and scope. A credential that is limited to teams may change only these teams' objects.
func configScope(c echo.Context, scope string) (kind, name string, err error) {
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
	return kind, name, require(c, scope, team)
}

func (s *Server) listConfig(c echo.Context) error {
	kind, _, err := configScope(c, auth.ScopeRead)
	if err != nil {
		return err
	}
	items, revision, err := s.Store.List(c.Request().Context(), kind)
	if err != nil {
		return s.explain(c.Request().Context(), kind, "list", err)
	}
	if items == nil {
		items = []apitypes.Object{}
	}
	return c.JSON(http.StatusOK, map[string]any{"revision": revision, "items": items})
}

func (s *Server) getConfig(c echo.Context) error {
	kind, name, err := configScope(c, auth.ScopeRead)
	if err != nil {
		return err
	}
	o, err := s.Store.Get(c.Request().Context(), kind, name)
	if err != nil {
		return s.explain(c.Request().Context(), kind, name, err)
	}
	return c.JSON(http.StatusOK, o)
}

type writeResult struct {
	Version uint64 `json:"version"`
	confirmation
}

func (s *Server) putConfig(c echo.Context) error {
	kind, name, err := configScope(c, auth.ScopeConfig)
	if err != nil {
		return err
	}
	expected, err := expectedVersion(c)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return apierror.New(apierror.TooLarge, "send at most 1 MiB", "the body can't be read: %v", err)
	}
	data, err := validated(kind, name, body)
	if err != nil {
		return err
	}
	ctx := c.Request().Context()
	if err := s.checkReferences(ctx, kind, name, data); err != nil {
		return err
	}
	version, err := s.write(ctx, kind, name, data, expected)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, writeResult{version, s.confirm(ctx, kind, name, version)})
}

// validated returns the canonical JSON of a body, or one error that lists every mistake.
func validated(kind, name string, body []byte) (json.RawMessage, error) {
	v, mistakes := apitypes.ValidateObject(kind, name, body)
	if kind == apitypes.KindTeam && name == apitypes.OpenRouteTeam {
		mistakes = append(mistakes, errors.New(`name: "open" is reserved for requests without a key; use another name`))
	}
	if len(mistakes) == 0 {
		return apitypes.MarshalObject(v)
	}
	lines := make([]string, len(mistakes))
	for i, m := range mistakes {
		lines[i] = m.Error()
	}
	return nil, apierror.New(apierror.InvalidRequest, "correct the named fields and send the object again", "%s", strings.Join(lines, " | "))
}

func (s *Server) deleteConfig(c echo.Context) error {
	kind, name, err := configScope(c, auth.ScopeConfig)
	if err != nil {
		return err
	}
	expected, err := expectedVersion(c)
	if err != nil {
		return err
	}
	ctx := c.Request().Context()
	if expected == 0 {
		return apierror.New(apierror.InvalidRequest, `send 'If-Match: "<version>"'`, "a deletion needs the version to delete")
	}
	if err := s.checkUnused(ctx, kind, name); err != nil {
		return err
	}
	if err := s.remove(ctx, kind, name, expected); err != nil {
		return err
	}
	return c.JSON(http.StatusOK, writeResult{0, s.confirm(ctx, kind, name, 0)})
}

// list reads all objects of a kind and parses them; an object that can't be parsed is left out.
func list[T any](ctx context.Context, s *Server, kind string) (map[string]T, error) {
	items, _, err := s.Store.List(ctx, kind)
	if errors.Is(err, objectstore.ErrNotFound) {
		err = nil
	}
	if err != nil {
		return nil, s.explain(ctx, kind, "list", err)
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
