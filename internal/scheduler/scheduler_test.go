package scheduler

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
	"yuccapaddle/internal/keeper"
	"yuccapaddle/internal/placer"
)

var begin = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// newScheduler returns a Scheduler with one workspace and one upstream of two
// workers, that accepts up to maxWaiting waiting requests.
func newScheduler(maxWaiting int) *Scheduler {
	site := yuccapaddle.Site{
		Domains: []yuccapaddle.Domain{{Name: "d", Upstreams: []yuccapaddle.Upstream{
			{Name: "u", Racks: []yuccapaddle.Rack{{Name: "r", Workers: 2, Accelerators: 8}}},
		}}},
		Workspaces: []yuccapaddle.Workspace{{Name: "w"}},
		Limits:     yuccapaddle.Limits{WaitingPerWorkspace: maxWaiting},
	}
	s := New(keeper.New(), placer.New(), 1, begin)
	s.Handle(begin, yuccapaddle.Configured{Config: &yuccapaddle.Config{Revision: 1, Site: site}},
		yuccapaddle.Reported{Report: yuccapaddle.Report{Upstream: "u", Boot: "b", Seq: 1}, SentAt: begin},
		yuccapaddle.StartsPermitted{Until: begin.Add(time.Hour)})
	return s
}

// handleAndCommit handles events, commits the resulting records at once and returns
// all actions.
func handleAndCommit(s *Scheduler, at time.Time, events ...yuccapaddle.Event) []yuccapaddle.Action {
	out := s.Handle(at, events...)
	for s.TakeBatch() != nil {
		out = append(out, s.Handle(at, yuccapaddle.Committed{})...)
	}
	return out
}

func request(id string, acceptBy time.Time) *yuccapaddle.Request {
	return &yuccapaddle.Request{
		ID: id, Workspace: "w", Tasks: 1, Accelerators: 8, Span: yuccapaddle.SpanWorker,
		Class: yuccapaddle.ClassBatch, AcceptBy: acceptBy,
	}
}

// verdicts returns the verdicts of all replies to callers among the actions.
func verdicts(actions []yuccapaddle.Action) []yuccapaddle.Verdict {
	var out []yuccapaddle.Verdict
	for _, a := range actions {
		if r, ok := a.(yuccapaddle.Reply); ok {
			out = append(out, r.Outcome.Verdict)
		}
	}
	return out
}

// TestStopReplyForOtherLease checks that a reply to a stop whose tasks belong to
// another lease is treated as no answer, so that its parts do not end up in the
// outcome of the wrong request.
func TestStopReplyForOtherLease(t *testing.T) {
	s := newScheduler(10)
	handleAndCommit(s, begin, yuccapaddle.Submitted{Ticket: 1, Request: request("x", begin.Add(time.Hour))},
		yuccapaddle.Submitted{Ticket: 2, Request: request("y", begin.Add(time.Hour))})
	stopReply := func(lease string) yuccapaddle.StopReply {
		part := json.RawMessage(fmt.Sprintf("%q", lease))
		return yuccapaddle.StopReply{Boot: "b", Tasks: []yuccapaddle.TaskReport{{Lease: lease, State: yuccapaddle.TaskDone, Part: part}}}
	}
	for _, id := range []string{"x", "y"} {
		handleAndCommit(s, begin, yuccapaddle.Reserved{Upstream: "u", Lease: "w/" + id + "/1"}, yuccapaddle.Cancelled{Key: "w/" + id})
	}
	handleAndCommit(s, begin, yuccapaddle.Stopped{Upstream: "u", Lease: "w/x/1", Reply: stopReply("w/y/1")},
		yuccapaddle.Stopped{Upstream: "u", Lease: "w/y/1", Reply: stopReply("w/x/1")})
	qt.Assert(t, s.State().Outcome("w/x").Verdict.Final(), qt.IsFalse)
	handleAndCommit(s, begin, yuccapaddle.Stopped{Upstream: "u", Lease: "w/x/1", Reply: stopReply("w/x/1")},
		yuccapaddle.Stopped{Upstream: "u", Lease: "w/y/1", Reply: stopReply("w/y/1")})
	for _, id := range []string{"x", "y"} {
		o := s.State().Outcome("w/" + id)
		qt.Assert(t, o.Verdict, qt.Equals, yuccapaddle.VerdictDone)
		qt.Assert(t, string(o.Parts[0]), qt.Equals, fmt.Sprintf("%q", "w/"+id+"/1"))
	}
}

