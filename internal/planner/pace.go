package planner

import (
	"yuccapaddle"
)

// Load pattern: tasks that serve users, with a latency target, share a worker with spare
// tasks, which use only processor time that others leave. How much the spare tasks slow
// down the serving ones changes within seconds. So they are halted at once when a serving
// task comes near its target, and sped up again in steps.

const (
	// haltAbove is the ratio of latency to target above which spare tasks are halted, and
	// speedUpBelow the ratio below which their pace is raised.
	haltAbove    = 0.85
	speedUpBelow = 0.6
	// paceStep is how much the pace is raised after each poll, in percent of full speed.
	paceStep = 20
	fullPace = 100
)

// HasSpareBesideTarget reports whether spare tasks run beside tasks with a latency
// target, so that the worker has to be polled often.
func (p *Planner) HasSpareBesideTarget(id string) bool {
	w := p.workers[id]
	return w != nil && w.hasSpareBesideTarget()
}

func (w *worker) hasSpareBesideTarget() bool {
	spare, serving := false, false
	for _, x := range w.runs {
		spare = spare || x.u.stepSpec().Spare
		serving = serving || x.u.stepSpec().TargetMS > 0
	}
	return spare && serving
}

// adjustPaces sets the pace of a worker's spare tasks by the task that is nearest to its
// latency target, or farthest above it.
func (p *Planner) adjustPaces(w *worker, running []yuccapaddle.Run) {
	if !w.hasSpareBesideTarget() {
		return
	}
	worstRatio := 0.0
	for i := range running {
		x, ok := w.runs[running[i].Task]
		if ok && x.u.run == running[i].Run && x.u.stepSpec().TargetMS > 0 {
			worstRatio = max(worstRatio, running[i].Gauge/float64(x.u.stepSpec().TargetMS))
		}
	}
	for _, x := range w.assignments() {
		if !x.u.stepSpec().Spare {
			continue
		}
		m := &x.u.members[x.member]
		next := m.pace
		switch {
		case worstRatio > haltAbove:
			next = 0
		case worstRatio < speedUpBelow:
			next = min(max(m.pace, 0)+paceStep, fullPace)
		}
		if next == m.pace {
			continue
		}
		m.pace = next
		p.batch.Paces = append(p.batch.Paces, yuccapaddle.RunPace{Worker: w.ID, Task: x.u.taskID(x.member), Run: x.u.run, Percent: next})
		p.addDecision(yuccapaddle.Decision{
			Event: "pace", Job: x.u.job.spec.ID, Task: x.u.taskID(x.member).String(), Worker: w.ID, Run: x.u.run,
			Detail: itoa(next) + "% at " + itoa(int(100*worstRatio)) + "% of the target",
		})
	}
}

// HandleUnknownPace records that it is unknown whether a pace order has been carried out.
func (p *Planner) HandleUnknownPace(order yuccapaddle.RunPace) {
	x, ok := p.worker(order.Worker).runs[order.Task]
	if ok && x.u.run == order.Run {
		x.u.members[x.member].pace = unknownPace
	}
}

// unknownPace differs from every pace that is ordered, so that after the next poll a pace
// is ordered again.
const unknownPace = -1
