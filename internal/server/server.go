// Package server puts the parts of one host together and runs them until a
// planned stop.
package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/time/rate"
	"google.golang.org/grpc"

	"yuccapaddle"
	"yuccapaddle/internal/administrator"
	"yuccapaddle/internal/applier"
	"yuccapaddle/internal/authenticator"
	"yuccapaddle/internal/driver"
	"yuccapaddle/internal/forwarder"
	"yuccapaddle/internal/guarder"
	"yuccapaddle/internal/introducer"
	"yuccapaddle/internal/leaser"
	"yuccapaddle/internal/limiter"
	"yuccapaddle/internal/loader"
	"yuccapaddle/internal/mapper"
	"yuccapaddle/internal/monitor"
	"yuccapaddle/internal/peer"
	"yuccapaddle/internal/permitter"
	"yuccapaddle/internal/receiver"
	"yuccapaddle/internal/responder"
	"yuccapaddle/internal/watcher"
)

const (
	gaugeEvery   = time.Second
	readyBehind  = 10 * time.Second
	stopPoll     = 20 * time.Millisecond
	mostMessage  = 4 << 20
	shutdownTime = 2 * time.Second
)

// Server is one host of the system.
type Server struct {
	host      *loader.Host
	store     yuccapaddle.Store
	hosts     yuccapaddle.HostList
	worker    yuccapaddle.GangWorker
	policy    yuccapaddle.Policy
	log       *zap.Logger
	nonce     string
	lease     *leaser.Leaser
	watch     *watcher.Watcher
	permit    *permitter.Permitter
	forward   *forwarder.Forwarder
	respond   *responder.Responder
	admin     *administrator.Administrator
	monitor   *monitor.Monitor
	limit     *limiter.Limiter
	engine    atomic.Pointer[driver.Driver]
	topology  atomic.Pointer[mapper.Mapper]
	stopping  atomic.Bool
	startedAt time.Time
	quiet     bool
	dial      func(address string) (peer.PeerClient, error)
	listeners []net.Listener
	servers   []*fasthttp.Server
	grpc      *grpc.Server
}

// Option changes a Server under construction.
type Option func(*Server)

// WithPolicy replaces the placement policy.
func WithPolicy(p yuccapaddle.Policy) Option {
	return func(s *Server) { s.policy = p }
}

// WithoutListeners leaves the host without sockets; its handlers are called
// directly.
func WithoutListeners() Option {
	return func(s *Server) { s.quiet = true }
}

// WithDial replaces the way to reach other hosts.
func WithDial(dial func(address string) (peer.PeerClient, error)) Option {
	return func(s *Server) { s.dial = dial }
}

// WithHostList adds the platform's host list.
func WithHostList(h yuccapaddle.HostList) Option {
	return func(s *Server) { s.hosts = h }
}

// WorkerFunc makes the way to the workers. addressOf finds an upstream's address,
// and observe is told the bytes that go to an address and come from it.
type WorkerFunc func(addressOf func(upstream string) string, observe func(address string, sent, received int)) yuccapaddle.GangWorker

// New returns a Server. nonce differs for every process.
func New(host *loader.Host, nonce string, store yuccapaddle.Store,
	worker WorkerFunc, log *zap.Logger, opts ...Option,
) *Server {
	s := &Server{host: host, store: store, log: log, nonce: nonce, startedAt: time.Now()}
	for _, o := range opts {
		o(s)
	}
	s.worker = worker(s.addressOf, s.countTraffic)
	s.watch = watcher.New(store, log, s.configured)
	s.permit = permitter.New(store, nonce)
	s.lease = leaser.New(store, host.Name, host.Listen.Peers, nonce, log)
	budget := rate.NewLimiter(rate.Limit(host.Limits.RetriesASecond), host.Limits.RetriesAtOnce)
	s.forward = forwarder.New(host.Name, s.lease.Holder, s.local, budget, forwarder.WithDial(s.dial), forwarder.WithToken(host.Tokens.Peers))
	auth := authenticator.New(host.Tokens)
	s.monitor = monitor.New(host.Name, s.ready)
	s.limit = limiter.New(host.Limits.CallerRate, host.Limits.CallerBurst, host.Limits.InFlight)
	s.respond = responder.New(auth, s.forward, s.limit, host, log, s.monitor.Observe)
	s.admin = administrator.New(auth, applier.New(store, nonce), s.watch, s.forward, store, host, s.state, log,
		administrator.WithNotify(s.notifyPeers))
	return s
}

func (s *Server) addressOf(upstream string) string {
	if m := s.topology.Load(); m != nil {
		return m.AddressOf(upstream)
	}
	return ""
}

// local returns the engine while this host is active.
func (s *Server) local() forwarder.Local {
	if d := s.engine.Load(); d != nil {
		return d
	}
	return nil
}

func (s *Server) configured(cfg *yuccapaddle.Config) {
	s.topology.Store(mapper.New(&cfg.Site))
	if d := s.engine.Load(); d != nil {
		d.Configure(cfg)
	}
	s.log.Info("configuration in force", zap.Uint64("revision", cfg.Revision))
}

