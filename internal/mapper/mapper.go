// Package mapper maps workers to their racks, upstreams, failure domains and
// regions, as declared by one revision of the configuration.
package mapper

import "yuccapaddle"

// Mapper holds the declared topology. It is immutable.
type Mapper struct {
	workers    []yuccapaddle.WorkerView
	index      map[string]int    // index in workers, by name
	upstreamOf []string          // by index in workers
	domainOf   map[string]string // by upstream
	regionAt   map[string]string // by address of an upstream
	addressOf  map[string]string // by upstream
	outDomains map[string]bool
	drained    map[string]bool // upstreams and workers
	upstreams  []string
	maxTasks   map[gangSize]int
}

// gangSize identifies a kind of gang by its span and the accelerators of each task.
type gangSize struct {
	span         yuccapaddle.Span
	accelerators int
}

// New builds the topology of a site.
func New(site *yuccapaddle.Site) *Mapper {
	m := &Mapper{
		index:      map[string]int{},
		domainOf:   map[string]string{},
		regionAt:   map[string]string{},
		addressOf:  map[string]string{},
		outDomains: map[string]bool{},
		drained:    map[string]bool{},
		maxTasks:   map[gangSize]int{},
	}
	for _, name := range site.DrainedUpstreams {
		m.drained[name] = true
	}
	for _, name := range site.DrainedWorkers {
		m.drained[name] = true
	}
	for _, d := range site.Domains {
		m.outDomains[d.Name] = d.Out
		for _, u := range d.Upstreams {
			m.addUpstream(d, u)
		}
	}
	m.computeMaxTasks()
	return m
}

func (m *Mapper) addUpstream(d yuccapaddle.Domain, u yuccapaddle.Upstream) {
	m.domainOf[u.Name] = d.Name
	m.regionAt[u.Address] = d.Region
	m.addressOf[u.Name] = u.Address
	m.upstreams = append(m.upstreams, u.Name)
	for _, r := range u.Racks {
		for i := range r.Workers {
			name := r.WorkerName(i)
			m.index[name] = len(m.workers)
			m.workers = append(m.workers, yuccapaddle.WorkerView{
				Name: name, Rack: r.Name, Domain: d.Name, Region: d.Region, Accelerators: r.Accelerators,
			})
			m.upstreamOf = append(m.upstreamOf, u.Name)
		}
	}
}

// Workers returns a copy of all workers, in the order of their declaration.
func (m *Mapper) Workers() []yuccapaddle.WorkerView {
	return append([]yuccapaddle.WorkerView(nil), m.workers...)
}

// Capacity returns the number of accelerators of a worker, 0 if it is not declared.
func (m *Mapper) Capacity(worker string) int {
	if i, ok := m.index[worker]; ok {
		return m.workers[i].Accelerators
	}
	return 0
}

// MaxTasks returns the largest number of tasks with that many accelerators each
// that fits into one empty unit of the span.
func (m *Mapper) MaxTasks(span yuccapaddle.Span, accelerators int) int {
	return m.maxTasks[gangSize{span, accelerators}]
}

// computeMaxTasks fills maxTasks for all spans and task sizes.
func (m *Mapper) computeMaxTasks() {
	for _, span := range []yuccapaddle.Span{yuccapaddle.SpanWorker, yuccapaddle.SpanRack, yuccapaddle.SpanDomain} {
		tasks := map[gangSize]map[string]int{}
		for i := range m.workers {
			w := &m.workers[i]
			unit := w.Unit(span)
			for n := 1; n <= w.Accelerators; n++ {
				key := gangSize{span, n}
				if tasks[key] == nil {
					tasks[key] = map[string]int{}
				}
				tasks[key][unit] += w.Accelerators / n
				m.maxTasks[key] = max(m.maxTasks[key], tasks[key][unit])
			}
		}
	}
}

// Index returns the index in Workers of each worker, by name. The map must not be
// modified.
func (m *Mapper) Index() map[string]int {
	return m.index
}

// Upstreams returns the names of all upstreams, in the order of their declaration.
// The slice must not be modified.
func (m *Mapper) Upstreams() []string {
	return m.upstreams
}

// UpstreamOf returns the upstream of a worker, "" if the worker is not declared.
func (m *Mapper) UpstreamOf(worker string) string {
	if i, ok := m.index[worker]; ok {
		return m.upstreamOf[i]
	}
	return ""
}

// DomainOf returns the failure domain of an upstream, "" if it is not declared.
func (m *Mapper) DomainOf(upstream string) string {
	return m.domainOf[upstream]
}

// RegionAt returns the region of the upstream at an address, "" if none is
// declared there.
func (m *Mapper) RegionAt(address string) string {
	return m.regionAt[address]
}

// AddressOf returns the address of an upstream, "" if it is not declared.
func (m *Mapper) AddressOf(upstream string) string {
	return m.addressOf[upstream]
}

// DomainOut reports whether operators have taken a failure domain out of service. An
// undeclared domain counts as out.
func (m *Mapper) DomainOut(domain string) bool {
	out, ok := m.outDomains[domain]
	return out || !ok
}

// Drained reports whether operators have drained an upstream or a worker.
func (m *Mapper) Drained(name string) bool {
	return m.drained[name]
}

// Accepts reports whether a worker is declared and may get new work: neither it nor
// its upstream is drained, and its failure domain is not out.
func (m *Mapper) Accepts(worker string) bool {
	i, ok := m.index[worker]
	if !ok {
		return false
	}
	return !m.DomainOut(m.workers[i].Domain) && !m.drained[worker] && !m.drained[m.upstreamOf[i]]
}
