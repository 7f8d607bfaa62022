package planner

import (
	"math"
	"time"

	"yuccapaddle"
	"yuccapaddle/internal/stalldetector"
)

// job is a submitted job with the state of its tasks.
type job struct {
	spec              *yuccapaddle.Job
	state             yuccapaddle.JobState
	units             []*unit
	remainingByStep   map[occurrenceStep]int // units that are not done
	remaining         int                    // the same, over all steps
	liveMembers       int                    // members of all units that have not ended
	dirtyParts        map[int]bool           // parts of the record that changed since the last commit
	openedOccurrences int                    // occurrences whose units exist
	endedAt           time.Time
	reason            string // why it failed
	specChanged       bool   // since its last record, so that the next one has to contain it
	// priority is that of its queue in the latest placement round.
	priority int
}

type unitState int

const (
	unitWaiting unitState = iota
	unitPlaced
	unitDone
)

// unit is what is placed as a whole or not at all: a gang, or a single task.
type unit struct {
	job                  *job
	position             int // in the job's units
	occurrence           int
	stepIndex            int
	taskIndex            int // within the step, 0 for a gang
	state                unitState
	run                  int    // number of the latest run, 0 before the first
	failures             int    // failed runs
	checkpoint           string // the latest that a run has reported
	members              []member
	succeeded            bool // a member has ended with EndDone
	stopping             bool // the current run has been ordered to stop
	stopSentAt           time.Time
	waitingSince         time.Time
	placedAt             time.Time
	startedAt            time.Time            // when a start of the current run was last sent, at first placedAt
	placedAtMS           int64                // the time of day of the placement in Unix milliseconds, 0 if unknown
	placedAtKnown        bool                 // placedAt is the time of the placement, and not that of a restore
	sendBy               time.Time            // no copy of a start of the current run is sent later by this host
	placedRevision       uint64               // of the ledger, by which the starts of the current run were permitted, 0 if unknown
	committedBy          time.Time            // when a former host had committed that, zero if unknown
	avoidUntil           map[string]time.Time // by worker
	claim                []string             // workers on which room is being freed for it, one for each member
	claimedAt            time.Time
	failureCounted       bool                 // the current run has been counted in failures
	mayHaveStartedBefore bool                 // an earlier run may have started
	waitNoted            bool                 // what it waits for has been logged since it was last placed
	lastEndReason        string               // why the previous run ended
	losses               []loss               // lost workers of the runs of which not all are judged yet
	crashes              map[int]crashCount   // by member
	suspect              bool                 // it may have crashed its worker
	placedAlone          bool                 // it was placed as a suspect where nothing else ran
	avoidAddresses       map[string]time.Time // of workers, like avoidUntil
	resumed              bool                 // the current run may have gone on from a checkpoint
	lateUntil            time.Time            // a start of a member that has ended may be carried out until then
	formerLate           bool                 // the same of one that a former host has sent
}

// member is one task of a unit's current run, on its worker.
type member struct {
	worker string
	// incarnation and address are those of the worker when it was placed there, zero if
	// unknown.
	incarnation int64
	address     string
	capacity    yuccapaddle.Need // of the worker that counted then, zero if unknown
	confirmed   bool             // see confirmRun
	// confirmedPoll is the number of the latest poll of any worker when it was confirmed.
	confirmedPoll int64
	neverStarted  bool      // it certainly has not started
	ended         bool      // it has ended, or certainly will not start
	leaving       bool      // its worker is to leave, or to go into maintenance
	percent       int       // its progress, 0 to 100
	progressAt    time.Time // latest progress, placement or answered order
	firstPercent  int       // the progress that this host has seen first, at firstAt
	firstAt       time.Time
	resends       int                          // of its start
	startAddress  string                       // where this host has sent its start last
	reported      bool                         // a poll has listed it as running
	pace          int                          // percentage of full speed at which it may work
	lateUntil     time.Time                    // a copy of its start from this host may be carried out until then
	unanswered    int                          // copies of its start that this host has sent and that have no answer
	copyDue       bool                         // a further copy of its start is about to be sent
	settled       bool                         // as the latest record tells, see startSettled
	kept          bool                         // see keep
	formerCopies  bool                         // a former host may have sent copies of its start that are not accounted for
	adopted       bool                         // placed by a former host, and not reported to this one yet
	unsent        bool                         // its start has not been sent, by a former host neither
	stall         *stalldetector.StallDetector // nil if its progress is not watched
	// leftUnanswered means that a former host has stopped it before the worker answered for it.
	leftUnanswered bool
	// startScattered means that copies of its start may have gone to several addresses.
	startScattered bool
}

func newJob(spec *yuccapaddle.Job) *job {
	return &job{spec: spec, state: yuccapaddle.JobQueued, dirtyParts: map[int]bool{}, remainingByStep: map[occurrenceStep]int{}}
}

