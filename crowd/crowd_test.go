package crowd_test

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"yuccapaddle"
)

// smallCrowd is the number of clients that send bodies, silentCrowd that of clients which
// only hold connections: more than a host has descriptors.
const (
	smallCrowd  = 60
	fewClients  = 4
	silentCrowd = 400
)

// meet lets the groups of clients behave for crowdTime, sends ordinary requests to all hosts
// meanwhile and afterwards, and checks the hosts.
func (b *testbed) meet(groups ...group) {
	ctx, cancel := context.WithTimeout(context.Background(), crowdTime)
	defer cancel()
	var crowd errgroup.Group
	for _, g := range groups {
		crowd.Go(func() error { return g.run(ctx) })
	}
	pause(ctx, crowdTime/2)
	for _, h := range b.hosts {
		if h.lives() {
			b.submitOrdinary(h)
			b.c.Check(h.isReady(), qt.IsTrue, qt.Commentf("%s while the crowd stays", h.name))
		}
	}
	b.c.Assert(crowd.Wait(), qt.IsNil)
	b.checkHosts()
	b.checkOrdinaryJobs()
}

// checkOrdinaryJobs checks that an ordinary job is accepted at each host and runs.
func (b *testbed) checkOrdinaryJobs() {
	for _, h := range b.hosts {
		if h.lives() {
			id := b.submitOrdinary(h)
			b.waitFor("an ordinary job runs", func() bool { return h.jobState(id) == "completed" })
		}
	}
}

// submitOrdinary hands in a small job at a host until it is accepted, and returns its ID. Each
// call gets an answer, and a refusal tells when to come again.
func (b *testbed) submitOrdinary(h *host) string {
	b.jobs++
	id := jobID(b.jobs)
	b.waitFor("a job is accepted", func() bool {
		a, err := target{h, callers}.call("/quick/"+id, ordinaryBody)
		b.c.Assert(err, qt.IsNil, qt.Commentf("an ordinary request at %s, whose log ends with %s", h.name, h.lastLine()))
		if a.status == fasthttp.StatusServiceUnavailable || a.status == fasthttp.StatusTooManyRequests {
			b.c.Check(a.retryAfter, qt.Not(qt.Equals), "")
		}
		return a.status == fasthttp.StatusOK
	})
	return id
}

// at returns a listener of the active host.
func (b *testbed) at(l listener) []target { return []target{{b.hosts[0], l}} }

// atAll returns a listener of all hosts.
func (b *testbed) atAll(l listener) []target {
	var all []target
	for _, h := range b.hosts {
		all = append(all, target{h, l})
	}
	return all
}

// TestBodies checks crowds that send too much, announced or not, at each listener to which
// clients can send bodies.
func TestBodies(t *testing.T) {
	behaviours := map[string]behaviour{"announced": announce, "held": hold, "chunked": holdChunks, "dripped": drip, "expected": expect}
	for _, l := range []listener{callers, requests, readiness, metrics} {
		for name, behave := range behaviours {
			t.Run(name+"_"+string(l), func(t *testing.T) {
				b := newTestbed(t, false)
				b.meet(group{smallCrowd, behave, b.at(l)})
			})
		}
	}
}

// TestMetricsWithBody checks clients that ask for the metrics with endless bodies, at both kinds
// of host.
func TestMetricsWithBody(t *testing.T) {
	t.Run("job_path", func(t *testing.T) {
		b := newTestbed(t, false)
		b.meet(group{smallCrowd, endlessMetrics, b.at(metrics)})
	})
	t.Run("request_path", func(t *testing.T) {
		b := newRequestPathHost(t, false)
		b.meetRequestPath(group{smallCrowd, endlessMetrics, b.at(metrics)})
	})
}

// TestDecodedBodies checks clients whose bodies grow when they are decoded.
func TestDecodedBodies(t *testing.T) {
	for name, g := range map[string]group{
		"one_with_many_steps":   {clients: 1, behaviour: manySteps},
		"few_with_many_steps":   {clients: fewClients, behaviour: manySteps},
		"many_with_many_steps":  {clients: smallCrowd, behaviour: manySteps},
		"many_with_long_after":  {clients: smallCrowd, behaviour: longAfter},
		"many_with_long_texts":  {clients: smallCrowd, behaviour: longTexts},
		"many_with_many_fields": {clients: smallCrowd, behaviour: manyFields},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, false)
			g.targets = b.at(callers)
			if name == "many_with_many_fields" {
				g.targets = b.at(requests)
			}
			b.meet(g)
		})
	}
}

