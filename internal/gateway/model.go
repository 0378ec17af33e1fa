package gateway

import (
	"context"
	"encoding/json"
	"maps"
	"math"
	"net/http"
	"slices"
	"strconv"
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

// defaultOutputTokens is the expected number of output tokens of a request that sets no limit.
const defaultOutputTokens = 256

// reservedFields are body fields that only the gateway sets; values sent by the caller are dropped.
var reservedFields = []string{"priority", "cache_salt", "continue_after", "continue_text", "adapter", "request_id"}

// modelCall is a chat or completion request.
type modelCall struct {
	*call
	path      string
	stream    bool
	fields    map[string]json.RawMessage
	placement balancer.Request
}

// serveModel returns the handler of a chat or completion path.
func (g *Gateway) serveModel(path string) echo.HandlerFunc {
	return func(ec echo.Context) error {
		if err := g.beginRequest(); err != nil {
			return err
		}
		defer g.endPendingWork()
		m, err := g.prepareModel(ec.Response(), ec.Request(), path)
		if err != nil {
			return apierror.From(err, apierror.NotExecuted)
		}
		m.id = g.newID(m.team, path, m.pool.Name)
		ec.Response().Header().Set(requestIDHeader, m.id)
		return g.startRequest(ec, m.call, true, func(ctx context.Context, a *answer) { g.runModel(ctx, m, a) })
	}
}

// prepareModel authenticates, reads and validates a model request.
func (g *Gateway) prepareModel(w http.ResponseWriter, r *http.Request, path string) (*modelCall, error) {
	if err := checkFraming(r); err != nil {
		return nil, err
	}
	c, err := g.authenticate(r, false)
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
	started := false
	defer func() {
		if !started {
			c.releaseBody()
		}
	}()
	m := &modelCall{call: c, path: path}
	if err := m.parseBody(g.opts.Keyring.CacheSalt(c.team)); err != nil {
		return nil, err
	}
	c.fingerprint = retry.Fingerprint(c.team, path, c.body)
	if g.opts.Quarantine.Blocked(c.fingerprint) {
		return nil, quarantinedError()
	}
	admission := g.opts.Parts.Admit(c.sharedParts)
	if !admission.OK {
		return nil, quarantinedPartError(admission.RetryAfter)
	}
	c.probesPart = admission.Probe
	started = true
	return m, nil
}

func quarantinedPartError(retryAfter time.Duration) *apierror.Error {
	e := apierror.New(apierror.Quarantined, "leave out the message that earlier requests shared, or retry after the given time",
		"a message before the last one crashed the engines that answered it")
	e.RetryAfterSeconds = int(math.Ceil(retryAfter.Seconds()))
	return e
}

// messageParts returns the messages of a chat but the last, which other requests may share.
func messageParts(pool string, messages []endpoint.Message) []retry.Part {
	var parts []retry.Part
	for i := range max(len(messages)-1, 0) {
		sum := retry.Fingerprint(messages[i].Role, "", messages[i].Content)
		parts = append(parts, retry.NewPart(pool, strconv.FormatUint(sum, 16)))
	}
	return parts
}

func quarantinedError() *apierror.Error {
	return apierror.New(apierror.Quarantined, "change the request, or wait until the quarantine ends",
		"this request crashed endpoints that ran it")
}

func invalidBodyError(format string, args ...any) error {
	return apierror.New(apierror.InvalidRequest, "send a JSON object in the documented format", format, args...)
}

// parseBody validates the body and sets the fields for the engine and the placement request.
func (m *modelCall) parseBody(salt string) error {
	cleaned, ok := scrubJSON(m.body)
	if !ok || json.Unmarshal(cleaned, &m.fields) != nil || m.fields == nil {
		return invalidBodyError("the body is not a JSON object")
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
		return invalidBodyError("a field has the wrong type: %v", err)
	}
	prompt := endpoint.ChatText(body.Messages)
	switch {
	case body.Model == "":
		return invalidBodyError("the field model is missing")
	case m.path == endpoint.ChatPath && len(body.Messages) == 0:
		return invalidBodyError("the field messages is missing")
	case m.path == endpoint.CompletionPath && body.Prompt == nil:
		return invalidBodyError("the field prompt is missing or not a string")
	case body.MaxTokens < 0 || body.MaxCompletion < 0:
		return invalidBodyError("the output token limit is negative")
	case m.path == endpoint.CompletionPath:
		prompt = *body.Prompt
	}
	model, version, _ := strings.Cut(body.Model, "@")
	if err := m.authorizeModel(model, version); err != nil {
		return err
	}
	m.sharedParts = messageParts(m.pool.Name, body.Messages)
	m.stream = body.Stream
	m.placement.Pool = m.pool.Name
	m.placement.Adapter = body.Adapter
	m.placement.PromptTokens = endpoint.EstimateTokens(prompt)
	m.placement.OutputTokens = defaultOutputTokens
	if n := max(body.MaxTokens, body.MaxCompletion); n > 0 {
		m.placement.OutputTokens = n
	}
	m.placement.Prefix = endpoint.PrefixBlocks(salt, prompt)
	m.setFields(model, salt, body.Adapter, body.StreamOptions)
	return nil
}

// setFields replaces the reserved fields and the other fields that the gateway sets.
func (m *modelCall) setFields(model, salt, adapter string, streamOptions map[string]any) {
	// Some servers match field names case-insensitively, so a differently cased name could override the gateway's field.
	maps.DeleteFunc(m.fields, func(name string, _ json.RawMessage) bool {
		return slices.ContainsFunc(reservedFields, func(reserved string) bool { return strings.EqualFold(name, reserved) })
	})
	m.setField("model", model)
	m.setField("priority", admission.EnginePriority(m.priority))
	m.setField("cache_salt", salt)
	if adapter != "" {
		m.setField("adapter", adapter)
	}
	if m.stream {
		if streamOptions == nil {
			streamOptions = make(map[string]any)
		}
		// The usage chunk is required to detect that a stream is complete.
		streamOptions["include_usage"] = true
		m.setField("stream_options", streamOptions)
	}
}

func (m *modelCall) setField(name string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		return // can't happen: numbers, strings and maps of parsed JSON always marshal
	}
	m.fields[name] = b
}

