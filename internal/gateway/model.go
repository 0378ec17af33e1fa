package gateway

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"crocusglade.example/crocusglade/internal/admission"
	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/balancer"
	"crocusglade.example/crocusglade/internal/endpoint"
	"crocusglade.example/crocusglade/internal/retry"
)

// expectedOutput is the assumed number of output tokens of a request that sets no limit.
const expectedOutput = 256

// gatewayFields are body fields that only the gateway sets; what the caller sends in them is dropped.
var gatewayFields = []string{"priority", "cache_salt", "continue_after", "continue_text", "adapter", "request_id"}

// modelCall is a chat or completion request.
type modelCall struct {
	*call
	path   string
	stream bool
	fields map[string]json.RawMessage
	place  balancer.Request
}

// serveModel handles one of the model calls.
func (g *Gateway) serveModel(path string) echo.HandlerFunc {
	return func(ec echo.Context) error {
		if err := g.enter(); err != nil {
			return err
		}
		defer g.leave()
		m, err := g.prepareModel(ec.Response(), ec.Request(), path)
		if err != nil {
			return apierror.From(err, apierror.NotExecuted)
		}
		m.id = g.newID(m.team, path, m.pool.Name)
		ec.Response().Header().Set(requestIDHeader, m.id)
		return g.launch(ec, m.call, true, func(ctx context.Context, a *answer) { g.runModel(ctx, m, a) })
	}
}

// prepareModel authenticates and classifies a model request.
func (g *Gateway) prepareModel(w http.ResponseWriter, r *http.Request, path string) (*modelCall, error) {
	if err := checkFraming(r); err != nil {
		return nil, err
	}
	c, err := g.identify(r, false)
	if err != nil {
		return nil, err
	}
	c.setRoute(path)
	if err := c.setDeadline(r); err != nil {
		return nil, err
	}
	if err := g.readBody(c, w, r); err != nil {
		return nil, err
	}
	m := &modelCall{call: c, path: path}
	if err := m.parse(g.opts.Keyring.CacheSalt(c.team)); err != nil {
		return nil, err
	}
	c.fingerprint = retry.Fingerprint(c.team, path, c.body)
	if g.opts.Quarantine.Blocked(c.fingerprint) {
		return nil, quarantined()
	}
	return m, nil
}

func quarantined() *apierror.Error {
	return apierror.New(apierror.Quarantined, "change the request, or wait until the quarantine ends",
		"this request crashed endpoints that ran it")
}

func invalidBody(format string, args ...any) error {
	return apierror.New(apierror.InvalidRequest, "send a JSON object as the API describes it", format, args...)
}

// parse checks the body and prepares the fields that go to an engine.
func (m *modelCall) parse(salt string) error {
	cleaned, ok := scrubJSON(m.body)
	if !ok || json.Unmarshal(cleaned, &m.fields) != nil || m.fields == nil {
		return invalidBody("the body is not a JSON object")
	}
	var body struct {
		Model         string             `json:"model"`
		Adapter       string             `json:"adapter"`
		Stream        bool               `json:"stream"`
		Messages      []endpoint.Message `json:"messages"`
		Prompt        *string            `json:"prompt"`
		MaxTokens     int                `json:"max_tokens"`
		MaxCompletion int                `json:"max_completion_tokens"`
		StreamOptions map[string]any     `json:"stream_options"`
	}
	if err := json.Unmarshal(cleaned, &body); err != nil {
		return invalidBody("a field has the wrong type: %v", err)
	}
	prompt := endpoint.ChatText(body.Messages)
	switch {
	case body.Model == "":
		return invalidBody("the field model is missing")
	case m.path == endpoint.ChatPath && len(body.Messages) == 0:
		return invalidBody("the field messages is missing")
	case m.path == endpoint.CompletionPath && body.Prompt == nil:
		return invalidBody("the field prompt is missing or is no string")
	case body.MaxTokens < 0 || body.MaxCompletion < 0:
		return invalidBody("the limit of output tokens is negative")
	case m.path == endpoint.CompletionPath:
		prompt = *body.Prompt
	}
	model, version, _ := strings.Cut(body.Model, "@")
	if err := m.grant(model, version); err != nil {
		return err
	}
	m.stream = body.Stream
	m.place.Pool = m.pool.Name
	m.place.Adapter = body.Adapter
	m.place.PromptTokens = endpoint.EstimateTokens(prompt)
	m.place.OutputTokens = expectedOutput
	if n := max(body.MaxTokens, body.MaxCompletion); n > 0 {
		m.place.OutputTokens = n
	}
	m.place.Prefix = endpoint.PrefixBlocks(salt, prompt)
	m.setFields(model, salt, body.Adapter, body.StreamOptions)
	return nil
}

