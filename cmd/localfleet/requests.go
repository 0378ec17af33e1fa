package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// requestLimit bounds one sample request.
const requestLimit = 30 * time.Second

// chatBody returns the body of a sample request to the model.
func chatBody(i int) string {
	return fmt.Sprintf(`{"model":"logreader","stream":true,"max_tokens":16,"messages":[{"role":"user","content":"Summarise rope log %d"}]}`, i)
}

// sendSamples sends the sample requests in turn to all gateways, prints the answers and returns how many were not whole.
func (f *fleet) sendSamples(ctx context.Context, key string) (failed int) {
	for i := range f.settings.Requests {
		gateway := f.vms[i%len(f.vms)].GatewayAddr
		answer, err := f.send(ctx, gateway, key, i)
		if err != nil {
			failed++
			fmt.Printf("[%d/%d] %s FAILED: %v\n", i+1, f.settings.Requests, gateway, err)
			continue
		}
		fmt.Printf("[%d/%d] %s %s\n", i+1, f.settings.Requests, gateway, answer)
	}
	return failed
}

// send sends one request: two of four to the model, one idempotent and one non-idempotent to the service.
func (f *fleet) send(ctx context.Context, gateway, key string, i int) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, requestLimit)
	defer cancel()
	method, path, body := http.MethodPost, "/v1/chat/completions", chatBody(i)
	// The kind changes after each round of the gateways, so that every gateway gets every kind.
	kind := (i + i/len(f.vms)) % 4
	switch kind {
	case 2:
		method, path, body = http.MethodGet, fmt.Sprintf("/svc/lines/%d", i), ""
	case 3:
		path, body = "/svc/declarations/new", fmt.Sprintf(`{"landing":%d,"tonnes":3}`, i)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+gateway+path, strings.NewReader(body))
	if err != nil {
		return "", err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	if kind == 3 {
		request.Header.Set("Idempotency-Key", fmt.Sprintf("landing-%d", i))
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return "", errors.Wrap(err, "read the answer")
	}
	if response.StatusCode != http.StatusOK {
		return "", errors.Errorf("status %d: %s", response.StatusCode, strings.TrimSpace(string(data)))
	}
	if kind >= 2 {
		return method + " " + path + ": " + strings.TrimSpace(string(data)), nil
	}
	return streamText(string(data))
}

// chunk is the part of a stream's event that is checked.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

// streamText returns the text of a whole stream. A stream is whole with a finish reason and its end marker.
func streamText(stream string) (string, error) {
	var text strings.Builder
	finished, ended := false, false
	for line := range strings.Lines(stream) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			ended = true
			continue
		}
		var c chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return "", errors.Wrap(err, "read the stream")
		}
		for _, choice := range c.Choices {
			text.WriteString(choice.Delta.Content)
			finished = finished || choice.FinishReason != ""
		}
	}
	if !finished || !ended {
		return "", errors.Errorf("the stream is not whole: %q", text.String())
	}
	return text.String(), nil
}
