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
	"yuccapaddle/internal/allotter"
	"yuccapaddle/internal/assembler"
	"yuccapaddle/internal/executor"
	"yuccapaddle/internal/logger"
	"yuccapaddle/internal/namer"
	"yuccapaddle/internal/spooler"
	"yuccapaddle/internal/supervisor"
	"yuccapaddle/internal/timekeeper"
	"yuccapaddle/platform/adviser"
	"yuccapaddle/platform/configurer"
	"yuccapaddle/platform/fleetmanager"
	"yuccapaddle/platform/jobhandler"
	"yuccapaddle/platform/lister"
	"yuccapaddle/platform/reader"
	"yuccapaddle/platform/runner"
	"yuccapaddle/platform/storer"
)

const (
	// gcPercent is above the default of 100: it trades memory, which is plentiful,
	// for CPU time.
	gcPercent  = 300
	bytesPerMB = 1 << 20
	// drainFraction is the part of the termination grace period in which a stopping
	// host still serves callers.
	drainFraction = 0.45
)

// platformCommand returns the command that runs a host on the users' platform.
func platformCommand() *cobra.Command {
	level := "info"
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Runs one host on the users' platform until SIGTERM, with the settings at $" + configurer.EnvVariable,
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return runPlatform(level) },
	}
	cmd.Flags().StringVar(&level, "log", level, "log level: debug, info, warn, error")
	return cmd
}

func runPlatform(level string) error {
	s, err := configurer.Load(os.Getenv(configurer.EnvVariable))
	if err != nil {
		return err
	}
	logOutput := spooler.New(os.Stdout)
	log, err := logger.New(level, logger.WithOutput(logOutput))
	if err != nil {
		return err
	}
	stopLog := make(chan struct{})
	var logGroup errgroup.Group
	logGroup.Go(func() error { return logOutput.Run(stopLog) })
	defer func() {
		close(stopLog)
		_ = logGroup.Wait() // the log output itself failed, so the error cannot be logged
	}()
	log = log.With(zap.String("host", s.Host))
	debug.SetGCPercent(gcPercent)
	limitHeap(s.MemoryMB * bytesPerMB)
	store := storer.New(s.Store)
	deps := assembler.Dependencies{
		Ledger: store, Registry: lister.New(store, log), Runner: runner.New(), RuleSource: reader.New(store),
		Adviser: adviser.New(s.Advice, timekeeper.Timekeeper{}), Fleet: fleetmanager.New(s.Machines, store),
		NewCallerHandler: func(d yuccapaddle.JobService, m yuccapaddle.Meter) fasthttp.RequestHandler {
			return jobhandler.New(d, m, log).Handle
		},
	}
	cfg := assembler.HostConfig{
		Host: s.Host, Domain: s.Domain, Region: s.Region,
		Callers: s.Callers, Readiness: s.Readiness, Peers: s.Peers, Metrics: s.Metrics, Requests: s.Requests,
	}
	limits := allotter.New(s.Descriptors, s.MemoryMB*bytesPerMB)
	bounds := executor.Bounds{
		MaxLeaseMS: s.Bounds.MaxLeaseMS, ApplyWithinMS: s.Bounds.ApplyMS, LeaveWithinMS: min(s.Bounds.DrainMS, s.Bounds.EvacuateMS),
		Planner: yuccapaddle.PlanLimits{
			RemoteSlowdown:   s.Bounds.RemoteSlowdown,
			Restore:          time.Duration(s.Bounds.RestoreMS) * time.Millisecond,
			Retention:        time.Duration(s.Bounds.RetentionS) * time.Second,
			MoveLeaving:      s.Capacity.MoveLeaving,
			OrderByDelayCost: s.Capacity.OrderByDelay,
			LearnStalls:      s.Capacity.LearnStalls,
			ProveWorkers:     true,
			JobMemory:        limits.JobBytes(),
			Heartbeat:        time.Duration(s.HeartbeatMS) * time.Millisecond,
		},
	}
	opts := append(outageOptions(&s.Outage),
		assembler.WithDrainTime(time.Duration(drainFraction*s.Bounds.GraceS*float64(time.Second))),
		assembler.WithCPUShare(s.CPUShare),
		assembler.WithLimits(limits),
		assembler.WithMinLease(time.Duration(s.MinLeaseMS)*time.Millisecond))
	host := assembler.New(cfg, deps, bounds, namer.Unique(s.Host), log, opts...)
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	g, ctx := supervisor.New(ctx, log)
	g.Go("host", func() error {
		defer cancel()
		return host.Run(context.Background(), ctx.Done())
	})
	g.Go("reload", func() error { return checkSettingsOnHangup(ctx, log) })
	if err := g.Wait(); err != nil {
		log.Error("stopped", zap.String("error", eris.ToString(eris.Wrap(err, "run the host"), true)))
		return err
	}
	return nil
}

// outageOptions returns the options for what the host does while the store is unavailable.
func outageOptions(o *configurer.Outage) []assembler.Option {
	opts := []assembler.Option{assembler.WithHeldCalls(o.HoldCalls), assembler.WithLongestOutage(o.LongestMS)}
	if o.ShowEnds {
		opts = append(opts, assembler.WithCompletionsShown())
	}
	return opts
}

// checkSettingsOnHangup checks the settings again on every SIGHUP and logs the
// result. It applies nothing: the settings that this process uses do not change
// while it runs.
func checkSettingsOnHangup(ctx context.Context, log *zap.Logger) error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hangup:
		}
		_, err := configurer.Load(os.Getenv(configurer.EnvVariable))
		log.Info("settings checked after SIGHUP", zap.Error(err))
	}
}
