package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"yuccapaddle"
	"yuccapaddle/internal/assembler"
	"yuccapaddle/internal/executor"
	"yuccapaddle/internal/guarder"
	"yuccapaddle/internal/logger"
	"yuccapaddle/internal/namer"
	"yuccapaddle/internal/spooler"
	"yuccapaddle/internal/timekeeper"
	"yuccapaddle/platform/adviser"
	"yuccapaddle/platform/booter"
	"yuccapaddle/platform/fronter"
	"yuccapaddle/platform/lister"
	"yuccapaddle/platform/machinist"
	"yuccapaddle/platform/reader"
	"yuccapaddle/platform/runner"
	"yuccapaddle/platform/storer"
)

const (
	// gcPercent trades memory, of which there is enough, for processor time.
	gcPercent = 300
	// memoryShare is the part of the process's memory that the heap may take.
	memoryShare = 0.7
	megabyte    = 1 << 20
	// drainShare is the part of the grace in which callers are still served.
	drainShare = 0.45
)

// platformCommand runs a host on the users' platform.
func platformCommand() *cobra.Command {
	level := "info"
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Runs one host on the users' platform until SIGTERM, with the settings at $" + booter.Variable,
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return runPlatform(level) },
	}
	cmd.Flags().StringVar(&level, "log", level, "log level: debug, info, warn, error")
	return cmd
}

func runPlatform(level string) error {
	s, err := booter.Load(os.Getenv(booter.Variable))
	if err != nil {
		return err
	}
	lines := spooler.New(os.Stdout)
	log, err := logger.New(level, logger.WithOutput(lines))
	if err != nil {
		return err
	}
	written := make(chan struct{})
	var spool errgroup.Group
	spool.Go(func() error { return lines.Run(written) })
	defer func() {
		close(written)
		_ = spool.Wait() // there is nowhere left to tell of it
	}()
	log = log.With(zap.String("host", s.Host))
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB*megabyte)))
	ledger := storer.New(s.Store)
	outside := assembler.Outside{
		Ledger: ledger, Registry: lister.New(ledger, log), Runner: runner.New(), Rulebook: reader.New(ledger),
		Adviser: adviser.New(s.Advice, timekeeper.Timekeeper{}), Fleet: machinist.New(s.Machines, ledger),
		Front: func(d yuccapaddle.JobService, m yuccapaddle.Meter) fasthttp.RequestHandler {
			return fronter.New(d, m, log).Handle
		},
	}
	place := assembler.Place{
		Host: s.Host, Domain: s.Domain, Region: s.Region,
		Callers: s.Callers, Ready: s.Ready, Peers: s.Peers, Metrics: s.Metrics, Requests: s.Requests,
	}
	bounds := executor.Bounds{
		HoldMax: s.Bounds.HoldMaxMS, ApplyWithin: s.Bounds.ApplyMS, LeaveWithin: min(s.Bounds.DrainMS, s.Bounds.EvacuateMS),
		Planner: yuccapaddle.PlanLimits{
			Remote:    s.Bounds.RemotePenalty,
			Restore:   time.Duration(s.Bounds.RestoreMS) * time.Millisecond,
			Retention: time.Duration(s.Bounds.StatusS) * time.Second,
		},
	}
	host := assembler.New(place, outside, bounds, namer.Unique(s.Host), log,
		assembler.WithDrain(time.Duration(drainShare*s.Bounds.GraceS*float64(time.Second))),
		assembler.WithShare(s.Processor),
		assembler.WithLease(time.Duration(s.LeaseLeastMS)*time.Millisecond))
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	g, ctx := guarder.New(ctx, log)
	g.Go("host", func() error {
		defer cancel()
		return host.Run(context.Background(), ctx.Done())
	})
	g.Go("reload", func() error { return followSettings(ctx, log) })
	if err := g.Wait(); err != nil {
		log.Error("stopped", zap.String("error", eris.ToString(eris.Wrap(err, "run the host"), true)))
		return err
	}
	return nil
}

// followSettings checks the settings when the process is told that they have
// changed. What this process uses of them does not change while it runs.
func followSettings(ctx context.Context, log *zap.Logger) error {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGHUP)
	defer signal.Stop(told)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-told:
		}
		_, err := booter.Load(os.Getenv(booter.Variable))
		log.Info("settings read again", zap.Error(err))
	}
}
