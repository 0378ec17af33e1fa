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

type dataRequest struct {
	Model               string             `json:"model"`
	Messages            []endpoint.Message `json:"messages"`
	Prompt              string             `json:"prompt"`
	MaxTokens           int                `json:"max_tokens"`
	MaxCompletionTokens int                `json:"max_completion_tokens"`
	Stream              bool               `json:"stream"`
	Priority            int                `json:"priority"`
	CacheSalt           string             `json:"cache_salt"`
	// ContinueAfter is the number of output tokens that the caller has, ContinueText their text.
	ContinueAfter int    `json:"continue_after"`
	ContinueText  string `json:"continue_text"`
}

// ChatPrompt returns the prompt text of one message, as the engine sees it.
func ChatPrompt(role, content string) string { return role + ": " + content + "\n" }

func (d *dataRequest) prompt(chat bool) string {
	if !chat {
		return d.Prompt
	}
	return endpoint.ChatText(d.Messages)
}

func (e *Engine) serveData(w http.ResponseWriter, r *http.Request, chat bool) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var d dataRequest
	if err := json.Unmarshal(body, &d); err != nil {
		writeRefusal(w, http.StatusBadRequest, "the body is not JSON; send a JSON object")
		return
	}
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		id = uuid.NewString()
	}
	prompt := d.prompt(chat)
	e.mu.Lock()
	e.requestLog = append(e.requestLog, EngineRequest{ID: id, Prompt: prompt, Priority: d.Priority, CacheSalt: d.CacheSalt,
		ContinueAfter: d.ContinueAfter, Stream: d.Stream, Header: r.Header.Clone(), Body: body, At: time.Now()})
	refuse := e.control.draining || e.control.changing
	_, known := e.requests[id]
	e.mu.Unlock()
	switch {
	case refuse:
		w.Header().Set("X-Request-Id", id)
		writeRefusal(w, http.StatusServiceUnavailable, "the engine takes no new work; send it elsewhere")
		return
	case known:
		writeRefusal(w, http.StatusConflict, "the request id is in use; resume the stream")
		return
	case d.ContinueAfter > 0 && d.ContinueText != ExpectedOutput(prompt, d.ContinueAfter):
		writeRefusal(w, http.StatusBadRequest, "the text so far does not match; send the prompt from the start")
		return
	}
	maxTokens := defaultMaxTokens
	if n := max(d.MaxTokens, d.MaxCompletionTokens); n > 0 {
		maxTokens = n
	}
	g := &generation{id: id, chat: chat, prompt: prompt, priority: d.Priority, from: d.ContinueAfter, end: maxTokens,
		tokens: d.ContinueAfter, start: make(chan struct{}), changed: make(chan struct{})}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	defer g.attach(e.cfg.ResumeGrace)()
	e.submit(g, d.CacheSalt, maxTokens)
	if d.Stream {
		e.stream(w, r, g, d.ContinueAfter, e.takeFaults(false))
		return
	}
	e.whole(w, r, g, e.takeFaults(false))
}

// whole answers with one JSON object.
func (e *Engine) whole(w http.ResponseWriter, r *http.Request, g *generation, f EngineFaults) {
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
		if !e.await(r, changed) {
			return
		}
	}
	n, _, _ := g.progress()
	if n < g.end {
		abort() // a cancelled generation has no whole answer
	}
	id := e.answerID(g, f)
	text := ExpectedOutput(answerPrompt(g, f), n)
	choice := map[string]any{"index": 0, "finish_reason": "stop"}
	object := "text_completion"
	if g.chat {
		object = "chat.completion"
		choice["message"] = map[string]string{"role": "assistant", "content": text}
	} else {
		choice["text"] = text
	}
	b, _ := json.Marshal(map[string]any{"id": idPrefix(g.chat) + id, "object": object, "model": e.cfg.Model,
		"choices": []any{choice}, "usage": usage(g, n)})
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

// await waits for a change; it returns false when the caller has gone and breaks the connection when the engine crashes.
func (e *Engine) await(r *http.Request, changed <-chan struct{}) bool {
	e.mu.Lock()
	down := e.down
	e.mu.Unlock()
	select {
	case <-changed:
		return true
	case <-down:
		abort()
	case <-r.Context().Done():
	}
	return false
}

// stream sends chunks of one token each after the first n tokens.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, g *generation, after int, f EngineFaults) {
	e.mu.Lock()
	down := e.down
	e.mu.Unlock()
	id := e.answerID(g, f)
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush(w)
	sent := 0
	for i := after; ; {
		n, done, changed := g.progress()
		for ; i < n; i++ {
			if e.streamFault(w, r, f, sent) {
				return
			}
			e.chunk(w, g, id, ExpectedToken(answerPrompt(g, f), i), "")
			sent++
		}
		if e.streamFault(w, r, f, sent) {
			return
		}
		if done {
			break
		}
		select {
		case <-changed:
		case <-down:
			abort()
		case <-r.Context().Done():
			return
		}
	}
	if crashed(down) {
		abort()
	}
	n, _, _ := g.progress()
	if n < g.end {
		// A cancelled generation has no end marker.
		return
	}
	e.chunk(w, g, id, "", "stop")
	writeEvent(w, map[string]any{"id": idPrefix(g.chat) + id, "object": chunkObject(g.chat), "model": e.cfg.Model,
		"choices": []any{}, "usage": usage(g, n)})
	fmt.Fprint(w, "data: [DONE]\n\n")
	flush(w)
}

// streamFault applies the faults that are due and tells whether the stream has ended.
func (e *Engine) streamFault(w http.ResponseWriter, r *http.Request, f EngineFaults, sent int) bool {
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

func (e *Engine) chunk(w http.ResponseWriter, g *generation, id, text, finish string) {
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

func (e *Engine) answerID(g *generation, f EngineFaults) string {
	if f.MismatchedRequestID {
		return "another-request"
	}
	return g.id
}

// answerPrompt returns the prompt whose output is sent.
func answerPrompt(g *generation, f EngineFaults) string {
	if f.MismatchedRequestID {
		return "the prompt of another request"
	}
	return g.prompt
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil || after < 0 {
		writeRefusal(w, http.StatusBadRequest, "after is not a count of tokens; send after=N")
		return
	}
	e.mu.Lock()
	g := e.requests[r.PathValue("id")]
	refuse := e.faults.RefuseResume
	e.mu.Unlock()
	if g == nil || refuse {
		writeRefusal(w, http.StatusNotFound, "the request is not known; continue it on another engine")
		return
	}
	defer g.attach(e.cfg.ResumeGrace)()
	e.stream(w, r, g, max(after, g.from), e.takeFaults(true))
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	g := e.requests[r.PathValue("id")]
	if g != nil {
		e.cancelLog = append(e.cancelLog, g.id)
	}
	e.mu.Unlock()
	if g == nil {
		writeRefusal(w, http.StatusNotFound, "the request is not known")
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

func usage(g *generation, tokens int) map[string]int {
	return map[string]int{"prompt_tokens": g.promptLen, "completion_tokens": tokens, "total_tokens": g.promptLen + tokens}
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
