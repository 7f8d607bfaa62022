package commander

import (
	"strconv"

	"github.com/spf13/cobra"

	"yuccapaddle"
	"yuccapaddle/internal/applier"
)

func init() {
	register(newDomains)
}

func newDomains(c *Commander) *cobra.Command {
	cmd := &cobra.Command{Use: "domains", Short: "Shows failure domains, takes them out and back"}
	list := &cobra.Command{Use: "list", Short: "Lists the failure domains", Args: cobra.NoArgs}
	list.RunE = func(cmd *cobra.Command, _ []string) error {
		cfg, err := c.fetchConfig()
		if err != nil {
			return err
		}
		rows := [][]string{{"DOMAIN", "REGION", "STATE", "UPSTREAMS", "WORKERS"}}
		for _, d := range cfg.Site.Domains {
			state := "in"
			if d.Out {
				state = "out"
			}
			rows = append(rows, []string{d.Name, d.Region, state, strconv.Itoa(len(d.Upstreams)), strconv.Itoa(workerCount(d))})
		}
		return c.print(cmd, cfg.Site.Domains, rows)
	}
	cmd.AddCommand(
		list,
		c.newActionCommand("out", "Takes a failure domain out of service", applier.ActionDomainOut, domainNames),
		c.newActionCommand("back", "Brings a failure domain back", applier.ActionDomainBack, domainNames),
	)
	return cmd
}

func workerCount(d yuccapaddle.Domain) int {
	n := 0
	for _, u := range d.Upstreams {
		for _, r := range u.Racks {
			n += r.Workers
		}
	}
	return n
}

func domainNames(s *yuccapaddle.Site) []string {
	var out []string
	for _, d := range s.Domains {
		out = append(out, d.Name)
	}
	return out
}
