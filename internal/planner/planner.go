// Package planner decides about jobs: what is accepted, what waits, where tasks
// are placed and which give way. It is pure: it is told events with their time
// and returns records to commit and orders to send after the commit.
package planner

import (
	"strings"
	"time"

	"yuccapaddle"
)

// Planner holds the state of all jobs. It is not safe for concurrent use.
type Planner struct {
	rules      *yuccapaddle.Rules
	jobs       map[string]*job
	workers    map[string]*worker
	limits     yuccapaddle.PlanLimits
	now        time.Time
	wall       time.Time
	batch      yuccapaddle.Batch
	dirty      map[string]*job
	removed    []yuccapaddle.JobRecord
	changed    bool // something that placing depends on has changed
	wakeAt     time.Time
	tickAt     time.Time
	claims     map[*unit]bool        // units for which room is being freed
	unreserved bool                  // no workers are kept for urgent work
	unproven   bool                  // no worker has to prove itself
	listed     bool                  // the registrations have been read
	asked      int64                 // questions to workers so far
	failures   [stormCount]time.Time // the last failures of tasks
	advice     map[yuccapaddle.StepID]*advice
	needed     map[string]int // by workspace, for one round of placing
	urgent     int            // accelerators that urgent work holds or waits for
	peaks      []peak         // falling, of the last while
}

// Option changes a Planner under construction.
type Option func(*Planner)

// WithoutReserve keeps no workers free for urgent work. It is the baseline that
// the reserve is measured against.
func WithoutReserve() Option {
	return func(p *Planner) { p.unreserved = true }
}

// WithoutProof places gangs without regard to which workers have failed. It is the
// baseline that the care for them is measured against.
func WithoutProof() Option {
	return func(p *Planner) { p.unproven = true }
}

// New returns a Planner without jobs.
func New(limits yuccapaddle.PlanLimits, opts ...Option) *Planner {
	p := &Planner{
		rules: (&yuccapaddle.Rules{}).Index(), jobs: map[string]*job{}, workers: map[string]*worker{},
		limits: limits, dirty: map[string]*job{}, claims: map[*unit]bool{}, advice: map[yuccapaddle.StepID]*advice{},
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// At sets the time of the events that follow. now is steady, wall is the time of
// day, which only timetables read.
func (p *Planner) At(now, wall time.Time) {
	p.now, p.wall = now, wall
}

// Configure puts rules into force.
func (p *Planner) Configure(r *yuccapaddle.Rules) {
	p.rules = r
	p.changed = true
}

// Rules returns the rules in force.
func (p *Planner) Rules() *yuccapaddle.Rules {
	return p.rules
}

// Submit takes a job in. known is true if its ID is known already, whatever the
// rest of the job.
func (p *Planner) Submit(in *yuccapaddle.Job) (known bool) {
	if p.jobs[in.ID] != nil {
		return true
	}
	in.Accepted = p.wall.UnixMilli()
	j := newJob(in)
	p.jobs[in.ID] = j
	p.touch(j)
	j.fresh = true
	p.changed = true
	p.note(yuccapaddle.Note{Event: "accepted", Job: in.ID, Detail: strings.TrimSpace(in.Queue + " " + in.Key)})
	p.open(j)
	return false
}

// Cancel cancels a job and reports whether there is one.
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

// Report returns what callers are told of a job, and its queue.
func (p *Planner) Report(id string) (report yuccapaddle.JobReport, queue string, ok bool) {
	j := p.jobs[id]
	if j == nil {
		return yuccapaddle.JobReport{}, "", false
	}
	return j.report(), j.in.Queue, true
}

// Pending returns for each queue the number of jobs of which no task has
// started.
func (p *Planner) Pending() map[string]int64 {
	counts := map[string]int64{}
	for _, j := range p.jobs {
		if j.state == yuccapaddle.JobQueued {
			counts[j.in.Queue]++
		}
	}
	return counts
}

// Shown returns the states of all jobs as records without content.
func (p *Planner) Shown() []yuccapaddle.JobRecord {
	list := make([]yuccapaddle.JobRecord, 0, len(p.jobs))
	for id, j := range p.jobs {
		list = append(list, yuccapaddle.JobRecord{ID: id, Queue: j.in.Queue, Shown: j.report()})
	}
	return list
}

// WakeAt is when Plan should be called next, even if nothing happens.
func (p *Planner) WakeAt() time.Time {
	return p.wakeAt
}

// Take returns what has to be done since the last call.
func (p *Planner) Take() yuccapaddle.Batch {
	b := p.batch
	for _, j := range p.dirty {
		b.Records = append(b.Records, j.record())
		j.fresh = false
		clear(j.touched)
	}
	b.Removed = p.removed
	p.batch, p.removed = yuccapaddle.Batch{}, nil
	clear(p.dirty)
	return b
}

func (p *Planner) note(n yuccapaddle.Note) {
	p.batch.Notes = append(p.batch.Notes, n)
}

// touch has the state of a job committed, and touchUnit that of a unit as well.
func (p *Planner) touch(j *job) {
	p.dirty[j.in.ID] = j
}

func (p *Planner) touchUnit(u *unit) {
	u.job.touched[u.place/partSize] = true
	p.touch(u.job)
}

// finish settles a job and stops what it has in work.
func (p *Planner) finish(j *job, state yuccapaddle.JobState) {
	j.state = state
	j.endedAt = p.now
	p.touch(j)
	p.changed = true
	p.note(yuccapaddle.Note{Event: string(state), Job: j.in.ID, Detail: j.why})
	p.forgetAdvice(j.in.ID)
	for _, u := range j.units {
		if u.state == unitPlaced {
			p.stop(u, "the job is "+string(state))
		}
	}
}

// stop asks for the end of all runs of a unit that are not over.
func (p *Planner) stop(u *unit, why string) {
	if !u.stopping {
		u.stopping = true
		p.touchUnit(u)
	}
	u.stopAt = p.now
	for i := range u.members {
		m := &u.members[i]
		if m.over || p.worker(m.worker).silent {
			continue
		}
		p.batch.Stops = append(p.batch.Stops, yuccapaddle.RunStop{Worker: m.worker, Task: u.taskID(i), Run: u.run})
		p.note(yuccapaddle.Note{Event: "stop", Job: u.job.in.ID, Task: u.taskID(i).String(), Worker: m.worker, Run: u.run, Detail: why})
	}
}

// forget drops jobs whose time to be asked for is over.
func (p *Planner) forget() {
	for id, j := range p.jobs {
		if j.state.Final() && !j.busy() && p.now.Sub(j.endedAt) > p.limits.Retention {
			delete(p.jobs, id)
			delete(p.dirty, id)
			p.removed = append(p.removed, yuccapaddle.JobRecord{ID: id, PartCount: j.partCount()})
		}
	}
}
