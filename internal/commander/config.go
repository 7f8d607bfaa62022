package commander

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"yuccapaddle"
	"yuccapaddle/internal/applier"
	"yuccapaddle/internal/finding"
	"yuccapaddle/internal/loader"
)

func init() {
	register(newConfig)
}

// settingsFiles holds the flags that name the settings files.
type settingsFiles struct {
	base     *string
	overlays *[]string
}

func settingsFlags(cmd *cobra.Command) settingsFiles {
	return settingsFiles{
		base:     cmd.Flags().String("base", "", "base settings file"),
		overlays: cmd.Flags().StringArray("overlay", nil, "settings file merged over the base, in order"),
	}
}

// loadSite loads and merges the files and returns their site section. The error
// lists all problems of the files.
func (f settingsFiles) loadSite() (*yuccapaddle.Site, error) {
	site, _, err := f.checkSite()
	return site, err
}

// checkSite is like loadSite and also returns the warnings on the files.
func (f settingsFiles) checkSite() (*yuccapaddle.Site, []finding.Finding, error) {
	if *f.base == "" {
		return nil, nil, exitErrorf(codeUsage, "a base settings file is needed: use --base")
	}
	s, findings, err := loader.Check(*f.base, *f.overlays...)
	if err != nil {
		return nil, nil, exitErrorf(codeInvalid, "%v", err)
	}
	n := finding.Count(findings, finding.Error)
	if n == 0 {
		return &s.Site, findings, nil
	}
	text := ""
	for _, p := range findings {
		if p.Severity == finding.Error {
			text += "\n" + p.Place() + p.Text
		}
	}
	return nil, nil, exitErrorf(codeInvalid, "the settings have %d mistakes:%s", n, text)
}

func newConfig(c *Commander) *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Checks, compares and applies the configuration"}
	cmd.AddCommand(c.configCheck(), c.configShow(), c.configDiff(), c.configApply(), c.configHistory())
	return cmd
}

func (c *Commander) configShow() *cobra.Command {
	cmd := &cobra.Command{Use: "show", Short: "Shows the configuration in force", Args: cobra.NoArgs}
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		cfg, err := c.fetchConfig()
		if err != nil {
			return err
		}
		rows := [][]string{{"SITE", "REVISION", "CHANGE"}, {cfg.Site.Name, fmt.Sprint(cfg.Revision), cfg.ChangeID}}
		return c.print(cmd, cfg, rows)
	}
	return cmd
}

func (c *Commander) configDiff() *cobra.Command {
	cmd := &cobra.Command{Use: "diff", Short: "Shows what applying the files would change, as a merge patch", Args: cobra.NoArgs}
	files := settingsFlags(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		site, err := files.loadSite()
		if err != nil {
			return err
		}
		cfg, err := c.fetchConfig()
		if err != nil {
			return err
		}
		diff, err := siteDiff(cfg, site)
		if err != nil {
			return err
		}
		return c.print(cmd, applier.Result{Revision: cfg.Revision, Diff: diff}, [][]string{{diff}})
	}
	return cmd
}

// siteDiff returns what applying the site over the configuration in force would change,
// as a merge patch.
func siteDiff(cfg *yuccapaddle.Config, site *yuccapaddle.Site) (string, error) {
	site, err := applier.KeepDrains(&cfg.Site, site)
	if err != nil {
		return "", err
	}
	return applier.Diff(&cfg.Site, site)
}

func (c *Commander) configApply() *cobra.Command {
	cmd := &cobra.Command{Use: "apply", Short: "Applies the files as the new configuration", Args: cobra.NoArgs}
	files := settingsFlags(cmd)
	reason := reasonFlag(cmd)
	ifRevision := cmd.Flags().Uint64("revision", 0, "apply only if this revision is in force, 0 for the one in force now")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		site, findings, err := files.checkSite()
		if err != nil {
			return err
		}
		printWarnings(cmd, findings)
		revision := *ifRevision
		if revision == 0 {
			if revision, err = c.revisionInForce(); err != nil {
				return err
			}
		}
		return c.change(cmd, applier.Change{Action: applier.ActionApply, Base: revision, Site: site, Reason: *reason})
	}
	return cmd
}

// printWarnings prints the warnings to standard error: standard output holds the result
// of the change.
func printWarnings(cmd *cobra.Command, findings []finding.Finding) {
	for _, f := range findings {
		if f.Severity == finding.Warning {
			fmt.Fprintln(cmd.ErrOrStderr(), f)
		}
	}
}

// revisionInForce returns the revision of the configuration, 0 if there is none yet.
func (c *Commander) revisionInForce() (uint64, error) {
	cfg, err := c.fetchConfig()
	var e *exitError
	switch {
	case err == nil:
		return cfg.Revision, nil
	case errors.As(err, &e) && e.code == codeNotFound:
		return 0, nil
	}
	return 0, err
}

func (c *Commander) configHistory() *cobra.Command {
	cmd := &cobra.Command{Use: "history", Short: "Lists the revisions with who made them and why", Args: cobra.NoArgs}
	cmd.RunE = func(cmd *cobra.Command, _ []string) error { return c.showAudit(cmd, "") }
	return cmd
}

func (c *Commander) showAudit(cmd *cobra.Command, operator string) error {
	var all []yuccapaddle.Audit
	if err := c.call(fasthttp.MethodGet, "/v1/audit", nil, &all); err != nil {
		return exitErrorFrom(err)
	}
	entries := []yuccapaddle.Audit{}
	rows := [][]string{{"REVISION", "AT", "OPERATOR", "ACTION", "REASON", "CHANGE"}}
	for _, a := range all {
		if operator != "" && a.Operator != operator {
			continue
		}
		entries = append(entries, a)
		rows = append(rows, []string{fmt.Sprint(a.Revision), a.At.Format("2006-01-02T15:04:05Z"), a.Operator, a.Action, a.Reason, a.ChangeID})
	}
	return c.print(cmd, entries, rows)
}
