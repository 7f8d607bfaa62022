package planner

import (
	"cmp"
	"slices"
	"time"

	"yuccapaddle"
)

// claimTime is how long freed room is kept for the unit that it was freed for.
const claimTime = 2 * time.Second

// preempt frees room for an urgent unit by stopping less urgent ones. It reports
// whether the unit was placed, which is never at once.
func (p *Planner) preempt(u *unit) bool {
	if u.job.queue.priority != 0 || u.spec().Spare {
		return false
	}
	reserved := p.reserved()
	var victims []*unit
	extra := map[string]yuccapaddle.Need{}
	for _, v := range p.victims(u) {
		victims = append(victims, v)
		for i := range v.members {
			if !v.members[i].over {
				id := v.members[i].server
				extra[id] = extra[id].Add(v.spec().Need)
			}
		}
		servers := p.pickWith(u, reserved, extra)
		if servers == nil {
			continue
		}
		p.evict(u, servers, victims, reserved)
		return false
	}
	return false
}

// pickWith picks as if the extra room were free.
func (p *Planner) pickWith(u *unit, reserved, extra map[string]yuccapaddle.Need) []string {
	less := make(map[string]yuccapaddle.Need, len(reserved)+len(extra))
	for id, n := range reserved {
		less[id] = n
	}
	for id, n := range extra {
		less[id] = less[id].Sub(n)
	}
	rooms := p.rooms(u, less)
	n := u.width()
	if u.spec().DataRack != "" {
		if list := fill(inRack(rooms, u.spec().DataRack), n); list != nil {
			return list
		}
	}
	if n == 1 {
		return fill(rooms, n)
	}
	if list := oneRack(rooms, n); list != nil || u.spec().OneRack && p.rackCouldHold(u, "") {
		return list
	}
	return fewestRacks(rooms, n)
}

// evict stops those victims that are needed, and claims the room.
func (p *Planner) evict(u *unit, servers []string, victims []*unit, reserved map[string]yuccapaddle.Need) {
	u.claim, u.claimedAt = servers, p.now
	need := map[string]yuccapaddle.Need{}
	for _, id := range servers {
		need[id] = need[id].Add(u.spec().Need)
	}
	lacking := func() map[string]bool {
		short := map[string]bool{}
		for id, n := range need {
			if !n.Fits(p.servers[id].free().Sub(reserved[id]).Add(p.leaving(id))) {
				short[id] = true
			}
		}
		return short
	}
	for _, v := range victims {
		short := lacking()
		if len(short) == 0 {
			break
		}
		if v.touches(short) {
			p.stop(v, "its room is for "+u.job.in.ID)
		}
	}
	p.wakeBy(p.now.Add(claimTime))
}

// leaving is the room that stopped runs will give back on a server.
func (p *Planner) leaving(id string) yuccapaddle.Need {
	var n yuccapaddle.Need
	for _, x := range p.servers[id].runs {
		if x.u.stopping {
			n = n.Add(x.u.spec().Need)
		}
	}
	return n
}

func (u *unit) touches(servers map[string]bool) bool {
	for i := range u.members {
		if !u.members[i].over && servers[u.members[i].server] {
			return true
		}
	}
	return false
}

// victims lists the units that may give way to u: those already being stopped,
// then the least urgent, then those that lose the least work.
func (p *Planner) victims(u *unit) []*unit {
	var list []*unit
	for _, j := range p.jobs {
		for _, v := range j.units {
			if v.state == unitPlaced && v.live() && (v.stopping || p.yields(v, u)) {
				list = append(list, v)
			}
		}
	}
	slices.SortFunc(list, func(a, b *unit) int {
		return cmp.Or(
			compareBool(!a.stopping, !b.stopping),
			cmp.Compare(b.job.queue.priority, a.job.queue.priority),
			cmp.Compare(p.loss(a), p.loss(b)),
			cmp.Compare(a.job.in.ID, b.job.in.ID),
			cmp.Compare(a.step*mostTasks+a.index, b.step*mostTasks+b.index),
		)
	})
	return list
}

const mostTasks = 4096

func (p *Planner) yields(v, u *unit) bool {
	return p.priority(v.job) > u.job.queue.priority
}

// loss is the work that a stop throws away, in milliseconds of a core. An
// accelerator counts as coresPerGPU cores.
func (p *Planner) loss(u *unit) int {
	if u.spec().Saves {
		return 0
	}
	run := int(p.now.Sub(u.placedAt).Milliseconds())
	return run * u.held() * (u.spec().Need.CPU/1000 + coresPerGPU*u.spec().Need.GPU)
}

const coresPerGPU = 8
