// Package loader reads the settings: one base file and any number of overlays,
// merged as RFC 7386 merge patches and validated against a JSON schema.
package loader

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	jsonpatch "github.com/evanphx/json-patch/v5"

	"yuccapaddle"
	"yuccapaddle/internal/checker"
	"yuccapaddle/internal/finding"
	"yuccapaddle/internal/schemavalidator"
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
	m, err := mergeFiles(append([]string{base}, overlays...))
	if err != nil {
		return nil, nil, err
	}
	s, problems, err := Parse(m.merged)
	for i := range problems {
		problems[i].Path = m.lastFileSetting(problems[i].Path) + ": " + problems[i].Path
	}
	return s, problems, err
}

// Check merges the files and returns the problems that Load reports, as errors, and
// warnings: entries without an effect and limits that contradict each other. The settings
// and the error are those of Load.
func Check(base string, overlays ...string) (*Settings, []finding.Finding, error) {
	m, err := mergeFiles(append([]string{base}, overlays...))
	if err != nil {
		return nil, nil, err
	}
	s, problems, err := Parse(m.merged)
	if err != nil {
		return nil, nil, err
	}
	findings := []finding.Finding{}
	add := func(severity finding.Severity, problems []checker.Problem) {
		for _, p := range problems {
			findings = append(findings, finding.Finding{Severity: severity, File: m.lastFileSetting(p.Path), Path: p.Path, Text: p.Text})
		}
	}
	add(finding.Error, problems)
	if s != nil {
		add(finding.Warning, append(s.Host.warnings(&s.Site), checker.Warnings(&s.Site)...))
	}
	return s, findings, nil
}

// mergedFiles is the merged content of settings files, with the content of each.
type mergedFiles struct {
	names    []string
	contents [][]byte
	merged   []byte
}

func mergeFiles(names []string) (*mergedFiles, error) {
	m := &mergedFiles{names: names, merged: []byte("{}")}
	for _, name := range names {
		text, err := os.ReadFile(name)
		if err != nil {
			return nil, fmt.Errorf("settings file cannot be read: %w", err)
		}
		if err := checkJSONObject(text); err != nil {
			return nil, fmt.Errorf("settings file %s: %w", name, err)
		}
		m.contents = append(m.contents, text)
		m.merged, err = jsonpatch.MergePatch(m.merged, text)
		if err != nil {
			return nil, fmt.Errorf("settings file %s cannot be merged: %w", name, err)
		}
	}
	return m, nil
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
	v, err := schemavalidator.New(schemaText)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	problems, err := v.Validate(merged)
	if err != nil {
		return nil, fmt.Errorf("merged settings: %w", err)
	}
	return problems, nil
}

// lastFileSetting returns the file that contains the most leading keys of a path,
// and of several such files the last one.
func (m *mergedFiles) lastFileSetting(path string) string {
	keys := strings.FieldsFunc(path, func(r rune) bool { return r == '.' || r == '[' })
	best, depth := 0, -1
	for i, text := range m.contents {
		if d := matchingDepth(text, keys); d >= depth {
			best, depth = i, d
		}
	}
	return m.names[best]
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