// setFields replaces the fields that the gateway owns.
func (m *modelCall) setFields(model, salt, adapter string, streamOptions map[string]any) {
	// Some servers match field names without regard to case, so a variant would take the place of the gateway's own field.
	maps.DeleteFunc(m.fields, func(name string, _ json.RawMessage) bool {
		return slices.ContainsFunc(gatewayFields, func(own string) bool { return strings.EqualFold(name, own) })
	})
	m.set("model", model)
	m.set("priority", admission.EnginePriority(m.priority))
	m.set("cache_salt", salt)
	if adapter != "" {
		m.set("adapter", adapter)
	}
	if m.stream {
		if streamOptions == nil {
			streamOptions = make(map[string]any)
		}
		// Without the usage chunk a stream can't be told to be whole.
		streamOptions["include_usage"] = true
		m.set("stream_options", streamOptions)
	}
}

func (m *modelCall) set(name string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		return // numbers, strings and maps of parsed JSON always marshal
	}
	m.fields[name] = b
}

// grant finds the model's pool and checks that the team may use it in the version asked for.
func (m *modelCall) grant(model, version string) error {
	i := slices.IndexFunc(m.template.Models, func(g apitypes.ModelGrant) bool { return g.Model == model })
	if i < 0 {
		if m.snapshot.PoolForModel(model) == nil {
			return apierror.New(apierror.NotFound, "list the models with GET /v1/models", "model %s is not known", model)
		}
		return apierror.New(apierror.Forbidden, "ask an operator to add the model to the team's template", "team %s may not use model %s", m.team, model)
	}
	m.pool = m.snapshot.PoolForModel(model)
	if m.pool == nil {
		return apierror.New(apierror.NotFound, "ask an operator for a pool that serves the model", "no pool serves model %s", model)
	}
	versions := m.template.Models[i].Versions
	switch {
	case version != "" && len(versions) > 0 && !slices.Contains(versions, version):
		return apierror.New(apierror.Forbidden, "ask an operator to add the version to the team's template", "team %s may not use version %s of model %s", m.team, version, model)
	case version == "" && len(versions) > 0:
		// Engines of a pool differ in version while it is changed, so a bounded grant always names one.
		version = versions[len(versions)-1]
		if slices.Contains(versions, m.pool.Version) {
			version = m.pool.Version
		}
	}
	m.place.Version = version
	return nil
}

// request returns the body for an engine that starts the answer after the given output.
func (m *modelCall) request(after int, text string) endpoint.DataRequest {
	fields := make(map[string]json.RawMessage, len(m.fields)+2)
	for name, value := range m.fields {
		fields[name] = value
	}
	if after > 0 {
		fields["continue_after"], _ = json.Marshal(after)
		fields["continue_text"], _ = json.Marshal(text)
	}
	body, _ := json.Marshal(fields) // parsed JSON always marshals
	return endpoint.DataRequest{Path: m.path, RequestID: m.id, Body: body}
}

// runModel admits and runs a model request.
func (g *Gateway) runModel(ctx context.Context, m *modelCall, a *answer) {
	ticket, err := g.admit(ctx, m.call, m.place.PromptTokens+m.place.OutputTokens)
	if err != nil {
		a.fail(g.admissionError(ctx, err))
		return
	}
	defer func() { ticket.Release(int(m.usage.PromptTokens + m.usage.OutputTokens)) }()
	if m.stream {
		g.runStream(ctx, m, a)
		return
	}
	g.runWhole(ctx, m, a)
}

func (g *Gateway) admit(ctx context.Context, c *call, tokens int) (*admission.Ticket, error) {
	started := time.Now()
	defer func() { c.queued = time.Since(started) }()
	return g.opts.Admission.Acquire(ctx, admission.Request{Team: c.team, Pool: c.pool.Name, Priority: c.priority, Tokens: tokens, Deadline: c.deadline})
}

// admissionError describes a request that was not admitted, so nothing was sent.
func (g *Gateway) admissionError(ctx context.Context, err error) *apierror.Error {
	if ctx.Err() != nil {
		return cancelledError(ctx, apierror.NotExecuted)
	}
	return apierror.From(err, apierror.NotExecuted)
}

// serveModels lists the models that the team may use and that have a pool.
func (g *Gateway) serveModels(ec echo.Context) error {
	c, err := g.identify(ec.Request(), false)
	if err != nil {
		return apierror.From(err, apierror.NotExecuted)
	}
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	for _, grant := range c.template.Models {
		if c.snapshot.PoolForModel(grant.Model) == nil {
			continue
		}
		list.Data = append(list.Data, model{grant.Model, "model", "crocusglade"})
		for _, version := range grant.Versions {
			list.Data = append(list.Data, model{grant.Model + "@" + version, "model", "crocusglade"})
		}
	}
	return ec.JSON(http.StatusOK, list)
}
