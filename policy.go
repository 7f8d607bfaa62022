package yuccapaddle

import "time"

// WorkerView is what a policy sees of a worker. Usable is false while the
// worker is out, drained, leaving, quarantined or silent.
type WorkerView struct {
	Name         string
	Rack         string
	Domain       string
	Region       string
	Accelerators int
	// Free is what nobody holds or has claimed; Later adds what gangs that are
	// being evicted still hold.
	Free   int
	Later  int
	Usable bool
}

// Unit names the group of workers within a span that the worker belongs to.
func (w *WorkerView) Unit(span Span) string {
	switch span {
	case SpanWorker:
		return w.Name
	case SpanRack:
		return w.Domain + "/" + w.Rack
	}
	return w.Domain
}

// Waiting is a request in the queue.
type Waiting struct {
	Request  *Request
	Attempt  int
	Since    time.Time
	Attained float64 // accelerator-seconds already received
	Avoid    map[string]bool
}

// Cell is a share of one worker.
type Cell struct {
	Worker       string `json:"worker"`
	Accelerators int    `json:"accelerators"`
}

// Home is one guaranteed shape of a workspace, bound to concrete cells. Homes
// never overlap, so that the owner can always have its cells back by evicting
// whoever borrows them.
type Home struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Domain    string `json:"domain"`
	Span      Span   `json:"span"`
	Cells     []Cell `json:"cells"`
}

// View is the input of a policy. Workers are ordered by domain, rack and
// index. A policy does not change the view.
type View struct {
	Now     time.Time
	Site    *Site
	Workers []WorkerView
	Index   map[string]int
	Homes   []Home
	Waiting []Waiting
	Gangs   map[string]*Gang
	// Request finds the request of a gang.
	Request func(key string) *Request
	// Lost is the work that the eviction of a gang would lose, in
	// accelerator-seconds.
	Lost func(g *Gang) float64
	// Movable reports whether a gang may be asked to go on elsewhere; nil if none
	// is to be asked now.
	Movable func(g *Gang) bool
}

// Placement puts a request on workers once the victims have gone. Claim is
// true if the accelerators are not free yet. Moves are gangs that are asked to
// save their work and to go on elsewhere; one that cannot stays, and the
// placement is given up.
type Placement struct {
	Key     string
	Domain  string
	Members []Member
	Home    string
	Claim   bool
	Victims []string
	Moves   []string
}

// Plan is what a policy wants now.
type Plan struct {
	Placements []Placement
}

// Policy decides placements. It is pure: the same view gives the same plan.
type Policy interface {
	Name() string
	Plan(v *View) Plan
}
