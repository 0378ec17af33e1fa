package apitypes

import (
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// namePattern limits names to what fits in object paths, host names and metric labels.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

// maxPriority is the largest valid priority class.
const maxPriority = PriorityClasses - 1

// FieldError is one invalid field with what to do about it.
type FieldError struct {
	// Field is the path of the field within the object, in JSON names.
	Field   string
	Problem string
	Remedy  string
}

// Error returns field, problem and remedy in one line.
func (m *FieldError) Error() string { return fmt.Sprintf("%s: %s; %s", m.Field, m.Problem, m.Remedy) }

// Validator is implemented by every configuration type that operators write.
type Validator interface {
	// Validate returns every mistake in the value; each is a *FieldError. It returns nil for a valid value.
	Validate() []error
}

// mistakes collects the mistakes of one object.
type mistakes []error

func (m *mistakes) add(field, remedy, problem string, args ...any) {
	*m = append(*m, &FieldError{Field: field, Problem: fmt.Sprintf(problem, args...), Remedy: remedy})
}

func (m *mistakes) checkName(field, name string) {
	if !namePattern.MatchString(name) {
		m.add(field, "use 1 to 63 characters of a-z, 0-9, '.', '_' and '-', starting and ending with a letter or digit",
			"%q is not a valid name", name)
	}
}

func (m *mistakes) checkNames(field string, names []string) {
	for i, name := range names {
		m.checkName(fmt.Sprintf("%s[%d]", field, i), name)
		if slices.Contains(names[:i], name) {
			m.add(fmt.Sprintf("%s[%d]", field, i), "remove the repetition", "%q is listed twice", name)
		}
	}
}

func (m *mistakes) checkText(field, value string) {
	if value == "" {
		m.add(field, "set it", "is empty")
	}
}

func (m *mistakes) checkNotNegative(field string, value float64) {
	if !(value >= 0) {
		m.add(field, "set it to 0 or more", "%v is not a number of 0 or more", value)
	}
}

func (m *mistakes) checkPriority(field string, p Priority) {
	if p < PriorityUrgent || p > maxPriority {
		m.add(field, fmt.Sprintf("use 0 (urgent) to %d (batch)", maxPriority), "%d is not a priority class", p)
	}
}

func (m *mistakes) checkLimits(field string, l Limits) {
	m.checkNotNegative(field+".tokens_per_second", l.TokensPerSecond)
	m.checkNotNegative(field+".requests_per_second", l.RequestsPerSecond)
	m.checkNotNegative(field+".concurrent", float64(l.Concurrent))
	m.checkNotNegative(field+".max_body_bytes", float64(l.MaxBodyBytes))
}

func (m *mistakes) checkAddr(field, addr string) {
	if err := CheckEndpointAddr(addr); err != nil {
		problem, remedy, _ := strings.Cut(err.Error(), "; ")
		m.add(field, remedy, "%s", problem)
	}
}

// newOf returns an empty value of each kind that operators write.
var newOf = map[string]func() Validator{
	KindTemplate: func() Validator { return new(Template) },
	KindTeam:     func() Validator { return new(Team) },
	KindPool:     func() Validator { return new(Pool) },
	KindRoute:    func() Validator { return new(Route) },
	KindAdmin:    func() Validator { return new(AdminCredential) },
}

// ValidateObject parses the JSON data of an operators' kind and validates it, including that its name is the object's name.
// It returns the parsed value, which is nil when data can't be parsed, and every mistake found.
func ValidateObject(kind, name string, data []byte) (Validator, []error) {
	create, ok := newOf[kind]
	if !ok {
		return nil, []error{&FieldError{Field: "kind", Problem: fmt.Sprintf("%q is not a configuration kind", kind),
			Remedy: "use template, team, pool or route"}}
	}
	v := create()
	if err := decodeStrict(data, v); err != nil {
		return nil, []error{&FieldError{Field: kind, Problem: err.Error(), Remedy: "correct the JSON; unknown fields are refused"}}
	}
	found := mistakes(v.Validate())
	if own := nameOf(v); own != name {
		found.add("name", "make the object's name and its \"name\" field equal", "%q differs from the object's name %q", own, name)
	}
	return v, found
}

func nameOf(v Validator) string {
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
