package planner_test

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"yuccapaddle"
)

// historyWorker is a simulated worker that does not guard its capacity.
type historyWorker struct {
	yuccapaddle.Worker
	epoch      int // highest that it has seen
	runs       map[yuccapaddle.TaskID]*historyRun
	highestRun map[yuccapaddle.TaskID]int
	ends       []yuccapaddle.End
	endCount   int64
}

type historyRun struct {
	run     int
	need    yuccapaddle.Need
	endsAt  time.Time
	fails   bool
	stopped bool
}

func (w *historyWorker) reset() {
	w.epoch, w.endCount, w.ends = 0, 0, nil
	w.runs, w.highestRun = map[yuccapaddle.TaskID]*historyRun{}, map[yuccapaddle.TaskID]int{}
}

// accepts reports whether the worker carries out a delayed start.
func (w *historyWorker) accepts(d *delayedStart) bool {
	return d.Worker == w.ID && d.incarnation == w.Incarnation && d.epoch >= w.epoch && d.Run > w.highestRun[d.Task]
}

// used returns the room of all runs on the worker, with those that are being stopped.
func (w *historyWorker) used() yuccapaddle.Need {
	used := yuccapaddle.Need{}
	for _, r := range w.runs {
		used = used.Add(r.need)
	}
	return used
}

// tasks lists the tasks of the worker's runs in order.
func (w *historyWorker) tasks() []yuccapaddle.TaskID {
	return slices.SortedFunc(maps.Keys(w.runs), func(a, b yuccapaddle.TaskID) int { return cmp.Compare(a.String(), b.String()) })
}

// endDue ends the runs whose time has come.
func (w *historyWorker) endDue(now time.Time) {
	for _, t := range w.tasks() {
		r := w.runs[t]
		if now.Before(r.endsAt) {
			continue
		}
		cause := yuccapaddle.EndDone
		switch {
		case r.stopped:
			cause = yuccapaddle.EndStopped
		case r.fails:
			cause = yuccapaddle.EndFailed
		}
		delete(w.runs, t)
		w.endCount++
		w.ends = append(w.ends, yuccapaddle.End{Number: w.endCount, Task: t, Run: r.run, Cause: cause})
	}
}
