// Package assembler builds one host for the platform on which workers register
// themselves, and runs it until a planned stop.
package assembler

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"yuccapaddle"
	"yuccapaddle/internal/allotter"
	"yuccapaddle/internal/bodyreader"
	"yuccapaddle/internal/connector"
	"yuccapaddle/internal/elector"
	"yuccapaddle/internal/executor"
	"yuccapaddle/internal/gatekeeper"
	"yuccapaddle/internal/httpserver"
	"yuccapaddle/internal/inspector"
	"yuccapaddle/internal/jobmaker"
	"yuccapaddle/internal/jobserver"
	"yuccapaddle/internal/keyauthenticator"
	"yuccapaddle/internal/limiter"
	"yuccapaddle/internal/loader"
	"yuccapaddle/internal/maintainer"
	"yuccapaddle/internal/monitor"
	"yuccapaddle/internal/pausedetector"
	"yuccapaddle/internal/peer"
	"yuccapaddle/internal/recorder"
	"yuccapaddle/internal/recoverer"
	"yuccapaddle/internal/responder"
	"yuccapaddle/internal/router"
	"yuccapaddle/internal/rulekeeper"
	"yuccapaddle/internal/sleeper"
	"yuccapaddle/internal/supervisor"
	"yuccapaddle/internal/timekeeper"
	"yuccapaddle/internal/writer"
)

const (
	maxMessageBytes = 8 << 20
	maxBodyBytes    = 1 << 20
	// handshakeTime is how long another host may take to open a connection.
	handshakeTime = 30 * time.Second
	// shutdownTime is how long the servers go on after a planned stop has drained.
	shutdownTime = time.Second
	// defaultMemory is the memory of a process that is not told how much it has, in bytes.
	defaultMemory = 256 << 20
)

// HostConfig holds the location of a host and the addresses, as host:port, on which it
// listens. A listener with an empty address is not opened. Callers is the platform's
// interface for callers, and Requests the project's own; Readiness is for the load
// balancer's readiness check.
type HostConfig struct {
	Host, Domain, Region                         string
	Callers, Readiness, Peers, Metrics, Requests string
}

// Dependencies holds the host's clients for the platform's services.
type Dependencies struct {
	Ledger     yuccapaddle.Ledger
	Registry   yuccapaddle.Registry
	Runner     yuccapaddle.Runner
	RuleSource yuccapaddle.RuleSource
	Adviser    yuccapaddle.Adviser
	Fleet      yuccapaddle.Fleet
	// NewCallerHandler returns the HTTP handler for the platform's callers.
	NewCallerHandler func(yuccapaddle.JobService, yuccapaddle.Meter) fasthttp.RequestHandler
}

// Assembler is one host of the system.
type Assembler struct {
	cfg          HostConfig
	deps         Dependencies
	bounds       executor.Bounds
	drainTime    time.Duration
	minLease     time.Duration
	cpuShare     float64
	limits       *allotter.Allotter
	executorOpts []executor.Option
	electorOpts  []elector.Option
	routerOpts   []router.Option
	nonce        string
	log          *zap.Logger
	rules        *rulekeeper.RuleKeeper
	conns        *connector.Connector
	jobs         yuccapaddle.JobService
	elector      *elector.Elector
	monitor      *monitor.Monitor
	bodies       *bodyreader.BodyReader
	callerLimits *limiter.Limiter
	requestAPI   *responder.Responder
	pauses       *pausedetector.PauseDetector
	inspection   *inspector.Inspector
	stopping     atomic.Bool
	inFlight     atomic.Int64
}

// Option changes an Assembler under construction.
type Option func(*Assembler)

// WithDrainTime sets how long the host goes on serving callers after a planned stop
// has begun.
func WithDrainTime(d time.Duration) Option {
	return func(a *Assembler) { a.drainTime = d }
}

// WithMinLease sets the shortest lease time that the ledger grants.
func WithMinLease(d time.Duration) Option {
	return func(a *Assembler) { a.minLease = d }
}

// WithCPUShare sets the fraction of a CPU core that the host has.
func WithCPUShare(share float64) Option {
	return func(a *Assembler) { a.cpuShare = share }
}

// WithLimits sets the limits of the process.
func WithLimits(l *allotter.Allotter) Option {
	return func(a *Assembler) { a.limits = l }
}

// WithCompletionsShown makes the host report completed jobs while the ledger does not
// answer, see executor.WithCompletionsShown.
func WithCompletionsShown() Option {
	return func(a *Assembler) { a.executorOpts = append(a.executorOpts, executor.WithCompletionsShown()) }
}

// WithHeldCalls makes the host hold up to n submissions while the ledger does not answer,
// none if n is 0.
func WithHeldCalls(n int) Option {
	return func(a *Assembler) {
		if n > 0 {
			a.executorOpts = append(a.executorOpts, executor.WithHeldCalls(n))
			a.routerOpts = append(a.routerOpts, router.WithHeldCalls())
		}
	}
}

