// Package server builds one host of the system, whose workers run behind upstreams,
// and runs it until a planned stop.
package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/time/rate"
	"google.golang.org/grpc"

	"yuccapaddle"
	"yuccapaddle/internal/administrator"
	"yuccapaddle/internal/allotter"
	"yuccapaddle/internal/applier"
	"yuccapaddle/internal/authenticator"
	"yuccapaddle/internal/bodyreader"
	"yuccapaddle/internal/driver"
	"yuccapaddle/internal/forwarder"
	"yuccapaddle/internal/gatekeeper"
	"yuccapaddle/internal/httpserver"
	"yuccapaddle/internal/leaser"
	"yuccapaddle/internal/limiter"
	"yuccapaddle/internal/loader"
	"yuccapaddle/internal/mapper"
	"yuccapaddle/internal/monitor"
	"yuccapaddle/internal/peer"
	"yuccapaddle/internal/peerauthenticator"
	"yuccapaddle/internal/permitter"
	"yuccapaddle/internal/receiver"
	"yuccapaddle/internal/responder"
	"yuccapaddle/internal/supervisor"
	"yuccapaddle/internal/watcher"
)

const (
	gaugeInterval     = time.Second
	activeHostWait    = 10 * time.Second
	drainPollInterval = 20 * time.Millisecond
	maxMessageBytes   = 4 << 20
	shutdownTimeout   = 2 * time.Second
	// handshakeTime is how long another host may take to open a connection.
	handshakeTime = 30 * time.Second
)

// Server is one host of the system.
type Server struct {
	settings     *loader.Host
	store        yuccapaddle.Store
	hostList     yuccapaddle.HostList
	workers      yuccapaddle.GangWorker
	policy       yuccapaddle.Policy
	log          *zap.Logger
	nonce        string
	lease        *leaser.Leaser
	configs      *watcher.Watcher
	permit       *permitter.Permitter
	forward      *forwarder.Forwarder
	callerAPI    *responder.Responder
	operatorAPI  *administrator.Administrator
	monitor      *monitor.Monitor
	callerLimits *limiter.Limiter
	engine       atomic.Pointer[driver.Driver]
	topology     atomic.Pointer[mapper.Mapper]
	stopping     atomic.Bool
	startedAt    time.Time
	noListeners  bool
	dial         func(address string) (peer.PeerClient, error)
	listeners    []*gatekeeper.Gatekeeper
	httpServers  []*httpserver.HTTPServer
	limits       *allotter.Allotter
	bodies       *bodyreader.BodyReader
	grpcServer   *grpc.Server
}

// Option changes a Server under construction.
type Option func(*Server)

// WithPolicy replaces the placement policy.
func WithPolicy(p yuccapaddle.Policy) Option {
	return func(s *Server) { s.policy = p }
}

// WithoutListeners makes the host open no sockets; callers use its handlers
// directly.
func WithoutListeners() Option {
	return func(s *Server) { s.noListeners = true }
}

// WithDial sets the function that connects to another host.
func WithDial(dial func(address string) (peer.PeerClient, error)) Option {
	return func(s *Server) { s.dial = dial }
}

// WithHostList sets the platform's host list. Without it the list is not read.
func WithHostList(h yuccapaddle.HostList) Option {
	return func(s *Server) { s.hostList = h }
}

// NewWorkersFunc returns the client for the workers. addressOf returns an
// upstream's address, and observe is called with the number of bytes sent to an
// address and received from it.
type NewWorkersFunc func(addressOf func(upstream string) string, observe func(address string, sent, received int)) yuccapaddle.GangWorker

