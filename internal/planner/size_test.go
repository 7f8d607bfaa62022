package planner

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
)

// TestJobMemory checks that jobs are accepted while there is memory for their workspace, that
// those of a former host count, and that a job which is forgotten leaves its room to the next.
func TestJobMemory(t *testing.T) {
	c := qt.New(t)
	const limit = 1 << 20
	limits := yuccapaddle.PlanLimits{JobMemory: limit, Retention: time.Minute}
	now := time.Unix(1_000_000, 0)
	newPlanner := func() *Planner {
		p := New(limits)
		p.SetTime(now, now)
		return p
	}
	submitted := 0
	job := func(workspace string) *yuccapaddle.Job {
		submitted++
		return &yuccapaddle.Job{
			ID: fmt.Sprintf("%016x", submitted), Workspace: workspace, Queue: "q",
			Payload: strings.Repeat("p", 10_000), Steps: []yuccapaddle.Step{{Count: 1}},
		}
	}
	p := newPlanner()
	var last string
	for j := job("a"); p.HasRoom(j); j = job("a") {
		p.Submit(j)
		last = j.ID
	}
	c.Check(p.MemoryUsed() <= limit/2, qt.IsTrue)
	c.Check(p.HasRoom(job("b")), qt.IsTrue, qt.Commentf("another workspace"))
	successor := newPlanner()
	for _, r := range p.TakeBatch().Records {
		c.Assert(successor.Restore(&yuccapaddle.StoredJob{Job: r.Job, State: r.State}), qt.IsNil)
	}
	c.Check(successor.MemoryUsed(), qt.Equals, p.MemoryUsed())
	c.Check(successor.HasRoom(job("a")), qt.IsFalse)
	successor.Cancel(last)
	now = now.Add(2 * limits.Retention)
	successor.SetTime(now, now)
	successor.removeExpired()
	c.Check(successor.HasRoom(job("a")), qt.IsTrue)
}