// WithLongestOutage sets the longest outage of the ledger, in milliseconds, through which running
// work goes on if hosts are lost as well, see elector.WithLongestOutage.
func WithLongestOutage(ms int64) Option {
	return func(a *Assembler) { a.electorOpts = append(a.electorOpts, elector.WithLongestOutage(ms)) }
}

// New returns an Assembler. nonce must be unique for each process.
func New(cfg HostConfig, deps Dependencies, bounds executor.Bounds, nonce string, log *zap.Logger, opts ...Option) *Assembler {
	a := &Assembler{cfg: cfg, deps: deps, bounds: bounds, nonce: nonce, log: log, limits: allotter.New(0, defaultMemory)}
	for _, o := range opts {
		o(a)
	}
	var clock timekeeper.Timekeeper
	a.rules = rulekeeper.New(deps.RuleSource, bounds.ApplyWithinMS, clock, log)
	a.conns = connector.New()
	a.monitor = monitor.New(cfg.Host, a.isReady)
	a.bodies = bodyreader.New(maxBodyBytes, a.limits.BodyBytes(), a.monitor)
	settings := loader.DefaultHost()
	settings.Region = cfg.Region
	a.callerLimits = limiter.New(settings.Limits.CallerRate, settings.Limits.CallerBurst, settings.Limits.InFlight)
	a.elector = elector.New(deps.Ledger, a.rules, a.conns, cfg.Host, cfg.Peers, nonce, a.minLease, a.newExecutor, clock, log,
		append(a.electorOpts, elector.WithCPUShare(a.cpuShare))...)
	a.pauses = pausedetector.New(clock)
	a.jobs = router.New(a.rules, a.elector, a.conns, append(a.routerOpts, router.WithPauses(a.pauses.Paused))...)
	a.requestAPI = responder.New(keyauthenticator.New(a.rules.Confirmed), jobmaker.New(a.jobs), a.callerLimits, &settings, log, a.monitor.ObserveAnswer)
	a.inspection = inspector.New(a.status, a.elector, a.conns, a.monitor.Handle)
	return a
}

// newExecutor returns the executor that runs while this host is active, and the
// function that runs the maintenance of machines beside it.
func (a *Assembler) newExecutor(rec *recorder.Recorder) (*executor.Executor, func(context.Context) error) {
	clock := timekeeper.Timekeeper{}
	opts := append([]executor.Option{
		executor.WithAdviser(a.deps.Adviser), executor.WithMeter(a.monitor),
		executor.WithRole(a.elector),
	}, a.executorOpts...)
	e := executor.New(a.deps.Registry, a.deps.Runner, a.rules, rec, a.bounds, clock, a.log, opts...)
	maintenance := maintainer.New(a.deps.Fleet, e, a.rules.Current, clock, a.cfg.Host, rec.Epoch(), a.log,
		maintainer.WithRole(a.elector.Leased, a.elector.PredecessorLeasedUntil))
	return e, maintenance.Run
}

// Run serves until stop is closed, then drains and returns nil. It returns an error
// if it cannot listen on an address or if a part of the host fails. If the context
// ends, it stops without draining.
func (a *Assembler) Run(ctx context.Context, stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := supervisor.New(ctx, a.log)
	guard := recoverer.New(a.log)
	handler := guard.HTTP(a.deps.NewCallerHandler(a.jobs, a.monitor))
	callers, requests := a.newHTTPServer(a.countInFlight(handler)), a.newHTTPServer(a.countInFlight(guard.HTTP(a.requestAPI.Handle)))
	readiness, metrics := a.newHTTPServer(guard.HTTP(a.handleReady)), a.newHTTPServer(guard.HTTP(a.inspection.Handle))
	peers := grpc.NewServer(grpc.MaxRecvMsgSize(maxMessageBytes), grpc.ConnectionTimeout(handshakeTime),
		grpc.ChainUnaryInterceptor(gatekeeper.Unary, guard.Unary), grpc.ChainStreamInterceptor(gatekeeper.Stream, guard.Stream))
	peer.RegisterJobsServer(peers, jobserver.New(a.elector, a.status))
	servers := []server{
		{"peers", a.cfg.Peers, a.limits.Peers(), func(l *gatekeeper.Gatekeeper) error { return peers.Serve(l) }},
		{"readiness", a.cfg.Readiness, a.limits.Checks(), readiness.Serve},
		{"metrics", a.cfg.Metrics, a.limits.Checks(), metrics.Serve},
		{"requests", a.cfg.Requests, a.limits.Requests(), requests.Serve},
		{"callers", a.cfg.Callers, a.limits.Callers(), callers.Serve},
	}
	if err := a.serveAll(group, servers); err != nil {
		return err
	}
	group.Go("rules", func() error { return a.rules.Run(ctx, a.elector.MustReadRules, a.elector.Active) })
	group.Go("role", func() error { return a.elector.Run(ctx) })
	group.Go("pauses", func() error { return a.pauses.Run(ctx) })
	group.Go("stop", func() error {
		select {
		case <-ctx.Done():
		case <-stop:
			a.drain(ctx)
		}
		cancel()
		peers.Stop()
		return shutDown(callers, readiness, metrics, requests)
	})
	a.log.Info("started", zap.String("callers", a.cfg.Callers), zap.String("peers", a.cfg.Peers))
	err := group.Wait()
	a.conns.Close()
	err = errors.Join(err, a.monitor.Close())
	a.log.Info("stopped", zap.Error(err))
	return err
}