// notifyPeers pushes an accepted configuration; a host that is missed learns of
// it by its own watch.
func (s *Server) notifyPeers(cfg *yuccapaddle.Config) {
	data, err := json.Marshal(cfg)
	if err != nil {
		s.log.Error("the configuration cannot be encoded", zap.Error(err))
		return
	}
	g, _ := guarder.New(context.Background(), s.log)
	for _, p := range s.host.Peers {
		if p.Name == s.host.Name {
			continue
		}
		g.Go("notify", func() error {
			if _, err := s.forward.Notify(context.Background(), p.Address, data); err != nil {
				s.log.Info("a host was not notified", zap.String("host", p.Name), zap.Error(err))
			}
			return nil
		})
	}
	_ = g.Wait()
}

// Run serves until stop is closed, then drains, and returns nil; it returns an
// error for a broken invariant or an address that cannot be served. The end of
// the context ends it without a drain.
func (s *Server) Run(ctx context.Context, stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := guarder.New(ctx, s.log)
	if !s.quiet {
		if err := s.listen(g); err != nil {
			s.closeListeners()
			return err
		}
	}
	g.Go("configuration", func() error { return s.watch.Run(ctx) })
	g.Go("lease", func() error { return s.lease.Run(ctx, s.active) })
	g.Go("gauges", func() error { return s.gauges(ctx) })
	if s.hosts != nil {
		g.Go("host list", func() error { return s.followHosts(ctx) })
	}
	g.Go("stop", func() error {
		select {
		case <-ctx.Done():
		case <-stop:
			s.drain()
		}
		s.shutdown()
		cancel()
		return nil
	})
	err := g.Wait()
	s.forward.Close()
	return errors.Join(err, s.monitor.Close())
}

// active runs the engine while this host has the lease.
func (s *Server) active(ctx context.Context) error {
	opts := []driver.Option{}
	if s.policy != nil {
		opts = append(opts, driver.WithPolicy(s.policy))
	}
	d := driver.New(s.store, s.worker, s.nonce, s.log, s.watch.Current, s.renewPermit, opts...)
	s.engine.Store(d)
	defer s.engine.CompareAndSwap(d, nil)
	return d.Run(ctx)
}

func (s *Server) renewPermit(ctx context.Context) (time.Time, error) {
	cfg := s.watch.Current()
	if cfg == nil {
		return time.Time{}, errors.New("no configuration has been applied yet")
	}
	until, err := s.permit.Renew(ctx, cfg.Revision)
	if errors.Is(err, permitter.ErrOutdated) {
		s.watch.Poke()
	}
	return until, err
}

func (s *Server) followHosts(ctx context.Context) error {
	ticker := time.NewTicker(time.Duration(s.host.Limits.HostListEveryMS) * time.Millisecond)
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
		hosts, err := s.hosts.Hosts(ctx)
		if err != nil {
			s.log.Info("the host list does not answer", zap.Error(err))
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

func (s *Server) bind(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("address %s cannot be served: %w", address, err)
	}
	s.listeners = append(s.listeners, l)
	return l, nil
}

func (s *Server) listen(g *guarder.Guarder) error {
	handlers := []struct {
		address string
		handle  fasthttp.RequestHandler
	}{
		{s.host.Listen.Callers, s.respond.Handle},
		{s.host.Listen.Operators, s.admin.Handle},
		{s.host.Listen.Metrics, s.monitor.Handle},
	}
	for _, h := range handlers {
		l, err := s.bind(h.address)
		if err != nil {
			return err
		}
		srv := s.http(h.handle)
		s.servers = append(s.servers, srv)
		g.Go("http "+h.address, func() error { return srv.Serve(l) })
	}
	l, err := s.bind(s.host.Listen.Peers)
	if err != nil {
		return err
	}
	s.grpc = grpc.NewServer(grpc.MaxRecvMsgSize(mostMessage), introducer.New(s.host.Tokens.Peers).Ask())
	peer.RegisterPeerServer(s.grpc, s.Peers())
	g.Go("grpc", func() error { return s.grpc.Serve(l) })
	return nil
}

// Callers is the handler of the caller interface.
func (s *Server) Callers() fasthttp.RequestHandler {
	return s.respond.Handle
}

// Operators is the handler of the operator interface.
func (s *Server) Operators() fasthttp.RequestHandler {
	return s.admin.Handle
}

// Peers serves the other hosts.
func (s *Server) Peers() peer.PeerServer {
	return receiver.New(s.local, s.watch, s.state)
}

func (s *Server) http(handle fasthttp.RequestHandler) *fasthttp.Server {
	limits := s.host.Limits
	return &fasthttp.Server{
		Handler:                      handle,
		Name:                         "yuccapaddle",
		Concurrency:                  limits.Connections,
		MaxRequestBodySize:           limits.BodyBytes,
		ReadBufferSize:               limits.HeaderBytes,
		ReadTimeout:                  time.Duration(limits.ReadMS) * time.Millisecond,
		CloseOnShutdown:              true,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		Logger:                       zap.NewStdLog(s.log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
}
