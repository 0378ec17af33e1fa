package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"gopkg.in/yaml.v3"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// A YAML document holds one object: `kind` names the object's kind, the other fields are those of internal/apitypes.
// A pool's own field "kind" is written pool_kind, because the document uses kind already.
const (
	kindField     = "kind"
	poolKindField = "pool_kind"
)

// applyOrder lists the kinds that documents may have, in the order in which they are written: what others name comes first.
var applyOrder = []string{apitypes.KindPool, apitypes.KindRoute, apitypes.KindTemplate, apitypes.KindTeam}

// document is one object of a file.
type document struct {
	File   string
	Line   int
	Kind   string
	Name   string
	Object apitypes.Validator
	// keepsDrained says that a pool's document has no drained list. Such a document leaves the server's list as it is, so
	// that applying a file does not undo a drain.
	keepsDrained bool
}

// fileError is a mistake in a file.
type fileError struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Problem string `json:"problem"`
}

func (e fileError) String() string { return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Problem) }

// fileErrors lists all mistakes in files.
type fileErrors struct{ list []fileError }

func (e *fileErrors) Error() string {
	lines := make([]string, 0, len(e.list)+1)
	lines = append(lines, fmt.Sprintf("%d mistake(s) in the files; nothing was sent", len(e.list)))
	for _, one := range e.list {
		lines = append(lines, one.String())
	}
	return strings.Join(lines, "\n")
}

// reader reads documents and collects mistakes.
type reader struct {
	documents []document
	mistakes  []fileError
}

// readFiles reads all files. A directory stands for its *.yaml and *.yml files, "-" for standard input. Its error is a
// *fileErrors or a usage error.
func readFiles(paths []string) ([]document, error) {
	if len(paths) == 0 {
		return nil, wrongUsage("no file is given; give files or directories with -f or as arguments")
	}
	var r reader
	for _, path := range paths {
		if err := r.readPath(path); err != nil {
			return nil, err
		}
	}
	r.refuseRepetitions()
	if len(r.mistakes) > 0 {
		return nil, &fileErrors{r.mistakes}
	}
	slices.SortStableFunc(r.documents, func(a, b document) int {
		return slices.Index(applyOrder, a.Kind) - slices.Index(applyOrder, b.Kind)
	})
	return r.documents, nil
}

func (r *reader) readPath(path string) error {
	if path == "-" {
		data, err := io.ReadAll(os.Stdin)
		if err != nil {
			return wrongUsage("read standard input: %v", err)
		}
		r.readData("stdin", data)
		return nil
	}
	info, err := os.Stat(path)
	if err != nil {
		return wrongUsage("%v; name a readable file", err)
	}
	files := []string{path}
	if info.IsDir() {
		files = nil
		for _, pattern := range []string{"*.yaml", "*.yml"} {
			found, _ := filepath.Glob(filepath.Join(path, pattern))
			files = append(files, found...)
		}
	}
	if len(files) == 0 {
		return wrongUsage("%s holds no .yaml or .yml file", path)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return wrongUsage("%v; name a readable file", err)
		}
		r.readData(file, data)
	}
	return nil
}

func (r *reader) wrong(file string, line int, format string, args ...any) {
	r.mistakes = append(r.mistakes, fileError{file, line, fmt.Sprintf(format, args...)})
}

// yamlLine matches the line in messages of the YAML library.
var yamlLine = regexp.MustCompile(`^(?:yaml: )?line (\d+): `)

// parserError starts the messages of yaml.v3's parser, whose lines count from 0. Those of its scanner count from 1.
const parserError = "did not find expected"

// splitLine takes the line out of a message of the YAML library.
func splitLine(message string, fallback int) (int, string) {
	if m := yamlLine.FindStringSubmatch(message); m != nil {
		if line, err := strconv.Atoi(m[1]); err == nil {
			text := message[len(m[0]):]
			if strings.HasPrefix(text, parserError) {
				line++
			}
			return line, text
		}
	}
	return fallback, strings.TrimPrefix(message, "yaml: ")
}

func (r *reader) readData(file string, data []byte) {
	before := len(r.mistakes)
	defer func() {
		slices.SortStableFunc(r.mistakes[before:], func(a, b fileError) int { return a.Line - b.Line })
	}()
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	for {
		var root yaml.Node
		err := decoder.Decode(&root)
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			line, message := splitLine(err.Error(), 1)
			r.wrong(file, line, "%s; correct the YAML", message)
			return
		}
		if len(root.Content) == 0 || root.Content[0].Tag == "!!null" {
			continue // a document without content, as after a last "---"
		}
		r.readDocument(file, root.Content[0])
	}
}

func (r *reader) readDocument(file string, node *yaml.Node) {
	if node.Kind != yaml.MappingNode {
		r.wrong(file, node.Line, "the document is no mapping; write 'kind: team' and the fields of the object")
		return
	}
	kind := take(node, kindField)
	if kind == nil {
		r.wrong(file, node.Line, "the document has no kind; add one of: %s", strings.Join(applyOrder, ", "))
		return
	}
	if second := child(node, kindField); second != nil {
		r.wrong(file, second.Line, "kind is given twice; write a pool's own kind as %s", poolKindField)
		return
	}
	d := document{File: file, Line: node.Line, Kind: kind.Value}
	switch kind.Value {
	case apitypes.KindTemplate:
		d.Object = new(apitypes.Template)
	case apitypes.KindTeam:
		d.Object = new(apitypes.Team)
	case apitypes.KindPool:
		d.Object = new(apitypes.Pool)
		d.keepsDrained = child(node, "drained") == nil
		rename(node, poolKindField, kindField)
	case apitypes.KindRoute:
		d.Object = new(apitypes.Route)
	default:
		r.wrong(file, kind.Line, "kind %q is unknown; use one of: %s", kind.Value, strings.Join(applyOrder, ", "))
		return
	}
	before := len(r.mistakes)
	r.decode(file, node, d.Object)
	if len(r.mistakes) > before {
		return
	}
	// YAML has values that JSON, the form of the administration API, has not, such as .inf.
	if _, err := json.Marshal(d.Object); err != nil {
		r.wrong(file, node.Line, "%v; use finite numbers", err)
		return
	}
	for _, err := range d.Object.Validate() {
		r.wrong(file, lineOf(node, err), "%s", shownError(d.Kind, err))
	}
	if name := child(node, "name"); name != nil {
		d.Name = name.Value
	}
	r.documents = append(r.documents, d)
}

// decode fills an object from a node. It refuses unknown fields and values of the wrong type.
func (r *reader) decode(file string, node *yaml.Node, object any) {
	r.refuseUnknown(file, node, fieldsOf(object))
	err := node.Decode(object)
	var wrongTypes *yaml.TypeError
	if errors.As(err, &wrongTypes) {
		for _, message := range wrongTypes.Errors {
			line, text := splitLine(message, node.Line)
			r.wrong(file, line, "%s; correct the value", text)
		}
	} else if err != nil {
		line, text := splitLine(err.Error(), node.Line)
		r.wrong(file, line, "%s; correct the value", text)
	}
}

// refuseRepetitions records objects that are described twice: which one is in force would depend on their order.
func (r *reader) refuseRepetitions() {
	seen := make(map[string]document)
	for _, d := range r.documents {
		id := d.Kind + "/" + d.Name
		if first, ok := seen[id]; ok {
			r.wrong(d.File, d.Line, "%s is described already at %s:%d; remove one", id, first.File, first.Line)
			continue
		}
		seen[id] = d
	}
}
