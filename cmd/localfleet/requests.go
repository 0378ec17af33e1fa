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

// requestTimeout limits one sample request.
const requestTimeout = 30 * time.Second

// chatBody returns the JSON body of the sample request with the index i to the model.
func chatBody(i int) string {
	return fmt.Sprintf(`{"model":"logreader","stream":true,"max_tokens":16,"messages":[{"role":"user","content":"Summarise rope log %d"}]}`, i)
}

// sendSamples sends the sample requests to the gateways in round-robin order and prints the answers. It returns the number of requests
// that failed or had an incomplete answer.
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

// send sends the sample request with the index i and returns its answer. Of four requests, two go to the model, one is an idempotent and
// one a non-idempotent request to the service.
func (f *fleet) send(ctx context.Context, gateway, key string, i int) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	method, path, body := http.MethodPost, "/v1/chat/completions", chatBody(i)
	// The kinds shift by one after each round of the gateways, so that every gateway receives every kind.
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
		return "", errors.Wrap(err, "read response body")
	}
	if response.StatusCode != http.StatusOK {
		return "", errors.Errorf("status %d: %s", response.StatusCode, strings.TrimSpace(string(data)))
	}
	if kind >= 2 {
		return method + " " + path + ": " + strings.TrimSpace(string(data)), nil
	}
	return streamText(string(data))
}

// streamEvent holds the checked fields of an event of a stream.
type streamEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

// streamText returns the text of a stream. It returns an error unless the stream has a finish reason and the end marker [DONE].
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
		var event streamEvent
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return "", errors.Wrap(err, "decode stream event")
		}
		for _, choice := range event.Choices {
			text.WriteString(choice.Delta.Content)
			finished = finished || choice.FinishReason != ""
		}
	}
	if !finished || !ended {
		return "", errors.Errorf("the stream is incomplete: %q", text.String())
	}
	return text.String(), nil
}
