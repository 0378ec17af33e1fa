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

// A YAML document holds one object: the field kind is the object's kind, the other fields are those of its type in
// internal/apitypes. A pool's own field kind is written pool_kind, because kind already names the kind of the document.
const (
	kindField     = "kind"
	poolKindField = "pool_kind"
)

// applyOrder lists the kinds of documents in the order in which they are written to the server. Objects that others refer to come
// first.
var applyOrder = []string{apitypes.KindPool, apitypes.KindRoute, apitypes.KindTemplate, apitypes.KindTeam}

// document is one object of a file.
type document struct {
	File   string
	Line   int
	Kind   string
	Name   string
	Object apitypes.Validator
	// omitsDrained is true for a pool's document without a drained list. Applying it keeps the server's list, so that it does not
	// undo a drain.
	omitsDrained bool
}

// fileError is an error at a line of a file.
type fileError struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Problem string `json:"problem"`
}

func (e fileError) String() string { return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Problem) }

// fileErrors holds all errors found in files.
type fileErrors struct{ list []fileError }

func (e *fileErrors) Error() string {
	lines := make([]string, 0, len(e.list)+1)
	lines = append(lines, fmt.Sprintf("%d error(s) in the files; nothing was sent", len(e.list)))
	for _, fileErr := range e.list {
		lines = append(lines, fileErr.String())
	}
	return strings.Join(lines, "\n")
}

// documentReader reads documents from files and collects the errors in them.
type documentReader struct {
	documents []document
	errs      []fileError
}

// readFiles returns the documents of all paths in applyOrder. A directory stands for its *.yaml and *.yml files, "-" for standard
// input. The error is a *fileErrors or a *usageError.
func readFiles(paths []string) ([]document, error) {
	if len(paths) == 0 {
		return nil, usageErrorf("no files given; give files or directories with -f or as arguments")
	}
	var r documentReader
	for _, path := range paths {
		if err := r.readPath(path); err != nil {
			return nil, err
		}
	}
	r.rejectDuplicates()
	if len(r.errs) > 0 {
		return nil, &fileErrors{r.errs}
	}
	slices.SortStableFunc(r.documents, func(a, b document) int {
		return slices.Index(applyOrder, a.Kind) - slices.Index(applyOrder, b.Kind)
	})
	return r.documents, nil
}

func (r *documentReader) readPath(path string) error {
	if path == "-" {
		data, err := io.ReadAll(os.Stdin)
		if err != nil {
			return usageErrorf("read standard input: %v", err)
		}
		r.readData("stdin", data)
		return nil
	}
	info, err := os.Stat(path)
	if err != nil {
		return usageErrorf("%v; name a readable file", err)
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
		return usageErrorf("%s contains no .yaml or .yml files", path)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return usageErrorf("%v; name a readable file", err)
		}
		r.readData(file, data)
	}
	return nil
}

func (r *documentReader) addError(file string, line int, format string, args ...any) {
	r.errs = append(r.errs, fileError{file, line, fmt.Sprintf(format, args...)})
}

// lineNumberPrefix matches the line number at the start of the YAML library's messages.
var lineNumberPrefix = regexp.MustCompile(`^(?:yaml: )?line (\d+): `)

// parserErrorPrefix starts the messages of yaml.v3's parser, which counts lines from 0. Its scanner counts them from 1.
const parserErrorPrefix = "did not find expected"

// splitLineNumber splits a message of the YAML library into its line, counted from 1, and its text. A message without a line gets
// fallback.
func splitLineNumber(message string, fallback int) (int, string) {
	if m := lineNumberPrefix.FindStringSubmatch(message); m != nil {
		if line, err := strconv.Atoi(m[1]); err == nil {
			text := message[len(m[0]):]
			if strings.HasPrefix(text, parserErrorPrefix) {
				line++
			}
			return line, text
		}
	}
	return fallback, strings.TrimPrefix(message, "yaml: ")
}

// readData reads all documents of a file and sorts the errors found in it by line.
func (r *documentReader) readData(file string, data []byte) {
	before := len(r.errs)
	defer func() {
		slices.SortStableFunc(r.errs[before:], func(a, b fileError) int { return a.Line - b.Line })
	}()
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	for {
		var root yaml.Node
		err := decoder.Decode(&root)
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			line, message := splitLineNumber(err.Error(), 1)
			r.addError(file, line, "%s; correct the YAML", message)
			return
		}
		if len(root.Content) == 0 || root.Content[0].Tag == "!!null" {
			continue // a document without content, as after a last "---"
		}
		r.readDocument(file, root.Content[0])
	}
}

func (r *documentReader) readDocument(file string, node *yaml.Node) {
	if node.Kind != yaml.MappingNode {
		r.addError(file, node.Line, "the document is not a mapping; write 'kind: team' and the fields of the object")
		return
	}
	kind := removeField(node, kindField)
	if kind == nil {
		r.addError(file, node.Line, "the document has no kind; add one of: %s", strings.Join(applyOrder, ", "))
		return
	}
	if second := fieldValue(node, kindField); second != nil {
		r.addError(file, second.Line, "kind is given twice; write a pool's own kind as %s", poolKindField)
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
		d.omitsDrained = fieldValue(node, "drained") == nil
		renameField(node, poolKindField, kindField)
	case apitypes.KindRoute:
		d.Object = new(apitypes.Route)
	default:
		r.addError(file, kind.Line, "kind %q is unknown; use one of: %s", kind.Value, strings.Join(applyOrder, ", "))
		return
	}
	before := len(r.errs)
	r.decode(file, node, d.Object)
	if len(r.errs) > before {
		return
	}
	// YAML has values, such as .inf, that the JSON of the administration API can't represent.
	if _, err := json.Marshal(d.Object); err != nil {
		r.addError(file, node.Line, "%v; use finite numbers", err)
		return
	}
	for _, err := range d.Object.Validate() {
		r.addError(file, lineOf(node, err), "%s", errorText(d.Kind, err))
	}
	if name := fieldValue(node, "name"); name != nil {
		d.Name = name.Value
	}
	r.documents = append(r.documents, d)
}

// decode fills an object from a node. It records unknown fields and values of the wrong type as errors.
func (r *documentReader) decode(file string, node *yaml.Node, object any) {
	r.rejectUnknownFields(file, node, structType(object))
	err := node.Decode(object)
	var typeErrors *yaml.TypeError
	if errors.As(err, &typeErrors) {
		for _, message := range typeErrors.Errors {
			line, text := splitLineNumber(message, node.Line)
			r.addError(file, line, "%s; correct the value", text)
		}
	} else if err != nil {
		line, text := splitLineNumber(err.Error(), node.Line)
		r.addError(file, line, "%s; correct the value", text)
	}
}

// rejectDuplicates records an error for each object that is defined twice, since the result would depend on the order of writes.
func (r *documentReader) rejectDuplicates() {
	seen := make(map[string]document)
	for _, d := range r.documents {
		id := d.Kind + "/" + d.Name
		if first, ok := seen[id]; ok {
			r.addError(d.File, d.Line, "%s is already defined at %s:%d; remove one of them", id, first.File, first.Line)
			continue
		}
		seen[id] = d
	}
}
