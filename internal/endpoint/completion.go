package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"unicode/utf8"

	"github.com/go-faster/errors"
)

// Paths of the engines' data calls.
const (
	ChatPath       = "/v1/chat/completions"
	CompletionPath = "/v1/completions"
)

// DataRequest is a chat or completion request.
type DataRequest struct {
	// Path is ChatPath or CompletionPath.
	Path      string
	RequestID string
	Body      []byte
}

// Usage is the token count that an engine reports for a whole answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// Answer is a whole answer of an engine.
type Answer struct {
	Body  []byte
	Usage Usage
}

// Chunk is one event of a stream.
type Chunk struct {
	// Data is the event's JSON.
	Data []byte
	// Text is the output token; empty in chunks without output.
	Text string
	// TextOnly is false when the chunk holds output other than the text of one choice, which can't be continued elsewhere.
	TextOnly     bool
	FinishReason string
	Usage        *Usage
}

// completion covers whole answers and chunks of both calls.
type completion struct {
	ID      string   `json:"id"`
	Choices []choice `json:"choices"`
	Usage   *Usage   `json:"usage"`
}

type choice struct {
	Text         string          `json:"text"`
	Delta        delta           `json:"delta"`
	Message      json.RawMessage `json:"message"`
	Logprobs     any             `json:"logprobs"`
	FinishReason *string         `json:"finish_reason"`
}

// delta is what a chunk adds to a message.
type delta struct {
	// content holds the text of a delta that has nothing else, fields everything of other ones.
	content string
	fields  map[string]any
}

