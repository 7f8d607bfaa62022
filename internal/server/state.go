package server

import (
	"context"
	"time"

	"yuccapaddle"
)

// countTraffic counts the bytes exchanged with upstreams: all of them, and those
// that cross to another region, because the platform charges for these by volume.
func (s *Server) countTraffic(address string, sent, received int) {
	s.monitor.Add("upstream_bytes", int64(sent+received))
	m := s.topology.Load()
	if m != nil && m.RegionAt(address) != s.settings.Region {
		s.monitor.Add("region_bytes", int64(sent+received))
	}
}

// ready reports whether the load balancer should send requests here, and why not.
// Without a known active host it reports false only for activeHostWait after the
// start.
func (s *Server) ready() (bool, string) {
	switch {
	case s.stopping.Load():
		return false, "this host is stopping"
	case s.configs.Current() == nil:
		return false, "no configuration has been applied yet"
	}
	if _, _, ok := s.lease.Holder(); !ok && time.Since(s.startedAt) < activeHostWait {
		return false, "the active host is not known yet"
	}
	return true, ""
}

func (s *Server) status() yuccapaddle.HostStatus {
	st := yuccapaddle.HostStatus{
		Host: s.settings.Name, Domain: s.settings.Domain, ConfigCheckedAt: s.configs.LastReply().UTC(), InFlight: s.callerLimits.InFlight(),
		Stopping: s.stopping.Load(),
	}
	st.Leader, _, _ = s.lease.Holder()
	if cfg := s.configs.Current(); cfg != nil {
		st.Revision = cfg.Revision
	}
	if d := s.engine.Load(); d != nil {
		if engineStatus, ok := d.Status(); ok {
			st.Active, st.Engine = true, &engineStatus
		}
	}
	return st
}

func (s *Server) reportGauges(ctx context.Context) error {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		s.monitor.Gauge("in_flight", float64(s.callerLimits.InFlight()))
		if cfg := s.configs.Current(); cfg != nil {
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
