package commander

import (
	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"yuccapaddle"
)

func init() {
	register(newCancel)
}

func newCancel(c *Commander) *cobra.Command {
	cmd := &cobra.Command{Use: "cancel ID", Short: "Cancels a request and says whether it had started", Args: cobra.ExactArgs(1)}
	wait := cmd.Flags().Duration("wait", maxWaitPerCall, "how long to wait until its tasks have stopped")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		o, err := c.callForOutcome(fasthttp.MethodDelete, "/v1/requests/"+args[0]+"?wait="+wait.String(), nil)
		if err != nil {
			return err
		}
		if o.Verdict == yuccapaddle.VerdictCancelled {
			return c.print(cmd, o, [][]string{{"REQUEST", "VERDICT", "REASON"}, {o.ID, string(o.Verdict), o.Reason}})
		}
		return c.reportOutcome(cmd, o)
	}
	return cmd
}
