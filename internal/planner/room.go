package planner

import (
	"slices"
	"strings"
	"time"

	"yuccapaddle"
)

// What a registration says of the capacity may be the word of another writer, under the ID and
// start time of a sound worker. The worker's next registration replaces it, so what stands for
// longer than a heartbeat is the worker's own. A capacity that shrinks counts at once, and one
// that grows once every read has shown it for that long.

// registrationSlack is how much later than a heartbeat the worker's next registration may be.
const registrationSlack = 500 * time.Millisecond

// room is the capacity of a worker that counts, in one of its incarnations.
type room struct {
	begun            bool // there has been a registration
	incarnation      int64
	cpu, memory, gpu roomValue
}

// roomValue is the part of one resource that counts.
type roomValue struct {
	counted int
	// pending is the least of the higher values that have been registered since the first of
	// them was read. It counts if it stands in a read that is sent at pendingUntil or later,
	// the zero time if no value is higher.
	pending      int
	pendingUntil time.Time
}

// formerCapacity is the capacity of an incarnation of a worker that counted at former hosts when
// they placed the runs that are in the records, the least one of each resource.
type formerCapacity struct {
	incarnation int64
	capacity    yuccapaddle.Need // zero if unknown
}

// note records the capacity that counted for an incarnation when a run was placed.
func (f *formerCapacity) note(incarnation int64, capacity yuccapaddle.Need) {
	switch {
	case capacity == yuccapaddle.Need{} || incarnation < f.incarnation:
	case incarnation > f.incarnation:
		*f = formerCapacity{incarnation, capacity}
	default:
		f.capacity = lower(f.capacity, capacity)
	}
}

// limit returns the lower of a capacity and the former one of the same incarnation.
func (f *formerCapacity) limit(incarnation int64, capacity yuccapaddle.Need) yuccapaddle.Need {
	if f.incarnation != incarnation || f.capacity == (yuccapaddle.Need{}) {
		return capacity
	}
	return lower(capacity, f.capacity)
}

// newRoom returns a room of which the capacity counts.
func newRoom(incarnation int64, capacity yuccapaddle.Need) room {
	return room{
		begun: true, incarnation: incarnation,
		cpu: roomValue{counted: capacity.CPU}, memory: roomValue{counted: capacity.Memory}, gpu: roomValue{counted: capacity.GPU},
	}
}

// counted returns the capacity that counts.
func (r *room) counted() yuccapaddle.Need {
	return yuccapaddle.Need{CPU: r.cpu.counted, Memory: r.memory.counted, GPU: r.gpu.counted}
}

// note updates the room from a read of the registration that was sent at sentAt. A value that
// is higher for the first time counts in reads sent at pendingUntil or later.
func (r *room) note(capacity yuccapaddle.Need, sentAt, pendingUntil time.Time) {
	r.cpu.note(capacity.CPU, sentAt, pendingUntil)
	r.memory.note(capacity.Memory, sentAt, pendingUntil)
	r.gpu.note(capacity.GPU, sentAt, pendingUntil)
}

// dropPending forgets the higher values, after a read that did not show them.
func (r *room) dropPending() {
	for _, v := range []*roomValue{&r.cpu, &r.memory, &r.gpu} {
		*v = roomValue{counted: v.counted}
	}
}

func (v *roomValue) note(registered int, sentAt, pendingUntil time.Time) {
	if registered <= v.counted {
		*v = roomValue{counted: registered}
		return
	}
	if v.pendingUntil.IsZero() {
		v.pending, v.pendingUntil = registered, pendingUntil
		return
	}
	v.pending = min(v.pending, registered)
	if sentAt.Before(v.pendingUntil) {
		return
	}
	*v = roomValue{counted: v.pending}
	if registered > v.counted {
		v.pending, v.pendingUntil = registered, pendingUntil
	}
}

// capacity returns the capacity that counts for the worker. Of an incarnation as which the
// worker has not answered it is the registered one: nothing is placed there before it has.
func (w *worker) capacity() yuccapaddle.Need {
	if w.room.incarnation != w.Incarnation {
		return w.Capacity
	}
	return w.room.counted()
}

// growing reports whether the worker registers more than counts. Others are preferred, since
// that may be the word of another writer.
func (w *worker) growing() bool {
	return !w.Capacity.Fits(w.capacity())
}

// certainCapacity is like capacity, but for an incarnation as which the worker has not answered
// it is not above what counted before.
func (w *worker) certainCapacity() yuccapaddle.Need {
	return lower(w.room.counted(), w.Capacity)
}

