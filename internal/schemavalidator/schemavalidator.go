// Package schemavalidator validates JSON documents against a JSON schema and gives each
// mistake with the path of its key.
package schemavalidator

import (
	"bytes"
	"fmt"
	"sort"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"yuccapaddle/internal/checker"
)

// resourceName names the schema in the errors of the compiler.
const resourceName = "schema.json"

// SchemaValidator validates documents against one schema.
type SchemaValidator struct {
	schema *jsonschema.Schema
}

// New returns a SchemaValidator for the text of a schema.
func New(schemaText []byte) (*SchemaValidator, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
	if err != nil {
		return nil, fmt.Errorf("parse the schema: %w", err)
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(resourceName, doc); err != nil {
		return nil, fmt.Errorf("add the schema: %w", err)
	}
	schema, err := c.Compile(resourceName)
	if err != nil {
		return nil, fmt.Errorf("compile the schema: %w", err)
	}
	return &SchemaValidator{schema: schema}, nil
}

// Validate returns all mistakes of a document, in the order of their paths. The error
// reports a document that is not JSON.
func (v *SchemaValidator) Validate(text []byte) ([]checker.Problem, error) {
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return nil, fmt.Errorf("parse the document: %w", err)
	}
	err = v.schema.Validate(value)
	if err == nil {
		return nil, nil
	}
	invalid, ok := err.(*jsonschema.ValidationError)
	if !ok {
		return nil, fmt.Errorf("validate the document: %w", err)
	}
	var out []checker.Problem
	collectProblems(invalid, &out)
	sort.Slice(out, func(a, b int) bool { return out[a].String() < out[b].String() })
	return out, nil
}

// collectProblems appends the leaves of a validation error as problems. Its inner
// nodes only group them.
func collectProblems(e *jsonschema.ValidationError, out *[]checker.Problem) {
	if len(e.Causes) == 0 {
		text := e.ErrorKind.LocalizedString(message.NewPrinter(language.English))
		*out = append(*out, checker.Problem{Path: keyPath(e.InstanceLocation), Text: text})
		return
	}
	for _, c := range e.Causes {
		collectProblems(c, out)
	}
}

// keyPath formats a location in a document, such as site.domains[0].name.
func keyPath(parts []string) string {
	var b strings.Builder
	for _, p := range parts {
		if p != "" && strings.Trim(p, "0123456789") == "" {
			fmt.Fprintf(&b, "[%s]", p)
			continue
		}
		if b.Len() > 0 {
			b.WriteByte('.')
		}
		b.WriteString(p)
	}
	if b.Len() == 0 {
		return "(top level)"
	}
	return b.String()
}