// TestLateDuplicateRefused checks that a delayed copy of a submission is refused if a
// later copy has been refused already, because the caller has been told that the
// request does not run. A copy with a later acceptance deadline is accepted.
func TestLateDuplicateRefused(t *testing.T) {
	s := newScheduler(1)
	early, later := begin.Add(5*time.Second), begin.Add(6*time.Second)
	for _, id := range []string{"a", "b", "full"} {
		handleAndCommit(s, begin, yuccapaddle.Submitted{Request: request(id, later)})
	}
	submit := func(at, acceptBy time.Time) []yuccapaddle.Verdict {
		return verdicts(handleAndCommit(s, at, yuccapaddle.Submitted{Request: request("c", acceptBy)}))
	}
	qt.Assert(t, submit(begin.Add(time.Second), later), qt.DeepEquals, []yuccapaddle.Verdict{yuccapaddle.VerdictRefused})
	handleAndCommit(s, begin.Add(2*time.Second), yuccapaddle.Cancelled{Key: "w/full"})
	qt.Assert(t, submit(begin.Add(3*time.Second), early), qt.DeepEquals, []yuccapaddle.Verdict{yuccapaddle.VerdictRefused})
	again := submit(begin.Add(4*time.Second), begin.Add(9*time.Second))
	qt.Assert(t, again, qt.DeepEquals, []yuccapaddle.Verdict{yuccapaddle.VerdictWaiting})
}

// TestReportedUsage checks that requests are not placed on workers that report
// themselves busy, and that a report is disregarded if it predates the last change
// on the worker by this host or is older than maxUsageAge.
func TestReportedUsage(t *testing.T) {
	busyReport := func(at time.Time) yuccapaddle.Event {
		return yuccapaddle.Reported{SentAt: at, Report: yuccapaddle.Report{Upstream: "u", Boot: "b", Seq: 2, Workers: []yuccapaddle.WorkerCondition{
			{Worker: "r-00", Used: 8, UsageAt: at},
		}}}
	}
	for _, c := range []struct {
		reported, submitted time.Duration
		want                string
	}{
		{10 * time.Second, 10 * time.Second, "r-01"},
		{10 * time.Second, 2 * time.Minute, "r-00"},
		{0, 10 * time.Second, "r-01"},
	} {
		s := newScheduler(10)
		at := begin.Add(c.submitted)
		handleAndCommit(s, at, busyReport(begin.Add(c.reported)), yuccapaddle.Submitted{Request: request("x", at.Add(time.Second))})
		qt.Check(t, s.State().Gang("w/x").Members[0].Worker, qt.Equals, c.want)
	}
	s := newScheduler(10)
	handleAndCommit(s, begin, yuccapaddle.Submitted{Request: request("x", begin.Add(time.Second))})
	first := s.State().Gang("w/x").Members[0].Worker
	handleAndCommit(s, begin, yuccapaddle.Reserved{Upstream: "u", Lease: "w/x/1"}, yuccapaddle.Cancelled{Key: "w/x"},
		yuccapaddle.Stopped{Upstream: "u", Lease: "w/x/1", Reply: yuccapaddle.StopReply{Boot: "b"}})
	handleAndCommit(s, begin, busyReport(begin), yuccapaddle.Submitted{Request: request("y", begin.Add(time.Second))})
	qt.Check(t, s.State().Gang("w/y").Members[0].Worker, qt.Equals, first, qt.Commentf("the report describes the usage by the gang that has been removed since"))
}

