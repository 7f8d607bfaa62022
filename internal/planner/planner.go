// Package planner schedules jobs: it accepts them, decides which tasks wait, places
// tasks on workers and preempts running ones. It does no I/O and reads no clock:
// callers report events with their time, and TakeBatch returns the records to commit and
// the orders to send after the commit.
package planner

import (
	"maps"
	"slices"
	"strings"
	"time"

	"yuccapaddle"
	"yuccapaddle/internal/accepter"
	"yuccapaddle/internal/cancelkeeper"
	"yuccapaddle/internal/estimator"
	"yuccapaddle/internal/evacuator"
	"yuccapaddle/internal/quotakeeper"
)

// Planner holds the state of all jobs and workers. It is not safe for concurrent use.
type Planner struct {
	rules              *yuccapaddle.Rules
	jobs               map[string]*job
	workers            map[string]*worker
	limits             yuccapaddle.PlanLimits
	now                time.Time
	wall               time.Time
	batch              yuccapaddle.Batch
	dirtyJobs          map[string]*job
	removed            []yuccapaddle.JobRecord
	changed            bool // state that placement depends on has changed since the last placement
	wakeAt             time.Time
	nextTick           time.Time
	claims             map[*unit]bool              // units for which running tasks are being preempted
	unsettled          map[*unit]bool              // units with pending losses
	settleBy           time.Time                   // when these are judged next
	suspects           map[*unit]bool              // units that may have crashed their workers
	suspectHosts       map[string][]*unit          // cache of suspectsOn, by worker
	noReserve          bool                        // no workers are kept free for urgent work
	noProvenPreference bool                        // gangs are placed without preference for proven workers
	readFailed         bool                        // see NoteFailedRead
	workersKnown       bool                        // the registrations have been read at least once
	lastPoll           int64                       // number of the latest poll of any worker
	recentFailures     [failureBurstSize]time.Time // times of the latest task failures, oldest first
	advice             map[yuccapaddle.StepID]*advice
	workspaceNeeds     map[string]int // cache of workspaceNeed for one placement round
	urgentDemand       int            // accelerators that urgent jobs hold or wait for
	demandPeaks        []demandPeak   // within reserveWindow, in falling order of demand
	quotas             *quotakeeper.QuotaKeeper
	quotaWaits         map[stepKey]bool         // steps that wait for their quota, for one placement round
	quotaVictims       map[string]*quotaVictims // by workspace, for one placement round
	unplaceable        map[stepKey]bool         // steps without room, for one placement round
	agedAt             time.Time                // when a job last went first for its age, see orderByShare
	runTimes           *estimator.Estimator
	evacuator          *evacuator.Evacuator
	learnedTimes       map[runKind]learnedTime
	looks              map[string]time.Time       // see LookAt
	proofs             []string                   // see TakeProofRequests
	usualCapacities    map[peers]yuccapaddle.Need // cache for usualCapacity, nil if it has to be computed
	committedBy        func(revision uint64) time.Time
	predecessorEnd     time.Time // see SetPredecessorEnd
	placing            []*unit   // since the latest batch, see permitStarts
	committing         []*unit   // the same, in the latest batch
	cancellations      *cancelkeeper.CancelKeeper
	accepted           *accepter.Accepter
	newCancellations   []yuccapaddle.JobRecord // since the latest batch
}

// Option configures a Planner in New.
type Option func(*Planner)

// WithoutReserve keeps no workers free for urgent jobs. It is the baseline for
// measuring the reserve.
func WithoutReserve() Option {
	return func(p *Planner) { p.noReserve = true }
}

// WithoutProvenPreference places gangs without preference for proven workers, on which
// starts have recently succeeded. It is the baseline for measuring that preference.
func WithoutProvenPreference() Option {
	return func(p *Planner) { p.noProvenPreference = true }
}

// WithCommitTimes sets a function that returns a time by which a revision had certainly been
// committed, zero if none is known.
func WithCommitTimes(committedBy func(revision uint64) time.Time) Option {
	return func(p *Planner) { p.committedBy = committedBy }
}

