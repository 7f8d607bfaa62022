package commander

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"yuccapaddle"
	"yuccapaddle/internal/applier"
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
	if *f.base == "" {
		return nil, exitErrorf(codeUsage, "a base settings file is needed: use --base")
	}
	s, problems, err := loader.Load(*f.base, *f.overlays...)
	if err != nil {
		return nil, exitErrorf(codeInvalid, "%v", err)
	}
	if len(problems) == 0 {
		return &s.Site, nil
	}
	text := ""
	for _, p := range problems {
		text += "\n" + p.String()
	}
	return nil, exitErrorf(codeInvalid, "the settings have %d mistakes:%s", len(problems), text)
}

func newConfig(c *Commander) *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Checks, compares and applies the configuration"}
	cmd.AddCommand(c.configCheck(), c.configShow(), c.configDiff(), c.configApply(), c.configHistory())
	return cmd
}

func (c *Commander) configCheck() *cobra.Command {
	cmd := &cobra.Command{Use: "check", Short: "Checks settings files without starting or changing anything", Args: cobra.NoArgs}
	files := settingsFlags(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		site, err := files.loadSite()
		if err != nil {
			return err
		}
		text := fmt.Sprintf("%s: %d failure domains, %d workspaces, no mistakes", site.Name, len(site.Domains), len(site.Workspaces))
		return c.print(cmd, applier.Result{Status: applier.Accepted}, [][]string{{text}})
	}
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
		site, err = applier.KeepDrains(&cfg.Site, site)
		if err != nil {
			return err
		}
		diff, err := applier.Diff(&cfg.Site, site)
		if err != nil {
			return err
		}
		return c.print(cmd, applier.Result{Revision: cfg.Revision, Diff: diff}, [][]string{{diff}})
	}
	return cmd
}

func (c *Commander) configApply() *cobra.Command {
	cmd := &cobra.Command{Use: "apply", Short: "Applies the files as the new configuration", Args: cobra.NoArgs}
	files := settingsFlags(cmd)
	reason := reasonFlag(cmd)
	ifRevision := cmd.Flags().Uint64("revision", 0, "apply only if this revision is in force, 0 for the one in force now")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		site, err := files.loadSite()
		if err != nil {
			return err
		}
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
