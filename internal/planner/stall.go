package planner

import (
	"slices"
	"time"

	"yuccapaddle"
	"yuccapaddle/internal/stalldetector"
)

// Load pattern: on some workers that answer, tasks stand still for seconds. An urgent task
// is late once the fixed threshold has passed, so what runs of its queue and step have
// taken decides how long it may make no progress.

const (
	// stallQuantile is that of the run times which the stall timeout is derived from. Runs of
	// which the worker stood still for a while are among them, and a higher quantile would
	// often be one of these.
	stallQuantile = 0.9
	// learnedTimeAge is how long a quantile is used before it is taken anew: that sorts
	// the run times, and every reply of a worker asks for it.
	learnedTimeAge = time.Second
	// minLookGap is the least time from a reply to the next look at the worker.
	minLookGap = 125 * time.Millisecond
	// maxEstimateRatio is how many times the learned run time a caller's estimate may be for
	// the learned one to count. Up to that a run shows its first percent in time.
	maxEstimateRatio = 16
	// maxStalls is how many stalls on a worker are told apart when workers are chosen.
	maxStalls = 3
)

// runKind identifies runs that are expected to take equally long.
type runKind struct {
	queue string
	step  int
}

// learnedTime is a quantile of the run times of a kind, 0 if there is none.
type learnedTime struct {
	took  time.Duration
	until time.Time // when it is taken anew
}

// LookAt returns when a report of the worker will decide whether a run stands still, the
// zero time if there is no such time.
func (p *Planner) LookAt(id string) time.Time {
	return p.looks[id]
}

// ClearLook removes the time of LookAt until the worker's next report.
func (p *Planner) ClearLook(id string) {
	delete(p.looks, id)
}

// DueLooks lists the workers that have to be looked at now, in order, and returns when the next one
// has to be, the zero time if none.
func (p *Planner) DueLooks() (due []string, next time.Time) {
	for id, at := range p.looks {
		switch {
		case !p.now.Before(at):
			due = append(due, id)
		case next.IsZero() || at.Before(next):
			next = at
		}
	}
	slices.Sort(due)
	return due, next
}

// watchRun begins to watch a run whose worker has confirmed the start. Members of a gang
// wait for each other, so they are watched from when all are confirmed.
func (p *Planner) watchRun(u *unit) {
	if !p.limits.LearnStalls || !u.running() {
		return
	}
	for i := range u.members {
		m := &u.members[i]
		if m.stall != nil {
			continue
		}
		if u.checkpoint != "" {
			m.stall = stalldetector.NewResumed(p.now.Add(p.limits.Restore))
		} else {
			m.stall = stalldetector.New(p.now)
		}
		p.planLook(p.worker(m.worker))
	}
}

// noteReport passes a worker's report of a run on to the run's detector. A run that a former
// host started is watched from its first report to this host.
func (p *Planner) noteReport(u *unit, m *member, r *yuccapaddle.Run) {
	if !p.limits.LearnStalls || m.stall == nil && !u.running() {
		return
	}
	if m.stall == nil {
		m.stall = stalldetector.NewResumed(p.now.Add(p.limits.Restore))
	}
	m.stall.Observe(r.Percent, p.now)
}

// learnedRunTime returns how long runs of the unit's queue and step have taken, 0 if there
// is no estimate.
func (p *Planner) learnedRunTime(u *unit) time.Duration {
	k := runKind{u.job.spec.Queue, u.stepIndex}
	t, ok := p.learnedTimes[k]
	if !ok || !p.now.Before(t.until) {
		took, _ := p.runTimes.Quantile(k.queue, k.step, stallQuantile)
		t = learnedTime{took, p.now.Add(learnedTimeAge)}
		p.learnedTimes[k] = t
	}
	return t.took
}

