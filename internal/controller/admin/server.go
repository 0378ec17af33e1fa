// Package admin is the administration API of a controller: configuration, keys, endpoints, credentials, status and reports.
package admin

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/auth"
	"crocusglade.example/crocusglade/internal/buffer"
	"crocusglade.example/crocusglade/internal/config"
	"crocusglade.example/crocusglade/internal/membership"
	"crocusglade.example/crocusglade/internal/objectstore"
	"crocusglade.example/crocusglade/internal/peer/peerpb"
)

// EndpointSource returns the endpoints of a pool by name; *controller.Directory implements it.
type EndpointSource interface {
	Endpoints(pool string) map[string]apitypes.Endpoint
}

// Server serves the administration API. All fields but Endpoints and DialController must be set.
type Server struct {
	Store     objectstore.Store
	Config    *config.SnapshotStore
	Freshness *config.Freshness
	Members   *membership.Members
	Keyring   *auth.Keyring
	Admins    *auth.AdminAuthenticator
	// DialGateway returns a client of a VM's gateway; peer.Clients.GatewayClient has this type.
	DialGateway func(apitypes.VM) (peerpb.GatewayClient, error)
	Endpoints   EndpointSource
	// DialController connects to a VM's controller, to read its status and the loads of endpoints; peer.Clients.DialController has
	// this type.
	DialController config.DialControllerFunc
}

// Handler returns the handler of the API.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = writeError
	bodies := buffer.NewMemory(maxBodiesBytes)
	g := e.Group("/admin/v1", s.authenticate, func(next echo.HandlerFunc) echo.HandlerFunc { return readBody(bodies, next) })
	g.GET("/config/:kind", s.listConfig)
	g.GET("/config/:kind/:name", s.getConfig)
	g.PUT("/config/:kind/:name", s.putConfig)
	g.DELETE("/config/:kind/:name", s.deleteConfig)
	g.GET("/keys", s.listKeys)
	g.POST("/keys", s.issueKey)
	g.DELETE("/keys/:id", s.withdrawKey)
	g.GET("/credentials", s.listCredentials)
	g.POST("/credentials", s.createCredential)
	g.DELETE("/credentials/:name", s.withdrawCredential)
	g.GET("/status", s.status)
	g.GET("/endpoints", s.listEndpoints)
	g.POST("/endpoints/:pool/:name/drain", func(c echo.Context) error { return s.setDrained(c, true) })
	g.POST("/endpoints/:pool/:name/return", func(c echo.Context) error { return s.setDrained(c, false) })
	g.GET("/requests/unresolved", s.listUnresolved)
	g.POST("/requests/:key/resolve", s.resolve)
	g.GET("/usage", s.usage)
	g.GET("/burn", s.burn)
	return e
}

// maxBodiesBytes bounds the memory for the bodies of all requests in progress. One credential may occupy half of it.
const maxBodiesBytes = 32 << 20

// readBody reads the body within the memory of bodies before the handler runs.
func readBody(bodies *buffer.Memory, next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		r := c.Request()
		if r.Body == http.NoBody {
			return next(c)
		}
		memory := bodies.Reserve(c.Get(administratorContextKey).(auth.Administrator).Name)
		defer memory.Release()
		data, err := memory.ReadAll(http.MaxBytesReader(c.Response(), r.Body, objectstore.MaxValueBytes), objectstore.MaxValueBytes)
		var tooLarge *http.MaxBytesError
		switch {
		case errors.As(err, &tooLarge):
			return apierror.New(apierror.TooLarge, "split the object; the platform accepts at most 1 MiB", "the body is too large")
		case errors.Is(err, buffer.ErrTooLarge):
			c.Response().Header().Set("Connection", "close")
			e := apierror.New(apierror.Overloaded, "wait and retry", "this controller has no memory for the body now")
			e.RetryAfterSeconds = 1
			return e
		case err != nil:
			return apierror.New(apierror.InvalidRequest, "send the complete body", "the body is incomplete")
		}
		r.Body = io.NopCloser(bytes.NewReader(data))
		return next(c)
	}
}

// administratorContextKey is the key in the request's context of its auth.Administrator.
const administratorContextKey = "administrator"

func (s *Server) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		a, err := s.Admins.Authenticate(s.Config.Current(), c.Request().Header.Get(echo.HeaderAuthorization))
		if err != nil {
			return err
		}
		if err := a.RequireScope(auth.ScopeRead); err != nil {
			return err
		}
		c.Set(administratorContextKey, a)
		return next(c)
	}
}

// authorize returns an error unless the request's credential has the scope and covers the team. An empty team stands for all
// teams.
func authorize(c echo.Context, scope, team string) error {
	a := c.Get(administratorContextKey).(auth.Administrator)
	if err := a.RequireScope(scope); err != nil {
		return err
	}
	return a.RequireTeam(team)
}

// writeError writes an error in the shape {"error":{...}}.
func writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var he *echo.HTTPError
	if errors.As(err, &he) {
		kind := apierror.InvalidRequest
		if he.Code == http.StatusNotFound {
			kind = apierror.NotFound
		}
		err = apierror.New(kind, "check method, path and body against the administration API", "%v", he.Message)
	}
	e := apierror.From(err, apierror.ExecutionUnknown)
	if e.RetryAfterSeconds > 0 {
		c.Response().Header().Set("Retry-After", strconv.Itoa(e.RetryAfterSeconds))
	}
	_ = c.JSON(e.HTTPStatus(), map[string]any{"error": e})
}

// bind parses a JSON body.
func bind(c echo.Context, v any) error {
	if err := c.Bind(v); err != nil {
		return apierror.New(apierror.InvalidRequest, "send a JSON body as the administration API describes it", "can't read the request body: %v", err)
	}
	return nil
}

// expectedVersion returns the version that a conditional request expects; 0 means that the object must not exist.
func expectedVersion(c echo.Context) (uint64, error) {
	if c.Request().Header.Get("If-None-Match") == "*" {
		return 0, nil
	}
	v, err := strconv.ParseUint(strings.Trim(c.Request().Header.Get("If-Match"), `"`), 10, 64)
	if err != nil || v == 0 {
		return 0, apierror.New(apierror.InvalidRequest,
			`send 'If-Match: "<version>"' with the version that you read, or 'If-None-Match: *' to create`, "the request names no version")
	}
	return v, nil
}
