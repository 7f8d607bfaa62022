package commander

import (
	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"
)

func init() {
	register(newStatus)
}

func newStatus(c *Commander) *cobra.Command {
	cmd := &cobra.Command{Use: "status ID", Short: "Shows what is known of a request", Args: cobra.ExactArgs(1)}
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		o, err := c.callForOutcome(fasthttp.MethodGet, "/v1/requests/"+args[0], nil)
		if err != nil {
			return err
		}
		return c.reportOutcome(cmd, o)
	}
	return cmd
}
