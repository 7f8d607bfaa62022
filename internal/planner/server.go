package planner

import (
	"time"

	"yuccapaddle"
)

// server is what the planner knows of one worker.
type server struct {
	yuccapaddle.Server
	listed   bool
	used     yuccapaddle.Need
	runs     map[yuccapaddle.TaskID]seat
	strays   map[yuccapaddle.TaskID]yuccapaddle.Run // runs that nothing here wants
	seen     int64                                  // the highest end that has been applied
	lives    int64                                  // born, as its lists of runs say
	strikes  int
	restedAt time.Time // it is avoided until then
	gone     time.Time // since when it has not been listed
	unfit    time.Time // orders to it failed until then
	silent   bool      // it does not answer
	resting  bool      // it is kept empty for its service
}

// seat is a member's place.
type seat struct {
	u *unit
	i int
}

func (p *Planner) server(id string) *server {
	s := p.servers[id]
	if s == nil {
		s = &server{runs: map[yuccapaddle.TaskID]seat{}, strays: map[yuccapaddle.TaskID]yuccapaddle.Run{}}
		s.ID = id
		p.servers[id] = s
	}
	return s
}

func (s *server) add(u *unit, i int) {
	s.runs[u.taskID(i)] = seat{u, i}
	s.used = s.used.Add(u.spec().Room())
}

func (s *server) drop(u *unit, i int) {
	if _, ok := s.runs[u.taskID(i)]; !ok {
		return
	}
	delete(s.runs, u.taskID(i))
	s.used = s.used.Sub(u.spec().Room())
}

func (s *server) free() yuccapaddle.Need {
	return s.Capacity.Sub(s.used)
}

// Busy reports whether something may run on the server, or has ended there and
// has not been noted.
func (p *Planner) Busy(id string) bool {
	s := p.servers[id]
	return s != nil && (len(s.runs) > 0 || len(s.strays) > 0)
}

// Holders lists the servers on which something may run.
func (p *Planner) Holders() []string {
	var list []string
	for id := range p.servers {
		if p.Busy(id) {
			list = append(list, id)
		}
	}
	return list
}

// Seen is the number of the last end that has been applied.
func (p *Planner) Seen(id string) int64 {
	if s := p.servers[id]; s != nil {
		return s.seen
	}
	return 0
}

// Server returns the registration of a server.
func (p *Planner) Server(id string) (yuccapaddle.Server, bool) {
	s := p.servers[id]
	if s == nil {
		return yuccapaddle.Server{}, false
	}
	return s.Server, true
}

// List takes in the servers that are registered now.
func (p *Planner) List(list []yuccapaddle.Server) {
	present := make(map[string]bool, len(list))
	first := !p.listed
	p.listed = true
	if first {
		p.note(Note{Event: "servers listed", Detail: itoa(len(list)) + " for the first time"})
	}
	for i := range list {
		e := &list[i]
		present[e.ID] = true
		s := p.server(e.ID)
		if !s.listed || s.Draining != e.Draining || s.Born != e.Born || s.Capacity != e.Capacity {
			p.changed = true
			if !first || e.Draining {
				p.note(Note{Event: "server listed", Server: e.ID, Detail: describe(e)})
			}
		}
		s.Server, s.listed, s.gone = *e, true, time.Time{}
	}
	for id, s := range p.servers {
		if present[id] {
			continue
		}
		if s.listed {
			s.listed, s.gone = false, p.now
			p.note(Note{Event: "server gone", Server: id})
		}
		if !s.listed && len(s.runs) == 0 && len(s.strays) == 0 && p.now.Sub(s.gone) > forgetServer {
			delete(p.servers, id)
		}
	}
}

// forgetServer is how long a server that is gone and runs nothing is remembered.
const forgetServer = 30 * time.Second

func describe(e *yuccapaddle.Server) string {
	if e.Draining {
		return e.Zone + " " + e.Rack + " draining"
	}
	return e.Zone + " " + e.Rack
}

// usable reports whether new runs may be placed on the server.
func (p *Planner) usable(s *server) bool {
	return s.listed && !s.silent && !s.resting && !s.Draining && !p.rules.Closed[s.Zone] && !p.now.Before(s.unfit)
}

// Keep has a server get no new runs, or ends that, for the service of its
// machine, and reports whether nothing runs there.
func (p *Planner) Keep(id string, empty bool) bool {
	s := p.server(id)
	if s.resting != empty {
		s.resting = empty
		p.changed = true
	}
	return len(s.runs) == 0
}

// Spared reports whether a step would have too many tasks away if the server were
// taken down now.
func (p *Planner) Spared(id string) bool {
	s := p.servers[id]
	if s == nil {
		return false
	}
	for _, x := range s.runs {
		if x.u.spec().Kept && x.u.working() && !p.kept(x.u) {
			return true
		}
	}
	return false
}

// Listed reports whether the server is registered.
func (p *Planner) Listed(id string) bool {
	s := p.servers[id]
	return s != nil && s.listed
}

// Hear notes whether a server answers.
func (p *Planner) Hear(id string, answers bool) {
	s := p.server(id)
	s.silent = !answers
	p.changed = true
}

// Startable reports whether a start may be sent to the server now.
func (p *Planner) Startable(id string) bool {
	s := p.servers[id]
	return s != nil && p.usable(s)
}

// rests reports whether the server has failed of late and should be avoided.
func (p *Planner) rests(s *server) bool {
	return p.now.Before(s.restedAt)
}

func (s *server) label(l string) bool {
	for _, have := range s.Labels {
		if have == l {
			return true
		}
	}
	return false
}
