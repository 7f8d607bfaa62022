package yuccapaddle

import "strings"

// Queue is an operators' rule on jobs: callers reach it by Authority and Prefix.
type Queue struct {
	Name      string
	Authority string // the Host header
	Prefix    string
	Service   string
	Priority  int
	Attempts  int
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

// Wave is the operators' order to maintain machines, at most Most at once and all
// within DurationS seconds.
type Wave struct {
	Number    int64
	Machines  []string
	DurationS float64
	Most      int
}

// WorkspaceGrant is what the operators' rules give a workspace: its keys, and the
// number of accelerators that are its own for urgent jobs.
type WorkspaceGrant struct {
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
	Digest     uint64
	Queues     []Queue
	Workspaces []WorkspaceGrant
	// Closed holds the failure domains in which nothing may be started.
	Closed map[string]bool
	Waves  []Wave
	byKey  map[string]*WorkspaceGrant
	byName map[string]*Queue
}

// Index prepares the look-ups, and returns the rules.
func (r *Rules) Index() *Rules {
	r.byKey = map[string]*WorkspaceGrant{}
	r.byName = map[string]*Queue{}
	for i := range r.Workspaces {
		for _, k := range r.Workspaces[i].Keys {
			r.byKey[k] = &r.Workspaces[i]
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

// Holder returns the grant of the workspace with the key, nil if there is none.
func (r *Rules) Holder(key string) *WorkspaceGrant {
	return r.byKey[key]
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

// Match returns the queue with the longest prefix of the path, nil if no queue
// of the authority has one.
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