// New returns a Server. nonce must be unique for each process.
func New(settings *loader.Host, nonce string, store yuccapaddle.Store,
	newWorkers NewWorkersFunc, log *zap.Logger, opts ...Option,
) *Server {
	s := &Server{settings: settings, store: store, log: log, nonce: nonce, startedAt: time.Now()}
	for _, o := range opts {
		o(s)
	}
	s.workers = newWorkers(s.addressOf, s.countTraffic)
	s.configs = watcher.New(store, log, s.applyConfig)
	s.permit = permitter.New(store, nonce)
	s.lease = leaser.New(store, settings.Name, settings.Listen.Peers, nonce, log)
	budget := rate.NewLimiter(rate.Limit(settings.Limits.RetriesPerSecond), settings.Limits.RetryBurst)
	s.forward = forwarder.New(settings.Name, s.lease.Holder, s.localEngine, budget, forwarder.WithDial(s.dial), forwarder.WithToken(settings.Tokens.Peers))
	auth := authenticator.New(settings.Tokens)
	s.monitor = monitor.New(settings.Name, s.ready)
	s.limits = allotter.New(settings.Limits.Descriptors, int64(settings.Limits.MemoryMB)<<20)
	s.bodies = bodyreader.New(settings.Limits.BodyBytes, s.limits.BodyBytes(), s.monitor)
	s.callerLimits = limiter.New(settings.Limits.CallerRate, settings.Limits.CallerBurst, settings.Limits.InFlight)
	s.callerAPI = responder.New(auth, s.forward, s.callerLimits, settings, log, s.monitor.ObserveAnswer)
	s.operatorAPI = administrator.New(auth, applier.New(store, nonce), s.configs, s.forward, store, settings, s.status, log,
		administrator.WithNotify(s.notifyPeers))
	return s
}

func (s *Server) addressOf(upstream string) string {
	if m := s.topology.Load(); m != nil {
		return m.AddressOf(upstream)
	}
	return ""
}

// localEngine returns the engine of this host, nil while it is not active.
func (s *Server) localEngine() forwarder.Engine {
	if d := s.engine.Load(); d != nil {
		return d
	}
	return nil
}

func (s *Server) applyConfig(cfg *yuccapaddle.Config) {
	s.topology.Store(mapper.New(&cfg.Site))
	if d := s.engine.Load(); d != nil {
		d.Configure(cfg)
	}
	s.log.Info("configuration in force", zap.Uint64("revision", cfg.Revision))
}

// notifyPeers sends an accepted configuration to the other hosts. A host that does
// not receive it reads it from the store with its own watch.
func (s *Server) notifyPeers(cfg *yuccapaddle.Config) {
	data, err := json.Marshal(cfg)
	if err != nil {
		s.log.Error("cannot encode the configuration to notify other hosts", zap.Error(err))
		return
	}
	group, _ := supervisor.New(context.Background(), s.log)
	for _, p := range s.settings.Peers {
		if p.Name == s.settings.Name {
			continue
		}
		group.Go("notify", func() error {
			if _, err := s.forward.Notify(context.Background(), p.Address, data); err != nil {
				s.log.Info("cannot notify a host of the new configuration", zap.String("host", p.Name), zap.Error(err))
			}
			return nil
		})
	}
	_ = group.Wait()
}

// Run serves until stop is closed, then drains and returns nil. It returns an error
// if an invariant is violated or if it cannot listen on an address. If the context
// ends, it stops without draining.
func (s *Server) Run(ctx context.Context, stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := supervisor.New(ctx, s.log)
	if !s.noListeners {
		if err := s.startServers(group); err != nil {
			s.closeListeners()
			return err
		}
	}
	group.Go("configuration", func() error { return s.configs.Run(ctx) })
	group.Go("lease", func() error { return s.lease.Run(ctx, s.runEngine) })
	group.Go("gauges", func() error { return s.reportGauges(ctx) })
	if s.hostList != nil {
		group.Go("host list", func() error { return s.pollHostList(ctx) })
	}
	group.Go("stop", func() error {
		select {
		case <-ctx.Done():
		case <-stop:
			s.drain()
		}
		s.shutdown()
		cancel()
		return nil
	})
	err := group.Wait()
	s.forward.Close()
	return errors.Join(err, s.monitor.Close())
}