// TestDescriptors checks crowds of more clients than a host has descriptors, at each listener.
func TestDescriptors(t *testing.T) {
	for _, l := range listeners {
		t.Run("silent_"+string(l), func(t *testing.T) {
			b := newTestbed(t, true)
			b.meet(group{silentCrowd, silent, b.at(l)})
		})
	}
	for name, behave := range map[string]behaviour{"slow_head": dripHead, "slow_body": drip, "no_answer_read": readNothing} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, true)
			b.meet(group{silentCrowd, behave, b.at(callers)})
		})
	}
	t.Run("settings_only", func(t *testing.T) {
		b := newTestbed(t, false)
		b.meet(group{silentCrowd, silent, b.at(callers)})
	})
}

// TestMixedCrowds checks two kinds of clients together, and crowds at all hosts at once.
func TestMixedCrowds(t *testing.T) {
	t.Run("held_and_silent", func(t *testing.T) {
		b := newTestbed(t, true)
		b.meet(group{smallCrowd, hold, b.at(callers)}, group{silentCrowd, silent, b.at(readiness)})
	})
	t.Run("many_steps_and_chunked", func(t *testing.T) {
		b := newTestbed(t, false)
		b.meet(group{fewClients, manySteps, b.at(callers)}, group{smallCrowd, holdChunks, b.at(requests)})
	})
	t.Run("all_hosts", func(t *testing.T) {
		b := newTestbed(t, true)
		b.meet(group{smallCrowd, hold, b.atAll(callers)}, group{fewClients, manySteps, b.atAll(callers)}, group{silentCrowd, silent, b.atAll(peers)})
	})
}

// TestAcceptedWork checks crowds inside the limits whose work stays: it fills neither the
// active host nor its successor, and another workspace's jobs are accepted.
func TestAcceptedWork(t *testing.T) {
	for name, behave := range map[string]behaviour{"jobs_that_wait": waitForever, "unknown_jobs_cancelled": cancelUnknown} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, false)
			b.meet(group{smallCrowd, behave, b.at(callers)})
			b.replaceActiveHost()
		})
		t.Run(name+"_at_all_hosts", func(t *testing.T) {
			b := newTestbed(t, false)
			b.meet(group{smallCrowd, behave, b.atAll(callers)})
			b.replaceActiveHost()
		})
	}
}

// replaceActiveHost kills the active host and checks the others once one of them is active.
func (b *testbed) replaceActiveHost() {
	former := b.hosts[0]
	b.c.Assert(former.lives(), qt.IsTrue)
	b.c.Assert(former.cmd.Process.Signal(syscall.SIGKILL), qt.IsNil)
	<-former.exited
	successors := &testbed{c: b.c, hosts: b.hosts[1:], jobs: b.jobs}
	successors.checkOrdinaryJobs()
	successors.checkHosts()
}

// TestRefusedCalls checks that the refusal of calls fills no memory.
func TestRefusedCalls(t *testing.T) {
	b := newTestbed(t, false)
	b.meet(group{smallCrowd, longPaths, b.at(callers)})
}

// TestStopWhileBodiesAreHeld checks that a host which is to stop does so while clients hold
// unfinished requests.
func TestStopWhileBodiesAreHeld(t *testing.T) {
	for name, behave := range map[string]behaviour{"held": hold, "dripped": drip, "no_answer_read": readNothing} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, false)
			h := b.hosts[0]
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var crowd errgroup.Group
			crowd.Go(func() error { return group{fewClients, behave, append(b.at(callers), b.at(requests)...)}.run(ctx) })
			pause(ctx, time.Second)
			b.c.Assert(h.cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
			b.waitFor("the process ends", func() bool { return !h.lives() })
			b.c.Check(h.cmd.ProcessState.ExitCode(), qt.Equals, 0)
			cancel()
			b.c.Check(crowd.Wait(), qt.IsNil)
		})
	}
}

// TestCutRequestNeverRuns checks that a request which was not sent to its end is not known
// afterwards, and that no task of it starts.
func TestCutRequestNeverRuns(t *testing.T) {
	b := newTestbed(t, false)
	const first, count = 1000, 20
	for i := range count {
		conn, err := net.Dial("tcp", b.hosts[0].addresses[callers])
		b.c.Assert(err, qt.IsNil)
		_, err = io.WriteString(conn, head("/quick/"+jobID(first+i), announcement(len(ordinaryBody)+1))+ordinaryBody)
		b.c.Assert(err, qt.IsNil)
		b.c.Assert(conn.Close(), qt.IsNil)
	}
	b.submitOrdinary(b.hosts[0])
	for i := range count {
		a, err := target{b.hosts[0], callers}.callAs(key, "/quick/"+jobID(first+i), "")
		b.c.Assert(err, qt.IsNil)
		b.c.Check(a.status, qt.Equals, fasthttp.StatusGone)
		b.c.Check(b.startLog.Runs(yuccapaddle.TaskID{Job: jobID(first + i)}), qt.Equals, 0)
	}
}
