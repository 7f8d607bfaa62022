package measures

import (
	"math"

	"yuccapaddle"
)

// shape is a gang whose chances on the free accelerators are looked at.
type shape struct {
	tasks, accelerators int
	span                yuccapaddle.Span
}

// largestGuarantee is the largest shape that the sites of the measures promise.
var largestGuarantee = shape{8, 8, yuccapaddle.SpanRack}

// sample notes the fragmentation: the share of free accelerators that the
// largest waiting gang, or failing that the largest guaranteed shape, cannot
// use; the same for the largest guaranteed shape always; and for the first what
// is left if the same free accelerators lay as well as they can.
func (e *engine) sample() {
	want := largestGuarantee
	for i, w := range e.core.State().Waiting() {
		if r := w.Request; i == 0 || r.Need() > want.tasks*want.accelerators {
			want = shape{r.Tasks, r.Accelerators, r.Span}
		}
	}
	free, usable, whole := e.room(want)
	if free > 0 {
		size := want.tasks * want.accelerators
		best := min(free/size*size, whole)
		_, usableLargest, _ := e.room(largestGuarantee)
		e.frag += 1 - float64(min(usable, free))/float64(free)
		e.fragLargest += 1 - float64(min(usableLargest, free))/float64(free)
		e.fragBest += 1 - float64(best)/float64(free)
		e.fragN++
	}
}

// room counts the free accelerators, those that gangs of the shape can use, and
// those that they could use on an empty site.
func (e *engine) room(want shape) (free, usable, whole int) {
	units, empty := map[string]int{}, map[string]int{}
	for _, d := range e.site.Domains {
		if e.out == d.Name {
			continue
		}
		for _, u := range d.Upstreams {
			for _, r := range u.Racks {
				for i := range r.Workers {
					name := r.WorkerName(i)
					f := r.Accelerators - e.core.State().Used(name)
					unit := yuccapaddle.WorkerView{Name: name, Rack: r.Name, Domain: d.Name}
					free += f
					units[unit.Unit(want.span)] += f / want.accelerators
					empty[unit.Unit(want.span)] += r.Accelerators / want.accelerators
				}
			}
		}
	}
	for name, n := range units {
		usable += n / want.tasks * want.tasks * want.accelerators
		whole += empty[name] / want.tasks * want.tasks * want.accelerators
	}
	return free, usable, whole
}

// mean is the mean of a sum over the samples.
func (e *engine) mean(sum float64) float64 {
	if e.fragN == 0 {
		return math.NaN()
	}
	return sum / float64(e.fragN)
}