// authorizeModel sets the pool and version of the request, or returns an error when the team may not use the model in the requested
// version. An empty version selects one from the team's grant.
func (m *modelCall) authorizeModel(model, version string) error {
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
		// Engines of a pool differ in version during a version change, so a grant with versions always requires one of them.
		version = versions[len(versions)-1]
		if slices.Contains(versions, m.pool.Version) {
			version = m.pool.Version
		}
	}
	m.placement.Version = version
	return nil
}

// engineRequest returns the request for an engine. When continueAfter is above 0, the engine continues the answer after that many
// tokens, whose output is text.
func (m *modelCall) engineRequest(continueAfter int, text string) endpoint.DataRequest {
	fields := make(map[string]json.RawMessage, len(m.fields)+2)
	for name, value := range m.fields {
		fields[name] = value
	}
	if continueAfter > 0 {
		fields["continue_after"], _ = json.Marshal(continueAfter)
		fields["continue_text"], _ = json.Marshal(text)
	}
	body, _ := json.Marshal(fields) // parsed JSON always marshals without error
	return endpoint.DataRequest{Path: m.path, RequestID: m.id, Body: body}
}

// runModel admits and runs a model request.
func (g *Gateway) runModel(ctx context.Context, m *modelCall, a *answer) {
	ticket, err := g.admit(ctx, m.call, m.placement.PromptTokens+m.placement.OutputTokens)
	if err != nil {
		a.fail(g.admissionError(ctx, err))
		return
	}
	defer func() { ticket.Release(int(m.usage.PromptTokens + m.usage.OutputTokens)) }()
	if m.stream {
		g.runStream(ctx, m, a)
		return
	}
	g.runNonStreaming(ctx, m, a)
}

// admit waits for admission and records the time that it took.
func (g *Gateway) admit(ctx context.Context, c *call, tokens int) (*admission.Ticket, error) {
	started := time.Now()
	defer func() { c.queueTime = time.Since(started) }()
	return g.opts.Admission.Acquire(ctx, admission.Request{Team: c.team, Pool: c.pool.Name, Priority: c.priority, Tokens: tokens, Deadline: c.deadline})
}

// admissionError returns the error for a request that was not admitted and thus not sent to an endpoint.
func (g *Gateway) admissionError(ctx context.Context, err error) *apierror.Error {
	if ctx.Err() != nil {
		return cancelledError(ctx, apierror.NotExecuted)
	}
	return apierror.From(err, apierror.NotExecuted)
}

// serveModels lists the models that the team may use and that a pool serves.
func (g *Gateway) serveModels(ec echo.Context) error {
	c, err := g.authenticate(ec.Request(), false)
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
