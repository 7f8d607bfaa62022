// Package assembler puts the parts of one host together and runs them until a
// planned stop.
package assembler

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"yuccapaddle"
	"yuccapaddle/internal/connector"
	"yuccapaddle/internal/elector"
	"yuccapaddle/internal/executor"
	"yuccapaddle/internal/guarder"
	"yuccapaddle/internal/inspector"
	"yuccapaddle/internal/jobmaker"
	"yuccapaddle/internal/jobserver"
	"yuccapaddle/internal/keyholder"
	"yuccapaddle/internal/limiter"
	"yuccapaddle/internal/loader"
	"yuccapaddle/internal/maintainer"
	"yuccapaddle/internal/monitor"
	"yuccapaddle/internal/peer"
	"yuccapaddle/internal/recorder"
	"yuccapaddle/internal/responder"
	"yuccapaddle/internal/router"
	"yuccapaddle/internal/rulekeeper"
	"yuccapaddle/internal/sleeper"
	"yuccapaddle/internal/timekeeper"
	"yuccapaddle/internal/writer"
)

const (
	mostMessage = 8 << 20
	mostBody    = 1 << 20
	idleTime    = 60 * time.Second
)

// Place says where a host is and where it listens. Addresses are host:port.
// Requests may be empty: then the project's own interface is not served.
type Place struct {
	Host, Domain, Region                     string
	Callers, Ready, Peers, Metrics, Requests string
}

// Outside is what a host meets outside of the system.
type Outside struct {
	Ledger   yuccapaddle.Ledger
	Registry yuccapaddle.Registry
	Runner   yuccapaddle.Runner
	Rulebook yuccapaddle.Rulebook
	Adviser  yuccapaddle.Adviser
	Fleet    yuccapaddle.Fleet
	// Front makes the handler for callers.
	Front func(yuccapaddle.JobService, yuccapaddle.Meter) fasthttp.RequestHandler
}

// Assembler is one host.
type Assembler struct {
	place    Place
	outside  Outside
	bounds   executor.Bounds
	drain    time.Duration
	lease    time.Duration
	cpuShare float64
	nonce    string
	log      *zap.Logger
	rules    *rulekeeper.Rulekeeper
	conns    *connector.Connector
	jobs     yuccapaddle.JobService
	elector  *elector.Elector
	monitor  *monitor.Monitor
	front    *fasthttp.Server
	limit    *limiter.Limiter
	respond  *responder.Responder
	inspect  *inspector.Inspector
	stopping atomic.Bool
	serving  atomic.Int64
}

// Option changes an Assembler under construction.
type Option func(*Assembler)

// WithDrain sets how long a planned stop waits for callers.
func WithDrain(d time.Duration) Option {
	return func(a *Assembler) { a.drain = d }
}

// WithLease sets the shortest lease of the ledger.
func WithLease(d time.Duration) Option {
	return func(a *Assembler) { a.lease = d }
}

// WithCPUShare sets the share of a core that the host has.
func WithCPUShare(cpuShare float64) Option {
	return func(a *Assembler) { a.cpuShare = cpuShare }
}

// New returns a host. nonce differs for every process.
func New(place Place, outside Outside, bounds executor.Bounds, nonce string, log *zap.Logger, opts ...Option) *Assembler {
	a := &Assembler{place: place, outside: outside, bounds: bounds, nonce: nonce, log: log}
	for _, o := range opts {
		o(a)
	}
	var clock timekeeper.Timekeeper
	a.rules = rulekeeper.New(outside.Rulebook, bounds.ApplyWithinMS, clock, log)
	a.conns = connector.New()
	a.monitor = monitor.New(place.Host, a.isReady)
	settings := loader.Defaults()
	settings.Region = place.Region
	a.limit = limiter.New(settings.Limits.CallerRate, settings.Limits.CallerBurst, settings.Limits.InFlight)
	a.elector = elector.New(outside.Ledger, a.rules, a.conns, place.Host, place.Peers, nonce, a.lease, a.build, clock, log, elector.WithCPUShare(a.cpuShare))
	a.jobs = router.New(a.rules, a.elector, a.conns)
	a.respond = responder.New(keyholder.New(a.rules.Current), jobmaker.New(a.jobs), a.limit, &settings, log, a.monitor.Observe)
	a.inspect = inspector.New(a.status, a.elector, a.conns, a.monitor.Handle)
	return a
}

func (a *Assembler) build(rec *recorder.Recorder, predecessorRenewsUntil time.Time) (*executor.Executor, func(context.Context) error) {
	clock := timekeeper.Timekeeper{}
	e := executor.New(a.outside.Registry, a.outside.Runner, a.rules, rec, a.bounds, clock, a.log,
		executor.WithAdviser(a.outside.Adviser), executor.WithMeter(a.monitor),
		executor.WithRole(a.elector.Confirmed, predecessorRenewsUntil))
	keep := maintainer.New(a.outside.Fleet, e, a.rules.Current, clock, a.place.Host, rec.Epoch(), a.log)
	return e, keep.Run
}

