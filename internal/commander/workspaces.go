package commander

import (
	"strconv"

	"github.com/spf13/cobra"

	"yuccapaddle"
	"yuccapaddle/internal/applier"
)

func init() {
	register(newWorkspaces)
}

func newWorkspaces(c *Commander) *cobra.Command {
	cmd := &cobra.Command{Use: "workspaces", Short: "Shows workspaces and changes them"}
	show := &cobra.Command{Use: "show", Short: "Shows guarantees, quotas and where the guarantees lie", Args: cobra.NoArgs}
	show.RunE = func(cmd *cobra.Command, _ []string) error {
		cfg, err := c.fetchConfig()
		if err != nil {
			return err
		}
		return c.print(cmd, cfg.Site.Workspaces, workspaceRows(&cfg.Site))
	}
	apply := &cobra.Command{Use: "apply", Short: "Applies only the workspaces of the settings files", Args: cobra.NoArgs}
	reason := reasonFlag(apply)
	files := settingsFlags(apply)
	apply.RunE = func(cmd *cobra.Command, _ []string) error {
		wanted, err := files.loadSite()
		if err != nil {
			return err
		}
		cfg, err := c.fetchConfig()
		if err != nil {
			return err
		}
		site := cfg.Site
		site.Workspaces = wanted.Workspaces
		return c.change(cmd, applier.Change{Action: applier.ActionApply, Target: "workspaces", Base: cfg.Revision, Site: &site, Reason: *reason})
	}
	cmd.AddCommand(show, apply)
	return cmd
}

func workspaceRows(site *yuccapaddle.Site) [][]string {
	rows := [][]string{{"WORKSPACE", "QUOTA", "SHAPES", "WORKERS", "ACCELERATORS", "SPAN", "DOMAIN"}}
	for _, ws := range site.Workspaces {
		for _, g := range ws.Guarantees {
			rows = append(rows, []string{
				ws.Name, strconv.Itoa(ws.Quota), strconv.Itoa(g.Count), strconv.Itoa(g.Workers),
				strconv.Itoa(g.Accelerators), string(g.Span), g.Domain,
			})
		}
	}
	return rows
}
