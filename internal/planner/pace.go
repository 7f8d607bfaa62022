package planner

import (
	"yuccapaddle"
)

// Load pattern: tasks that serve users share a worker with tasks that fill it,
// and how much these disturb changes within seconds. So what fills is held back
// at once when a serving task comes near its target, and let go by steps.

const (
	// nearTarget and farTarget are the parts of a target above which what fills is
	// halted, and below which it may go faster.
	nearTarget = 0.85
	farTarget  = 0.6
	// paceStep is how much faster it may go after each look, in percent.
	paceStep = 20
	fullPace = 100
)

// Shared reports whether tasks that fill run beside tasks with a target, so that
// the worker has to be looked at often.
func (p *Planner) Shared(id string) bool {
	s := p.workers[id]
	return s != nil && s.shared()
}

func (s *worker) shared() bool {
	fills, serves := false, false
	for _, x := range s.runs {
		fills = fills || x.u.spec().Spare
		serves = serves || x.u.spec().Target > 0
	}
	return fills && serves
}

// balance sets the pace of what fills a worker by how the serving tasks do.
func (p *Planner) balance(s *worker, running []yuccapaddle.Run) {
	if !s.shared() {
		return
	}
	worst := 0.0
	for i := range running {
		x, ok := s.runs[running[i].Task]
		if ok && x.u.run == running[i].Run && x.u.spec().Target > 0 {
			worst = max(worst, running[i].Gauge/float64(x.u.spec().Target))
		}
	}
	for _, x := range s.runs {
		if !x.u.spec().Spare {
			continue
		}
		m := &x.u.members[x.i]
		next := m.pace
		switch {
		case worst > nearTarget:
			next = 0
		case worst < farTarget:
			next = min(max(m.pace, 0)+paceStep, fullPace)
		}
		if next == m.pace {
			continue
		}
		m.pace = next
		p.batch.Paces = append(p.batch.Paces, yuccapaddle.RunPace{Worker: s.ID, Task: x.u.taskID(x.i), Run: x.u.run, Percent: next})
		p.note(yuccapaddle.Note{
			Event: "pace", Job: x.u.job.in.ID, Task: x.u.taskID(x.i).String(), Worker: s.ID, Run: x.u.run,
			Detail: itoa(next) + "% at " + itoa(int(100*worst)) + "% of the target",
		})
	}
}

// Unpaced takes in that it is not known at which pace a run works.
func (p *Planner) Unpaced(x yuccapaddle.RunPace) {
	at, ok := p.worker(x.Worker).runs[x.Task]
	if ok && at.u.run == x.Run {
		at.u.members[at.i].pace = unknownPace
	}
}

// unknownPace differs from every pace that is ordered, so that the next look
// orders one again.
const unknownPace = -1