// lower returns the lower value of each resource.
func lower(a, b yuccapaddle.Need) yuccapaddle.Need {
	return yuccapaddle.Need{CPU: min(a.CPU, b.CPU), Memory: min(a.Memory, b.Memory), GPU: min(a.GPU, b.GPU)}
}

// higher returns the higher value of each resource.
func higher(a, b yuccapaddle.Need) yuccapaddle.Need {
	return yuccapaddle.Need{CPU: max(a.CPU, b.CPU), Memory: max(a.Memory, b.Memory), GPU: max(a.GPU, b.GPU)}
}

// updateRoom updates the capacity that counts for a worker from its latest registration, whose
// read was sent at sentAt.
func (p *Planner) updateRoom(w *worker, sentAt time.Time) {
	before := w.capacity()
	switch {
	case p.limits.Heartbeat == 0 || !w.room.begun || w.room.incarnation != w.Incarnation && p.proven(w):
		p.beginRoom(w)
	case w.room.incarnation != w.Incarnation:
		w.room.dropPending()
	default:
		w.room.note(w.Capacity, sentAt, p.pendingUntil())
		w.highestCapacity = higher(w.highestCapacity, w.room.counted())
	}
	if after := w.capacity(); after != before {
		p.changed = true
		p.noteGrowth(w, before)
	}
}

// pendingUntil returns the time from which on a read shows only what a worker itself registers
// again, in place of what was read by now.
func (p *Planner) pendingUntil() time.Time {
	return p.now.Add(p.limits.Heartbeat + registrationSlack)
}

// beginRoom begins the room of a worker's incarnation anew. There is no earlier registration
// to compare with, so the capacity counts up to what is usual among the worker's peers, and to
// what counted at former hosts.
func (p *Planner) beginRoom(w *worker) {
	limit := w.Capacity
	if p.limits.Heartbeat != 0 {
		limit = w.former.limit(w.Incarnation, p.usualCapacity(w))
	}
	if w.room.incarnation != w.Incarnation {
		w.highestCapacity = yuccapaddle.Need{}
	}
	w.room = newRoom(w.Incarnation, lower(w.Capacity, limit))
	w.room.note(w.Capacity, p.now, p.pendingUntil())
	w.highestCapacity = higher(w.highestCapacity, w.room.counted())
}

// noteGrowth logs that a capacity which was registered before counts from now on.
func (p *Planner) noteGrowth(w *worker, before yuccapaddle.Need) {
	if after := w.capacity(); p.limits.Heartbeat != 0 && !after.Fits(before) {
		p.addDecision(yuccapaddle.Decision{Event: "worker grown", Worker: w.ID, Detail: describeNeed(after) + ", before " + describeNeed(before)})
	}
}

// peers are the workers of one service whose labels are the same but for the rack.
type peers struct {
	service, labels string
}

func (w *worker) peers() peers {
	labels := slices.DeleteFunc(slices.Clone(w.Labels), func(l string) bool { return l == w.Rack })
	return peers{w.Service, strings.Join(labels, "\x00")}
}

// usualCapacity returns the median of what a worker and its peers register, of each resource.
// Of an even number it is the lower one, so that of two workers none counts above the other.
func (p *Planner) usualCapacity(w *worker) yuccapaddle.Need {
	if p.usualCapacities == nil {
		p.usualCapacities = p.medianCapacities()
	}
	return p.usualCapacities[w.peers()]
}

func (p *Planner) medianCapacities() map[peers]yuccapaddle.Need {
	registered := map[peers][]yuccapaddle.Need{}
	for _, w := range p.workers {
		if w.registered {
			registered[w.peers()] = append(registered[w.peers()], w.Capacity)
		}
	}
	medians := make(map[peers]yuccapaddle.Need, len(registered))
	for key, list := range registered {
		medians[key] = yuccapaddle.Need{
			CPU:    median(list, func(n yuccapaddle.Need) int { return n.CPU }),
			Memory: median(list, func(n yuccapaddle.Need) int { return n.Memory }),
			GPU:    median(list, func(n yuccapaddle.Need) int { return n.GPU }),
		}
	}
	return medians
}

// median returns the lower median of one resource.
func median(list []yuccapaddle.Need, of func(yuccapaddle.Need) int) int {
	values := make([]int, len(list))
	for i, n := range list {
		values[i] = of(n)
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
