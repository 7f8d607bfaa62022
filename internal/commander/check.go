package commander

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"yuccapaddle"
	"yuccapaddle/internal/finding"
	"yuccapaddle/internal/loader"
	"yuccapaddle/internal/rulechecker"
)

// Kinds of configurations that config check tells apart.
const (
	kindSettings = "settings"
	kindDocument = "document"
	kindHost     = "host"
)

// checkAttempts is how often config check asks each server. It goes on without an answer,
// so it does not try again.
const checkAttempts = 1

// notCompared begins the note that says why there is no comparison.
const notCompared = "not compared with the configuration in force: "

// noDifference is the merge patch between equal sites.
const noDifference = "{}"

// checkReport is the result of config check. Revision is that of the configuration in
// force, and Diff the merge patch from it, both empty if no host could be asked; Note
// then says why.
type checkReport struct {
	Kind     string            `json:"kind,omitempty"`
	Findings []finding.Finding `json:"findings"`
	Revision uint64            `json:"revision,omitempty"`
	Diff     string            `json:"diff,omitempty"`
	Note     string            `json:"note,omitempty"`
	summary  string
}

func (c *Commander) configCheck() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "check [FILE]",
		Short: "Checks a configuration before it is applied; starts and changes nothing",
		Long: "Checks settings files, or an operators' document of the job path, and reports errors and warnings.\n" +
			"FILE is a settings file if it has the key host or site, and otherwise an operators' document.\n" +
			"Exit codes: 0 without findings, 1 with warnings only, 2 with errors.",
		Args: func(cmd *cobra.Command, args []string) error {
			if err := cobra.MaximumNArgs(1)(cmd, args); err != nil {
				return exitErrorf(codeUsage, "%v", err)
			}
			return nil
		},
	}
	files := settingsFlags(cmd)
	asJSON := cmd.Flags().Bool("json", false, "print the findings as JSON, like --output json")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if *asJSON {
			c.output = "json"
		}
		report, err := c.check(files, args)
		if err == nil {
			err = c.print(cmd, report, report.rows())
		}
		var e *exitError
		switch {
		case err == nil:
			return report.exitError()
		case errors.As(err, &e):
			return err
		}
		// The usual code of other errors is that of warnings here.
		return exitErrorf(codeCheckErrors, "%v", err)
	}
	return cmd
}

// check checks the settings files that the flags name, or else the file that is the
// argument.
func (c *Commander) check(files settingsFiles, args []string) (*checkReport, error) {
	byFlags := *files.base != "" || len(*files.overlays) > 0
	switch {
	case byFlags && len(args) > 0:
		return nil, exitErrorf(codeUsage, "give either a file or --base and --overlay")
	case byFlags && *files.base == "":
		return nil, exitErrorf(codeUsage, "a base settings file is needed: use --base")
	case byFlags:
		return c.checkSettings(*files.base, *files.overlays...)
	case len(args) > 0:
		return c.checkFile(args[0])
	}
	return nil, exitErrorf(codeUsage, "a file is needed: give one, or use --base and --overlay")
}

// checkFile checks a file of any kind.
func (c *Commander) checkFile(name string) (*checkReport, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return failedReport(finding.Finding{Text: fmt.Sprintf("the file cannot be read: %v", err)}), nil
	}
	var keys map[string]json.RawMessage
	if err := json.Unmarshal(data, &keys); err != nil {
		return failedReport(finding.Finding{File: name, Path: position(data, err), Text: fmt.Sprintf("not a JSON object: %v", err)}), nil
	}
	_, hasHost := keys["host"]
	_, hasSite := keys["site"]
	_, hasBounds := keys["bounds"]
	switch {
	case hasBounds && c.checkHost != nil:
		return c.checkHostSettings(name, data), nil
	case hasHost || hasSite:
		return c.checkSettings(name)
	}
	return c.checkOperatorsDocument(name, data)
}

// checkHostSettings checks the settings file of a host of the job path.
func (c *Commander) checkHostSettings(name string, data []byte) *checkReport {
	r := &checkReport{Kind: kindHost, Findings: c.checkHost(data), Note: notCompared + "hosts do not show their own settings", summary: name}
	for i := range r.Findings {
		r.Findings[i].File = name
	}
	return r
}

