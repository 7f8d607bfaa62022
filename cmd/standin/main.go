// Command standin simulates the platform for tests and trials: the key-value
// service, the host list, and the upstreams with their workers; or the users'
// platform. Faults are injected over HTTP; docs/PROTOCOLS.md lists the paths.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// builders construct the registered commands.
var builders []func() *cobra.Command

func register(b func() *cobra.Command) {
	builders = append(builders, b)
}

func main() {
	root := &cobra.Command{Use: "standin", Short: "Plays the platform", SilenceUsage: true, SilenceErrors: true}
	for _, b := range builders {
		root.AddCommand(b())
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}
