package main

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"yuccapaddle"
	"yuccapaddle/internal/loader"
	"yuccapaddle/internal/namer"
	"yuccapaddle/internal/standin/exposer"
	"yuccapaddle/internal/standin/worker"
)

func init() {
	register(upstreamsCommand)
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
	w := worker.New(worker.WithBootPrefix(namer.Unique("")))
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