// planLook sets when a report of the worker will decide something, and makes the next Plan
// check the runs if one of them stands still. A sound urgent run is looked at ahead of
// time; others only once a report has shown no progress where it was due, since looks may
// be priced.
func (p *Planner) planLook(w *worker) {
	if !p.limits.LearnStalls {
		return
	}
	var look time.Time
	for _, x := range w.runs {
		m := &x.u.members[x.member]
		if !x.u.judgedByProgress(m) {
			continue
		}
		urgent := p.priority(x.u.job) == 0
		if !urgent && m.stall.Reports() == 0 {
			continue
		}
		opts := p.circumstances(w, x)
		if !urgent && !m.stall.Overdue(opts...) {
			continue
		}
		if m.stall.StandsStill(opts...) {
			p.nextTick = p.now
		}
		if at := m.stall.NextReport(opts...); !at.IsZero() && (look.IsZero() || at.Before(look)) {
			look = at
		}
	}
	if look.IsZero() {
		delete(p.looks, w.ID)
		return
	}
	if earliest := p.now.Add(minLookGap); look.Before(earliest) {
		look = earliest
	}
	p.looks[w.ID] = look
}

// judgedByProgress reports whether a member that makes no progress for less than
// stallTimeout may be stopped for that. Spare tasks, and those that are paced, may stand
// still because others are served.
func (u *unit) judgedByProgress(m *member) bool {
	s := u.stepSpec()
	return m.stall != nil && !m.ended && u.state == unitPlaced && !u.stopping && m.pace == fullPace &&
		!s.Endless && !s.Spare && !u.job.spec.Once
}

// standsStill reports whether a run stands still by what is learned of its queue and step.
func (p *Planner) standsStill(w *worker, x assignment) bool {
	m := &x.u.members[x.member]
	return p.limits.LearnStalls && x.u.judgedByProgress(m) && m.stall.Reports() > 0 && m.stall.StandsStill(p.circumstances(w, x)...)
}

// circumstances describes a run for its detector. Whatever speaks for the run is looked
// for only if it would otherwise count as standing still, since that is rare. A run that was
// placed where runs stand still, for lack of other room, gets the longest time unless it is
// urgent: it would be moved from one such worker to the next.
func (p *Planner) circumstances(w *worker, x assignment) []stalldetector.Option {
	m := &x.u.members[x.member]
	opts := []stalldetector.Option{stalldetector.WithRunTime(p.learnedRunTime(x.u))}
	switch {
	case p.muchLonger(x.u):
		opts = append(opts, stalldetector.WithLongestTimeout())
	case !p.stalledThere(w):
	case !x.u.placedAt.After(w.stalledAt):
		opts = append(opts, stalldetector.WithSuspectWorker())
	case p.priority(x.u.job) != 0:
		opts = append(opts, stalldetector.WithLongestTimeout())
	}
	if !m.stall.StandsStill(opts...) {
		return opts
	}
	standing, progressAt := p.stepElsewhere(w, x)
	return append(opts, stalldetector.WithProgressBeside(w.latestProgress(x.u)), stalldetector.WithStep(standing, progressAt))
}

// muchLonger reports whether the caller expects a run that takes much longer than its queue
// usually does. Before its first percent it would be taken for one that stands still, stopped
// and started elsewhere without end. A caller that overstates gains nothing by it.
func (p *Planner) muchLonger(u *unit) bool {
	estimate := time.Duration(u.stepSpec().Estimate) * time.Millisecond
	learned := p.learnedRunTime(u)
	return learned > 0 && estimate > maxEstimateRatio*learned
}

// stalledThere reports whether a run was found standing still on the worker of late, and none
// there has made progress since.
func (p *Planner) stalledThere(w *worker) bool {
	return p.now.Before(w.stalledUntil) && !w.latestProgress(nil).After(w.stalledAt)
}

// latestProgress returns when a run on the worker, of a unit other than u, was last seen to
// make progress, the zero time if none was.
func (w *worker) latestProgress(u *unit) time.Time {
	var latest time.Time
	for _, x := range w.runs {
		if n := &x.u.members[x.member]; x.u != u && n.stall != nil && n.stall.Progress().After(latest) {
			latest = n.stall.Progress()
		}
	}
	return latest
}

