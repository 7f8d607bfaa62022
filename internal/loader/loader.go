// Package loader reads settings: one base file and any number of overlays,
// merged as RFC 7386 merge patches, checked against a schema.
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

// Settings is the merged content of the files.
type Settings struct {
	Host Host             `json:"host"`
	Site yuccapaddle.Site `json:"site"`
}

// Load merges the files and returns every mistake in them at once. The
// mistakes name the file that last set the key.
func Load(base string, overlays ...string) (*Settings, []checker.Problem, error) {
	files := append([]string{base}, overlays...)
	merged := []byte("{}")
	texts := make([][]byte, len(files))
	for i, name := range files {
		text, err := os.ReadFile(name)
		if err != nil {
			return nil, nil, fmt.Errorf("settings file cannot be read: %w", err)
		}
		if err := wellFormed(text); err != nil {
			return nil, nil, fmt.Errorf("settings file %s: %w", name, err)
		}
		texts[i] = text
		merged, err = jsonpatch.MergePatch(merged, text)
		if err != nil {
			return nil, nil, fmt.Errorf("settings file %s cannot be merged: %w", name, err)
		}
	}
	s, problems, err := Parse(merged)
	for i := range problems {
		problems[i].Path = lastFile(files, texts, problems[i].Path) + ": " + problems[i].Path
	}
	return s, problems, err
}

// Parse checks merged settings and returns them with every mistake in them.
func Parse(merged []byte) (*Settings, []checker.Problem, error) {
	problems, err := validate(merged)
	if err != nil || len(problems) > 0 {
		return nil, problems, err
	}
	s := Settings{Host: Defaults()}
	dec := json.NewDecoder(bytes.NewReader(merged))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return nil, nil, fmt.Errorf("settings cannot be decoded: %w", err)
	}
	problems = append(s.Host.check(), checker.Check(&s.Site)...)
	return &s, problems, nil
}

func wellFormed(text []byte) error {
	var v map[string]any
	if err := json.Unmarshal(text, &v); err != nil {
		return fmt.Errorf("not a JSON object: %w", err)
	}
	return nil
}

func validate(merged []byte) ([]checker.Problem, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
	if err != nil {
		return nil, fmt.Errorf("schema of the settings: %w", err)
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("settings.json", doc); err != nil {
		return nil, fmt.Errorf("schema of the settings: %w", err)
	}
	schema, err := c.Compile("settings.json")
	if err != nil {
		return nil, fmt.Errorf("schema of the settings: %w", err)
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(merged))
	if err != nil {
		return nil, fmt.Errorf("merged settings: %w", err)
	}
	err = schema.Validate(value)
	if err == nil {
		return nil, nil
	}
	invalid, ok := err.(*jsonschema.ValidationError)
	if !ok {
		return nil, fmt.Errorf("check the settings: %w", err)
	}
	var out []checker.Problem
	collect(invalid, &out)
	sort.Slice(out, func(a, b int) bool { return out[a].String() < out[b].String() })
	return out, nil
}

// collect gathers the leaves of a validation error, which say what is wrong.
func collect(e *jsonschema.ValidationError, out *[]checker.Problem) {
	if len(e.Causes) == 0 {
		text := e.ErrorKind.LocalizedString(message.NewPrinter(language.English))
		*out = append(*out, checker.Problem{Path: keyPath(e.InstanceLocation), Text: text})
		return
	}
	for _, c := range e.Causes {
		collect(c, out)
	}
}

// keyPath writes a location as in site.domains[0].name.
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

// lastFile finds the last file that sets the first keys of a path.
func lastFile(files []string, texts [][]byte, path string) string {
	keys := strings.FieldsFunc(path, func(r rune) bool { return r == '.' || r == '[' })
	best, depth := 0, -1
	for i, text := range texts {
		if d := sets(text, keys); d >= depth {
			best, depth = i, d
		}
	}
	return files[best]
}

// sets counts how many keys of a path a file goes into; it stops at arrays,
// which overlays replace as a whole.
func sets(text []byte, keys []string) int {
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
