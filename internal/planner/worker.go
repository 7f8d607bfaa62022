package planner

import (
	"time"

	"yuccapaddle"
)

// worker is what the planner knows of one worker.
type worker struct {
	yuccapaddle.Worker
	listed bool
	used   yuccapaddle.Need
	runs   map[yuccapaddle.TaskID]assignment
	// orphans are runs that nothing here wants, each with the number of the last
	// question asked before it was listed.
	orphans    map[yuccapaddle.TaskID]int64
	seen       int64 // the highest end that has been applied
	listedBorn int64 // born, as its lists of runs say
	strikes    int
	doneAt     time.Time // when the last task that was done there was started
	failedAt   time.Time // when it last failed a task
	restedAt   time.Time // it is avoided until then
	gone       time.Time // since when it has not been listed
	unfit      time.Time // orders to it failed until then
	silent     bool      // it does not answer
	emptied    bool      // it is kept empty for its machine's maintenance
}

// assignment is a member of a unit on a worker.
type assignment struct {
	u *unit
	i int
}

func (p *Planner) worker(id string) *worker {
	s := p.workers[id]
	if s == nil {
		s = &worker{runs: map[yuccapaddle.TaskID]assignment{}, orphans: map[yuccapaddle.TaskID]int64{}}
		s.ID = id
		p.workers[id] = s
	}
	return s
}

func (s *worker) add(u *unit, i int) {
	s.runs[u.taskID(i)] = assignment{u, i}
	s.used = s.used.Add(u.spec().Room())
	u.job.live++
}

func (s *worker) drop(u *unit, i int) {
	if _, ok := s.runs[u.taskID(i)]; !ok {
		return
	}
	delete(s.runs, u.taskID(i))
	s.used = s.used.Sub(u.spec().Room())
	u.job.live--
}

func (s *worker) free() yuccapaddle.Need {
	return s.Capacity.Sub(s.used)
}

// Busy reports whether something may run on the worker, or has ended there and
// has not been noted.
func (p *Planner) Busy(id string) bool {
	s := p.workers[id]
	return s != nil && (len(s.runs) > 0 || len(s.orphans) > 0)
}

// Holders lists the workers on which something may run.
func (p *Planner) Holders() []string {
	var list []string
	for id := range p.workers {
		if p.Busy(id) {
			list = append(list, id)
		}
	}
	return list
}

// Seen is the number of the last end that has been applied.
func (p *Planner) Seen(id string) int64 {
	if s := p.workers[id]; s != nil {
		return s.seen
	}
	return 0
}

// Worker returns the registration of a worker.
func (p *Planner) Worker(id string) (yuccapaddle.Worker, bool) {
	s := p.workers[id]
	if s == nil {
		return yuccapaddle.Worker{}, false
	}
	return s.Worker, true
}

// List takes in the workers that are registered now.
func (p *Planner) List(list []yuccapaddle.Worker) {
	present := make(map[string]bool, len(list))
	first := !p.listed
	p.listed = true
	if first {
		p.note(yuccapaddle.Note{Event: "workers listed", Detail: itoa(len(list)) + " for the first time"})
	}
	for i := range list {
		e := &list[i]
		present[e.ID] = true
		s := p.worker(e.ID)
		if !s.listed || s.Draining != e.Draining || s.Born != e.Born || s.Capacity != e.Capacity {
			p.changed = true
			if !first || e.Draining {
				p.note(yuccapaddle.Note{Event: "worker listed", Worker: e.ID, Detail: describe(e)})
			}
		}
		s.Worker, s.listed, s.gone = *e, true, time.Time{}
	}
	for id, s := range p.workers {
		if present[id] {
			continue
		}
		if s.listed {
			s.listed, s.gone = false, p.now
			p.note(yuccapaddle.Note{Event: "worker gone", Worker: id})
		}
		if !s.listed && len(s.runs) == 0 && len(s.orphans) == 0 && p.now.Sub(s.gone) > forgetWorker {
			delete(p.workers, id)
		}
	}
}

// forgetWorker is how long a worker that is gone and runs nothing is remembered.
const forgetWorker = 30 * time.Second

func describe(e *yuccapaddle.Worker) string {
	if e.Draining {
		return e.Domain + " " + e.Rack + " draining"
	}
	return e.Domain + " " + e.Rack
}

// usable reports whether new runs may be placed on the worker.
func (p *Planner) usable(s *worker) bool {
	return p.bar(s) == ""
}

// bar says what keeps new runs off the worker, "" if nothing does. Orphans take room
// of which nothing is known.
func (p *Planner) bar(s *worker) string {
	switch {
	case !s.listed:
		return "gone"
	case s.silent:
		return "silent"
	case s.Draining:
		return "draining"
	case p.rules.Closed[s.Domain]:
		return "domain out"
	case s.emptied:
		return "emptied for maintenance"
	case p.now.Before(s.unfit):
		return "refuses starts"
	case len(s.orphans) > 0:
		return "runs what nobody wants"
	}
	return ""
}

// Empty has a worker get no new runs, or ends that, for the maintenance
// of its machine, and reports whether nothing runs there.
func (p *Planner) Empty(id string, empty bool) bool {
	s := p.worker(id)
	if s.emptied != empty {
		s.emptied = empty
		p.changed = true
	}
	return len(s.runs) == 0
}

// Spared reports whether a step would have too many tasks away if the worker were
// taken down now.
func (p *Planner) Spared(id string) bool {
	s := p.workers[id]
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

// Listed reports whether the worker is registered.
func (p *Planner) Listed(id string) bool {
	s := p.workers[id]
	return s != nil && s.listed
}

// Hear notes whether a worker answers.
func (p *Planner) Hear(id string, answers bool) {
	s := p.worker(id)
	s.silent = !answers
	p.changed = true
}

// Startable reports whether a start may be sent now: the worker gets new work, and
// the run is not over or being stopped, as it may be since the start was decided.
func (p *Planner) Startable(st *yuccapaddle.RunStart) bool {
	s := p.workers[st.Worker]
	if s == nil || !p.usable(s) {
		return false
	}
	x, ok := s.runs[st.Task]
	return ok && x.u.run == st.Run && !x.u.stopping
}

// rests reports whether the worker has failed of late and should be avoided.
func (p *Planner) rests(s *worker) bool {
	return p.now.Before(s.restedAt)
}

func (s *worker) label(l string) bool {
	for _, have := range s.Labels {
		if have == l {
			return true
		}
	}
	return false
}
