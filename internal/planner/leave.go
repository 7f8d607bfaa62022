package planner

import (
	"cmp"
	"slices"
	"strconv"

	"yuccapaddle"
	"yuccapaddle/internal/evacuator"
)

// Load pattern: many workers leave at once on short notice, and what runs there ends with
// them, a gang with the first of its workers. What cannot end in time is stopped while it
// can still save its work, and goes on elsewhere. Package evacuator decides about each run.

const (
	// lowRunTime and highRunTime are the quantiles of learned run times between which that of
	// a run is expected.
	lowRunTime  = 0.1
	highRunTime = 0.95
)

// leavingRun is a unit of which a member runs on a worker that leaves.
type leavingRun struct {
	u   *unit
	run evacuator.Run
}

// moveLeaving stops the runs that should not stay on the workers that leave. Where there is
// room for some only, those go first that would lose the most.
func (p *Planner) moveLeaving() {
	if !p.limits.MoveLeaving {
		return
	}
	list := p.leavingRuns()
	if len(list) == 0 {
		return
	}
	claimed := p.claimedRoom()
	free := p.freeRoom()
	full := map[stepKey]bool{}
	for i := range list {
		l := &list[i]
		if p.decideWithRoom(l, true) != evacuator.Stop || l.u.stepSpec().LimitsUnavailable && !p.mayDisrupt(l.u) {
			continue
		}
		if p.decideWithRoom(l, false) != evacuator.Stop {
			need := l.u.stepSpec().Room().Times(l.run.Leaving())
			if !need.Fits(free) || full[l.u.key()] || !p.claimRoomElsewhere(l.u, claimed) {
				full[l.u.key()] = true
				continue
			}
			free = free.Sub(need)
		}
		left := l.run.LeavesAt().Sub(p.now).Milliseconds()
		p.stop(l.u, "its worker leaves in "+strconv.FormatInt(left, 10)+" ms: "+p.firstToLeave(l.u))
	}
}

// freeRoom returns the capacity that no run holds on the workers that may get new runs. It
// rules out most units when the cluster is full, before workers are looked for.
func (p *Planner) freeRoom() yuccapaddle.Need {
	var sum yuccapaddle.Need
	for _, w := range p.workers {
		if p.usable(w) && !w.overCapacity() {
			sum = sum.Add(w.free())
		}
	}
	return sum
}

// decideWithRoom says what is to be done with a run if there is room for its unit
// elsewhere, or if there is none.
func (p *Planner) decideWithRoom(l *leavingRun, room bool) evacuator.Action {
	l.run.Room = room
	return p.evacuator.Decide(p.now, &l.run)
}

// leavingRuns lists the runs on workers that leave at a known time, by falling loss. It
// leaves out jobs that may run only once: they would not be placed again.
func (p *Planner) leavingRuns() []leavingRun {
	units := map[*unit]bool{}
	for _, w := range p.workers {
		if !w.leaves() {
			continue
		}
		for _, x := range w.runs {
			u := x.u
			if u.state == unitPlaced && !u.stopping && !u.succeeded && !u.job.state.Final() && !u.job.spec.Once {
				units[u] = true
			}
		}
	}
	list := make([]leavingRun, 0, len(units))
	for u := range units {
		list = append(list, leavingRun{u, p.evacuatorRun(u)})
	}
	slices.SortFunc(list, func(a, b leavingRun) int {
		return cmp.Or(cmp.Compare(b.run.AtRisk(), a.run.AtRisk()), a.u.compare(b.u))
	})
	return list
}

// leaves reports whether the worker is registered and leaves at a known time.
func (w *worker) leaves() bool {
	return w.registered && w.Draining && !w.LeavesAt.IsZero()
}

// evacuatorRun returns a unit's run as the evacuator sees it.
func (p *Planner) evacuatorRun(u *unit) evacuator.Run {
	step := u.stepSpec()
	r := evacuator.Run{
		StartedAt: u.startedAt, Resumed: u.resumed, Checkpoints: step.WritesCheckpoints, Endless: step.Endless, Cores: u.cores(),
	}
	shortest, _ := p.runTimes.Quantile(u.job.spec.Queue, u.stepIndex, lowRunTime)
	longest, ok := p.runTimes.Quantile(u.job.spec.Queue, u.stepIndex, highRunTime)
	if ok {
		r.Shortest, r.Longest = shortest, longest
	}
	for i := range u.members {
		m := &u.members[i]
		if m.ended {
			continue
		}
		em := evacuator.Member{FirstPercent: m.firstPercent, FirstAt: m.firstAt, Percent: m.percent, At: m.progressAt}
		if w := p.workers[m.worker]; w != nil && w.leaves() {
			em.LeavesAt = w.LeavesAt
		}
		r.Members = append(r.Members, em)
	}
	return r
}

// cores returns the processor time that the unit's members which have not ended use, in
// cores, with an accelerator as coresPerGPU.
func (u *unit) cores() float64 {
	need := u.stepSpec().Need
	return float64(u.liveMembers()) * (float64(need.CPU)/1000 + coresPerGPU*float64(need.GPU))
}

// firstToLeave returns the ID of the unit's worker that leaves first.
func (p *Planner) firstToLeave(u *unit) string {
	var first *worker
	for i := range u.members {
		w := p.workers[u.members[i].worker]
		if !u.members[i].ended && w != nil && w.leaves() && (first == nil || w.LeavesAt.Before(first.LeavesAt)) {
			first = w
		}
	}
	if first == nil {
		return ""
	}
	return first.ID
}

// claimRoomElsewhere reports whether a unit that is stopped now could be placed again, and
// adds the room to claimed. The room of its members on workers that stay counts as free.
func (p *Planner) claimRoomElsewhere(u *unit, claimed map[string]yuccapaddle.Need) bool {
	if u.suspect { // it goes where nothing else runs, or waits for that
		return false
	}
	room := u.stepSpec().Room()
	for i := range u.members {
		if m := &u.members[i]; !m.ended {
			claimed[m.worker] = claimed[m.worker].Sub(room)
		}
	}
	since := u.waitingSince
	u.waitingSince = p.now // as it will be once it has stopped
	workers := p.pick(u, claimed, companyTrusted)
	u.waitingSince = since
	if workers == nil {
		for i := range u.members {
			if m := &u.members[i]; !m.ended {
				claimed[m.worker] = claimed[m.worker].Add(room)
			}
		}
		return false
	}
	for _, id := range workers {
		claimed[id] = claimed[id].Add(room)
	}
	return true
}

// noteRunTime learns the run time of a member that is done. Runs that went on from a
// checkpoint are left out, and those of which this host hears for the first time: they may
// have ended long ago.
func (p *Planner) noteRunTime(x assignment) {
	u := x.u
	if u.resumed || u.stepSpec().Endless || u.members[x.member].adopted {
		return
	}
	p.runTimes.Note(u.job.spec.Queue, u.stepIndex, p.now.Sub(u.startedAt))
}