// server serves up to maxConns connections at once that a listener accepts on an address.
type server struct {
	name, address string
	maxConns      int
	serve         func(*gatekeeper.Gatekeeper) error
}

// serveAll listens on the addresses that are not empty and serves them in the group. If it
// cannot listen on one of them, it serves none.
func (a *Assembler) serveAll(group *supervisor.Supervisor, servers []server) error {
	listeners := make([]*gatekeeper.Gatekeeper, len(servers))
	for i, s := range servers {
		if s.address == "" {
			continue
		}
		l, err := gatekeeper.Listen(s.address, s.name, s.maxConns, a.monitor, a.log)
		if err != nil {
			closeAll(listeners)
			return fmt.Errorf("listen on %s: %w", s.address, err)
		}
		listeners[i] = l
	}
	for i, s := range servers {
		if l := listeners[i]; l != nil {
			group.Go("listener "+s.address, func() error { return s.serve(l) })
		}
	}
	return nil
}

func closeAll(listeners []*gatekeeper.Gatekeeper) {
	for _, l := range listeners {
		if l != nil {
			_ = l.Close() // nothing was accepted on it
		}
	}
}

// newHTTPServer returns a server for one of the host's listeners. All of them share the memory
// for bodies.
func (a *Assembler) newHTTPServer(handler fasthttp.RequestHandler) *httpserver.HTTPServer {
	return httpserver.New(handler, a.bodies, a.log)
}

// shutDown shuts the servers down at once. What is still being received or sent after
// shutdownTime is cut off.
func shutDown(servers ...*httpserver.HTTPServer) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTime)
	defer cancel()
	var group errgroup.Group
	for _, s := range servers {
		group.Go(func() error { return s.Shutdown(ctx) })
	}
	return group.Wait()
}

// countInFlight wraps a handler to count the requests in progress, for which a
// planned stop waits, and to close connections during the stop.
func (a *Assembler) countInFlight(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		a.inFlight.Add(1)
		defer a.inFlight.Add(-1)
		handler(ctx)
		if a.stopping.Load() {
			ctx.SetConnectionClose()
		}
	}
}

// handleReady serves the readiness check of the platform's load balancer.
func (a *Assembler) handleReady(ctx *fasthttp.RequestCtx) {
	if ok, reason := a.isReady(); !ok {
		writer.Error(ctx, fasthttp.StatusServiceUnavailable, reason)
		return
	}
	writer.JSON(ctx, fasthttp.StatusOK, struct{}{})
}

// isReady reports whether callers should be sent to this host, and why not.
func (a *Assembler) isReady() (bool, string) {
	switch {
	case a.stopping.Load():
		return false, "this host is stopping"
	case a.rules.Confirmed() == nil:
		return false, "the rules are not known yet"
	}
	return true, ""
}

// status returns the host's status as shown to operators.
func (a *Assembler) status(ctx context.Context) (yuccapaddle.HostStatus, error) {
	st := yuccapaddle.HostStatus{
		Host: a.cfg.Host, Domain: a.cfg.Domain, InFlight: a.inFlight.Load(), Stopping: a.stopping.Load(),
		ConfigCheckedAt: time.Now().Add(-timekeeper.Timekeeper{}.Now().Sub(a.rules.ConfirmedAt())).UTC(),
	}
	if rules := a.rules.Current(); rules != nil {
		st.Revision = uint64(rules.Version)
	}
	e := a.elector.LocalExecutor()
	if e == nil {
		st.Leader, _ = a.elector.Leader()
		return st, nil
	}
	st.Active, st.Leader = true, a.cfg.Host
	engine, err := e.Status(ctx)
	st.Engine = engine
	return st, err
}

// drain gives up the active role and answers the callers that wait at the project's
// own interface with what is known so far. The host goes on serving for drainTime and
// then until no request is in progress, at most for maxDrainPolls polls.
func (a *Assembler) drain(ctx context.Context) {
	a.log.Info("stopping", zap.Int64("requests", a.inFlight.Load()))
	a.stopping.Store(true)
	a.requestAPI.Drain()
	a.elector.Resign()
	if sleeper.Sleep(ctx, a.drainTime) != nil {
		return
	}
	for range maxDrainPolls {
		if a.inFlight.Load() == 0 {
			return
		}
		_ = sleeper.Sleep(ctx, drainPollInterval) // an error means that ctx has ended; the loop is bounded
	}
}

const (
	maxDrainPolls     = 20
	drainPollInterval = 50 * time.Millisecond
)
