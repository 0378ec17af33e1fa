package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"crocusglade.example/crocusglade/internal/endpoint"
)

// completionRequest is the body of a completion or chat completion request.
type completionRequest struct {
	Model               string             `json:"model"`
	Messages            []endpoint.Message `json:"messages"`
	Prompt              string             `json:"prompt"`
	MaxTokens           int                `json:"max_tokens"`
	MaxCompletionTokens int                `json:"max_completion_tokens"`
	Stream              bool               `json:"stream"`
	Priority            int                `json:"priority"`
	CacheSalt           string             `json:"cache_salt"`
	// ContinueAfter is the number of output tokens that the caller already received, ContinueText their text.
	ContinueAfter int    `json:"continue_after"`
	ContinueText  string `json:"continue_text"`
}

// ChatPrompt returns the prompt text of a chat with one message.
func ChatPrompt(role, content string) string { return role + ": " + content + "\n" }

func (c *completionRequest) promptText(chat bool) string {
	if !chat {
		return c.Prompt
	}
	return endpoint.ChatText(c.Messages)
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request, chat bool) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var request completionRequest
	if err := json.Unmarshal(body, &request); err != nil {
		writeJSONError(w, http.StatusBadRequest, "request body is not JSON; send a JSON object")
		return
	}
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		id = uuid.NewString()
	}
	prompt := request.promptText(chat)
	e.mu.Lock()
	e.requestLog = append(e.requestLog, EngineRequest{ID: id, Prompt: prompt, Priority: request.Priority, CacheSalt: request.CacheSalt,
		ContinueAfter: request.ContinueAfter, Stream: request.Stream, Header: r.Header.Clone(), Body: body, ReceivedAt: time.Now()})
	unavailable := e.control.draining || e.control.changing
	_, inUse := e.requests[id]
	e.mu.Unlock()
	switch {
	case unavailable:
		w.Header().Set("X-Request-Id", id)
		writeJSONError(w, http.StatusServiceUnavailable, "engine accepts no new requests; send the request to another engine")
		return
	case inUse:
		writeJSONError(w, http.StatusConflict, "request id is already in use; resume the stream")
		return
	case request.ContinueAfter > 0 && request.ContinueText != ExpectedOutput(prompt, request.ContinueAfter):
		writeJSONError(w, http.StatusBadRequest, "continue_text does not match the output; send the prompt without it")
		return
	}
	maxTokens := defaultMaxTokens
	if n := max(request.MaxTokens, request.MaxCompletionTokens); n > 0 {
		maxTokens = n
	}
	g := &generation{id: id, chat: chat, prompt: prompt, priority: request.Priority, firstToken: request.ContinueAfter, endToken: maxTokens,
		tokenCount: request.ContinueAfter, scheduled: make(chan struct{}), changed: make(chan struct{})}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	defer g.attach(e.cfg.ResumeGrace)()
	e.submit(g, request.CacheSalt, maxTokens)
	if request.Stream {
		e.writeStream(w, r, g, request.ContinueAfter, e.faultsForStream(false))
		return
	}
	e.writeResponse(w, r, g, e.faultsForStream(false))
}

// writeResponse waits for the generation to end and responds with one JSON object.
func (e *Engine) writeResponse(w http.ResponseWriter, r *http.Request, g *generation, f EngineFaults) {
	for {
		n, done, changed := g.progress()
		if faultDue(f.DisconnectAfter, n) {
			abort()
		}
		if faultDue(f.StallAfter, n) {
			<-r.Context().Done()
			return
		}
		if done {
			break
		}
		if !e.waitForChange(r, changed) {
			return
		}
	}
	n, _, _ := g.progress()
	if n < g.endToken {
		abort() // the generation was cancelled
	}
	id := e.responseID(g, f)
	text := ExpectedOutput(responsePrompt(g, f), n)
	choice := map[string]any{"index": 0, "finish_reason": "stop"}
	object := "text_completion"
	if g.chat {
		object = "chat.completion"
		choice["message"] = map[string]string{"role": "assistant", "content": text}
	} else {
		choice["text"] = text
	}
	b, _ := json.Marshal(map[string]any{"id": idPrefix(g.chat) + id, "object": object, "model": e.cfg.Model,
		"choices": []any{choice}, "usage": usageFigures(g, n)})
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("Content-Type", "application/json")
	switch {
	case f.InvalidDataAfter != 0:
		b = []byte("%%% not JSON %%%")
	case f.TruncateAfter != 0:
		b = b[:len(b)/2]
	}
	_, _ = w.Write(b)
}

// waitForChange waits until changed is closed. It returns false if the client disconnects and aborts the connection if the engine crashes.
func (e *Engine) waitForChange(r *http.Request, changed <-chan struct{}) bool {
	e.mu.Lock()
	crashSignal := e.crashSignal
	e.mu.Unlock()
	select {
	case <-changed:
		return true
	case <-crashSignal:
		abort()
	case <-r.Context().Done():
	}
	return false
}

