// Package mapper maps workers to their racks, upstreams, failure domains and
// regions, as one revision of the configuration declares them.
package mapper

import "yuccapaddle"

// Mapper is the declared topology. It does not change once built.
type Mapper struct {
	workers   []yuccapaddle.WorkerView
	index     map[string]int
	upstream  []string
	domainOf  map[string]string
	regionOf  map[string]string // by address
	addresses map[string]string
	out       map[string]bool
	drained   map[string]bool
	order     []string
	most      map[roomKey]int
}

// roomKey is a question about the largest gang that the declared capacity takes.
type roomKey struct {
	span         yuccapaddle.Span
	accelerators int
}

// New builds the topology of a site.
func New(site *yuccapaddle.Site) *Mapper {
	m := &Mapper{
		index:     map[string]int{},
		domainOf:  map[string]string{},
		regionOf:  map[string]string{},
		addresses: map[string]string{},
		out:       map[string]bool{},
		drained:   map[string]bool{},
		most:      map[roomKey]int{},
	}
	for _, name := range site.DrainedUpstreams {
		m.drained[name] = true
	}
	for _, name := range site.DrainedWorkers {
		m.drained[name] = true
	}
	for _, d := range site.Domains {
		m.out[d.Name] = d.Out
		for _, u := range d.Upstreams {
			m.addUpstream(d, u)
		}
	}
	m.countRoom()
	return m
}

func (m *Mapper) addUpstream(d yuccapaddle.Domain, u yuccapaddle.Upstream) {
	m.domainOf[u.Name] = d.Name
	m.regionOf[u.Address] = d.Region
	m.addresses[u.Name] = u.Address
	m.order = append(m.order, u.Name)
	for _, r := range u.Racks {
		for i := range r.Workers {
			name := r.WorkerName(i)
			m.index[name] = len(m.workers)
			m.workers = append(m.workers, yuccapaddle.WorkerView{
				Name: name, Rack: r.Name, Domain: d.Name, Region: d.Region, Accelerators: r.Accelerators,
			})
			m.upstream = append(m.upstream, u.Name)
		}
	}
}

// Workers returns a fresh copy of all workers, in order.
func (m *Mapper) Workers() []yuccapaddle.WorkerView {
	return append([]yuccapaddle.WorkerView(nil), m.workers...)
}

// Capacity is the number of accelerators of a worker, 0 if it is not declared.
func (m *Mapper) Capacity(worker string) int {
	if i, ok := m.index[worker]; ok {
		return m.workers[i].Accelerators
	}
	return 0
}

// MostTasks is the largest number of tasks with so many accelerators each that
// any unit of the span takes when it is empty.
func (m *Mapper) MostTasks(span yuccapaddle.Span, accelerators int) int {
	return m.most[roomKey{span, accelerators}]
}

// countRoom finds the largest gang of each size of task.
func (m *Mapper) countRoom() {
	for _, span := range []yuccapaddle.Span{yuccapaddle.SpanWorker, yuccapaddle.SpanRack, yuccapaddle.SpanDomain} {
		room := map[roomKey]map[string]int{}
		for i := range m.workers {
			w := &m.workers[i]
			unit := w.Unit(span)
			for n := 1; n <= w.Accelerators; n++ {
				key := roomKey{span, n}
				if room[key] == nil {
					room[key] = map[string]int{}
				}
				room[key][unit] += w.Accelerators / n
				m.most[key] = max(m.most[key], room[key][unit])
			}
		}
	}
}

// Index maps worker names to positions. It is not to be changed.
func (m *Mapper) Index() map[string]int {
	return m.index
}

// Upstreams returns the names of all upstreams, in order.
func (m *Mapper) Upstreams() []string {
	return m.order
}

// UpstreamOf returns the upstream that runs a worker, "" if it is not declared.
func (m *Mapper) UpstreamOf(worker string) string {
	if i, ok := m.index[worker]; ok {
		return m.upstream[i]
	}
	return ""
}

// DomainOf returns the failure domain of an upstream.
func (m *Mapper) DomainOf(upstream string) string {
	return m.domainOf[upstream]
}

// RegionAt returns the region of the upstream at an address, "" if none is
// declared there.
func (m *Mapper) RegionAt(address string) string {
	return m.regionOf[address]
}

// AddressOf returns the address of an upstream.
func (m *Mapper) AddressOf(upstream string) string {
	return m.addresses[upstream]
}

// Out reports whether operators have taken a failure domain out. A domain that
// is not declared is out.
func (m *Mapper) Out(domain string) bool {
	out, ok := m.out[domain]
	return out || !ok
}

// Drained reports whether operators have drained an upstream or a worker.
func (m *Mapper) Drained(name string) bool {
	return m.drained[name]
}

// Accepts reports whether operators let a worker take new work.
func (m *Mapper) Accepts(worker string) bool {
	i, ok := m.index[worker]
	if !ok {
		return false
	}
	return !m.Out(m.workers[i].Domain) && !m.drained[worker] && !m.drained[m.upstream[i]]
}
