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

	"crocusglade.example/crocusglade/internal/buffer"
)

// Paths of the completion calls of engines.
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

// Usage holds the token counts that an engine reports for a complete response.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// Answer is an engine's complete response to a request that is not streamed.
type Answer struct {
	Body  []byte
	Usage Usage
}

// Chunk is one event of a stream.
type Chunk struct {
	// Data is the JSON payload of the event.
	Data []byte
	// Text is the output of the chunk; empty in chunks without output.
	Text string
	// TextOnly is false when the chunk has output besides the text of a single choice. Another endpoint can't continue such a stream.
	TextOnly     bool
	FinishReason string
	Usage        *Usage
}

// completion decodes the responses and stream chunks of both calls.
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

// delta is the part of a message that a chunk adds.
type delta struct {
	// content is set when the delta has a content string and no other field; fields holds all fields of any other delta.
	content string
	fields  map[string]any
}

// UnmarshalJSON implements json.Unmarshaler. Nearly all deltas hold only content without escapes; decoding these without a map saves
// a third of the allocations of a chunk.
func (d *delta) UnmarshalJSON(data []byte) error {
	rest, ok := bytes.CutPrefix(data, []byte(`{"content":"`))
	text, closed := bytes.CutSuffix(rest, []byte(`"}`))
	if ok && closed && !bytes.ContainsAny(text, `"\`) && utf8.Valid(text) {
		d.content = string(text)
		return nil
	}
	return json.Unmarshal(data, &d.fields)
}

// AnswerID returns the id that the response to a request must carry.
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

// RunUnary sends a request that is not streamed and returns its response. It returns an error for a response that is incomplete or belongs
// to another request.
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
		return nil, dataStatusError(resp, addr, r.Path, r.RequestID)
	}
	defer resp.Body.Close()
	body, err := c.readBody(addr, resp.Body)
	if err != nil {
		return nil, w.readError(addr, r.Path, err)
	}
	response, reason, err := validateResponse(resp.Header, body, r)
	if err != nil {
		return nil, &Error{Addr: addr, Op: r.Path, Reason: reason, MaybeSent: true, Err: err}
	}
	return response, nil
}

// readBody reads a complete response of the endpoint at addr. Its memory is accounted for while it is being read, since a sound endpoint's
// response ends.
func (c *Client) readBody(addr string, r io.Reader) ([]byte, error) {
	reservation := c.buffers.Reserve(addr)
	defer reservation.Release()
	return reservation.ReadAll(r, int(c.opts.MaxAnswerBytes))
}

func validateResponse(header http.Header, body []byte, r DataRequest) (*Answer, Reason, error) {
	var a completion
	if err := json.Unmarshal(body, &a); err != nil {
		return nil, Invalid, errors.Wrap(err, "decode response")
	}
	if header.Get(requestIDHeader) != r.RequestID || a.ID != AnswerID(r.Path, r.RequestID) {
		return nil, WrongRequest, errors.New("response does not echo the request id")
	}
	if len(a.Choices) == 0 || a.Usage == nil {
		return nil, Invalid, errors.New("response has no choices or no usage")
	}
	for _, ch := range a.Choices {
		if ch.FinishReason == nil || *ch.FinishReason == "" {
			return nil, Invalid, errors.New("response has a choice without finish_reason")
		}
	}
	return &Answer{Body: body, Usage: *a.Usage}, "", nil
}

// Stream reads a streamed response. The caller must close it.
type Stream struct {
	client     *Client
	addr       string
	op         string
	responseID string
	body       io.ReadCloser
	buffers    *buffer.Reservation
	lines      *bufio.Scanner
	stallTimer *watchdog

	finished bool
	hasUsage bool
}

// Stream sends a request whose body requests a streamed response.
func (c *Client) Stream(ctx context.Context, addr string, r DataRequest) (*Stream, error) {
	w := newWatchdog(ctx, c.opts.FirstTokenWait)
	req, err := c.newDataRequest(w.ctx, addr, r)
	if err != nil {
		w.stop()
		return nil, err
	}
	return c.openStream(w, req, addr, r.Path, r)
}

// ResumeStream reopens the stream of a request at the engine that runs it and skips the first n output tokens.
func (c *Client) ResumeStream(ctx context.Context, addr string, r DataRequest, n int) (*Stream, error) {
	w := newWatchdog(ctx, c.opts.FirstTokenWait)
	uri := fmt.Sprintf("/v1/requests/%s/stream?after=%d", r.RequestID, n)
	req, err := newRequest(w.ctx, http.MethodGet, addr, "resume", uri, nil)
	if err != nil {
		w.stop()
		return nil, err
	}
	req.Header.Set(requestIDHeader, r.RequestID)
	return c.openStream(w, req, addr, "resume", r)
}

func (c *Client) openStream(w *watchdog, req *http.Request, addr, op string, r DataRequest) (*Stream, error) {
	resp, err := c.do(c.pooled, req, addr, op)
	if err != nil {
		w.stop()
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		err := dataStatusError(resp, addr, op, r.RequestID)
		w.stop()
		return nil, err
	}
	reservation := c.buffers.Reserve(addr)
	s := &Stream{client: c, addr: addr, op: op, responseID: AnswerID(r.Path, r.RequestID), body: resp.Body, stallTimer: w, buffers: reservation,
		lines: newEventScanner(&lineReader{src: resp.Body, buffers: reservation}, c.opts.MaxAnswerBytes)}
	if resp.Header.Get(requestIDHeader) != r.RequestID {
		s.Close()
		return nil, s.fail(WrongRequest, "response header does not echo the request id")
	}
	return s, nil
}

// dataStatusError is like statusError, but returns an error with the reason WrongRequest for the response to another request: an engine
// may repeat an earlier refusal on a kept connection while it runs this request.
func dataStatusError(resp *http.Response, addr, op, requestID string) *Error {
	err := statusError(resp, addr, op)
	if id := resp.Header.Get(requestIDHeader); id != "" && id != requestID {
		return &Error{Addr: addr, Op: op, Reason: WrongRequest, MaybeSent: true, Err: errors.New("refusal carries the id of another request")}
	}
	return err
}

// lineReader reserves memory for the line that is being read, which a scanner keeps until its end.
type lineReader struct {
	src     io.Reader
	buffers *buffer.Reservation
	// pending is the number of bytes of the line.
	pending int
}

// Read implements io.Reader.
func (r *lineReader) Read(p []byte) (int, error) {
	n, err := r.src.Read(p)
	pending := r.pending + n
	if end := bytes.LastIndexByte(p[:n], '\n'); end >= 0 {
		pending = n - end - 1
	}
	if tooLarge := r.buffers.Resize(r.pending, pending); tooLarge != nil {
		return 0, tooLarge
	}
	r.pending = pending
	return n, err
}

func newEventScanner(r io.Reader, limit int64) *bufio.Scanner {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 4096), int(limit))
	return s
}

var dataPrefix = []byte("data:")

// nextEventData returns the data of the next event, or io.EOF at the end of the stream.
func nextEventData(s *bufio.Scanner) ([]byte, error) {
	for s.Scan() {
		if data, ok := bytes.CutPrefix(s.Bytes(), dataPrefix); ok {
			return bytes.Clone(bytes.TrimSpace(data)), nil
		}
	}
	if err := s.Err(); err != nil {
		return nil, err
	}
	return nil, io.EOF
}

// Next returns the next chunk. It returns io.EOF only when the response is complete: after finish_reason, usage and the [DONE] marker.
func (s *Stream) Next() (*Chunk, error) {
	data, err := nextEventData(s.lines)
	if errors.Is(err, io.EOF) {
		return nil, s.stallTimer.readError(s.addr, s.op, io.ErrUnexpectedEOF)
	}
	if err != nil {
		return nil, s.stallTimer.readError(s.addr, s.op, err)
	}
	s.stallTimer.reset(s.client.opts.TokenWait)
	if string(data) == "[DONE]" {
		if !s.finished || !s.hasUsage {
			return nil, s.fail(Invalid, "stream ended with [DONE] before finish_reason and usage")
		}
		return nil, io.EOF
	}
	return s.parse(data)
}

func (s *Stream) parse(data []byte) (*Chunk, error) {
	var c completion
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, s.fail(Invalid, "stream chunk is not valid JSON")
	}
	if c.ID != s.responseID {
		return nil, s.fail(WrongRequest, "stream chunk does not carry the request id")
	}
	chunk := &Chunk{Data: data, Usage: c.Usage, TextOnly: len(c.Choices) <= 1}
	for _, ch := range c.Choices {
		chunk.addChoice(ch)
	}
	if s.finished && chunk.Text != "" {
		return nil, s.fail(Invalid, "stream chunk has output after finish_reason")
	}
	s.finished = s.finished || chunk.FinishReason != ""
	s.hasUsage = s.hasUsage || chunk.Usage != nil
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

// Close closes the stream. The engine keeps running the request so that it can be resumed; use Cancel to stop it.
func (s *Stream) Close() {
	s.stallTimer.stop()
	s.body.Close()
	s.buffers.Release()
}
