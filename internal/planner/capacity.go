package planner

import "yuccapaddle"

// Load pattern: the capacity of a worker shrinks and grows while it runs. Nothing is
// stopped for that alone (docs/DESIGN.md), so a worker may be over its capacity; it gets no
// new runs until it is within it again.

// overCapacity reports whether the runs that may be in progress on the worker need more
// than its capacity.
func (w *worker) overCapacity() bool {
	return !w.used.Fits(w.capacity())
}

// highest returns the most of each resource that has counted in the worker's present
// incarnation.
func (w *worker) highest() yuccapaddle.Need { return w.highestCapacity }

// capacityChange says for the log how the worker's next registration changes its capacity, ""
// if it does not or is its first one.
func (w *worker) capacityChange(reg *yuccapaddle.Worker) string {
	if !w.registered || w.Capacity == reg.Capacity {
		return ""
	}
	change := " capacity " + describeNeed(reg.Capacity) + ", before " + describeNeed(w.Capacity)
	if !w.used.Fits(reg.Capacity) {
		change += ", " + stateOverCapacity
	}
	return change
}

// stateOverCapacity is the state of a worker that is over its capacity, for operators.
const stateOverCapacity = "over capacity"

func describeNeed(n yuccapaddle.Need) string {
	return itoa(n.CPU) + " cpu, " + itoa(n.Memory) + " MB, " + itoa(n.GPU) + " gpu"
}

// freeOnceStopped returns the capacity that no run holds once those that are being stopped
// have ended.
func (w *worker) freeOnceStopped() yuccapaddle.Need {
	free := w.free()
	for _, x := range w.runs {
		if x.u.stopping {
			free = free.Add(x.u.stepSpec().Room())
		}
	}
	return free
}

// fitsCapacity reports whether the start of an assignment on the worker keeps within the
// capacities that are known now. For a gang it does only if the starts that the other
// members may still need do as well.
func (p *Planner) fitsCapacity(w *worker, x assignment) bool {
	if !w.holds(x.u) {
		return false
	}
	for i := range x.u.members {
		m := &x.u.members[i]
		if m.mayNeedStart() && !p.worker(m.worker).holds(x.u) {
			return false
		}
	}
	return true
}

// mayNeedStart reports whether a start of the member may still have to be sent: it has not
// been, or not by this host, or is sent again.
func (m *member) mayNeedStart() bool {
	return !m.ended && !m.confirmed && (m.unsent || m.adopted || m.resends > 0)
}

// holds reports whether the worker has the capacity for the unit's members there beside
// the runs that may be in progress. Other runs whose start has not been sent do not count.
func (w *worker) holds(u *unit) bool {
	capacity := w.certainCapacity()
	if w.used.Fits(capacity) {
		return true
	}
	occupied := yuccapaddle.Need{}
	for _, x := range w.runs {
		if x.u == u || !x.u.members[x.member].unsent {
			occupied = occupied.Add(x.u.stepSpec().Room())
		}
	}
	return occupied.Fits(capacity)
}

// NoteStartSent records that a start is sent now: from then on the run may be in progress.
func (p *Planner) NoteStartSent(st *yuccapaddle.RunStart) {
	w := p.worker(st.Worker)
	if x, ok := w.runs[st.Task]; ok && x.u.run == st.Run {
		m := &x.u.members[x.member]
		m.noteSent(p.now)
		m.noteStartAddress(w.Address)
		x.u.startedAt = p.now
	}
}

// refusalDetail says why a start was refused, and for one that this host has not sent whether
// that was for want of capacity.
func (p *Planner) refusalDetail(w *worker, x assignment, reason yuccapaddle.Refusal) string {
	if reason == yuccapaddle.RefusedUnsent && !p.fitsCapacity(w, x) {
		return string(reason) + ": " + stateOverCapacity
	}
	return string(reason)
}
