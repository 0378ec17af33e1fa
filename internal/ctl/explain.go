package ctl

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"
)

// evidenceWindow is how long before a request's arrival a log line of its VM still counts as evidence for its outcome.
const evidenceWindow = 10 * time.Second

// maxLogLineBytes bounds a line of a log file in bytes. Reading fails at a longer line.
const maxLogLineBytes = 1 << 20

// logLine is one JSON line of a node's log. Raw is the unparsed line.
type logLine struct {
	Time       time.Time `json:"time"`
	VM         string    `json:"vm"`
	Message    string    `json:"message"`
	Request    string    `json:"request,omitempty"`
	Outcome    string    `json:"outcome,omitempty"`
	Detail     string    `json:"detail,omitempty"`
	Endpoint   string    `json:"endpoint,omitempty"`
	Reader     string    `json:"reader,omitempty"`
	Dependency string    `json:"dependency,omitempty"`
	TotalMS    int64     `json:"total_ms,omitempty"`
	Raw        string    `json:"raw"`
}

// explanation is the JSON output of explain for one log line of a request.
type explanation struct {
	Request  logLine   `json:"request"`
	Meaning  string    `json:"meaning"`
	Evidence []logLine `json:"evidence"`
}

// outcomeMeanings explains each outcome and says where to look next.
var outcomeMeanings = map[string]string{
	"streamed":        "the complete stream was forwarded to the caller",
	"broken_off":      "the stream ended early, after it had started; detail names the engine and the failure",
	"caller_left":     "the caller closed its connection; detail names what the VM was waiting for",
	"unavailable":     "the request was refused and has not run; detail gives the reason",
	"timed_out":       "no response within the route's timeout; the request may have run",
	"outcome_unknown": "the connection to an endpoint failed; the request may have run and was not retried",
	"unauthenticated": "the key was not valid in the configuration version that the line names",
	"not_found":       "no route matches in the configuration version that the line names",
}

// newExplain returns the command that explains the outcome of a request from log files. It needs no server.
func newExplain(e *env) subcommands.Command {
	return &command{env: e, name: "explain", operands: "REQUEST-ID FILE...",
		synopsis: "find a request in node logs, with the log lines of its VM that may explain its outcome",
		run: func(_ context.Context, args []string) error {
			if len(args) < 2 {
				return usageErrorf("give a request id and one or more log files")
			}
			lines, err := readLogs(args[1:])
			if err != nil {
				return err
			}
			found := explain(args[0], lines)
			if len(found) == 0 {
				return errors.Errorf("request %s is not in any of the files; name the logs of all VMs, including replaced ones", args[0])
			}
			if e.wantsJSON() {
				return e.writeJSON(found)
			}
			printExplanations(e.stdout, found)
			return nil
		}}
}

// readLogs returns the lines of all log files in order of time.
func readLogs(names []string) ([]logLine, error) {
	var lines []logLine
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "open log")
		}
		parsed, err := parseLog(f)
		_ = f.Close() // the file was only read
		if err != nil {
			return nil, errors.Wrapf(err, "read log %s", name)
		}
		lines = append(lines, parsed...)
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time.Before(lines[j].Time) })
	return lines, nil
}

// parseLog reads the JSON lines of a log. It skips text before a line's object, such as a log collector's timestamp, and lines
// without a JSON object or message.
func parseLog(r io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4096), maxLogLineBytes)
	for scanner.Scan() {
		start := strings.IndexByte(scanner.Text(), '{')
		if start < 0 {
			continue
		}
		raw := scanner.Text()[start:]
		var l logLine
		if json.Unmarshal([]byte(raw), &l) == nil && l.Message != "" {
			l.Raw = raw
			lines = append(lines, l)
		}
	}
	return lines, scanner.Err()
}

// explain returns an explanation for each log line that reports the outcome of a request.
func explain(id string, lines []logLine) []explanation {
	var explanations []explanation
	for _, l := range lines {
		if l.Message != "request" || l.Request != id {
			continue
		}
		e := explanation{Request: l, Meaning: outcomeMeanings[l.Outcome]}
		if e.Meaning == "" {
			e.Meaning = "the endpoint's own response was forwarded to the caller"
		}
		from := l.Time.Add(-time.Duration(l.TotalMS)*time.Millisecond - evidenceWindow)
		for _, other := range lines {
			if other.VM == l.VM && !other.Time.Before(from) && !other.Time.After(l.Time.Add(time.Second)) && isEvidence(&other, &l) {
				e.Evidence = append(e.Evidence, other)
			}
		}
		explanations = append(explanations, e)
	}
	return explanations
}

// isEvidence reports whether a line may explain a request's outcome: it names an endpoint of the request, or no endpoint and is not
// a routine report of usage.
func isEvidence(line, request *logLine) bool {
	if line.Message == "request" {
		return false
	}
	if line.Endpoint != "" {
		return line.Endpoint == request.Endpoint || line.Endpoint == request.Reader || strings.Contains(request.Detail, line.Endpoint)
	}
	return line.Dependency != "" || line.Message != "usage reported"
}

func printExplanations(w io.Writer, explanations []explanation) {
	for _, e := range explanations {
		fmt.Fprintf(w, "%s %s on %s: %s\n  %s\n", e.Request.Request, e.Request.Outcome, e.Request.VM, e.Meaning, e.Request.Raw)
		if len(e.Evidence) == 0 {
			fmt.Fprintln(w, "  no related log lines of this VM in the 10 s before the request")
		}
		for _, l := range e.Evidence {
			fmt.Fprintf(w, "  %s\n", l.Raw)
		}
	}
}
