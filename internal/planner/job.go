package planner

import (
	"math"
	"time"

	"yuccapaddle"
)

// job is the state of one job.
type job struct {
	in      *yuccapaddle.Job
	state   yuccapaddle.JobState
	units   []*unit
	left    map[stepAt]int // units that are not done
	undone  int
	live    int          // members that may run
	touched map[int]bool // parts of the record that have changed
	opened  int          // occurrences whose units exist
	endedAt time.Time
	why     string
	fresh   bool // not committed yet: the record needs the job itself
	// priority is that of its queue when work was last placed.
	priority int
}

type unitState int

const (
	unitWaiting unitState = iota
	unitPlaced
	unitDone
)

// unit is what is placed whole or not at all: a gang, or a single task.
type unit struct {
	job        *job
	place      int // among the job's units
	occurrence int
	step       int
	index      int // of the task, 0 for a gang
	state      unitState
	run        int
	fails      int
	saved      string
	members    []member
	done       bool // a run has ended as done
	stopping   bool
	stopAt     time.Time
	waitsFrom  time.Time
	placedAt   time.Time
	avoid      map[string]time.Time
	claim      []string // workers on which room is being freed for it
	claimedAt  time.Time
	failed     bool // the current run has counted as a failure
	began      bool // a former run may have started
	waitNoted  bool
	lastEnd    string // how the former run ended
}

// member is one task of the current run on its worker.
type member struct {
	worker string
	sent   bool // the worker has confirmed the start
	// confirmed is the number of the last question to any worker before that.
	confirmed int64
	unborn    bool // it has certainly not started
	over      bool // it has ended, or certainly will not begin
	percent   int
	movedAt   time.Time // the last progress
	tries     int
	seen      bool // listed as running
	pace      int  // the percentage at which it may work
	adopted   bool // placed by a former host, and not seen yet
}

func newJob(in *yuccapaddle.Job) *job {
	return &job{in: in, state: yuccapaddle.JobQueued, touched: map[int]bool{}, left: map[stepAt]int{}}
}

func (u *unit) spec() *yuccapaddle.Step {
	return &u.job.in.Steps[u.step]
}

func (u *unit) width() int {
	if u.spec().Gang {
		return u.spec().Count
	}
	return 1
}

func (u *unit) taskID(i int) yuccapaddle.TaskID {
	index := u.index
	if u.spec().Gang {
		index = i
	}
	return yuccapaddle.TaskID{Job: u.job.in.ID, Occurrence: u.occurrence, Step: u.step, Index: index}
}

// live reports whether a member may still run.
func (u *unit) live() bool {
	for i := range u.members {
		if !u.members[i].over {
			return true
		}
	}
	return false
}

// held is the room that the unit's live members hold.
func (u *unit) held() int {
	n := 0
	for i := range u.members {
		if !u.members[i].over {
			n++
		}
	}
	return n
}

// working reports whether all members are known to be in work.
func (u *unit) working() bool {
	for i := range u.members {
		if u.members[i].over || !u.members[i].sent {
			return false
		}
	}
	return true
}

// progress is the smallest progress of the members, 0 to 100.
func (u *unit) progress() int {
	least := math.MaxInt
	for i := range u.members {
		least = min(least, u.members[i].percent)
	}
	if least == math.MaxInt {
		return 0
	}
	return least
}

// mayHaveBegun reports whether a member of the current run may have started.
func (u *unit) mayHaveBegun() bool {
	for i := range u.members {
		if !u.members[i].unborn {
			return true
		}
	}
	return false
}

// ran reports whether a task of the job may have started.
func (j *job) ran() bool {
	for _, u := range j.units {
		if u.done || u.began || u.mayHaveBegun() {
			return true
		}
	}
	return false
}

func (j *job) report() yuccapaddle.JobReport {
	return yuccapaddle.JobReport{State: j.state, Ran: j.ran(), Runs: j.runs(), Why: j.why}
}

// runs is the highest number of runs of any task.
func (j *job) runs() int {
	most := 0
	for _, u := range j.units {
		most = max(most, u.run)
	}
	return most
}

func (j *job) busy() bool {
	return j.live > 0
}

// finished takes a unit off those that are not done.
func (u *unit) finished() {
	u.state, u.done = unitDone, true
	u.job.left[stepAt{u.occurrence, u.step}]--
	u.job.undone--
}

// stepDone reports whether all tasks of a step have ended as done.
func (j *job) stepDone(occurrence, step int) bool {
	return j.left[stepAt{occurrence, step}] == 0
}

// stepAt is a step of one occurrence.
type stepAt struct{ occurrence, step int }

// ready reports whether the steps before the unit's are done.
func (u *unit) ready() bool {
	_, blocked := u.blocker()
	return !blocked
}

// blocker returns a step before the unit's that is not done, if there is one.
func (u *unit) blocker() (step int, blocked bool) {
	for _, a := range u.spec().After {
		if !u.job.stepDone(u.occurrence, a) {
			return a, true
		}
	}
	return 0, false
}

// open creates the units of all occurrences that are due, and returns the time
// of the next one.
func (p *Planner) open(j *job) {
	for j.opened < j.in.Occurrences() {
		due := j.in.Due(j.opened)
		if due.After(p.wall) {
			p.wakeBy(p.now.Add(due.Sub(p.wall)))
			return
		}
		j.openNext(p.now)
		p.changed = true
	}
}

// openNext creates the units of the next occurrence.
func (j *job) openNext(now time.Time) {
	occurrence := j.opened
	j.opened++
	for s := range j.in.Steps {
		step := &j.in.Steps[s]
		n := step.Count
		if step.Gang {
			n = 1
		}
		for i := range n {
			j.left[stepAt{occurrence, s}]++
			j.undone++
			j.units = append(j.units, &unit{job: j, place: len(j.units), occurrence: occurrence, step: s, index: i, waitsFrom: now})
		}
	}
}

// settle completes a job whose tasks are all done.
func (p *Planner) settle(j *job) {
	if j.state.Final() || j.opened < j.in.Occurrences() {
		return
	}
	if j.undone > 0 {
		return
	}
	p.finish(j, yuccapaddle.JobCompleted)
}

func (p *Planner) wakeBy(t time.Time) {
	if p.wakeAt.IsZero() || t.Before(p.wakeAt) {
		p.wakeAt = t
	}
}