// writeStream streams the tokens from index after as chunks of one token each.
func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, g *generation, after int, f EngineFaults) {
	e.mu.Lock()
	crashSignal := e.crashSignal
	e.mu.Unlock()
	id := e.responseID(g, f)
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush(w)
	sent := 0
	for i := after; ; {
		n, done, changed := g.progress()
		for ; i < n; i++ {
			if e.applyStreamFault(w, r, f, sent) {
				return
			}
			e.writeChunk(w, g, id, ExpectedToken(responsePrompt(g, f), i), "")
			sent++
		}
		if e.applyStreamFault(w, r, f, sent) {
			return
		}
		if done {
			break
		}
		select {
		case <-changed:
		case <-crashSignal:
			abort()
		case <-r.Context().Done():
			return
		}
	}
	if crashed(crashSignal) {
		abort()
	}
	n, _, _ := g.progress()
	if n < g.endToken {
		// The generation was cancelled, so the stream ends without its end marker.
		return
	}
	e.writeChunk(w, g, id, "", "stop")
	writeEvent(w, map[string]any{"id": idPrefix(g.chat) + id, "object": chunkObject(g.chat), "model": e.cfg.Model,
		"choices": []any{}, "usage": usageFigures(g, n)})
	fmt.Fprint(w, "data: [DONE]\n\n")
	flush(w)
}

// applyStreamFault injects the fault that is due after sent tokens, if any, and reports whether it ends the stream.
func (e *Engine) applyStreamFault(w http.ResponseWriter, r *http.Request, f EngineFaults, sent int) bool {
	switch {
	case faultDue(f.DisconnectAfter, sent):
		abort()
	case faultDue(f.TruncateAfter, sent):
		return true
	case faultDue(f.StallAfter, sent):
		<-r.Context().Done()
		return true
	case faultDue(f.InvalidDataAfter, sent):
		fmt.Fprint(w, "data: %%% not JSON %%%\n\n")
		flush(w)
		return true
	}
	return false
}

// writeChunk writes one chunk with the given text and finish reason; either may be empty.
func (e *Engine) writeChunk(w http.ResponseWriter, g *generation, id, text, finish string) {
	choice := map[string]any{"index": 0, "finish_reason": nil}
	if finish != "" {
		choice["finish_reason"] = finish
	}
	if g.chat {
		delta := map[string]string{}
		if text != "" {
			delta["role"], delta["content"] = "assistant", text
		}
		choice["delta"] = delta
	} else {
		choice["text"] = text
	}
	writeEvent(w, map[string]any{"id": idPrefix(g.chat) + id, "object": chunkObject(g.chat), "model": e.cfg.Model,
		"choices": []any{choice}})
}

// responseID returns the request id to send in the response.
func (e *Engine) responseID(g *generation, f EngineFaults) string {
	if f.MismatchedRequestID {
		return "another-request"
	}
	return g.id
}

// responsePrompt returns the prompt whose output the response contains.
func responsePrompt(g *generation, f EngineFaults) string {
	if f.MismatchedRequestID {
		return "the prompt of another request"
	}
	return g.prompt
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil || after < 0 {
		writeJSONError(w, http.StatusBadRequest, "after is not a number of tokens; send after=N")
		return
	}
	e.mu.Lock()
	g := e.requests[r.PathValue("id")]
	refused := e.faults.RefuseResume
	e.mu.Unlock()
	if g == nil || refused {
		writeJSONError(w, http.StatusNotFound, "request not found; continue it on another engine")
		return
	}
	defer g.attach(e.cfg.ResumeGrace)()
	e.writeStream(w, r, g, max(after, g.firstToken), e.faultsForStream(true))
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	g := e.requests[r.PathValue("id")]
	if g != nil {
		e.cancelLog = append(e.cancelLog, g.id)
	}
	e.mu.Unlock()
	if g == nil {
		writeJSONError(w, http.StatusNotFound, "request not found")
		return
	}
	g.cancel()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveLookup(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	g, instance := e.requests[r.PathValue("id")], e.instance
	e.mu.Unlock()
	state := "unknown"
	if g != nil {
		state = "running"
		if _, done, _ := g.progress(); done {
			state = "done"
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"state": state, "instance": instance})
}

func (e *Engine) serveModels(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]any{"object": "list",
		"data": []any{map[string]string{"id": e.cfg.Model, "object": "model"}}})
}

func usageFigures(g *generation, tokens int) map[string]int {
	return map[string]int{"prompt_tokens": g.promptTokens, "completion_tokens": tokens, "total_tokens": g.promptTokens + tokens}
}

func idPrefix(chat bool) string {
	if chat {
		return "chatcmpl-"
	}
	return "cmpl-"
}

func chunkObject(chat bool) string {
	if chat {
		return "chat.completion.chunk"
	}
	return "text_completion"
}

// writeEvent writes v as one server-sent event.
func writeEvent(w http.ResponseWriter, v any) {
	b, _ := json.Marshal(v)
	fmt.Fprintf(w, "data: %s\n\n", b)
	flush(w)
}

func flush(w http.ResponseWriter) {
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}
