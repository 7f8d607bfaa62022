// Package loader reads the settings: one base file and any number of overlays,
// merged as RFC 7386 merge patches and validated against a JSON schema.
package loader

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"strings"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"yuccapaddle"
	"yuccapaddle/internal/checker"
)

//go:embed schema.json
var schemaText []byte

// Settings is the merged content of the settings files.
type Settings struct {
	Host Host             `json:"host"`
	Site yuccapaddle.Site `json:"site"`
}

// Load merges the files and returns all problems found in them; the settings are
// nil if they do not match the schema. The path of a problem begins with the file
// that last set the key. The error reports files that cannot be read, decoded or
// merged.
func Load(base string, overlays ...string) (*Settings, []checker.Problem, error) {
	files := append([]string{base}, overlays...)
	merged := []byte("{}")
	contents := make([][]byte, len(files))
	for i, name := range files {
		text, err := os.ReadFile(name)
		if err != nil {
			return nil, nil, fmt.Errorf("settings file cannot be read: %w", err)
		}
		if err := checkJSONObject(text); err != nil {
			return nil, nil, fmt.Errorf("settings file %s: %w", name, err)
		}
		contents[i] = text
		merged, err = jsonpatch.MergePatch(merged, text)
		if err != nil {
			return nil, nil, fmt.Errorf("settings file %s cannot be merged: %w", name, err)
		}
	}
	s, problems, err := Parse(merged)
	for i := range problems {
		problems[i].Path = lastFileSetting(files, contents, problems[i].Path) + ": " + problems[i].Path
	}
	return s, problems, err
}

// Parse decodes and validates merged settings and returns them with all problems
// found. The settings are nil if they do not match the schema.
func Parse(merged []byte) (*Settings, []checker.Problem, error) {
	problems, err := validateSchema(merged)
	if err != nil || len(problems) > 0 {
		return nil, problems, err
	}
	s := Settings{Host: DefaultHost()}
	dec := json.NewDecoder(bytes.NewReader(merged))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return nil, nil, fmt.Errorf("settings cannot be decoded: %w", err)
	}
	problems = append(s.Host.check(), checker.Check(&s.Site)...)
	return &s, problems, nil
}

func checkJSONObject(text []byte) error {
	var v map[string]any
	if err := json.Unmarshal(text, &v); err != nil {
		return fmt.Errorf("not a JSON object: %w", err)
	}
	return nil
}

func validateSchema(merged []byte) ([]checker.Problem, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
	if err != nil {
		return nil, fmt.Errorf("parse the settings schema: %w", err)
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("settings.json", doc); err != nil {
		return nil, fmt.Errorf("add the settings schema: %w", err)
	}
	schema, err := c.Compile("settings.json")
	if err != nil {
		return nil, fmt.Errorf("compile the settings schema: %w", err)
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(merged))
	if err != nil {
		return nil, fmt.Errorf("parse the merged settings: %w", err)
	}
	err = schema.Validate(value)
	if err == nil {
		return nil, nil
	}
	invalid, ok := err.(*jsonschema.ValidationError)
	if !ok {
		return nil, fmt.Errorf("validate the settings: %w", err)
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

// keyPath formats a location in the settings, such as site.domains[0].name.
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

// lastFileSetting returns the file that contains the most leading keys of a path,
// and of several such files the last one.
func lastFileSetting(files []string, contents [][]byte, path string) string {
	keys := strings.FieldsFunc(path, func(r rune) bool { return r == '.' || r == '[' })
	best, depth := 0, -1
	for i, text := range contents {
		if d := matchingDepth(text, keys); d >= depth {
			best, depth = i, d
		}
	}
	return files[best]
}

// matchingDepth returns how many leading keys of a path the file contains. It stops
// at arrays, which overlays replace as a whole.
func matchingDepth(text []byte, keys []string) int {
	depth := 0
	for _, k := range keys {
		var m map[string]json.RawMessage
		if json.Unmarshal(text, &m) != nil {
			return depth
		}
		next, ok := m[k]
		if !ok {
			return depth
		}
		text = next
		depth++
	}
	return depth
}
