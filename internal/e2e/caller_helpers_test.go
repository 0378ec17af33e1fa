package e2e

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/history"
	"crocusglade.example/crocusglade/internal/standin"
)

// reply is the response that a caller received.
type reply struct {
	id     string
	status int
	body   string
	// text is the model's output.
	text string
	// complete is true when the response arrived in full with all its end markers.
	complete bool
	err      apierror.Error
}

// callTimeout bounds a call to a gateway that hangs. It is longer than any fault that a test injects.
const callTimeout = 60 * time.Second

// call sends a request with a team's key to a VM's gateway.
func (c *cluster) call(vm int, team, method, path, body string, header map[string]string) reply {
	c.mu.Lock()
	key := c.keys[team]
	c.mu.Unlock()
	return c.callWithKey(vm, key, method, path, body, header)
}

// callWithKey sends a request with a key to a VM's gateway. The status of the reply is 0 when the request failed without a
// response.
func (c *cluster) callWithKey(vm int, key, method, path, body string, header map[string]string) reply {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.url(c.vms[vm].GatewayAddr)+path, strings.NewReader(body))
	if err != nil {
		c.t.Error(err)
		return reply{}
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return reply{}
	}
	defer resp.Body.Close()
	r := reply{id: resp.Header.Get("X-Request-Id"), status: resp.StatusCode}
	data, err := io.ReadAll(resp.Body)
	r.body = string(data)
	r.complete = err == nil && resp.StatusCode < 400
	if resp.StatusCode >= 400 {
		var e struct{ Error apierror.Error }
		if json.Unmarshal(data, &e) == nil {
			r.err = e.Error
		}
	}
	return r
}

// chat sends a chat request, streamed or not, and parses the response.
func (c *cluster) chat(vm int, team, prompt string, tokens int, stream bool) reply {
	body := fmt.Sprintf(`{"model":"logreader","stream":%v,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, stream, tokens, prompt)
	r := c.call(vm, team, http.MethodPost, "/v1/chat/completions", body, nil)
	if r.status != http.StatusOK {
		return r
	}
	if stream {
		r.parseStream()
		return r
	}
	var answer struct {
		Choices []struct{ Message struct{ Content string } }
	}
	if err := json.Unmarshal([]byte(r.body), &answer); err != nil || len(answer.Choices) != 1 {
		r.complete = false
		return r
	}
	r.text = answer.Choices[0].Message.Content
	return r
}

// parseStream joins the chunks of a stream. The reply is complete only with a finish reason, usage and [DONE].
func (r *reply) parseStream() {
	var finished, hasUsage, done bool
	lines := bufio.NewScanner(strings.NewReader(r.body))
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var chunk struct {
			Choices []struct {
				Delta        struct{ Content string }
				FinishReason string `json:"finish_reason"`
			}
			Usage *struct{}
			Error *apierror.Error
		}
		if json.Unmarshal([]byte(data), &chunk) != nil {
			continue
		}
		for _, choice := range chunk.Choices {
			r.text += choice.Delta.Content
			finished = finished || choice.FinishReason != ""
		}
		hasUsage = hasUsage || chunk.Usage != nil
		if chunk.Error != nil {
			r.err = *chunk.Error
		}
	}
	r.complete = r.complete && finished && hasUsage && done
}

// expected returns the output that the stand-in engine generates for a chat of one user message.
func expected(prompt string, tokens int) string {
	return standin.ExpectedOutput(standin.ChatPrompt("user", prompt), tokens)
}

// record adds a finished request to the history. want is the text that the request should have returned.
func (c *cluster) record(vm int, team, route string, start time.Time, r reply, want string) {
	h := history.Request{ID: r.id, Team: team, Route: route, Gateway: c.vms[vm].Name, Start: start, End: time.Now(), Answer: r.text, Expected: want,
		ErrorKind: string(r.err.Kind), RunState: string(r.err.Execution)}
	switch {
	case r.complete:
		h.Result = history.ResultComplete
	case r.status == 0:
		h.Result = history.ResultDisconnected
	case r.status >= 400:
		h.Result = history.ResultRefused
	case r.err.Kind != "":
		h.Result = history.ResultIncomplete
	default:
		h.Result = history.ResultDisconnected
	}
	c.history.AddRequest(h)
}