// stepSpec returns the step that the unit belongs to, as submitted.
func (u *unit) stepSpec() *yuccapaddle.Step {
	return &u.job.spec.Steps[u.stepIndex]
}

// width returns the number of tasks that are placed together.
func (u *unit) width() int {
	if u.stepSpec().Gang {
		return u.stepSpec().Count
	}
	return 1
}

// taskID returns the ID of the unit's member i.
func (u *unit) taskID(i int) yuccapaddle.TaskID {
	index := u.taskIndex
	if u.stepSpec().Gang {
		index = i
	}
	return yuccapaddle.TaskID{Job: u.job.spec.ID, Occurrence: u.occurrence, Step: u.stepIndex, Index: index}
}

// live reports whether any member has not ended.
func (u *unit) live() bool {
	for i := range u.members {
		if !u.members[i].ended {
			return true
		}
	}
	return false
}

// liveMembers returns the number of members that have not ended.
func (u *unit) liveMembers() int {
	n := 0
	for i := range u.members {
		if !u.members[i].ended {
			n++
		}
	}
	return n
}

// running reports whether the starts of all members are confirmed and none has ended.
func (u *unit) running() bool {
	for i := range u.members {
		if u.members[i].ended || !u.members[i].confirmed {
			return false
		}
	}
	return true
}

// progress returns the least progress of any member in percent, 0 without members.
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

// mayHaveStarted reports whether a member of the current run may have started.
func (u *unit) mayHaveStarted() bool {
	for i := range u.members {
		if !u.members[i].neverStarted {
			return true
		}
	}
	return false
}

// mayHaveRun reports whether any task of the job may have started.
func (j *job) mayHaveRun() bool {
	for _, u := range j.units {
		if u.succeeded || u.mayHaveStartedBefore || u.mayHaveStarted() {
			return true
		}
	}
	return false
}

func (j *job) report() yuccapaddle.JobReport {
	return yuccapaddle.JobReport{State: j.state, MayHaveRun: j.mayHaveRun(), Runs: j.maxRuns(), Reason: j.reason}
}

// maxRuns returns the highest number of runs of any task.
func (j *job) maxRuns() int {
	runs := 0
	for _, u := range j.units {
		runs = max(runs, u.run)
	}
	return runs
}

// busy reports whether a run of the job may be in progress.
func (j *job) busy() bool {
	return j.liveMembers > 0
}

// markDone moves a unit to unitDone and counts it off its job's remaining units.
func (u *unit) markDone() {
	u.state, u.succeeded = unitDone, true
	u.job.remainingByStep[occurrenceStep{u.occurrence, u.stepIndex}]--
	u.job.remaining--
}

// stepDone reports whether all units of a step are done.
func (j *job) stepDone(occurrence, step int) bool {
	return j.remainingByStep[occurrenceStep{occurrence, step}] == 0
}

// occurrenceStep identifies a step of one occurrence within a job.
type occurrenceStep struct{ occurrence, step int }

// ready reports whether all steps that the unit's step depends on are done.
func (u *unit) ready() bool {
	_, blocked := u.blockingStep()
	return !blocked
}

// blockingStep returns the first step that the unit's step depends on and that is not
// done, if there is one.
func (u *unit) blockingStep() (step int, blocked bool) {
	for _, a := range u.stepSpec().After {
		if !u.job.stepDone(u.occurrence, a) {
			return a, true
		}
	}
	return 0, false
}

// openOccurrences creates the units of all occurrences that are due, and sets the
// wake-up time for the next one.
func (p *Planner) openOccurrences(j *job) {
	for j.openedOccurrences < j.spec.Occurrences() {
		due := j.spec.Due(j.openedOccurrences)
		if due.After(p.wall) {
			p.wakeBy(p.now.Add(due.Sub(p.wall)))
			return
		}
		j.openNextOccurrence(p.now)
		p.changed = true
	}
}

// openNextOccurrence creates the units of the next occurrence.
func (j *job) openNextOccurrence(now time.Time) {
	occurrence := j.openedOccurrences
	j.openedOccurrences++
	for s := range j.spec.Steps {
		step := &j.spec.Steps[s]
		n := step.Count
		if step.Gang {
			n = 1
		}
		for i := range n {
			j.remainingByStep[occurrenceStep{occurrence, s}]++
			j.remaining++
			j.units = append(j.units, &unit{job: j, position: len(j.units), occurrence: occurrence, stepIndex: s, taskIndex: i, waitingSince: now})
		}
	}
}

// completeIfDone completes a job once all units of all its occurrences are done.
func (p *Planner) completeIfDone(j *job) {
	if j.state.Final() || j.openedOccurrences < j.spec.Occurrences() {
		return
	}
	if j.remaining > 0 {
		return
	}
	p.finish(j, yuccapaddle.JobCompleted)
}

// wakeBy makes WakeAt no later than t.
func (p *Planner) wakeBy(t time.Time) {
	if p.wakeAt.IsZero() || t.Before(p.wakeAt) {
		p.wakeAt = t
	}
}
