package server

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// drain is a planned stop: the balancer is told first; then callers in work are
// given time; those still waiting get what is known so far; and an active host
// commits and hands its role over at once.
func (s *Server) drain() {
	s.log.Info("stopping: not ready any more")
	s.stopping.Store(true)
	time.Sleep(time.Duration(s.host.Limits.DrainMS) * time.Millisecond)
	deadline := time.Now().Add(time.Duration(s.host.Limits.DrainGraceMS) * time.Millisecond)
	for s.limit.InFlight() > 0 && time.Now().Before(deadline) {
		time.Sleep(stopPoll)
	}
	s.respond.Drain()
	s.handOver()
	for s.limit.InFlight() > 0 && time.Now().Before(deadline.Add(shutdownTime)) {
		time.Sleep(stopPoll)
	}
	s.log.Info("stopping: drained", zap.Int64("inFlight", s.limit.InFlight()))
}

// handOver commits what has been decided and frees the lease, so that another
// host becomes active at once.
func (s *Server) handOver() {
	if d := s.engine.Load(); d != nil {
		d.Close()
	}
	s.lease.Resign()
	deadline := time.Now().Add(shutdownTime)
	for s.engine.Load() != nil && time.Now().Before(deadline) {
		time.Sleep(stopPoll)
	}
}

func (s *Server) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTime)
	defer cancel()
	for _, srv := range s.servers {
		if err := srv.ShutdownWithContext(ctx); err != nil {
			s.log.Info("connections were still open at the stop", zap.Error(err))
		}
	}
	if s.grpc != nil {
		s.grpc.Stop()
	}
}
