package yuccapaddle

import "time"

// WorkerView is a worker as a policy sees it. Usable is false while the worker is
// out of service, drained, leaving, quarantined or not answering.
type WorkerView struct {
	Name         string
	Rack         string
	Domain       string
	Region       string
	Accelerators int
	// Free is the number of accelerators that are neither in use nor claimed;
	// FreeLater adds those that gangs being evicted still use.
	Free      int
	FreeLater int
	Usable    bool
}

// Unit returns the name of the worker, rack or failure domain, as the span says,
// that the worker belongs to.
func (w *WorkerView) Unit(span Span) string {
	switch span {
	case SpanWorker:
		return w.Name
	case SpanRack:
		return w.Domain + "/" + w.Rack
	}
	return w.Domain
}

// Waiting is a request in the queue. Avoid holds the workers on which it has
// failed lately.
type Waiting struct {
	Request  *Request
	Attempt  int
	Since    time.Time
	Attained float64 // accelerator-seconds already received
	Avoid    map[string]bool
}

// Cell is a number of accelerators of one worker.
type Cell struct {
	Worker       string `json:"worker"`
	Accelerators int    `json:"accelerators"`
}

// Home is one guaranteed shape of a workspace, assigned to specific cells. Homes
// never overlap, so that the owner can always reclaim its cells by evicting the
// gangs that borrow them.
type Home struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Domain    string `json:"domain"`
	Span      Span   `json:"span"`
	Cells     []Cell `json:"cells"`
}

// View is the input of a policy, which must not modify it. Workers are ordered by
// domain, rack and index; Index maps a worker's name to its position.
type View struct {
	Now     time.Time
	Site    *Site
	Workers []WorkerView
	Index   map[string]int
	Homes   []Home
	Waiting []Waiting
	Gangs   map[string]*Gang
	// Request returns the request of a gang.
	Request func(key string) *Request
	// LostWork returns the work that evicting a gang would lose, in
	// accelerator-seconds.
	LostWork func(g *Gang) float64
	// Movable reports whether a gang may be asked to move to other workers; nil if
	// no gang may be asked now.
	Movable func(g *Gang) bool
}

// Placement assigns a request to workers, after the eviction of the victims. Claim
// is true if the accelerators are not free yet. Moves are gangs that are asked to
// checkpoint and to move to other workers; if one cannot, it stays and the
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

// Plan is the result of a policy.
type Plan struct {
	Placements []Placement
}

// Policy decides placements. Plan is a pure function of the view.
type Policy interface {
	Name() string
	Plan(v *View) Plan
}
