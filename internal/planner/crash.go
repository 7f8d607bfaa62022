package planner

import (
	"yuccapaddle"
)

// Load pattern: a task crashes each worker that starts it, and with the worker all that
// runs there. Placed again and again it takes one worker after the other. So crashes are
// counted for each unit, and a unit under which several workers have crashed is given up.
// Others that ran there are as likely to blame after one crash, and are hit by chance only
// seldom again; so a unit is given up sooner if nothing ran beside it.

const (
	// maxCrashes is the number of crashes after which a unit is given up.
	maxCrashes = 3
	// maxCrashesAlone is the same if nothing ran beside it at the latest crash.
	maxCrashesAlone = 2
)

// Events of decisions on lost workers.
const (
	// EventCrash is a crash that is counted for a task.
	EventCrash = "crash"
	// EventNoCrash is the loss of a worker that is not counted.
	EventNoCrash = "no crash"
)

// crash is the crash of one or more workers under one run of a unit.
type crash struct {
	loss     loss // that of the first worker, or of one where nothing ran beside the unit
	evidence string
	workers  int
}

// add adds a loss that has turned out to be a crash.
func (c crash) add(l *loss, evidence string) crash {
	if c.workers == 0 || !c.loss.alone() && l.alone() {
		c.loss, c.evidence = *l, evidence
	}
	c.workers++
	return c
}

// countsCrashes reports whether crashes under the unit are counted: it may run again. Jobs
// that may run only once end after one run in any case.
func (u *unit) countsCrashes() bool {
	return u.state != unitDone && !u.succeeded && !u.job.state.Final() && !u.job.spec.Once
}

// countCrash counts the crash of a run, once for all workers it has taken with it, and
// fails the job if that was one too many.
func (p *Planner) countCrash(u *unit, c crash) {
	if c.loss.run == u.crashedRun {
		return
	}
	u.crashes++
	u.crashedRun, u.crashedAlone = c.loss.run, c.loss.alone()
	p.addLossDecision(EventCrash, u, &c.loss, "the number "+itoa(u.crashes)+", "+c.loss.company()+": "+c.evidence)
	p.avoidCrashed(u, &c.loss)
	if u.crashes > 1 {
		p.setSuspect(u, true)
	}
	p.failIfCrashing(u)
}

// company says what ran beside the unit on the lost worker.
func (l *loss) company() string {
	switch {
	case l.unanswered:
		return "the start had no answer"
	case l.others == 0:
		return "alone"
	}
	return "beside " + itoa(l.others) + " others"
}

// addLossDecision adds a decision on the loss of a worker to the batch.
func (p *Planner) addLossDecision(event string, u *unit, l *loss, detail string) {
	p.addDecision(yuccapaddle.Decision{Event: event, Job: u.job.spec.ID, Task: u.taskID(0).String(), Worker: l.worker, Run: l.run, Detail: detail})
}

// failIfCrashing fails the job of a unit that crashes its workers, and reports whether it
// has.
func (p *Planner) failIfCrashing(u *unit) bool {
	if !u.countsCrashes() || u.crashes < maxCrashesAlone || u.crashes < maxCrashes && !u.crashedAlone {
		return false
	}
	what := itoa(u.crashes) + " workers have crashed under task " + u.taskID(0).String()
	if u.width() > 1 {
		what = "workers have crashed under " + itoa(u.crashes) + " runs of the gang of task " + u.taskID(0).String()
	}
	if u.crashedAlone {
		what += ", the last while nothing else ran there"
	}
	u.job.reason = what
	p.finish(u.job, yuccapaddle.JobFailed)
	return true
}
