package commander

import (
	"slices"

	"github.com/spf13/cobra"

	"yuccapaddle"
	"yuccapaddle/internal/applier"
)

func init() {
	register(newUpstreams)
}

func newUpstreams(c *Commander) *cobra.Command {
	cmd := &cobra.Command{Use: "upstreams", Short: "Shows upstreams, drains them and brings them back"}
	list := &cobra.Command{Use: "list", Short: "Lists the upstreams", Args: cobra.NoArgs}
	list.RunE = func(cmd *cobra.Command, _ []string) error {
		cfg, err := c.fetchConfig()
		if err != nil {
			return err
		}
		rows := [][]string{{"UPSTREAM", "DOMAIN", "ADDRESS", "STATE"}}
		for _, d := range cfg.Site.Domains {
			for _, u := range d.Upstreams {
				rows = append(rows, []string{u.Name, d.Name, u.Address, drainState(cfg.Site.DrainedUpstreams, u.Name, d.Out)})
			}
		}
		return c.print(cmd, cfg.Site.Domains, rows)
	}
	cmd.AddCommand(
		list,
		c.newActionCommand("drain", "Gives an upstream no new work", applier.ActionUpstreamDrain, upstreamNames),
		c.newActionCommand("back", "Gives an upstream work again", applier.ActionUpstreamBack, upstreamNames),
	)
	return cmd
}

func drainState(drained []string, name string, out bool) string {
	switch {
	case out:
		return "domain out"
	case slices.Contains(drained, name):
		return "drained"
	}
	return "in"
}

func upstreamNames(s *yuccapaddle.Site) []string {
	var out []string
	for _, d := range s.Domains {
		for _, u := range d.Upstreams {
			out = append(out, u.Name)
		}
	}
	return out
}
