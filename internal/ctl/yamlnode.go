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

// fieldValue returns the value of a mapping's field, or nil without such a field.
func fieldValue(mapping *yaml.Node, field string) *yaml.Node {
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

// removeField removes the first field with that name from a mapping and returns its value, or nil without such a field.
func removeField(mapping *yaml.Node, field string) *yaml.Node {
	for i := 0; i+1 < len(mapping.Content); i += 2 {
		if mapping.Content[i].Value == field {
			value := mapping.Content[i+1]
			mapping.Content = slices.Delete(mapping.Content, i, i+2)
			return value
		}
	}
	return nil
}

// renameField changes the name of a mapping's field.
func renameField(mapping *yaml.Node, from, to string) {
	for i := 0; i+1 < len(mapping.Content); i += 2 {
		if mapping.Content[i].Value == from {
			mapping.Content[i].Value = to
		}
	}
}

// structType returns the type of the struct that object points to.
func structType(object any) reflect.Type { return reflect.TypeOf(object).Elem() }

// yamlFieldTypes returns the types of a struct's fields by YAML name.
func yamlFieldTypes(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type)
	for i := range t.NumField() {
		if name, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ","); name != "" && name != "-" {
			fields[name] = t.Field(i).Type
		}
	}
	return fields
}

// rejectUnknownFields records an error for each field of a node, at any depth, that t does not have.
func (r *documentReader) rejectUnknownFields(file string, node *yaml.Node, t reflect.Type) {
	switch {
	case t.Kind() == reflect.Slice && node.Kind == yaml.SequenceNode:
		for _, item := range node.Content {
			r.rejectUnknownFields(file, item, t.Elem())
		}
	case t.Kind() == reflect.Struct && node.Kind == yaml.MappingNode:
		known := yamlFieldTypes(t)
		for i := 0; i+1 < len(node.Content); i += 2 {
			name := node.Content[i].Value
			field, ok := known[name]
			if !ok {
				r.addError(file, node.Content[i].Line, "field %q is unknown; use one of: %s", name, fieldNames(t, known))
				continue
			}
			r.rejectUnknownFields(file, node.Content[i+1], field)
		}
	}
}

// fieldNames returns the names of a type's fields as documents write them, sorted and joined.
func fieldNames(t reflect.Type, known map[string]reflect.Type) string {
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

// pathPart matches one part of a field path: models, 0, versions and 1 in models[0].versions[1].
var pathPart = regexp.MustCompile(`[^.\[\]]+`)

// lineOf returns the line of the field that a *apitypes.FieldError names, or of the nearest parent in the document.
func lineOf(node *yaml.Node, err error) int {
	var fieldErr *apitypes.FieldError
	if !errors.As(err, &fieldErr) {
		return node.Line
	}
	line := node.Line
	for _, part := range pathPart.FindAllString(fieldErr.Field, -1) {
		next := fieldValue(node, part)
		if node.Kind == yaml.SequenceNode {
			next = element(node, part)
		}
		if next == nil {
			return line
		}
		node, line = next, next.Line
	}
	return line
}

// element returns the element of a sequence at a decimal index, or nil when the index is invalid or out of range.
func element(sequence *yaml.Node, index string) *yaml.Node {
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

// errorText returns the text of a validation error, with the field kind of a pool as pool_kind.
func errorText(kind string, err error) string {
	var fieldErr *apitypes.FieldError
	if kind == apitypes.KindPool && errors.As(err, &fieldErr) && fieldErr.Field == kindField {
		renamed := *fieldErr
		renamed.Field = poolKindField
		return renamed.Error()
	}
	return err.Error()
}

// render returns an object, given as JSON, as a YAML document that apply accepts.
func render(kind string, data []byte) (string, error) {
	var root yaml.Node
	if err := yaml.Unmarshal(data, &root); err != nil { // JSON is YAML
		return "", errors.Wrap(err, "decode the object")
	}
	if len(root.Content) == 0 || root.Content[0].Kind != yaml.MappingNode {
		return "", errors.New("the object is not a mapping")
	}
	object := root.Content[0]
	setBlockStyle(object)
	if kind == apitypes.KindPool {
		renameField(object, kindField, poolKindField)
	}
	object.Content = append([]*yaml.Node{
		{Kind: yaml.ScalarNode, Value: kindField}, {Kind: yaml.ScalarNode, Value: kind}}, object.Content...)
	var b strings.Builder
	encoder := yaml.NewEncoder(&b)
	encoder.SetIndent(2)
	if err := encoder.Encode(object); err != nil {
		return "", errors.Wrap(err, "encode the object as YAML")
	}
	return b.String(), nil
}

// setBlockStyle clears the JSON style (braces and quotes) of a node and its descendants.
func setBlockStyle(node *yaml.Node) {
	node.Style = 0
	for _, n := range node.Content {
		setBlockStyle(n)
	}
}
