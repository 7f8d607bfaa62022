package commander

import (
	"time"

	"github.com/spf13/cobra"

	"yuccapaddle"
)

func init() {
	register(newWait)
}

func newWait(c *Commander) *cobra.Command {
	cmd := &cobra.Command{Use: "wait ID", Short: "Waits for a request's outcome at any host", Args: cobra.ExactArgs(1)}
	timeout := cmd.Flags().Duration("for", time.Hour, "how long to wait")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		o, err := c.awaitOutcome(yuccapaddle.Outcome{ID: args[0]}, args[0], time.Now().Add(*timeout))
		if err != nil {
			return err
		}
		return c.reportOutcome(cmd, o)
	}
	return cmd
}
