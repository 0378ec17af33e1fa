package apitypes

import (
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// namePattern is the pattern of names that are valid in object paths, host names and metric labels.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

// maxPriority is the largest valid priority class.
const maxPriority = PriorityClasses - 1

// FieldError is one invalid field, with the problem and its remedy.
type FieldError struct {
	// Field is the path of the field within the object, made of JSON field names.
	Field   string
	Problem string
	Remedy  string
}

// Error returns the field, the problem and the remedy on one line.
func (e *FieldError) Error() string { return fmt.Sprintf("%s: %s; %s", e.Field, e.Problem, e.Remedy) }

// Validator is implemented by every configuration type that operators write.
type Validator interface {
	// Validate returns all errors in the value; each is a *FieldError. It returns nil for a valid value.
	Validate() []error
}

// fieldErrors collects the field errors of one object.
type fieldErrors []error

func (errs *fieldErrors) add(field, remedy, problem string, args ...any) {
	*errs = append(*errs, &FieldError{Field: field, Problem: fmt.Sprintf(problem, args...), Remedy: remedy})
}

func (errs *fieldErrors) checkName(field, name string) {
	if !namePattern.MatchString(name) {
		errs.add(field, "use 1 to 63 characters of a-z, 0-9, '.', '_' and '-', starting and ending with a letter or digit",
			"%q is not a valid name", name)
	}
}

func (errs *fieldErrors) checkNames(field string, names []string) {
	for i, name := range names {
		errs.checkName(fmt.Sprintf("%s[%d]", field, i), name)
		if slices.Contains(names[:i], name) {
			errs.add(fmt.Sprintf("%s[%d]", field, i), "remove the duplicate", "%q is listed twice", name)
		}
	}
}

func (errs *fieldErrors) checkNotEmpty(field, value string) {
	if value == "" {
		errs.add(field, "set it", "is empty")
	}
}

func (errs *fieldErrors) checkNotNegative(field string, value float64) {
	if !(value >= 0) {
		errs.add(field, "set it to 0 or more", "%v is negative or not a number", value)
	}
}

func (errs *fieldErrors) checkPriority(field string, p Priority) {
	if p < PriorityUrgent || p > maxPriority {
		errs.add(field, fmt.Sprintf("use 0 (urgent) to %d (batch)", maxPriority), "%d is not a priority class", p)
	}
}

func (errs *fieldErrors) checkLimits(field string, l Limits) {
	errs.checkNotNegative(field+".tokens_per_second", l.TokensPerSecond)
	errs.checkNotNegative(field+".requests_per_second", l.RequestsPerSecond)
	errs.checkNotNegative(field+".concurrent", float64(l.Concurrent))
	errs.checkNotNegative(field+".max_body_bytes", float64(l.MaxBodyBytes))
}

func (errs *fieldErrors) checkAddr(field, addr string) {
	if err := CheckEndpointAddr(addr); err != nil {
		problem, remedy, _ := strings.Cut(err.Error(), "; ")
		errs.add(field, remedy, "%s", problem)
	}
}

// newByKind holds, for each kind that operators write, a function that returns a new zero value.
var newByKind = map[string]func() Validator{
	KindTemplate: func() Validator { return new(Template) },
	KindTeam:     func() Validator { return new(Team) },
	KindPool:     func() Validator { return new(Pool) },
	KindRoute:    func() Validator { return new(Route) },
	KindAdmin:    func() Validator { return new(AdminCredential) },
}

// ValidateObject parses the JSON data of an object of a kind that operators write and validates it, including that its name field
// equals the object's name. It returns the parsed value, which is nil when data can't be parsed, and all errors found.
func ValidateObject(kind, name string, data []byte) (Validator, []error) {
	newValue, ok := newByKind[kind]
	if !ok {
		return nil, []error{&FieldError{Field: "kind", Problem: fmt.Sprintf("%q is not a configuration kind", kind),
			Remedy: "use template, team, pool or route"}}
	}
	v := newValue()
	if err := decodeStrict(data, v); err != nil {
		return nil, []error{&FieldError{Field: kind, Problem: err.Error(), Remedy: "correct the JSON; unknown fields are rejected"}}
	}
	errs := fieldErrors(v.Validate())
	if declared := objectName(v); declared != name {
		errs.add("name", "make the object's name and its \"name\" field equal", "%q differs from the object's name %q", declared, name)
	}
	return v, errs
}

// objectName returns the value of the name field.
func objectName(v Validator) string {
	switch t := v.(type) {
	case *Template:
		return t.Name
	case *Team:
		return t.Name
	case *Pool:
		return t.Name
	case *Route:
		return t.Name
	case *AdminCredential:
		return t.Name
	}
	return ""
}

// MarshalObject returns the canonical JSON of a validated value.
func MarshalObject(v Validator) (json.RawMessage, error) { return json.Marshal(v) }
