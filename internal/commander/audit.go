package commander

import "github.com/spf13/cobra"

func init() {
	register(newAudit)
}

func newAudit(c *Commander) *cobra.Command {
	cmd := &cobra.Command{Use: "audit", Short: "Lists every accepted change: by whom, when, why", Args: cobra.NoArgs}
	operator := cmd.Flags().String("operator", "", "only the changes of this operator")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error { return c.showAudit(cmd, *operator) }
	return cmd
}
