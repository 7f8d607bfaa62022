// Package finding defines what the check of a configuration reports.
package finding

import "strings"

// Severity tells whether a configuration with a finding can be used.
type Severity string

// Severities of findings.
const (
	// Error means that the configuration would be refused or that a part of it cannot work.
	Error Severity = "error"
	// Warning means that the configuration works, but an entry has no effect or limits
	// contradict each other.
	Warning Severity = "warning"
)

// Finding is one remark on a configuration: the file, the path of the key in it, as in
// site.domains[0].name, and what is wrong with its value. File is empty if the content
// has no file, and Path if the remark concerns the whole file.
type Finding struct {
	Severity Severity `json:"severity"`
	File     string   `json:"file,omitempty"`
	Path     string   `json:"path,omitempty"`
	Text     string   `json:"text"`
}

// String returns the finding on one line.
func (f Finding) String() string {
	return string(f.Severity) + ": " + f.Place() + f.Text
}

// Place returns the file and the path, each followed by a colon and a space.
func (f Finding) Place() string {
	var b strings.Builder
	for _, part := range []string{f.File, f.Path} {
		if part != "" {
			b.WriteString(part + ": ")
		}
	}
	return b.String()
}

// Count returns the number of findings of a severity.
func Count(findings []Finding, s Severity) int {
	n := 0
	for _, f := range findings {
		if f.Severity == s {
			n++
		}
	}
	return n
}
