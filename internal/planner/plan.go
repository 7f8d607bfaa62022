package planner

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"yuccapaddle"
)

// Times of the plan.
const (
	// stillTime is how long a run may show no progress before it is moved.
	stillTime = 3500 * time.Millisecond
	// tickEvery is the time between two looks at what time alone changes.
	tickEvery = 100 * time.Millisecond
)

// Plan lets time pass and places what can be placed.
func (p *Planner) Plan() {
	if !p.wakeAt.IsZero() && !p.now.Before(p.wakeAt) {
		p.wakeAt = time.Time{}
		p.changed = true
	}
	if !p.now.Before(p.tickAt) {
		p.tick()
	}
	if !p.changed {
		return
	}
	p.changed = false
	p.observeUrgent()
	p.place()
}

// tick looks at what time alone changes.
func (p *Planner) tick() {
	for _, j := range p.jobs {
		if !j.state.Final() && j.opened < j.in.Occurrences() {
			p.open(j)
		}
		if j.busy() {
			p.watch(j)
		}
	}
	p.forget()
	p.tickAt = p.now.Add(tickEvery)
	p.wakeBy(p.tickAt)
}

// watch repeats stops that have had no effect, and moves runs that stand still.
func (p *Planner) watch(j *job) {
	for _, u := range j.units {
		switch {
		case !u.live():
		case u.stopping:
			if p.now.Sub(u.stopAt) > stopAgain {
				p.stop(u, "the stop has had no effect yet")
			}
		case u.state == unitPlaced && !u.spec().Endless && !u.job.in.Once:
			p.moveStill(u)
		}
	}
}

// moveStill stops a unit of which a task shows no progress.
func (p *Planner) moveStill(u *unit) {
	for i := range u.members {
		m := &u.members[i]
		if m.over || !m.seen || m.percent >= 100 || p.now.Sub(m.movedAt) < stillTime {
			continue
		}
		s := p.worker(m.worker)
		if s.silent {
			continue
		}
		p.strike(s)
		p.avoid(u, m.worker)
		p.stop(u, "task "+u.taskID(i).String()+" stands still")
		return
	}
}

// place goes through the waiting units in order. Single tasks of a step that stand
// together are placed together: they ask for the same.
func (p *Planner) place() {
	p.needed = nil
	stuck := map[stepKey]bool{}
	list := p.waiting()
	for i := 0; i < len(list); {
		u := list[i]
		n := alike(list[i:])
		i += n
		if u.job.state.Final() || p.exhaust(u) {
			continue
		}
		if n > 1 {
			p.placeAlike(list[i-n : i])
			continue
		}
		if stuck[u.key()] && len(u.avoid) == 0 {
			continue
		}
		if !p.tryPlace(u) {
			stuck[u.key()] = true
			p.noteWait(u)
		}
	}
}

// alike is how many units at the head of a list are single tasks of one step that
// may go to the same workers, at least 1.
func alike(list []*unit) int {
	plain := func(u *unit) bool {
		return !u.spec().Gang && len(u.avoid) == 0 && u.claim == nil && u.fails == 0 && u.job.priority != 0
	}
	n := 0
	for n < len(list) && plain(list[n]) && list[n].key() == list[0].key() {
		n++
	}
	return max(n, 1)
}

func (p *Planner) placeAlike(list []*unit) {
	workers := p.pickSome(list[0], len(list), p.reserved())
	for i, id := range workers {
		p.assign(list[i], []string{id})
	}
	if len(workers) < len(list) {
		p.ask(list[len(workers)])
		p.noteWait(list[len(workers)])
	}
}

func (u *unit) key() stepKey {
	return stepKey{u.job.in.ID, u.occurrence, u.step}
}

// noteWait says once for each time that a unit waits what it waits for.
func (p *Planner) noteWait(u *unit) {
	if u.waitNoted {
		return
	}
	u.waitNoted = true
	p.note(yuccapaddle.Note{
		Event: "waits", Job: u.job.in.ID, Task: u.taskID(0).String(), Run: u.run, Detail: p.lacks(u),
	})
}

