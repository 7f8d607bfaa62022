package yuccapaddle

import "strings"

// Queue is an operators' rule on jobs: callers reach it by Domain and Prefix.
type Queue struct {
	Name     string
	Domain   string
	Prefix   string
	Service  string
	Priority int
	Attempts int
	// TimeoutMS is the longest time for an answer, in milliseconds; 0 for none.
	TimeoutMS int
	// ObjectiveMS and Stretch give the time in which a job should be done:
	// Stretch times its longest chain of work and ObjectiveMS more.
	ObjectiveMS int
	Stretch     float64
	// Public queues need no key.
	Public bool
	// Advised queues start tasks only with a ticket of the advice service.
	Advised bool
}

// Wave is the operators' order to service machines, at most Most at once and all
// within DurationS seconds.
type Wave struct {
	Number    int64
	Machines  []string
	DurationS float64
	Most      int
}

// Tenant is a workspace as the operators' rules know it: its keys and the
// number of accelerators that are its own for urgent jobs.
type Tenant struct {
	Name       string
	Keys       []string
	Guaranteed int
}

// Rules are the operators' rules in force. They are not changed once built.
// Version is that of the configuration, Revision that of the store's read.
type Rules struct {
	Version  int64
	Revision uint64
	// Digest tells apart rules that differ.
	Digest  uint64
	Queues  []Queue
	Tenants []Tenant
	// Guards holds the services whose servers refuse what does not fit.
	Guards map[string]bool
	// Closed holds the zones in which nothing may be started.
	Closed map[string]bool
	Waves  []Wave
	byKey  map[string]*Tenant
	byName map[string]*Queue
}

// Index prepares the look-ups, and returns the rules.
func (r *Rules) Index() *Rules {
	r.byKey = map[string]*Tenant{}
	r.byName = map[string]*Queue{}
	for i := range r.Tenants {
		for _, k := range r.Tenants[i].Keys {
			r.byKey[k] = &r.Tenants[i]
		}
	}
	for i := range r.Queues {
		r.byName[r.Queues[i].Name] = &r.Queues[i]
	}
	return r
}

// Queue returns the queue with the name, nil if there is none.
func (r *Rules) Queue(name string) *Queue {
	return r.byName[name]
}

// Holder returns the tenant with the key, nil if there is none.
func (r *Rules) Holder(key string) *Tenant {
	return r.byKey[key]
}

// Tenant returns the tenant with the name, nil if there is none.
func (r *Rules) Tenant(name string) *Tenant {
	for i := range r.Tenants {
		if r.Tenants[i].Name == name {
			return &r.Tenants[i]
		}
	}
	return nil
}

// Match returns the queue with the longest prefix of the path, nil if no queue
// of the domain has one.
func (r *Rules) Match(domain, path string) *Queue {
	var best *Queue
	for i := range r.Queues {
		q := &r.Queues[i]
		if q.Domain != domain || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if best == nil || len(q.Prefix) > len(best.Prefix) {
			best = q
		}
	}
	return best
}
