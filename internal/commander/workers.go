package commander

import (
	"slices"
	"strconv"

	"github.com/spf13/cobra"

	"yuccapaddle"
	"yuccapaddle/internal/applier"
	"yuccapaddle/internal/mapper"
)

func init() {
	register(newWorkers)
}

func newWorkers(c *Commander) *cobra.Command {
	cmd := &cobra.Command{Use: "workers", Short: "Shows workers, drains them and brings them back"}
	list := &cobra.Command{Use: "list", Short: "Lists the workers with their use", Args: cobra.NoArgs}
	list.RunE = func(cmd *cobra.Command, _ []string) error {
		engine, err := c.fetchEngineStatus()
		if err != nil {
			return err
		}
		if len(engine.Workers) > 0 { // workers that registered themselves, not declared by the site
			return c.print(cmd, engine.Workers, registeredWorkerRows(engine.Workers))
		}
		cfg, err := c.fetchConfig()
		if err != nil {
			return err
		}
		rows := declaredWorkerRows(&cfg.Site, engine)
		return c.print(cmd, rows[1:], rows)
	}
	cmd.AddCommand(
		list,
		c.newActionCommand("drain", "Gives a worker no new work", applier.ActionWorkerDrain, workerNames),
		c.newActionCommand("back", "Gives a worker work again", applier.ActionWorkerBack, workerNames),
	)
	return cmd
}

var workerColumns = []string{"WORKER", "RACK", "DOMAIN", "USED", "ACCELERATORS", "STATE"}

func registeredWorkerRows(workers []yuccapaddle.WorkerStatus) [][]string {
	rows := [][]string{workerColumns}
	for _, w := range workers {
		rows = append(rows, []string{w.ID, w.Rack, w.Domain, strconv.Itoa(w.Used), strconv.Itoa(w.Accelerators), w.State})
	}
	return rows
}

func declaredWorkerRows(site *yuccapaddle.Site, engine *yuccapaddle.EngineStatus) [][]string {
	rows := [][]string{workerColumns}
	for _, w := range mapper.New(site).Workers() {
		state := "in"
		switch {
		case slices.Contains(site.DrainedWorkers, w.Name):
			state = "drained"
		case slices.Contains(engine.Quarantined, w.Name):
			state = "quarantined"
		case slices.Contains(engine.Unusable, w.Name):
			state = "no new work"
		}
		rows = append(rows, []string{w.Name, w.Rack, w.Domain, strconv.Itoa(engine.Used[w.Name]), strconv.Itoa(w.Accelerators), state})
	}
	return rows
}

func workerNames(s *yuccapaddle.Site) []string {
	var out []string
	for _, w := range mapper.New(s).Workers() {
		out = append(out, w.Name)
	}
	return out
}
