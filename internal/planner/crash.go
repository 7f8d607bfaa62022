package planner

import (
	"maps"
	"slices"

	"yuccapaddle"
)

// Load pattern: a task crashes each worker that starts it, and with the worker all that
// runs there. Placed again and again it takes one worker after the other. So crashes are
// counted for each task, and a unit is given up when several workers have crashed under
// one of its tasks. Others that ran there are as likely to blame after one crash, and are
// hit by chance only seldom again; so a task is given up sooner if nothing ran beside it.
// Where many workers crash time and again, a sound task is hit more than once; so the limits
// depend on what the crashes say about the task. The crashes of a gang are those of its
// tasks: a wide one is hit by chance often, but seldom the same task.

const (
	// maxCrashes is the number of crashes that speak against a task after which it is given
	// up, and maxAllCrashes that of all crashes under it.
	maxCrashes    = 3
	maxAllCrashes = 6
	// maxCrashesAlone is the same as maxCrashes if the latest crash proves the task's fault.
	maxCrashesAlone = 2
	// maxUnproven is the number of crashes that say nothing about a task after which it is
	// given up all the same: it may crash its workers before they answer.
	maxUnproven = 10
)

// Events of decisions on lost workers.
const (
	// EventCrash is a crash that is counted for a task.
	EventCrash = "crash"
	// EventNoCrash is the loss of a worker that is no crash, or a crash that says nothing
	// about the task.
	EventNoCrash = "no crash"
)

// crashCount counts the runs of a task under which its worker has crashed.
type crashCount struct {
	runs     int
	strong   int // of these the runs whose crashes speak against the task
	unproven int // further runs, whose crashes say nothing about it
	// alone means that the latest crash proves the task's fault, and was on another machine
	// than the one before.
	alone   bool
	address string // of the latest worker that has crashed
}

// add counts a crash. One after a long run speaks against the machine.
func (c *crashCount) add(l *loss, e evidence) {
	if l.long {
		c.runs, c.strong, c.unproven = 0, 0, 0
	}
	if e == evidenceNone {
		c.unproven++
		return
	}
	c.runs++
	if e.incriminates() {
		c.strong++
	}
}

// remove takes back a crash that was counted with that evidence.
func (c *crashCount) remove(e evidence) {
	c.alone = false
	if e == evidenceNone {
		c.unproven = max(c.unproven-1, 0)
		return
	}
	c.runs = max(c.runs-1, 0)
	if e.incriminates() {
		c.strong = max(c.strong-1, 0)
	}
}

// tooMany reports whether the task is given up, whatever ran beside it. A task that lasts has to
// run again however it ends, so only crashes that speak against it count.
func (c *crashCount) tooMany(lasts bool) bool {
	if lasts {
		return c.strong >= maxCrashes
	}
	return c.strong >= maxCrashes || c.runs >= maxAllCrashes || c.unproven >= maxUnproven
}

// provesFault reports whether the latest crash proves the task's fault and an earlier one
// speaks against it, too.
func (c *crashCount) provesFault() bool {
	return c.alone && c.strong >= maxCrashesAlone
}

// describe says which crashes are counted.
func (c *crashCount) describe() string {
	if c.unproven >= maxUnproven {
		return itoa(c.unproven) + " workers that had not answered have crashed"
	}
	return itoa(c.runs) + " workers have crashed"
}

// countsCrashes reports whether crashes under the unit are counted: it may run again. Jobs
// that may run only once end after one run in any case.
func (u *unit) countsCrashes() bool {
	return u.state != unitDone && !u.succeeded && !u.job.state.Final() && !u.job.spec.Once
}

// mostCrashes returns the number of crashes under the task of the unit that has had most.
func (u *unit) mostCrashes() int {
	most := 0
	for _, c := range u.crashes {
		most = max(most, c.runs)
	}
	return most
}

// countCrash counts a loss that has turned out to be a crash.
func (p *Planner) countCrash(u *unit, l *loss, f finding) {
	if u.crashes == nil {
		u.crashes = map[int]crashCount{}
	}
	l.counted = l.evidence(f.crowd, f.beforeStart)
	c := u.crashes[l.member]
	c.add(l, l.counted)
	c.alone = l.counted == evidenceProof && c.address != l.address
	c.address = l.address
	u.crashes[l.member] = c
	p.addCrashDecision(u, l, c, f)
	p.avoidCrashed(u, l)
	switch {
	case c.runs > 1:
		p.setSuspect(u, true)
	case f.crowd && !l.counted.incriminates() && u.mostCrashes() <= 1:
		p.setSuspect(u, false)
	}
}

// addCrashDecision adds a decision on a crash that was counted to the batch.
func (p *Planner) addCrashDecision(u *unit, l *loss, c crashCount, f finding) {
	event, n := EventCrash, c.runs
	if l.counted == evidenceNone {
		event, n = EventNoCrash, c.unproven
	}
	detail := "number " + itoa(n) + ", " + l.describeCompany() + ": " + f.evidence
	if f.crowd {
		detail += ", and many others were lost with it"
	}
	p.addLossDecision(event, u, l, detail)
}

// uncountCrash takes back a crash that was counted since the worker stayed away: it answers
// with the incarnation that it had.
func (p *Planner) uncountCrash(u *unit, l *loss) {
	l.away, l.outcome = false, verdictNoCrash
	c := u.crashes[l.member]
	c.remove(l.counted)
	u.crashes[l.member] = c
	p.addLossDecision(EventNoCrash, u, l, "it answers again with the incarnation it had")
}

// mayBeGivenUp reports whether a unit will be given up if the workers that it has lost have
// crashed. It is not placed until that is known.
func (p *Planner) mayBeGivenUp(u *unit) bool {
	counts := maps.Clone(u.crashes)
	if counts == nil {
		counts = map[int]crashCount{}
	}
	for i := range u.losses {
		l := &u.losses[i]
		if l.outcome != verdictPending {
			continue
		}
		c := counts[l.member]
		c.add(l, l.evidence(false, false))
		counts[l.member] = c
		if c.tooMany(u.stepSpec().Endless) {
			p.wakeBy(p.now.Add(settleInterval))
			return true
		}
	}
	return false
}

// describeCompany says what ran beside the unit on the lost worker.
func (l *loss) describeCompany() string {
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
	p.addDecision(yuccapaddle.Decision{Event: event, Job: u.job.spec.ID, Task: u.taskID(l.member).String(), Worker: l.worker, Run: l.run, Detail: detail})
}

// failIfCrashing fails the job of a unit of which a task crashes its workers, and reports
// whether it has.
func (p *Planner) failIfCrashing(u *unit) bool {
	if len(u.crashes) == 0 || !u.countsCrashes() {
		return false
	}
	for _, member := range slices.Sorted(maps.Keys(u.crashes)) {
		c := u.crashes[member]
		if !c.tooMany(u.stepSpec().Endless) && !c.provesFault() {
			continue
		}
		u.job.reason = c.describe() + " under task " + u.taskID(member).String()
		if c.alone {
			u.job.reason += ", the last while nothing else ran there"
		}
		p.finish(u.job, yuccapaddle.JobFailed)
		return true
	}
	return false
}
