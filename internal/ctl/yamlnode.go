package ctl

import (
	"reflect"
	"regexp"
	"slices"
	"strings"

	"github.com/go-faster/errors"
	"gopkg.in/yaml.v3"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// child returns the value of a mapping's field, or nil.
func child(mapping *yaml.Node, field string) *yaml.Node {
	if mapping.Kind != yaml.MappingNode {
		return nil
	}
	for i := 0; i+1 < len(mapping.Content); i += 2 {
		if mapping.Content[i].Value == field {
			return mapping.Content[i+1]
		}
	}
	return nil
}

// take removes the first field of that name from a mapping and returns its value, or nil.
func take(mapping *yaml.Node, field string) *yaml.Node {
	for i := 0; i+1 < len(mapping.Content); i += 2 {
		if mapping.Content[i].Value == field {
			value := mapping.Content[i+1]
			mapping.Content = slices.Delete(mapping.Content, i, i+2)
			return value
		}
	}
	return nil
}

// rename changes the name of a field.
func rename(mapping *yaml.Node, from, to string) {
	for i := 0; i+1 < len(mapping.Content); i += 2 {
		if mapping.Content[i].Value == from {
			mapping.Content[i].Value = to
		}
	}
}

// fieldsOf returns the type of the struct that a value points to.
func fieldsOf(object any) reflect.Type { return reflect.TypeOf(object).Elem() }

// yamlFields returns the types of a struct's fields by their YAML names.
func yamlFields(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type)
	for i := range t.NumField() {
		if name, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ","); name != "" && name != "-" {
			fields[name] = t.Field(i).Type
		}
	}
	return fields
}

// refuseUnknown records all fields of a node, at any depth, that a type does not have.
func (r *reader) refuseUnknown(file string, node *yaml.Node, t reflect.Type) {
	switch {
	case t.Kind() == reflect.Slice && node.Kind == yaml.SequenceNode:
		for _, item := range node.Content {
			r.refuseUnknown(file, item, t.Elem())
		}
	case t.Kind() == reflect.Struct && node.Kind == yaml.MappingNode:
		known := yamlFields(t)
		for i := 0; i+1 < len(node.Content); i += 2 {
			name := node.Content[i].Value
			field, ok := known[name]
			if !ok {
				r.wrong(file, node.Content[i].Line, "field %q is unknown; use one of: %s", name, knownNames(t, known))
				continue
			}
			r.refuseUnknown(file, node.Content[i+1], field)
		}
	}
}

// knownNames lists the names of fields as they are written in documents.
func knownNames(t reflect.Type, known map[string]reflect.Type) string {
	names := make([]string, 0, len(known))
	for name := range known {
		if t == reflect.TypeFor[apitypes.Pool]() && name == kindField {
			name = poolKindField
		}
		names = append(names, name)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

// pathPart matches the parts of a field's path such as models[0].versions[1].
var pathPart = regexp.MustCompile(`[^.\[\]]+`)

// lineOf returns the line of the field that a mistake names, or that of its nearest present parent.
func lineOf(node *yaml.Node, err error) int {
	var mistake *apitypes.FieldError
	if !errors.As(err, &mistake) {
		return node.Line
	}
	line := node.Line
	for _, part := range pathPart.FindAllString(mistake.Field, -1) {
		next := child(node, part)
		if node.Kind == yaml.SequenceNode {
			next = item(node, part)
		}
		if next == nil {
			return line
		}
		node, line = next, next.Line
	}
	return line
}

// item returns an element of a sequence by the text of its index.
func item(sequence *yaml.Node, index string) *yaml.Node {
	n := 0
	for _, digit := range index {
		if digit < '0' || digit > '9' {
			return nil
		}
		n = n*10 + int(digit-'0')
	}
	if n >= len(sequence.Content) {
		return nil
	}
	return sequence.Content[n]
}

// shownError returns a mistake's text with the name that documents use for a pool's kind.
func shownError(kind string, err error) string {
	var mistake *apitypes.FieldError
	if kind == apitypes.KindPool && errors.As(err, &mistake) && mistake.Field == kindField {
		renamed := *mistake
		renamed.Field = poolKindField
		return renamed.Error()
	}
	return err.Error()
}

// render returns an object as a YAML document in the form that files have.
func render(kind string, data []byte) (string, error) {
	var root yaml.Node
	if err := yaml.Unmarshal(data, &root); err != nil { // JSON is YAML
		return "", errors.Wrap(err, "read the object")
	}
	if len(root.Content) == 0 || root.Content[0].Kind != yaml.MappingNode {
		return "", errors.New("the object is no mapping")
	}
	object := root.Content[0]
	blockStyle(object)
	if kind == apitypes.KindPool {
		rename(object, kindField, poolKindField)
	}
	object.Content = append([]*yaml.Node{
		{Kind: yaml.ScalarNode, Value: kindField}, {Kind: yaml.ScalarNode, Value: kind}}, object.Content...)
	var b strings.Builder
	encoder := yaml.NewEncoder(&b)
	encoder.SetIndent(2)
	if err := encoder.Encode(object); err != nil {
		return "", errors.Wrap(err, "write the object")
	}
	return b.String(), nil
}

// blockStyle takes the JSON style, braces and quotes, from a node and all below it.
func blockStyle(node *yaml.Node) {
	node.Style = 0
	for _, n := range node.Content {
		blockStyle(n)
	}
}