// stepElsewhere returns how many runs of the same step on other workers were reported
// without progress, and when any of them was last seen to make progress. Members of one gang
// do not count as standing, since one of them can hold up all.
func (p *Planner) stepElsewhere(w *worker, x assignment) (standing int, progressAt time.Time) {
	for _, u := range x.u.job.units {
		if u.stepIndex != x.u.stepIndex || u.occurrence != x.u.occurrence {
			continue
		}
		for i := range u.members {
			m := &u.members[i]
			if m.ended || m.stall == nil || m.worker == w.ID {
				continue
			}
			if u != x.u && m.stall.Reports() > 0 {
				standing++
			}
			if at := m.stall.Progress(); at.After(progressAt) {
				progressAt = at
			}
		}
	}
	return standing, progressAt
}

// stalledMember returns the index of the member whose worker is to blame if the unit's run
// stands still. In a gang that stands still as a whole, it is one beside which runs of other
// units stand still as well, if there is any.
func (p *Planner) stalledMember(u *unit) (index int, ok bool) {
	index = -1
	for i := range u.members {
		m := &u.members[i]
		w := p.worker(m.worker)
		if m.ended || !m.reported || m.percent >= 100 || w.unresponsive {
			continue
		}
		if p.now.Sub(m.progressAt) < stallTimeout && !p.standsStill(w, assignment{u, i}) {
			continue
		}
		if index < 0 {
			index = i
		}
		if !p.limits.LearnStalls || p.othersStand(w, u) {
			return i, true
		}
	}
	return index, index >= 0
}

// othersStand reports whether the latest report of the worker shows runs of other units, and
// all of them without progress.
func (p *Planner) othersStand(w *worker, u *unit) bool {
	others := false
	for _, x := range w.runs {
		m := &x.u.members[x.member]
		if x.u == u || m.stall == nil {
			continue
		}
		if m.stall.Reports() == 0 {
			return false
		}
		others = true
	}
	return others
}

// noteStall records that a run stands still on a worker. If it is that of a gang, any of the
// workers whose latest report shows no progress of anything may be the cause, since the
// members may wait for each other: only the first is in quarantine, but others are preferred
// to all of them.
func (p *Planner) noteStall(w *worker, u *unit) {
	p.countStall(w)
	p.planLook(w)
	for i := range u.members {
		m := &u.members[i]
		o := p.worker(m.worker)
		if m.stall != nil && !m.ended && m.stall.Reports() > 0 && !o.latestProgress(u).After(m.progressAt) {
			p.countStall(o)
		}
	}
}

// countStall counts a stall on a worker, one at a time.
func (p *Planner) countStall(w *worker) {
	if w.stalledAt.Equal(p.now) {
		return
	}
	if !p.stalledThere(w) {
		w.stalls = 0
	}
	w.stalls++
	w.stalledAt, w.stalledUntil = p.now, p.now.Add(quarantineTime)
}

// leastStalled chooses workers as chooseWorkers does, from those on which runs were found
// standing still least often of late. A gang would otherwise be placed there if that fills a
// rack. Of the workers of a gang that stood still, the one that is the cause is counted again
// with the next gang there, and the others are cleared by progress.
func (p *Planner) leastStalled(u *unit, candidates []candidate) []string {
	if !p.limits.LearnStalls {
		return nil
	}
	for most := range maxStalls {
		moreStalled := func(c candidate) bool { return p.stalledThere(c.w) && c.w.stalls > most }
		if !slices.ContainsFunc(candidates, moreStalled) {
			return nil
		}
		if list := p.chooseWorkers(u, slices.DeleteFunc(slices.Clone(candidates), moreStalled)); list != nil {
			return list
		}
	}
	return nil
}