// runEngine runs the engine while this host has the lease. ctx ends when it has lost
// the lease.
func (s *Server) runEngine(ctx context.Context) error {
	opts := []driver.Option{}
	if s.policy != nil {
		opts = append(opts, driver.WithPolicy(s.policy))
	}
	d := driver.New(s.store, s.workers, s.nonce, s.log, s.configs.Current, s.renewPermit, opts...)
	s.engine.Store(d)
	defer s.engine.CompareAndSwap(d, nil)
	return d.Run(ctx)
}

func (s *Server) renewPermit(ctx context.Context) (time.Time, error) {
	cfg := s.configs.Current()
	if cfg == nil {
		return time.Time{}, errors.New("no configuration has been applied yet")
	}
	until, err := s.permit.Renew(ctx, cfg.Revision)
	if errors.Is(err, permitter.ErrOutdated) {
		s.configs.Refresh()
	}
	return until, err
}

func (s *Server) pollHostList(ctx context.Context) error {
	ticker := time.NewTicker(time.Duration(s.settings.Limits.HostListIntervalMS) * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		d := s.engine.Load()
		if d == nil {
			continue
		}
		hosts, err := s.hostList.Hosts(ctx)
		if err != nil {
			s.log.Info("cannot read the host list", zap.Error(err))
			continue
		}
		d.UpdateHosts(hosts)
	}
}

func (s *Server) closeListeners() {
	for _, l := range s.listeners {
		_ = l.Close()
	}
}

func (s *Server) openListener(name, address string, maxConns int) (*gatekeeper.Gatekeeper, error) {
	l, err := gatekeeper.Listen(address, name, maxConns, s.monitor, s.log)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	s.listeners = append(s.listeners, l)
	return l, nil
}

func (s *Server) startServers(group *supervisor.Supervisor) error {
	handlers := []struct {
		name, address string
		maxConns      int
		handle        fasthttp.RequestHandler
	}{
		{"callers", s.settings.Listen.Callers, min(s.limits.Callers(), s.settings.Limits.Connections), s.callerAPI.Handle},
		{"operators", s.settings.Listen.Operators, s.limits.Requests(), s.operatorAPI.Handle},
		{"metrics", s.settings.Listen.Metrics, s.limits.Checks(), s.monitor.Handle},
	}
	for _, h := range handlers {
		l, err := s.openListener(h.name, h.address, h.maxConns)
		if err != nil {
			return err
		}
		srv := s.newHTTPServer(h.handle)
		s.httpServers = append(s.httpServers, srv)
		group.Go("http "+h.address, func() error { return srv.Serve(l) })
	}
	l, err := s.openListener("peers", s.settings.Listen.Peers, s.limits.Peers())
	if err != nil {
		return err
	}
	s.grpcServer = grpc.NewServer(grpc.MaxRecvMsgSize(maxMessageBytes), grpc.ConnectionTimeout(handshakeTime), grpc.ChainUnaryInterceptor(gatekeeper.Unary),
		peerauthenticator.New(s.settings.Tokens.Peers).ServerAuth())
	peer.RegisterPeerServer(s.grpcServer, s.PeerServer())
	group.Go("grpc", func() error { return s.grpcServer.Serve(l) })
	return nil
}

// CallerHandler returns the HTTP handler for callers.
func (s *Server) CallerHandler() fasthttp.RequestHandler {
	return s.callerAPI.Handle
}

// OperatorHandler returns the HTTP handler for operators.
func (s *Server) OperatorHandler() fasthttp.RequestHandler {
	return s.operatorAPI.Handle
}

// PeerServer returns the gRPC service for the other hosts.
func (s *Server) PeerServer() peer.PeerServer {
	return receiver.New(s.localEngine, s.configs, s.status)
}

// newHTTPServer returns a server for one of the host's listeners. All of them share the memory
// for bodies.
func (s *Server) newHTTPServer(handler fasthttp.RequestHandler) *httpserver.HTTPServer {
	limits := s.settings.Limits
	return httpserver.New(handler, s.bodies, s.log,
		httpserver.WithHeaderBytes(limits.HeaderBytes), httpserver.WithReadTime(time.Duration(limits.ReadMS)*time.Millisecond))
}
