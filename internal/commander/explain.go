package commander

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"yuccapaddle/internal/explainer"
)

func init() {
	register(newExplain)
}

func newExplain(*Commander) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "explain ID [LOG...]",
		Short: "Tells the life of a job, and the cause of its outcome, from the logs of the hosts",
		Long:  "Reads the named logs, or standard input, and prints every line of the job in order.\nThe last line names the cause. No host is asked.",
		Args:  cobra.MinimumNArgs(1),
	}
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		e := explainer.New(args[0])
		if err := readLogs(e, cmd.InOrStdin(), args[1:]); err != nil {
			return err
		}
		if err := e.Write(cmd.OutOrStdout()); err != nil {
			return exitErrorf(codeNotFound, "%v", err)
		}
		return nil
	}
	return cmd
}

func readLogs(e *explainer.Explainer, stdin io.Reader, paths []string) error {
	if len(paths) == 0 {
		return e.Read(stdin)
	}
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return fmt.Errorf("open log: %w", err)
		}
		err = e.Read(f)
		_ = f.Close() // opened for reading only, so no write can be lost
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	return nil
}
