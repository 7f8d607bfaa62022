package measures

import (
	"math"

	"yuccapaddle"
)

// gangShape is the shape of a gang for which free accelerators are counted.
type gangShape struct {
	tasks, accelerators int
	span                yuccapaddle.Span
}

// largestGuarantee is the largest shape that gridSite guarantees.
var largestGuarantee = gangShape{8, 8, yuccapaddle.SpanRack}

// sample adds a sample of the fragmentation, the share of free accelerators that
// a shape cannot use: for the largest waiting gang, or the largest guaranteed
// shape if none waits; always for the largest guaranteed shape; and for the first
// of these with the best distribution of as many free accelerators.
func (sim *simulation) sample() {
	shape := largestGuarantee
	for i, w := range sim.sched.State().Waiting() {
		if r := w.Request; i == 0 || r.Need() > shape.tasks*shape.accelerators {
			shape = gangShape{r.Tasks, r.Accelerators, r.Span}
		}
	}
	free, usable, usableOnEmpty := sim.countFree(shape)
	if free > 0 {
		size := shape.tasks * shape.accelerators
		best := min(free/size*size, usableOnEmpty)
		_, usableLargest, _ := sim.countFree(largestGuarantee)
		sim.fragSum += 1 - float64(min(usable, free))/float64(free)
		sim.fragLargestSum += 1 - float64(min(usableLargest, free))/float64(free)
		sim.fragBestSum += 1 - float64(best)/float64(free)
		sim.fragSamples++
	}
}

// countFree counts the free accelerators, those that gangs of the shape can use, and
// those that they could use on an empty site.
func (sim *simulation) countFree(shape gangShape) (free, usable, usableOnEmpty int) {
	gangsByUnit, gangsByEmptyUnit := map[string]int{}, map[string]int{}
	for _, d := range sim.site.Domains {
		if sim.outDomain == d.Name {
			continue
		}
		for _, u := range d.Upstreams {
			for _, r := range u.Racks {
				for i := range r.Workers {
					name := r.WorkerName(i)
					f := r.Accelerators - sim.sched.State().Used(name)
					unit := yuccapaddle.WorkerView{Name: name, Rack: r.Name, Domain: d.Name}
					free += f
					gangsByUnit[unit.Unit(shape.span)] += f / shape.accelerators
					gangsByEmptyUnit[unit.Unit(shape.span)] += r.Accelerators / shape.accelerators
				}
			}
		}
	}
	for name, n := range gangsByUnit {
		usable += n / shape.tasks * shape.tasks * shape.accelerators
		usableOnEmpty += gangsByEmptyUnit[name] / shape.tasks * shape.tasks * shape.accelerators
	}
	return free, usable, usableOnEmpty
}

// meanOverSamples divides a sum by the number of samples, NaN if there are none.
func (sim *simulation) meanOverSamples(sum float64) float64 {
	if sim.fragSamples == 0 {
		return math.NaN()
	}
	return sum / float64(sim.fragSamples)
}