type stepKey struct {
	job        string
	occurrence int
	step       int
}

// waiting lists the units whose turn has come: by priority, urgent first within
// the share of their workspace, then by the age of the job.
func (p *Planner) waiting() []*unit {
	var list []*unit
	for _, j := range p.jobs {
		if j.state.Final() {
			continue
		}
		j.priority = p.priority(j)
		for _, u := range j.units {
			if u.state == unitWaiting && u.ready() {
				list = append(list, u)
			}
		}
	}
	slices.SortFunc(list, func(a, b *unit) int {
		return cmp.Or(
			cmp.Compare(a.job.priority, b.job.priority),
			cmp.Compare(a.job.in.Accepted, b.job.in.Accepted),
			cmp.Compare(a.job.in.ID, b.job.in.ID),
			cmp.Compare(a.occurrence, b.occurrence),
			cmp.Compare(a.step, b.step),
			cmp.Compare(a.index, b.index),
		)
	})
	return list
}

// lowest is the priority of jobs whose queue is not known any more.
const lowest = 100

func (p *Planner) priority(j *job) int {
	if q := p.rules.Queue(j.in.Queue); q != nil {
		return q.Priority
	}
	return lowest
}

// service names the workers that run a job, and whether that is known.
func (p *Planner) service(j *job) string {
	if q := p.rules.Queue(j.in.Queue); q != nil {
		j.in.Service = q.Service
	}
	return j.in.Service
}

// tryPlace places a unit if there is room, and frees room for it if it may.
func (p *Planner) tryPlace(u *unit) bool {
	if u.claim != nil {
		return p.tryClaimed(u)
	}
	workers := p.pick(u, p.reserved())
	if workers == nil {
		p.ask(u)
		return p.preempt(u)
	}
	p.assign(u, workers)
	return true
}

// tryClaimed places a unit on the workers on which room was freed for it.
func (p *Planner) tryClaimed(u *unit) bool {
	taken := map[string]yuccapaddle.Need{}
	for _, id := range u.claim {
		s := p.workers[id]
		if s == nil || !p.usable(s) {
			u.claim = nil
			return p.tryPlace(u)
		}
		taken[id] = taken[id].Add(u.spec().Room())
		if !taken[id].Fits(s.free()) {
			if p.now.Sub(u.claimedAt) > claimTime {
				u.claim = nil
				return p.tryPlace(u)
			}
			return false
		}
	}
	workers := u.claim
	u.claim = nil
	p.assign(u, workers)
	return true
}

// reserved is the room on each worker that waits for claims.
func (p *Planner) reserved() map[string]yuccapaddle.Need {
	held := map[string]yuccapaddle.Need{}
	for u := range p.claims {
		if u.claim == nil || u.job.state.Final() {
			delete(p.claims, u)
			continue
		}
		for _, id := range u.claim {
			held[id] = held[id].Add(u.spec().Room())
		}
	}
	return held
}

// assign starts a new run of a unit.
func (p *Planner) assign(u *unit, workers []string) {
	u.run++
	u.state, u.stopping, u.failed = unitPlaced, false, false
	u.placedAt = p.now
	u.waitNoted = false
	u.members = make([]member, len(workers))
	for i, id := range workers {
		s := p.workers[id]
		u.members[i] = member{worker: id, movedAt: p.now, pace: fullPace}
		s.add(u, i)
		p.batch.Starts = append(p.batch.Starts, p.start(u, id, i))
		p.note(yuccapaddle.Note{
			Event: "placed", Job: u.job.in.ID, Task: u.taskID(i).String(), Worker: id, Run: u.run,
			Detail: "waited " + strconv.FormatInt(p.now.Sub(u.waitsFrom).Milliseconds(), 10) + " ms",
		})
	}
	p.touchUnit(u)
}

func itoa(n int) string { return strconv.Itoa(n) }
