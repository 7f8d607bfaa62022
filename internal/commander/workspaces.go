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
	cmd.AddCommand(show, apply, c.workspacesUse())
	return cmd
}

// workspacesUse lists what workspaces use of their quotas, as the active host sees it.
func (c *Commander) workspacesUse() *cobra.Command {
	cmd := &cobra.Command{Use: "use", Short: "Lists what workspaces use of their quotas, asked at a host's metrics address", Args: cobra.NoArgs}
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		engine, err := c.fetchEngineStatus()
		if err != nil {
			return err
		}
		return c.print(cmd, engine.Workspaces, workspaceUseRows(engine.Workspaces))
	}
	return cmd
}

func workspaceUseRows(list []yuccapaddle.WorkspaceStatus) [][]string {
	rows := [][]string{{"WORKSPACE", "WEIGHT", "CPU", "QUOTA", "MEMORY", "QUOTA", "GPU", "QUOTA"}}
	for _, w := range list {
		rows = append(rows, []string{
			w.Name, strconv.Itoa(w.Weight), strconv.Itoa(w.Used.CPU), limitText(w.Quota.CPU),
			strconv.Itoa(w.Used.Memory), limitText(w.Quota.Memory), strconv.Itoa(w.Used.GPU), limitText(w.Quota.GPU),
		})
	}
	return rows
}

// limitText formats a limit, of which 0 means that there is none.
func limitText(n int) string {
	if n == 0 {
		return "none"
	}
	return strconv.Itoa(n)
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
