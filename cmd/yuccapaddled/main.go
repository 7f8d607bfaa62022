// Command yuccapaddled is the daemon that runs on each entry host.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"yuccapaddle"
	"yuccapaddle/internal/dispatcher"
	"yuccapaddle/internal/hostlister"
	"yuccapaddle/internal/loader"
	"yuccapaddle/internal/logger"
	"yuccapaddle/internal/namer"
	"yuccapaddle/internal/server"
	"yuccapaddle/internal/storer"
)

func main() {
	cmd := &cobra.Command{
		Use:           "yuccapaddled",
		Short:         "Runs one entry host until SIGTERM, then drains it",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	base := cmd.Flags().String("base", "", "base settings file")
	overlays := cmd.Flags().StringArray("overlay", nil, "settings file merged over the base, in order")
	level := cmd.Flags().String("log", "info", "log level: debug, info, warn, error")
	_ = cmd.MarkFlagRequired("base")
	cmd.RunE = func(*cobra.Command, []string) error { return run(*base, *overlays, *level) }
	cmd.AddCommand(platformCommand())
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "yuccapaddled:", err)
		os.Exit(1)
	}
}

func run(base string, overlays []string, level string) error {
	settings, problems, err := loader.Load(base, overlays...)
	if err != nil {
		return err
	}
	if len(problems) > 0 {
		lines := make([]string, len(problems))
		for i, p := range problems {
			lines[i] = p.String()
		}
		return fmt.Errorf("the settings have %d mistakes:\n%s", len(problems), strings.Join(lines, "\n"))
	}
	log, err := logger.New(level)
	if err != nil {
		return err
	}
	host := &settings.Host
	limitHeap(int64(host.Limits.MemoryMB) << 20)
	log = log.With(zap.String("host", host.Name))
	opts := []server.Option{}
	if host.Platform.HostList != "" {
		opts = append(opts, server.WithHostList(hostlister.New(host.Platform.HostList)))
	}
	newWorker := func(addressOf func(string) string, observe func(string, int, int)) yuccapaddle.GangWorker {
		return dispatcher.New(addressOf, observe)
	}
	s := server.New(host, namer.Unique(host.Name), storer.New(host.Platform.Store), newWorker, log, opts...)
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if err := s.Run(context.Background(), ctx.Done()); err != nil {
		log.Error("stopped", zap.String("error", eris.ToString(eris.Wrap(err, "run the host"), true)))
		return err
	}
	return nil
}
