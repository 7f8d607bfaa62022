package elector_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"yuccapaddle"
	"yuccapaddle/internal/connector"
	"yuccapaddle/internal/elector"
	"yuccapaddle/internal/executor"
	"yuccapaddle/internal/jobserver"
	"yuccapaddle/internal/peer"
	"yuccapaddle/internal/recorder"
	"yuccapaddle/internal/rulekeeper"
)

// hostSetup is how a host is started. The zero value is a host like those of newHostOn.
type hostSetup struct {
	ledger yuccapaddle.Ledger // a view of the cluster's ledger of its own, nil for a refusingLedger
	// background returns what runs beside the executor of the active host, nil for nothing.
	background func(h *host, epoch uint64) func(context.Context) error
	// buildTime is how long the goroutine with the role is paused between its claim and its first
	// order.
	buildTime time.Duration
	// partitioned means that no other host gets a connection answered.
	partitioned bool
	// muted, while it is set, leaves the calls unanswered with which an active host asks others.
	muted *atomic.Bool
}

// addWith starts one more host.
func (cl *cluster) addWith(s hostSetup) *host {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	cl.c.Assert(err, qt.IsNil)
	pl := &partitionListener{Listener: l}
	pl.partitioned.Store(s.partitioned)
	name, address := fmt.Sprintf("h%d", len(cl.hosts)), l.Addr().String()
	clock := yuccapaddle.SystemClock{}
	rules := rulekeeper.New(fixedRules{}, 2500, clock, zap.NewNop())
	cl.c.Assert(rules.Refresh(cl.t.Context()), qt.IsNil)
	h := &host{
		number: len(cl.hosts), address: address, ledger: &refusingLedger{Bookkeeper: cl.store}, rules: rules,
		peers: grpc.NewServer(grpc.UnaryInterceptor(s.intercept)),
	}
	if s.ledger == nil {
		s.ledger = h.ledger
	}
	build := func(rec *recorder.Recorder) (*executor.Executor, func(context.Context) error) {
		renewsUntil := h.PredecessorRenewsUntil
		h.predecessorRenewsUntil.Store(&renewsUntil)
		time.Sleep(s.buildTime)
		e := executor.New(fixedRules{}, nil, rules, rec, executor.Bounds{MaxLeaseMS: 6000, LeaveWithinMS: 2500}, clock, zap.NewNop())
		if s.background != nil {
			return e, s.background(h, rec.Epoch())
		}
		return e, func(ctx context.Context) error {
			<-ctx.Done()
			return nil
		}
	}
	h.Elector = elector.New(s.ledger, rules, connector.New(), name, address, name, cl.lease, build, clock, zap.NewNop(), elector.WithLongestOutage(longestOutageMS))
	peer.RegisterJobsServer(h.peers, jobserver.New(h.Elector, nil))
	ctx, cancel := context.WithCancel(cl.t.Context())
	h.stop = cancel
	cl.g.Go(func() error { return h.peers.Serve(pl) })
	cl.g.Go(func() error { return h.Run(ctx) })
	cl.hosts, cl.listeners = append(cl.hosts, h), append(cl.listeners, pl)
	return h
}

// intercept implements grpc.UnaryServerInterceptor.
func (s *hostSetup) intercept(ctx context.Context, req any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	asks := strings.HasSuffix(info.FullMethod, "/Who") || strings.HasSuffix(info.FullMethod, "/Reach")
	if asks && s.muted != nil && s.muted.Load() {
		<-ctx.Done()
		return nil, status.Error(codes.Unavailable, "muted")
	}
	return handler(ctx, req)
}

// withCutOff runs f on a cluster like that of withCluster. cutOff cuts the active host off from
// the ledger and from all other hosts, and returns it.
func withCutOff(c *qt.C, cl *cluster, s hostSetup, f func(cutOff func() *host)) {
	defer cl.close()
	s.muted = &atomic.Bool{}
	for range clusterSize {
		cl.addWith(s)
	}
	waitForFollowers(c, cl.hosts)
	f(func() *host {
		active := activeHost(cl.hosts)
		s.muted.Store(true)
		active.ledger.silent.Store(true)
		cl.isolate(active)
		return active
	})
}