// FuzzReport checks that no report of an upstream breaks an invariant.
func FuzzReport(f *testing.F) {
	for _, text := range []string{
		`{"upstream":"u","boot":"b","seq":2,"tasks":[{"lease":"w/x/1","rank":0,"worker":"r-00","state":"done","part":1}]}`,
		`{"upstream":"u","boot":"c","seq":1,"full":true,"workers":[{"worker":"r-00","down":true,"used":-5}]}`,
		`{"upstream":"u","missing":["w/x/1",""],"leaving":true,"tasks":[{"lease":"w/y/1","rank":-1,"state":"failed"}]}`,
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var r yuccapaddle.Report
		if json.Unmarshal(data, &r) != nil {
			return
		}
		s := newScheduler(10)
		handleAndCommit(s, begin, yuccapaddle.Submitted{Request: request("x", begin.Add(time.Hour))},
			yuccapaddle.Submitted{Request: request("y", begin.Add(time.Hour))}, yuccapaddle.Reserved{Upstream: "u", Lease: "w/x/1"})
		for n, e := range []yuccapaddle.Event{
			yuccapaddle.Reported{Report: r, SentAt: begin.Add(time.Second)},
			yuccapaddle.Stopped{Upstream: r.Upstream, Lease: "w/x/1", Reply: yuccapaddle.StopReply{Boot: r.Boot, Tasks: r.Tasks}},
			yuccapaddle.Ticked{},
		} {
			for _, a := range handleAndCommit(s, begin.Add(time.Duration(n+2)*time.Second), e) {
				_, violation := a.(yuccapaddle.InvariantViolation)
				qt.Assert(t, violation, qt.IsFalse, qt.Commentf("%+v", a))
			}
			qt.Assert(t, s.Verify(), qt.IsNil)
		}
	})
}

// TestReclaimFromMovingGang checks that a guarantee evicts a gang that is being asked
// to move, instead of waiting for the move, which the gang may not complete.
func TestReclaimFromMovingGang(t *testing.T) {
	site := yuccapaddle.Site{
		Domains: []yuccapaddle.Domain{{Name: "d", Upstreams: []yuccapaddle.Upstream{
			{Name: "u", Racks: []yuccapaddle.Rack{{Name: "r", Workers: 2, Accelerators: 8}, {Name: "q", Workers: 2, Accelerators: 8}}},
		}}},
		Workspaces: []yuccapaddle.Workspace{{Name: "w"}, {Name: "own", Guarantees: []yuccapaddle.Guarantee{
			{Count: 4, Workers: 1, Accelerators: 8, Span: yuccapaddle.SpanWorker},
		}}},
	}
	s := newScheduler(10)
	s.Handle(begin, yuccapaddle.Configured{Config: &yuccapaddle.Config{Revision: 2, Site: site}})
	for i := range 4 {
		r := request(fmt.Sprintf("x%d", i), begin.Add(time.Hour))
		r.Repeatable = true
		lease := r.Key() + "/1"
		handleAndCommit(s, begin, yuccapaddle.Submitted{Request: r}, yuccapaddle.Reserved{Upstream: "u", Lease: lease})
		handleAndCommit(s, begin, yuccapaddle.Reserved{Upstream: "u", Lease: lease})
	}
	for _, id := range []string{"x0", "x2"} { // one worker of each rack is free again
		handleAndCommit(s, begin, yuccapaddle.Cancelled{Key: "w/" + id})
		handleAndCommit(s, begin, yuccapaddle.Stopped{Upstream: "u", Lease: "w/" + id + "/1", Reply: yuccapaddle.StopReply{Boot: "b"}})
	}
	big := request("big", begin.Add(time.Hour))
	big.Tasks, big.Span = 2, yuccapaddle.SpanRack
	later := begin.Add(time.Minute)
	handleAndCommit(s, later, yuccapaddle.Submitted{Request: big})
	later = later.Add(3 * time.Second)
	handleAndCommit(s, later, yuccapaddle.Ticked{})
	moving := 0
	for _, g := range s.State().Gangs() {
		if g.Moving {
			moving++
		}
	}
	qt.Assert(t, moving, qt.Equals, 1)
	for i := range 4 {
		r := request(fmt.Sprintf("y%d", i), later.Add(time.Hour))
		r.Workspace = "own"
		handleAndCommit(s, later, yuccapaddle.Submitted{Request: r})
	}
	for key, g := range s.State().Gangs() {
		qt.Check(t, g.Workspace == "own" || (g.Evicting() && !g.Moving), qt.IsTrue, qt.Commentf("gang %s holds guaranteed workers and is not being evicted", key))
	}
	_, gangs := s.State().Counts()
	qt.Assert(t, gangs, qt.Equals, 6)
}

