package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
	"yuccapaddle/internal/placer"
)

// forgets returns the leases whose results the actions have an upstream drop.
func forgets(actions []yuccapaddle.Action) []string {
	var leases []string
	for _, a := range actions {
		if f, ok := a.(yuccapaddle.ForgetAction); ok {
			leases = append(leases, f.Command.Lease)
		}
	}
	return leases
}

// unsettled returns a scheduler with a request whose outcome is unknown, since an upstream
// that may have run it was out of reach, and the actions that followed.
func unsettled() (*Scheduler, []yuccapaddle.Action) {
	s := newScheduler(10)
	handleAndCommit(s, begin, yuccapaddle.Submitted{Ticket: 1, Request: request("x", begin.Add(time.Hour))})
	handleAndCommit(s, begin, yuccapaddle.Reserved{Upstream: "u", Lease: "w/x/1"})
	s.settle(s.gangs["w/x"], yuccapaddle.VerdictUnknown, "an upstream is out of reach", true)
	return s, handleAndCommit(s, begin)
}

// TestUnsettledKeepsResults checks that the upstreams keep the results of a request whose
// outcome is unknown: they are asked for them later, and without them the request would be
// settled as not run.
func TestUnsettledKeepsResults(t *testing.T) {
	_, actions := unsettled()
	qt.Check(t, forgets(actions), qt.HasLen, 0)
}

// TestUnsettledAtNewHost checks the same for a host that has just become active and gets
// the report of the finished task before it has asked for it.
func TestUnsettledAtNewHost(t *testing.T) {
	c := qt.New(t)
	former, _ := unsettled()
	s := New(former.state, placer.New(), 2, begin)
	done := yuccapaddle.TaskReport{Lease: "w/x/1", State: yuccapaddle.TaskDone, Part: []byte(`"x"`)}
	report := yuccapaddle.Report{Upstream: "u", Boot: "b", Seq: 2, Full: true, Tasks: []yuccapaddle.TaskReport{done}}
	config := former.cfg
	actions := handleAndCommit(s, begin, yuccapaddle.Configured{Config: config}, yuccapaddle.Reported{Report: report, SentAt: begin})
	c.Check(forgets(actions), qt.HasLen, 0)
	handleAndCommit(s, begin.Add(time.Minute), yuccapaddle.Ticked{}) // it asks the upstream
	handleAndCommit(s, begin.Add(time.Minute), yuccapaddle.Stopped{
		Upstream: "u", Lease: "w/x/1", Reply: yuccapaddle.StopReply{Boot: "b", Tasks: []yuccapaddle.TaskReport{done}},
	})
	c.Check(s.State().Outcome("w/x").Verdict, qt.Equals, yuccapaddle.VerdictDone)
}
