package server

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// drain prepares a planned stop. The host first reports that it is not ready and
// waits for the load balancer to notice; then it lets requests in progress end,
// answers those still waiting with what is known so far, and, if it is active,
// commits and gives up the lease.
func (s *Server) drain() {
	s.log.Info("stopping: no longer ready")
	s.stopping.Store(true)
	time.Sleep(time.Duration(s.settings.Limits.NotReadyMS) * time.Millisecond)
	deadline := time.Now().Add(time.Duration(s.settings.Limits.DrainGraceMS) * time.Millisecond)
	for s.callerLimits.InFlight() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
	s.callerAPI.Drain()
	s.stepDown()
	for s.callerLimits.InFlight() > 0 && time.Now().Before(deadline.Add(shutdownTimeout)) {
		time.Sleep(drainPollInterval)
	}
	s.log.Info("stopping: drained", zap.Int64("inFlight", s.callerLimits.InFlight()))
}

// stepDown commits pending records and releases the lease, so that another host
// becomes active at once.
func (s *Server) stepDown() {
	if d := s.engine.Load(); d != nil {
		d.Close()
	}
	s.lease.Resign()
	deadline := time.Now().Add(shutdownTimeout)
	for s.engine.Load() != nil && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
}

func (s *Server) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, srv := range s.httpServers {
		if err := srv.Shutdown(ctx); err != nil {
			s.log.Info("an HTTP server did not shut down in time", zap.Error(err))
		}
	}
	if s.grpcServer != nil {
		s.grpcServer.Stop()
	}
}