// TestRecoverReleasedGang checks that a new host starts the remaining share of a
// released gang if the former host died after starting only one of two shares. The
// upstream reports the reserved share before the new host has a start permit, and
// does not repeat the report.
func TestRecoverReleasedGang(t *testing.T) {
	site := yuccapaddle.Site{
		Domains: []yuccapaddle.Domain{{Name: "d", Upstreams: []yuccapaddle.Upstream{
			{Name: "u1", Racks: []yuccapaddle.Rack{{Name: "r1", Workers: 1, Accelerators: 8}}},
			{Name: "u2", Racks: []yuccapaddle.Rack{{Name: "r2", Workers: 1, Accelerators: 8}}},
		}}},
		Workspaces: []yuccapaddle.Workspace{{Name: "w"}},
		Limits:     yuccapaddle.Limits{WaitingPerWorkspace: 10},
	}
	configured := yuccapaddle.Configured{Config: &yuccapaddle.Config{Revision: 1, Site: site}}
	report := func(upstream string, at time.Time, tasks ...yuccapaddle.TaskReport) yuccapaddle.Event {
		return yuccapaddle.Reported{SentAt: at, Report: yuccapaddle.Report{Upstream: upstream, Boot: "b", Seq: 1, Tasks: tasks}}
	}
	state := keeper.New()
	first := New(state, placer.New(), 1, begin)
	r := request("gang", begin.Add(time.Hour))
	r.Tasks, r.Span = 2, yuccapaddle.SpanDomain
	handleAndCommit(first, begin, configured, report("u1", begin), report("u2", begin),
		yuccapaddle.StartsPermitted{Until: begin.Add(time.Hour)}, yuccapaddle.Submitted{Request: r})
	const lease = "w/gang/1"
	handleAndCommit(first, begin, yuccapaddle.Reserved{Upstream: "u1", Lease: lease}, yuccapaddle.Reserved{Upstream: "u2", Lease: lease})
	qt.Assert(t, state.Gang("w/gang").State, qt.Equals, yuccapaddle.GangReleased)

	later := begin.Add(3 * time.Second)
	next := New(state, placer.New(), 2, later)
	task := func(rank int, worker string, state yuccapaddle.TaskState) yuccapaddle.TaskReport {
		return yuccapaddle.TaskReport{Lease: lease, Rank: rank, Worker: worker, State: state}
	}
	handleAndCommit(next, later, configured)
	handleAndCommit(next, later, report("u1", later, task(0, "r1-00", yuccapaddle.TaskRunning)),
		report("u2", later, task(1, "r2-00", yuccapaddle.TaskReserved)))
	actions := handleAndCommit(next, later.Add(time.Second), yuccapaddle.StartsPermitted{Until: later.Add(time.Hour)}, yuccapaddle.Ticked{})
	started := ""
	for _, a := range actions {
		if start, ok := a.(yuccapaddle.StartAction); ok {
			started = start.Command.Upstream
		}
	}
	qt.Assert(t, started, qt.Equals, "u2")
}
