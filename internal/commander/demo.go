package commander

import (
	"github.com/spf13/cobra"

	"yuccapaddle/internal/demonstrator"
)

func init() {
	register(newDemo)
}

func newDemo(*Commander) *cobra.Command {
	cmd := &cobra.Command{Use: "demo", Short: "Runs the main job in one process with stand-in workers", Args: cobra.NoArgs}
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		return demonstrator.New(cmd.OutOrStdout()).Run(cmd.Context())
	}
	return cmd
}