// position returns the line and column of a syntax error, empty for other errors.
func position(data []byte, err error) string {
	var syntaxErr *json.SyntaxError
	if !errors.As(err, &syntaxErr) {
		return ""
	}
	before := data[:min(int(syntaxErr.Offset), len(data))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - (bytes.LastIndexByte(before, '\n') + 1)
	return fmt.Sprintf("line %d, column %d", line, max(column, 1))
}

// failedReport returns the report of files that cannot be checked at all.
func failedReport(f finding.Finding) *checkReport {
	f.Severity = finding.Error
	return &checkReport{Findings: []finding.Finding{f}, Note: notCompared + "nothing could be read"}
}

func (c *Commander) checkSettings(base string, overlays ...string) (*checkReport, error) {
	s, findings, err := loader.Check(base, overlays...)
	if err != nil {
		return failedReport(finding.Finding{Text: err.Error()}), nil
	}
	r := &checkReport{Kind: kindSettings, Findings: findings}
	if s == nil {
		r.Note = notCompared + "the settings do not match their schema"
		return r, nil
	}
	r.summary = fmt.Sprintf("%s: %d failure domains, %d workspaces", s.Site.Name, len(s.Site.Domains), len(s.Site.Workspaces))
	var cfg yuccapaddle.Config
	if r.Note = c.ask("/v1/config", &cfg); r.Note != "" {
		return r, nil
	}
	r.Revision = cfg.Revision
	r.Diff, err = siteDiff(&cfg, &s.Site)
	return r, err
}

// ask reads from a host that can be asked. It returns a note that says why there is no
// answer, empty if there is one.
func (c *Commander) ask(path string, reply any) string {
	if len(c.servers) == 0 {
		return notCompared + "no server is given"
	}
	if err := c.callTimes(checkAttempts, fasthttp.MethodGet, path, nil, reply); err != nil {
		return notCompared + exitErrorFrom(err).Error()
	}
	return ""
}

func (c *Commander) checkOperatorsDocument(name string, data []byte) (*checkReport, error) {
	if c.checkDocument == nil {
		return nil, exitErrorf(codeUsage, "%s is no settings file, and this program checks no other kind", name)
	}
	r := &checkReport{Kind: kindDocument, summary: name}
	var err error
	r.Findings, err = c.checkDocument(data, c.askRuleOptions(r)...)
	for i := range r.Findings {
		r.Findings[i].File = name
	}
	return r, err
}

// askRuleOptions returns what a host of the job path tells of the rules in force and of
// the workers, and adds that or the lack of it to the report.
func (c *Commander) askRuleOptions(r *checkReport) []rulechecker.Option {
	var hosts []yuccapaddle.HostReply
	if r.Note = c.ask("/v1/state", &hosts); r.Note != "" {
		return nil
	}
	for _, h := range hosts {
		// Only hosts of the job path list workers. The revision of others is not a version
		// of the operators' document.
		if h.Status == nil || h.Status.Engine == nil || len(h.Status.Engine.Workers) == 0 {
			continue
		}
		accelerators := 0
		for _, w := range h.Status.Engine.Workers {
			accelerators += w.Accelerators
		}
		r.Revision = h.Status.Revision
		r.Note = fmt.Sprintf("version %d is in force; hosts do not show its content, so only the version and the capacity of the workers are compared", r.Revision)
		return []rulechecker.Option{rulechecker.WithVersionInForce(int64(r.Revision)), rulechecker.WithCapacity(accelerators)}
	}
	r.Note = notCompared + "no active host of the job path with workers answers"
	return nil
}

// rows returns the report as text: the findings, the difference or the note, and a line
// that says so if there are no findings.
func (r *checkReport) rows() [][]string {
	var rows [][]string
	for _, f := range r.Findings {
		rows = append(rows, []string{f.String()})
	}
	if len(r.Findings) == 0 {
		rows = append(rows, []string{r.summary + ": no findings"})
	}
	switch r.Diff {
	case "":
	case noDifference:
		rows = append(rows, []string{fmt.Sprintf("no difference to revision %d in force", r.Revision)})
	default:
		rows = append(rows, []string{fmt.Sprintf("difference to revision %d in force: %s", r.Revision, r.Diff)})
	}
	if r.Note != "" {
		rows = append(rows, []string{r.Note})
	}
	return rows
}

// exitError returns the error with the exit code for the findings, nil without any.
func (r *checkReport) exitError() error {
	errorCount, warningCount := finding.Count(r.Findings, finding.Error), finding.Count(r.Findings, finding.Warning)
	switch {
	case errorCount > 0:
		return exitErrorf(codeCheckErrors, "errors: %d, warnings: %d", errorCount, warningCount)
	case warningCount > 0:
		return exitErrorf(codeCheckWarnings, "errors: 0, warnings: %d", warningCount)
	}
	return nil
}
