// Command standin plays the platform for tests and trials: the key-value
// service, the host list, and the upstreams with their workers. Faults are
// switched on over HTTP; docs/PROTOCOLS.md lists the paths.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"yuccapaddle"
	"yuccapaddle/internal/loader"
	"yuccapaddle/internal/namer"
	"yuccapaddle/internal/standin/exposer"
	"yuccapaddle/internal/standin/lister"
	"yuccapaddle/internal/standin/storer"
	"yuccapaddle/internal/standin/worker"
)

// The rates of the brief, in calls a second.
const (
	writeRate = 400
	readRate  = 2000
)

func main() {
	root := &cobra.Command{Use: "standin", Short: "Plays the platform", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(platformCommand(), upstreamsCommand())
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func platformCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "platform", Short: "Serves the key-value service and the host list"}
	address := cmd.Flags().String("address", "127.0.0.1:7100", "IP:port to serve")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		s := storer.New()
		s.SetFaults(storer.Faults{WriteRate: writeRate, ReadRate: readRate})
		return exposer.New(s, lister.New(), nil).Serve(cmd.Context(), *address)
	}
	return cmd
}

func upstreamsCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "upstreams", Short: "Serves the upstreams that the settings declare, each at its address"}
	base := cmd.Flags().String("base", "", "base settings file")
	overlays := cmd.Flags().StringArray("overlay", nil, "settings file merged over the base, in order")
	domain := cmd.Flags().String("domain", "", "serve only this failure domain's upstreams")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		settings, problems, err := loader.Load(*base, *overlays...)
		if err != nil {
			return err
		}
		if len(problems) > 0 {
			return fmt.Errorf("the settings have %d mistakes, the first: %s", len(problems), problems[0])
		}
		return serveUpstreams(cmd.Context(), &settings.Site, *domain)
	}
	return cmd
}

func serveUpstreams(ctx context.Context, site *yuccapaddle.Site, domain string) error {
	w := worker.New(worker.WithBoot(namer.Unique("")))
	g, ctx := errgroup.WithContext(ctx)
	for _, d := range site.Domains {
		if domain != "" && d.Name != domain {
			continue
		}
		for _, u := range d.Upstreams {
			w.Add(u)
			e := exposer.New(nil, nil, w)
			g.Go(func() error { return e.Serve(ctx, u.Address) })
		}
	}
	return g.Wait()
}
