package planner

import (
	"cmp"
	"slices"
	"time"

	"yuccapaddle"
)

// EventEnded is the event of notes that tell how a run ended.
const EventEnded = "ended"

// Times in which a worker proves itself.
const (
	// restAfterFailure is how long a worker is avoided after it failed a task.
	restAfterFailure = 6 * time.Second
	// restMost bounds the time that a worker is avoided.
	restMost = 24 * time.Second
	// stopAgain is when an unfinished stop is sent again.
	stopAgain = 700 * time.Millisecond
)

// Ask numbers a question to a worker. Its answer may be overtaken by others, and
// tells nothing of runs that were confirmed after it was asked.
func (p *Planner) Ask() int64 {
	p.asked++
	return p.asked
}

// Heard takes in what a worker has in work and what has ended there, as the answer
// to the question with that number.
func (p *Planner) Heard(id string, r *yuccapaddle.HoldReply, question int64) {
	s := p.worker(id)
	if s.listedBorn != r.Born {
		p.restarted(s, r.Born)
	}
	for i := range r.Ended {
		if r.Ended[i].Number <= s.seen {
			continue
		}
		p.ended(s, &r.Ended[i])
		s.seen = r.Ended[i].Number
	}
	running := make(map[yuccapaddle.TaskID]bool, len(r.Running))
	for i := range r.Running {
		running[r.Running[i].Task] = true
		p.running(s, &r.Running[i])
	}
	p.clearOrphans(s, running, question)
	if !r.Cut {
		p.missing(s, running, question)
	}
	p.balance(s, r.Running)
}

// restarted notes that a worker has started anew. Runs that it had confirmed and does
// not list any more are gone, as missing finds; starts on their way may meet the
// new life, and are settled like any other.
func (p *Planner) restarted(s *worker, born int64) {
	if s.listedBorn != 0 {
		p.note(yuccapaddle.Note{Event: "worker restarted", Worker: s.ID})
	}
	s.listedBorn, s.seen = born, 0
}

func (s *worker) assignments() []assignment {
	list := make([]assignment, 0, len(s.runs))
	for _, x := range s.runs {
		list = append(list, x)
	}
	return list
}

// running takes in a run that a worker has in work.
func (p *Planner) running(s *worker, r *yuccapaddle.Run) {
	x, ok := s.runs[r.Task]
	if !ok || x.u.run != r.Run {
		if _, known := s.orphans[r.Task]; !known {
			p.note(yuccapaddle.Note{Event: "orphan run", Task: r.Task.String(), Worker: s.ID, Run: r.Run})
		}
		s.orphans[r.Task] = p.asked
		p.batch.Stops = append(p.batch.Stops, yuccapaddle.RunStop{Worker: s.ID, Task: r.Task, Run: r.Run})
		return
	}
	m := &x.u.members[x.i]
	m.seen, m.adopted = true, false
	p.confirm(m)
	if r.Percent != m.percent {
		m.percent, m.movedAt = r.Percent, p.now
	}
	if r.Saved != "" {
		x.u.saved = r.Saved
	}
	p.begun(x.u)
}

// clearOrphans forgets the orphans that have ended.
func (p *Planner) clearOrphans(s *worker, running map[yuccapaddle.TaskID]bool, question int64) {
	for t, seen := range s.orphans {
		if !running[t] && question > seen {
			delete(s.orphans, t)
			p.changed = true
		}
	}
}

// confirm notes that the worker has a run, or has had it.
func (p *Planner) confirm(m *member) {
	if !m.sent {
		m.sent, m.confirmed = true, p.asked
	}
}

// begun marks a job as running.
func (p *Planner) begun(u *unit) {
	if u.job.state == yuccapaddle.JobQueued {
		u.job.state = yuccapaddle.JobRunning
		p.touch(u.job)
	}
}

// missing settles runs that a worker confirmed before and does not list, and
// takes up those whose start a former host may not have sent.
func (p *Planner) missing(s *worker, running map[yuccapaddle.TaskID]bool, question int64) {
	var unsent []assignment
	for t, x := range s.runs {
		m := &x.u.members[x.i]
		if running[t] || question <= m.confirmed {
			continue
		}
		if m.adopted && !x.u.stopping {
			unsent = append(unsent, x)
		}
		if !m.sent {
			continue
		}
		p.note(yuccapaddle.Note{Event: "run vanished", Job: t.Job, Task: t.String(), Worker: s.ID, Run: x.u.run})
		p.over(s, x.u, x.i, "the worker does not list it")
	}
	p.resume(s, unsent)
}