// Run serves until stop is closed, then drains and returns nil.
func (a *Assembler) Run(ctx context.Context, stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := guarder.New(ctx, a.log)
	handle := a.outside.Front(a.jobs, a.monitor)
	a.front = server(a.counted(handle))
	ready, metrics, requests := server(a.ready), server(a.inspect.Handle), server(a.counted(a.respond.Handle))
	peers := grpc.NewServer(grpc.MaxRecvMsgSize(mostMessage))
	peer.RegisterJobsServer(peers, jobserver.New(a.elector, a.status))
	serve := []struct {
		address string
		serve   func(net.Listener) error
	}{{a.place.Peers, peers.Serve}, {a.place.Ready, ready.Serve}, {a.place.Metrics, metrics.Serve}, {a.place.Requests, requests.Serve}, {a.place.Callers, a.front.Serve}}
	for _, s := range serve {
		if s.address == "" {
			continue
		}
		l, err := net.Listen("tcp", s.address)
		if err != nil {
			return fmt.Errorf("address %s cannot be served: %w", s.address, err)
		}
		g.Go("listener "+s.address, func() error { return s.serve(l) })
	}
	g.Go("rules", func() error { return a.rules.Run(ctx, a.elector.MustReadRules) })
	g.Go("role", func() error { return a.elector.Run(ctx) })
	g.Go("stop", func() error {
		select {
		case <-ctx.Done():
		case <-stop:
			a.drainCallers(ctx)
		}
		cancel()
		peers.Stop()
		return errors.Join(a.front.Shutdown(), ready.Shutdown(), metrics.Shutdown(), requests.Shutdown())
	})
	a.log.Info("started", zap.String("callers", a.place.Callers), zap.String("peers", a.place.Peers))
	err := g.Wait()
	a.conns.Close()
	err = errors.Join(err, a.monitor.Close())
	a.log.Info("stopped", zap.Error(err))
	return err
}

func server(handle fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: handle, Name: "yuccapaddle", MaxRequestBodySize: mostBody, IdleTimeout: idleTime,
		CloseOnShutdown: true, NoDefaultServerHeader: true, DisablePreParseMultipartForm: true,
	}
}

// counted counts the requests in work, so that a planned stop waits for them.
func (a *Assembler) counted(handle fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		a.serving.Add(1)
		defer a.serving.Add(-1)
		handle(ctx)
		if a.stopping.Load() {
			ctx.SetConnectionClose()
		}
	}
}

// ready answers the platform's question whether callers should be sent here.
func (a *Assembler) ready(ctx *fasthttp.RequestCtx) {
	if ok, why := a.isReady(); !ok {
		writer.Error(ctx, fasthttp.StatusServiceUnavailable, why)
		return
	}
	writer.JSON(ctx, fasthttp.StatusOK, struct{}{})
}

func (a *Assembler) isReady() (bool, string) {
	switch {
	case a.stopping.Load():
		return false, "this host is stopping"
	case a.rules.Current() == nil:
		return false, "the rules are not known yet"
	}
	return true, ""
}

// status is what this host tells operators of itself.
func (a *Assembler) status(ctx context.Context) (yuccapaddle.HostStatus, error) {
	st := yuccapaddle.HostStatus{
		Host: a.place.Host, Domain: a.place.Domain, InFlight: a.serving.Load(), Stopping: a.stopping.Load(),
		Heard: time.Now().Add(-timekeeper.Timekeeper{}.Now().Sub(a.rules.ConfirmedAt())).UTC(),
	}
	if rules := a.rules.Current(); rules != nil {
		st.Revision = uint64(rules.Version)
	}
	e := a.elector.LocalExecutor()
	if e == nil {
		st.Leader, _ = a.elector.Leader()
		return st, nil
	}
	st.Active, st.Leader = true, a.place.Host
	engine, err := e.Status(ctx)
	st.Engine = engine
	return st, err
}

// drainCallers gives the role up and serves on while callers still come.
func (a *Assembler) drainCallers(ctx context.Context) {
	a.log.Info("stopping", zap.Int64("requests", a.serving.Load()))
	a.stopping.Store(true)
	a.respond.Drain()
	a.elector.Resign()
	if sleeper.Sleep(ctx, a.drain) != nil {
		return
	}
	for range drainSteps {
		if a.serving.Load() == 0 {
			return
		}
		_ = sleeper.Sleep(ctx, drainStep) // counted, and ends with the context
	}
}

const (
	drainSteps = 20
	drainStep  = 50 * time.Millisecond
)
