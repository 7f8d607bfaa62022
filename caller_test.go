package yuccapaddle_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
)

// rulesWith returns rules with the queues, and the workspaces w and v with a key each of their
// names.
func rulesWith(queues ...yuccapaddle.Queue) *yuccapaddle.Rules {
	rules := &yuccapaddle.Rules{Version: 2, Queues: queues, Workspaces: []yuccapaddle.WorkspaceGrant{{Name: "w", Keys: []string{"w"}}, {Name: "v", Keys: []string{"v"}}}}
	return rules.Index()
}

// TestPublicQueues guards against a job of a public queue that its caller cannot see any more,
// and against one of a workspace that everybody can see.
func TestPublicQueues(t *testing.T) {
	keyed := yuccapaddle.Queue{Name: "q", Authority: "h", Prefix: "/q/"}
	public := yuccapaddle.Queue{Name: "q", Authority: "h", Prefix: "/q/", Public: true}
	renamed := yuccapaddle.Queue{Name: "r", Authority: "h", Prefix: "/q/", Public: true}
	moved := yuccapaddle.Queue{Name: "q", Authority: "h", Prefix: "/m/", Public: true}
	other := yuccapaddle.Queue{Name: "o", Authority: "h", Prefix: "/o/", Public: true}
	tests := []struct {
		name      string
		submitted *yuccapaddle.Queue
		key       string // with which it was submitted
		asked     *yuccapaddle.Queue
		askedWith string
		inForce   []yuccapaddle.Queue
		want      bool
	}{
		{"no keys", &public, "", &public, "", []yuccapaddle.Queue{public, other}, true},
		{"a key that is not needed", &public, "w", &public, "", []yuccapaddle.Queue{public, other}, true},
		{"an unknown key", &public, "?", &public, "??", []yuccapaddle.Queue{public, other}, true},
		{"renamed", &public, "", &renamed, "", []yuccapaddle.Queue{renamed, other}, true},
		{"renamed, a key that is not needed", &public, "w", &renamed, "", []yuccapaddle.Queue{renamed, other}, true},
		{"moved", &public, "", &moved, "", []yuccapaddle.Queue{moved, other}, true},
		{"merged", &public, "", &other, "", []yuccapaddle.Queue{other}, true},
		{"other queue", &public, "", &other, "", []yuccapaddle.Queue{public, other}, false},
		{"made public", &keyed, "w", &public, "", []yuccapaddle.Queue{public, other}, true},
		{"keys needed since", &public, "", &keyed, "v", []yuccapaddle.Queue{keyed, other}, true},
		{"a public queue in place of it", &keyed, "w", &renamed, "", []yuccapaddle.Queue{renamed, other}, false},
		{"merged into a public queue", &keyed, "w", &other, "", []yuccapaddle.Queue{other}, false},
		{"merged into a public queue, with its key", &keyed, "w", &other, "w", []yuccapaddle.Queue{other}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			first := yuccapaddle.NewCaller(rulesWith(*tt.submitted, other), tt.submitted, tt.key)
			j := &yuccapaddle.Job{ID: "j", Queue: first.Queue, Workspace: first.Workspace, Origin: &first.Origin}
			rules := rulesWith(tt.inForce...)
			caller := yuccapaddle.NewCaller(rules, tt.asked, tt.askedWith)
			qt.New(t).Check(caller.MaySee(j, rules), qt.Equals, tt.want)
		})
	}
}

// TestCallerWithoutOrigin checks that hosts themselves see every job, and that a host of an
// earlier version, which names only the queue, is answered as before.
func TestCallerWithoutOrigin(t *testing.T) {
	c := qt.New(t)
	rules := rulesWith()
	j := &yuccapaddle.Job{ID: "j", Queue: "q", Workspace: "w"}
	c.Check((&yuccapaddle.Caller{}).MaySee(j, rules), qt.IsTrue)
	c.Check((&yuccapaddle.Caller{Queue: "q"}).MaySee(j, rules), qt.IsTrue)
	c.Check((&yuccapaddle.Caller{Queue: "r"}).MaySee(j, rules), qt.IsFalse)
}