// resume starts what a former host has placed on a worker and the worker does not
// run. The former host may have been lost between the transactions of one batch, so
// that the room of a run that was over is given to another in the records while the
// end of the first is not in them: what does not fit is stopped.
func (p *Planner) resume(s *worker, unsent []assignment) {
	if len(unsent) == 0 {
		return
	}
	slices.SortFunc(unsent, func(a, b assignment) int {
		return cmp.Or(cmp.Compare(p.priority(a.u.job), p.priority(b.u.job)), cmp.Compare(b.u.job.in.Accepted, a.u.job.in.Accepted),
			cmp.Compare(a.u.taskID(a.i).String(), b.u.taskID(b.i).String()))
	})
	free := s.free()
	for _, x := range unsent {
		free = free.Add(x.u.spec().Room())
	}
	for _, x := range unsent {
		x.u.members[x.i].adopted = false
		if x.u.stopping { // for another of its members
			continue
		}
		if x.u.job.in.Once {
			p.stop(x.u, "a former host may have started it")
			continue
		}
		if room := x.u.spec().Room(); room.Fits(free) {
			free = free.Sub(room)
			p.again(s, x)
			continue
		}
		p.stop(x.u, "its room on worker "+s.ID+" was given to another")
	}
}

// ended takes in the end of a run.
func (p *Planner) ended(s *worker, e *yuccapaddle.End) {
	j := p.jobs[e.Task.Job]
	if j == nil {
		return
	}
	x, ok := s.runs[e.Task]
	if !ok || x.u.run != e.Run {
		p.note(yuccapaddle.Note{Event: "old run ended", Job: e.Task.Job, Task: e.Task.String(), Worker: s.ID, Run: e.Run, Detail: string(e.Cause)})
		return
	}
	u := x.u
	p.note(yuccapaddle.Note{Event: EventEnded, Job: e.Task.Job, Task: e.Task.String(), Worker: s.ID, Run: e.Run, Detail: string(e.Cause)})
	if e.Saved != "" {
		u.saved = e.Saved
	}
	p.begun(u)
	switch e.Cause {
	case yuccapaddle.EndDone:
		u.done = !u.spec().Endless
		s.strikes = 0
		s.restedAt = time.Time{}
		if u.placedAt.After(s.doneAt) {
			s.doneAt = u.placedAt
		}
	case yuccapaddle.EndFailed:
		p.failed(s, u)
	}
	p.over(s, u, x.i, string(e.Cause))
}

// failed counts a failure against the task, and rests the worker.
func (p *Planner) failed(s *worker, u *unit) {
	if !u.failed {
		u.failed = true
		u.fails++
	}
	p.strike(s)
	p.avoid(u, s.ID)
}

func (p *Planner) strike(s *worker) {
	p.noteFailure(s)
	s.strikes++
	s.restedAt = p.now.Add(min(restAfterFailure*time.Duration(s.strikes), restMost))
}

func (p *Planner) avoid(u *unit, id string) {
	if u.avoid == nil {
		u.avoid = map[string]time.Time{}
	}
	u.avoid[id] = p.now.Add(restMost)
}

// over settles a member, and the unit once all members are.
func (p *Planner) over(s *worker, u *unit, i int, why string) {
	m := &u.members[i]
	if m.over {
		return
	}
	m.over = true
	s.drop(u, i)
	p.changed = true
	p.touchUnit(u)
	if u.live() {
		if !u.done && !u.stopping && u.spec().Gang {
			p.stop(u, "a member has ended: "+why)
		}
		p.settleDone(u)
		return
	}
	p.settleDone(u)
	if u.done {
		return
	}
	u.began = u.began || u.mayHaveBegun()
	u.state, u.stopping, u.failed, u.members = unitWaiting, false, false, nil
	u.waitsFrom = p.now
	if u.job.state.Final() {
		return
	}
	u.lastEnd = why
	p.exhaust(u)
}

// exhaust fails the job of a unit that may not run again, and reports whether it
// has: because it has failed as often as it may, or because it may run only once.
func (p *Planner) exhaust(u *unit) bool {
	if u.job.in.Once && u.began {
		u.job.why = "task " + u.taskID(0).String() + " may have run and is not repeatable: " + u.lastEnd
		p.finish(u.job, yuccapaddle.JobFailed)
		return true
	}
	q := p.rules.Queue(u.job.in.Queue)
	if q == nil || q.Attempts <= 0 || u.fails < q.Attempts || u.spec().Endless {
		return false
	}
	u.job.why = "task " + u.taskID(0).String() + " has failed " + itoa(u.fails) + " times"
	p.finish(u.job, yuccapaddle.JobFailed)
	return true
}

func (p *Planner) settleDone(u *unit) {
	if u.done && u.state != unitDone {
		u.finished()
		p.settle(u.job)
	}
}

// Lapsed takes in that every lease that a worker can have has run out.
func (p *Planner) Lapsed(id string) {
	s := p.worker(id)
	if len(s.runs) > 0 {
		p.note(yuccapaddle.Note{Event: "leases over", Worker: id})
	}
	for _, x := range s.assignments() {
		p.over(s, x.u, x.i, "the lease is over")
	}
	clear(s.orphans)
}