// New returns a Planner without jobs.
func New(limits yuccapaddle.PlanLimits, opts ...Option) *Planner {
	p := &Planner{
		rules: (&yuccapaddle.Rules{}).Index(), jobs: map[string]*job{}, workers: map[string]*worker{},
		limits: limits, quotas: quotakeeper.New(), dirtyJobs: map[string]*job{}, claims: map[*unit]bool{}, unsettled: map[*unit]bool{}, suspects: map[*unit]bool{}, advice: map[yuccapaddle.StepID]*advice{},
		cancellations: cancelkeeper.New(), accepted: accepter.New(limits.JobMemory), runTimes: estimator.New(), evacuator: evacuator.New(), learnedTimes: map[runKind]learnedTime{}, looks: map[string]time.Time{},
		committedBy: func(uint64) time.Time { return time.Time{} },
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// SetTime sets the time of the calls that follow. now is monotonic and drives all
// timeouts; wall is the time of day, used for timetables and acceptance times.
func (p *Planner) SetTime(now, wall time.Time) {
	p.now, p.wall = now, wall
}

// Configure replaces the operators' rules.
func (p *Planner) Configure(r *yuccapaddle.Rules) {
	p.keepTerms(r)
	p.rules = r
	p.quotas.SetQuotas(r.Workspaces)
	p.changed = true
}

// Rules returns the rules in force.
func (p *Planner) Rules() *yuccapaddle.Rules {
	return p.rules
}

// Submit accepts a job, sets its Accepted time and creates the units of the occurrences
// that are due. If a job with the same ID exists, it does nothing and known is true;
// only the IDs are compared.
func (p *Planner) Submit(spec *yuccapaddle.Job) (known bool) {
	if p.jobs[spec.ID] != nil {
		return true
	}
	spec.Accepted = p.wall.UnixMilli()
	j := newJob(spec)
	p.addJob(j)
	p.markDirty(j)
	j.specChanged = true
	p.changed = true
	p.addDecision(yuccapaddle.Decision{Event: "accepted", Job: spec.ID, Detail: strings.TrimSpace(spec.Queue + " " + spec.Key)})
	p.openOccurrences(j)
	return false
}

// Cancel cancels a job unless it has ended already, and reports whether it exists.
func (p *Planner) Cancel(id string) bool {
	j := p.jobs[id]
	if j == nil {
		return false
	}
	if j.state.Final() {
		return true
	}
	p.finish(j, yuccapaddle.JobCanceled)
	return true
}

// Completed reports whether a job is completed, at less cost than Report.
func (p *Planner) Completed(id string) bool {
	j := p.jobs[id]
	return j != nil && j.state == yuccapaddle.JobCompleted
}

// Report returns a job's state as callers see it, and its queue. ok is false if there
// is no such job.
func (p *Planner) Report(id string) (report yuccapaddle.JobReport, queue string, ok bool) {
	j := p.jobs[id]
	if j == nil {
		return yuccapaddle.JobReport{}, "", false
	}
	return j.report(), j.spec.Queue, true
}

// Spec returns a job as it was submitted, nil if there is no such job.
func (p *Planner) Spec(id string) *yuccapaddle.Job {
	if j := p.jobs[id]; j != nil {
		return j.spec
	}
	return nil
}

// Pending returns the number of jobs in state JobQueued for each queue: no worker has
// reported a run of theirs yet. A job of a queue that was renamed counts under both names:
// some hosts may not know the new one yet.
func (p *Planner) Pending() map[string]int64 {
	counts := map[string]int64{}
	for _, j := range p.jobs {
		if j.state != yuccapaddle.JobQueued {
			continue
		}
		counts[j.spec.Queue]++
		if q := p.rules.QueueOf(j.spec); q != nil && q.Name != j.spec.Queue {
			counts[q.Name]++
		}
	}
	return counts
}

// Reports returns a record of each job with only its ID, submission and report.
func (p *Planner) Reports() []yuccapaddle.JobRecord {
	list := make([]yuccapaddle.JobRecord, 0, len(p.jobs))
	for id, j := range p.jobs {
		list = append(list, yuccapaddle.JobRecord{ID: id, Spec: j.spec, Report: j.report()})
	}
	return list
}

// WakeAt returns the time by which Plan has to be called again, even without an event.
func (p *Planner) WakeAt() time.Time {
	return p.wakeAt
}

// TakeBatch returns the records, orders and decisions that have accumulated since the
// last call. The orders may be sent only once the records are committed.
func (p *Planner) TakeBatch() yuccapaddle.Batch {
	b := p.batch
	p.beginCommit()
	for _, id := range slices.Sorted(maps.Keys(p.dirtyJobs)) {
		j := p.dirtyJobs[id]
		b.Records = append(b.Records, j.record())
		j.specChanged = false
		clear(j.dirtyParts)
	}
	b.Records = append(b.Records, p.newCancellations...)
	b.Removed = p.removed
	p.batch, p.removed, p.newCancellations = yuccapaddle.Batch{}, nil, nil
	clear(p.dirtyJobs)
	return b
}

// addDecision adds a decision to the batch, to be logged.
func (p *Planner) addDecision(d yuccapaddle.Decision) {
	p.batch.Decisions = append(p.batch.Decisions, d)
}

// markDirty adds a job's state to the next commit.
func (p *Planner) markDirty(j *job) {
	p.dirtyJobs[j.spec.ID] = j
}

// markUnitDirty adds a unit's state and that of its job to the next commit.
func (p *Planner) markUnitDirty(u *unit) {
	u.job.dirtyParts[u.position/unitsPerPart] = true
	p.markDirty(u.job)
}

// finish moves a job to a final state and stops its runs.
func (p *Planner) finish(j *job, state yuccapaddle.JobState) {
	j.state = state
	j.endedAt = p.now
	p.markDirty(j)
	p.changed = true
	p.addDecision(yuccapaddle.Decision{Event: string(state), Job: j.spec.ID, Detail: j.reason})
	p.dropAdvice(j.spec.ID)
	for _, u := range j.units {
		if u.state == unitPlaced {
			p.stop(u, "the job is "+string(state))
		}
	}
}

// stop orders the workers to end the unit's current run; called again, it repeats the
// order. Members that have ended and unresponsive workers get none.
func (p *Planner) stop(u *unit, reason string) {
	if !u.stopping {
		u.stopping = true
		p.markUnitDirty(u)
	}
	u.stopSentAt = p.now
	for i := range u.members {
		m := &u.members[i]
		if m.ended || m.kept || p.worker(m.worker).unresponsive {
			continue
		}
		p.batch.Stops = append(p.batch.Stops, yuccapaddle.RunStop{Worker: m.worker, Task: u.taskID(i), Run: u.run})
		p.addDecision(yuccapaddle.Decision{Event: "stop", Job: u.job.spec.ID, Task: u.taskID(i).String(), Worker: m.worker, Run: u.run, Detail: reason})
	}
}

// removeExpired deletes jobs that ended longer ago than the retention time, and the cancellations
// of jobs that have not come within it.
func (p *Planner) removeExpired() {
	for id, j := range p.jobs {
		if j.state.Final() && !j.busy() && p.now.Sub(j.endedAt) > p.limits.Retention {
			p.removeJob(j)
			p.removed = append(p.removed, yuccapaddle.JobRecord{ID: id, PartCount: j.partCount()})
		}
	}
	p.removed = append(p.removed, p.cancellations.Expire(p.now)...)
}
