package server

import (
	"context"
	"time"

	"yuccapaddle"
)

// countTraffic counts the bytes that cross from this host's region to another,
// which the platform charges for by volume, and all bytes beside them.
func (s *Server) countTraffic(address string, sent, received int) {
	s.monitor.Count("upstream_bytes", int64(sent+received))
	m := s.topology.Load()
	if m != nil && m.RegionAt(address) != s.host.Region {
		s.monitor.Count("region_bytes", int64(sent+received))
	}
}

// ready tells the balancer whether to send requests here.
func (s *Server) ready() (bool, string) {
	switch {
	case s.stopping.Load():
		return false, "this host is stopping"
	case s.watch.Current() == nil:
		return false, "no configuration has been applied yet"
	}
	if _, _, ok := s.lease.Holder(); !ok && time.Since(s.startedAt) < readyBehind {
		return false, "the active host is not known yet"
	}
	return true, ""
}

func (s *Server) state() yuccapaddle.HostStatus {
	st := yuccapaddle.HostStatus{
		Host: s.host.Name, Domain: s.host.Domain, Heard: s.watch.Heard().UTC(), InFlight: s.limit.InFlight(),
		Stopping: s.stopping.Load(),
	}
	st.Leader, _, _ = s.lease.Holder()
	if cfg := s.watch.Current(); cfg != nil {
		st.Revision = cfg.Revision
	}
	if d := s.engine.Load(); d != nil {
		if status, ok := d.Status(); ok {
			st.Active, st.Engine = true, &status
		}
	}
	return st
}

func (s *Server) gauges(ctx context.Context) error {
	ticker := time.NewTicker(gaugeEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		s.monitor.Gauge("in_flight", float64(s.limit.InFlight()))
		if cfg := s.watch.Current(); cfg != nil {
			s.monitor.Gauge("config_revision", float64(cfg.Revision))
		}
		active := 0.0
		if d := s.engine.Load(); d != nil {
			if st, ok := d.Status(); ok {
				active = 1
				s.monitor.Gauge("jobs", float64(st.Jobs))
				s.monitor.Gauge("gangs", float64(st.Gangs))
				s.monitor.Gauge("waiting", float64(st.Waiting))
				s.monitor.Gauge("commits", float64(st.Commits))
				s.monitor.Gauge("shortages", float64(len(st.Shortages)))
			}
		}
		s.monitor.Gauge("active", active)
	}
}