// UnmarshalJSON implements json.Unmarshaler. Nearly all deltas hold content alone without escapes; reading them without a map saves a
// third of the allocations of a chunk.
func (d *delta) UnmarshalJSON(data []byte) error {
	rest, ok := bytes.CutPrefix(data, []byte(`{"content":"`))
	text, closed := bytes.CutSuffix(rest, []byte(`"}`))
	if ok && closed && !bytes.ContainsAny(text, `"\`) && utf8.Valid(text) {
		d.content = string(text)
		return nil
	}
	return json.Unmarshal(data, &d.fields)
}

// AnswerID returns the id that an answer to the request must have.
func AnswerID(path, requestID string) string {
	if path == ChatPath {
		return "chatcmpl-" + requestID
	}
	return "cmpl-" + requestID
}

func (c *Client) newDataRequest(ctx context.Context, addr string, r DataRequest) (*http.Request, error) {
	req, err := newRequest(ctx, http.MethodPost, addr, r.Path, r.Path, r.Body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(requestIDHeader, r.RequestID)
	return req, nil
}

// RunUnary runs a request and returns its answer after checking that it is whole and belongs to the request.
func (c *Client) RunUnary(ctx context.Context, addr string, r DataRequest) (*Answer, error) {
	w := newWatchdog(ctx, c.opts.UnaryWait)
	defer w.stop()
	req, err := c.newDataRequest(w.ctx, addr, r)
	if err != nil {
		return nil, err
	}
	resp, err := c.do(c.pooled, req, addr, r.Path)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, refusal(resp, addr, r.Path)
	}
	defer resp.Body.Close()
	body, err := c.readWhole(resp.Body)
	if err != nil {
		return nil, w.readError(addr, r.Path, err)
	}
	answer, reason, err := checkWhole(resp.Header, body, r)
	if err != nil {
		return nil, &Error{Addr: addr, Op: r.Path, Reason: reason, MaybeSent: true, Err: err}
	}
	return answer, nil
}

func (c *Client) readWhole(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, c.opts.MaxAnswerBytes+1))
	if err == nil && int64(len(body)) > c.opts.MaxAnswerBytes {
		return nil, errors.Errorf("the answer is above %d bytes; raise the limit", c.opts.MaxAnswerBytes)
	}
	return body, err
}

func checkWhole(header http.Header, body []byte, r DataRequest) (*Answer, Reason, error) {
	var a completion
	if err := json.Unmarshal(body, &a); err != nil {
		return nil, Invalid, errors.Wrap(err, "the answer is not JSON")
	}
	if header.Get(requestIDHeader) != r.RequestID || a.ID != AnswerID(r.Path, r.RequestID) {
		return nil, WrongRequest, errors.New("the answer does not echo the request id")
	}
	if len(a.Choices) == 0 || a.Usage == nil {
		return nil, Invalid, errors.New("the answer lacks its output or its usage")
	}
	for _, ch := range a.Choices {
		if ch.FinishReason == nil || *ch.FinishReason == "" {
			return nil, Invalid, errors.New("the answer has no finish_reason")
		}
	}
	return &Answer{Body: body, Usage: *a.Usage}, "", nil
}

// Stream is a running answer. It must be closed.
type Stream struct {
	client *Client
	addr   string
	op     string
	id     string
	body   io.ReadCloser
	lines  *bufio.Scanner
	dog    *watchdog

	finished bool
	usage    bool
}

// Stream runs a request whose body asks for a stream.
func (c *Client) Stream(ctx context.Context, addr string, r DataRequest) (*Stream, error) {
	w := newWatchdog(ctx, c.opts.FirstTokenWait)
	req, err := c.newDataRequest(w.ctx, addr, r)
	if err != nil {
		w.stop()
		return nil, err
	}
	return c.open(w, req, addr, r.Path, r)
}

// ResumeStream continues the stream of a request on the engine that runs it, after the first n output tokens.
func (c *Client) ResumeStream(ctx context.Context, addr string, r DataRequest, n int) (*Stream, error) {
	w := newWatchdog(ctx, c.opts.FirstTokenWait)
	uri := fmt.Sprintf("/v1/requests/%s/stream?after=%d", r.RequestID, n)
	req, err := newRequest(w.ctx, http.MethodGet, addr, "resume", uri, nil)
	if err != nil {
		w.stop()
		return nil, err
	}
	req.Header.Set(requestIDHeader, r.RequestID)
	return c.open(w, req, addr, "resume", r)
}

func (c *Client) open(w *watchdog, req *http.Request, addr, op string, r DataRequest) (*Stream, error) {
	resp, err := c.do(c.pooled, req, addr, op)
	if err != nil {
		w.stop()
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		err := refusal(resp, addr, op)
		w.stop()
		return nil, err
	}
	s := &Stream{client: c, addr: addr, op: op, id: AnswerID(r.Path, r.RequestID), body: resp.Body, dog: w,
		lines: newEventScanner(resp.Body, c.opts.MaxAnswerBytes)}
	if resp.Header.Get(requestIDHeader) != r.RequestID {
		s.Close()
		return nil, s.fail(WrongRequest, "the answer's header does not echo the request id")
	}
	return s, nil
}

func newEventScanner(r io.Reader, limit int64) *bufio.Scanner {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 4096), int(limit))
	return s
}

var dataField = []byte("data:")

// nextData returns the data of the next event, or io.EOF at the end.
func nextData(s *bufio.Scanner) ([]byte, error) {
	for s.Scan() {
		if data, ok := bytes.CutPrefix(s.Bytes(), dataField); ok {
			return bytes.Clone(bytes.TrimSpace(data)), nil
		}
	}
	if err := s.Err(); err != nil {
		return nil, err
	}
	return nil, io.EOF
}

// Next returns the next chunk. It returns io.EOF only after the whole answer: finish_reason, usage and end marker.
func (s *Stream) Next() (*Chunk, error) {
	data, err := nextData(s.lines)
	if errors.Is(err, io.EOF) {
		return nil, s.dog.readError(s.addr, s.op, io.ErrUnexpectedEOF)
	}
	if err != nil {
		return nil, s.dog.readError(s.addr, s.op, err)
	}
	s.dog.reset(s.client.opts.TokenWait)
	if string(data) == "[DONE]" {
		if !s.finished || !s.usage {
			return nil, s.fail(Invalid, "the end marker came before finish_reason and usage")
		}
		return nil, io.EOF
	}
	return s.parse(data)
}

func (s *Stream) parse(data []byte) (*Chunk, error) {
	var c completion
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, s.fail(Invalid, "a chunk is not JSON")
	}
	if c.ID != s.id {
		return nil, s.fail(WrongRequest, "a chunk does not carry the request id")
	}
	chunk := &Chunk{Data: data, Usage: c.Usage, TextOnly: len(c.Choices) <= 1}
	for _, ch := range c.Choices {
		chunk.addChoice(ch)
	}
	if s.finished && chunk.Text != "" {
		return nil, s.fail(Invalid, "output follows finish_reason")
	}
	s.finished = s.finished || chunk.FinishReason != ""
	s.usage = s.usage || chunk.Usage != nil
	return chunk, nil
}

func (c *Chunk) addChoice(ch choice) {
	c.Text += ch.Text + ch.Delta.content
	for field, value := range ch.Delta.fields {
		text, isText := value.(string)
		switch {
		case field == "content" && isText:
			c.Text += text
		case field == "role" || value == nil:
		default:
			c.TextOnly = false
		}
	}
	if ch.Logprobs != nil {
		c.TextOnly = false
	}
	if ch.FinishReason != nil {
		c.FinishReason = *ch.FinishReason
	}
}

func (s *Stream) fail(reason Reason, message string) *Error {
	return &Error{Addr: s.addr, Op: s.op, Reason: reason, MaybeSent: true, Err: errors.New(message)}
}

// Close ends the stream. The engine keeps the request for a resume; use Cancel to stop it.
func (s *Stream) Close() {
	s.dog.stop()
	s.body.Close()
}
