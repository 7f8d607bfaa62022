package yuccapaddle

import "strings"

// Queue is an operator-defined queue of jobs. A caller's HTTP request is routed to
// it by Authority and path Prefix.
type Queue struct {
	Name      string
	Authority string // the Host header
	Prefix    string
	Service   string
	Priority  int
	Attempts  int
	// TimeoutMS is the maximum time to answer, in milliseconds; 0 for no limit.
	TimeoutMS int
	// ObjectiveMS and Stretch set the target completion time of a job: Stretch
	// times the critical path of its work plus ObjectiveMS milliseconds.
	ObjectiveMS int
	Stretch     float64
	// Public means that callers need no key.
	Public bool
	// Advised means that tasks start only with a ticket of the advice service.
	Advised bool
}

// Terms are what a queue gives to its jobs. Each field is as in Queue.
type Terms struct {
	Priority    int     `json:"priority,omitempty"`
	Attempts    int     `json:"attempts,omitempty"`
	ObjectiveMS int     `json:"objective,omitempty"`
	Stretch     float64 `json:"stretch,omitempty"`
	Advised     bool    `json:"advised,omitempty"`
}

// LowestPriority is that of jobs whose queue the rules do not name and which keep no terms.
const LowestPriority = 100

// Terms returns the terms of the queue's jobs.
func (q *Queue) Terms() Terms {
	return Terms{Priority: q.Priority, Attempts: q.Attempts, ObjectiveMS: q.ObjectiveMS, Stretch: q.Stretch, Advised: q.Advised}
}

// Wave is the operators' order to maintain a set of machines, at most MaxDown at
// a time and all within DurationS seconds.
type Wave struct {
	Number    int64
	Machines  []string
	DurationS float64
	MaxDown   int
}

// WorkspaceGrant is a workspace in the operators' rules: its API keys, and the
// number of accelerators that are guaranteed to its urgent jobs.
type WorkspaceGrant struct {
	Name       string
	Keys       []string
	Guaranteed int
	// Weight is its share of a full cluster in proportion to the weights of the others,
	// 0 if the operators gave it none.
	Weight int
	// Quota is the most that its tasks may hold on all workers together; 0 in a resource
	// means no limit.
	Quota Need
}

// Rules are the operators' rules in force. They are immutable once built. Version
// is the version of the configuration, and Revision the store revision at which
// it was read.
type Rules struct {
	Version  int64
	Revision uint64
	// Digest is a hash of the rules' content, to detect a change.
	Digest     uint64
	Queues     []Queue
	Workspaces []WorkspaceGrant
	// Closed holds the failure domains in which no task may be started.
	Closed map[string]bool
	Waves  []Wave
	// Unreadable names the parts of the rules that could not be decoded and are left out.
	Unreadable     []string
	workspaceByKey map[string]*WorkspaceGrant
	queueByName    map[string]*Queue
	queueByAddress map[queueAddress]*Queue
}

// queueAddress is what callers address a queue by.
type queueAddress struct{ authority, prefix string }

// Index builds the indexes that Queue, QueueAt and WorkspaceByKey use, and returns r.
func (r *Rules) Index() *Rules {
	r.workspaceByKey = map[string]*WorkspaceGrant{}
	r.queueByName = map[string]*Queue{}
	r.queueByAddress = map[queueAddress]*Queue{}
	for i := range r.Workspaces {
		for _, k := range r.Workspaces[i].Keys {
			r.workspaceByKey[k] = &r.Workspaces[i]
		}
	}
	for i := range r.Queues {
		q := &r.Queues[i]
		r.queueByName[q.Name] = q
		address := queueAddress{q.Authority, q.Prefix}
		if r.queueByAddress[address] == nil { // of two, Match returns the first
			r.queueByAddress[address] = q
		}
	}
	return r
}

// Queue returns the queue with the name, nil if there is none.
func (r *Rules) Queue(name string) *Queue {
	return r.queueByName[name]
}

// QueueAt returns the queue with exactly that authority and prefix, nil if there is none.
func (r *Rules) QueueAt(authority, prefix string) *Queue {
	return r.queueByAddress[queueAddress{authority, prefix}]
}

// QueueOf returns the queue of an accepted job, nil if there is none any more: the one of that
// name, which may have been moved, or the one in its place, which has another name.
func (r *Rules) QueueOf(j *Job) *Queue {
	if q := r.Queue(j.Queue); q != nil {
		return q
	}
	if j.Origin == nil {
		return nil
	}
	return r.QueueAt(j.Origin.Authority, j.Origin.Prefix)
}

// TermsOf returns the terms of an accepted job: those of the queue of that name, or else those
// that the job keeps. Without either, ok is false and the terms have LowestPriority and no
// limits.
func (r *Rules) TermsOf(j *Job) (terms Terms, ok bool) {
	if q := r.Queue(j.Queue); q != nil {
		return q.Terms(), true
	}
	if j.Terms != nil {
		return *j.Terms, true
	}
	return Terms{Priority: LowestPriority}, false
}

// WorkspaceByKey returns the grant of the workspace that owns the API key, nil if
// there is none.
func (r *Rules) WorkspaceByKey(key string) *WorkspaceGrant {
	return r.workspaceByKey[key]
}

// Workspace returns the grant of the workspace with the name, nil if there is none.
func (r *Rules) Workspace(name string) *WorkspaceGrant {
	for i := range r.Workspaces {
		if r.Workspaces[i].Name == name {
			return &r.Workspaces[i]
		}
	}
	return nil
}

// Match returns the queue of the authority with the longest prefix that matches
// the path, nil if there is none.
func (r *Rules) Match(authority, path string) *Queue {
	var best *Queue
	for i := range r.Queues {
		q := &r.Queues[i]
		if q.Authority != authority || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if best == nil || len(q.Prefix) > len(best.Prefix) {
			best = q
		}
	}
	return best
}
