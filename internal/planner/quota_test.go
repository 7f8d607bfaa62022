package planner_test

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
)

// quotaCluster is a cluster whose jobs belong to workspaces with quotas. It checks in every
// step that no start brings a workspace above its quota.
type quotaCluster struct {
	*cluster
	grants []yuccapaddle.WorkspaceGrant
	steps  map[string]*yuccapaddle.Job // by ID
	before map[string]yuccapaddle.Need // what the workspaces had running in the step before
}

func newQuotaCluster(t testing.TB, workers int, grants ...yuccapaddle.WorkspaceGrant) *quotaCluster {
	q := &quotaCluster{cluster: newCluster(t, workers), steps: map[string]*yuccapaddle.Job{}, before: map[string]yuccapaddle.Need{}}
	q.setGrants(grants...)
	return q
}

// setGrants puts a new version of the rules into force.
func (q *quotaCluster) setGrants(grants ...yuccapaddle.WorkspaceGrant) {
	q.grants = grants
	rules := *q.p.Rules()
	rules.Version++
	rules.Workspaces = grants
	q.p.Configure(rules.Index())
}

func (q *quotaCluster) submitFor(workspace, id, queue string, step yuccapaddle.Step) {
	j := &yuccapaddle.Job{ID: id, Queue: queue, Service: "svc", Workspace: workspace, Steps: []yuccapaddle.Step{step}, Payload: fmt.Sprint(step.Estimate)}
	q.steps[id] = j
	q.p.Submit(j)
	q.submittedAt[id] = q.now
}

// running returns what a workspace has running on the workers, runs that are being stopped
// included.
func (q *quotaCluster) running(workspace string) yuccapaddle.Need {
	sum := yuccapaddle.Need{}
	for task := range q.runs {
		if j := q.steps[task.Job]; j.Workspace == workspace {
			sum = sum.Add(j.Steps[task.Step].Need)
		}
	}
	return sum
}

// playWithin plays and checks the quotas after each step: what runs may be above a quota
// that has been lowered, but must not grow then.
func (q *quotaCluster) playWithin(d time.Duration) {
	for until := q.now.Add(d); q.now.Before(until); {
		q.play(stepTime)
		for _, g := range q.grants {
			now, before := q.running(g.Name), q.before[g.Name]
			q.checkLimit(g.Name, "cpu", now.CPU, before.CPU, g.Quota.CPU)
			q.checkLimit(g.Name, "memory", now.Memory, before.Memory, g.Quota.Memory)
			q.checkLimit(g.Name, "gpu", now.GPU, before.GPU, g.Quota.GPU)
			q.before[g.Name] = now
		}
	}
}

func (q *quotaCluster) checkLimit(workspace, resource string, now, before, limit int) {
	if limit > 0 && now > limit && now > before {
		q.c.Fatalf("at %v workspace %s has %d %s running, before %d, its quota is %d", q.now.Sub(time.Unix(1000, 0)), workspace, now, resource, before, limit)
	}
}

func (q *quotaCluster) done(prefix string) int {
	n := 0
	for id := range q.steps {
		if strings.HasPrefix(id, prefix) && q.report(id).State == yuccapaddle.JobCompleted {
			n++
		}
	}
	return n
}

var (
	smallTask = yuccapaddle.Step{Count: 8, Need: yuccapaddle.Need{CPU: 8000, Memory: 16000, GPU: 1}, Estimate: 2000}
	wideGang  = yuccapaddle.Step{Count: 12, Need: yuccapaddle.Need{CPU: 8000, Memory: 16000, GPU: 1}, Estimate: 2000, Gang: true}
	// quarter is the quota of 16 of the 64 cores-of-8 and accelerators of 8 workers.
	quarter = yuccapaddle.Need{CPU: 128000, GPU: 16}
)

// TestHotWorkspace replays a workspace that sends many times its usual load: it stays
// within its quota, also by its gangs, and the others are served as if it were not there.
func TestHotWorkspace(t *testing.T) {
	q := newQuotaCluster(t, 8, yuccapaddle.WorkspaceGrant{Name: "hot", Quota: quarter}, yuccapaddle.WorkspaceGrant{Name: "calm"})
	for i := range 40 {
		q.submitFor("hot", fmt.Sprintf("hot-%02d", i), queueBatch, smallTask)
	}
	q.submitFor("hot", "hot-wide", queueBatch, wideGang)
	for i := range 10 {
		q.submitFor("calm", fmt.Sprintf("calm-%d", i), queueBatch, smallTask)
		q.playWithin(time.Second)
		q.c.Check(q.running("hot").GPU, qt.Equals, 16)
	}
	q.playWithin(2100 * time.Millisecond)
	q.c.Check(q.done("calm-"), qt.Equals, 10)
	q.playWithin(50 * time.Second)
	q.c.Check(q.done("hot-"), qt.Equals, 41)
}

// TestWideGangInQuota guards against narrow jobs that come later and take what frees of the
// quota, so that a gang as wide as most of it waits for ever.
func TestWideGangInQuota(t *testing.T) {
	q := newQuotaCluster(t, 8, yuccapaddle.WorkspaceGrant{Name: "ws", Quota: quarter})
	q.submitFor("ws", "first", queueBatch, smallTask)
	q.playWithin(time.Second)
	q.submitFor("ws", "gang", queueBatch, wideGang)
	for i := range 30 {
		q.submitFor("ws", fmt.Sprintf("later-%02d", i), queueBatch, yuccapaddle.Step{Count: 4, Need: smallTask.Need, Estimate: 700})
		q.playWithin(200 * time.Millisecond)
	}
	q.c.Check(q.report("gang").State, qt.Equals, yuccapaddle.JobCompleted)
}

// TestUrgentInQuota checks that an urgent job does not wait behind the batch jobs that hold
// its workspace's quota: some are stopped for it, and none of another workspace.
func TestUrgentInQuota(t *testing.T) {
	q := newQuotaCluster(t, 8, yuccapaddle.WorkspaceGrant{Name: "ws", Quota: quarter, Guaranteed: 8}, yuccapaddle.WorkspaceGrant{Name: "other"})
	long := smallTask
	long.Estimate = 60000
	q.submitFor("ws", "batch-0", queueBatch, long)
	q.submitFor("ws", "batch-1", queueBatch, long)
	q.submitFor("other", "other-0", queueBatch, long)
	q.playWithin(time.Second)
	q.submitFor("ws", "u-gang", queueQuick, yuccapaddle.Step{Count: 4, Need: smallTask.Need, Estimate: 2500, Gang: true})
	q.submitFor("ws", "u-single", queueQuick, yuccapaddle.Step{Count: 4, Need: smallTask.Need, Estimate: 2500})
	q.playWithin(2 * time.Second)
	for _, id := range []string{"u-gang", "u-single"} {
		for i := range 4 {
			task := yuccapaddle.TaskID{Job: id, Index: i}
			q.c.Assert(q.startedAt[task], qt.HasLen, 1, qt.Commentf("%s", task))
			q.c.Check(q.startedAt[task][0].Sub(q.submittedAt[id]) < time.Second, qt.IsTrue)
		}
	}
	stopped := 0
	for i := range 8 {
		q.c.Check(q.startedOn[yuccapaddle.TaskID{Job: "other-0", Index: i}], qt.HasLen, 1)
		for _, b := range []string{"batch-0", "batch-1"} {
			if _, runs := q.runs[yuccapaddle.TaskID{Job: b, Index: i}]; !runs {
				stopped++
			}
		}
	}
	q.c.Check(stopped, qt.Equals, 8)
}

// TestLoweredQuotaStopsNothing checks that a quota which is lowered below what runs stops
// nothing, and that nothing starts until the workspace is below it again. A gang that no
// longer fits keeps no others waiting.
func TestLoweredQuotaStopsNothing(t *testing.T) {
	q := newQuotaCluster(t, 8, yuccapaddle.WorkspaceGrant{Name: "ws", Quota: quarter})
	q.submitFor("ws", "a", queueBatch, smallTask)
	q.submitFor("ws", "b", queueBatch, smallTask)
	q.playWithin(500 * time.Millisecond)
	q.submitFor("ws", "gang", queueBatch, wideGang)
	q.submitFor("ws", "c", queueBatch, smallTask)
	q.setGrants(yuccapaddle.WorkspaceGrant{Name: "ws", Quota: yuccapaddle.Need{GPU: 4}})
	q.playWithin(time.Second)
	q.c.Check(q.running("ws").GPU, qt.Equals, 16)
	q.playWithin(2 * time.Second)
	q.c.Check(q.running("ws").GPU, qt.Equals, 4)
	q.c.Check(q.report("c").State, qt.Equals, yuccapaddle.JobRunning)
	q.c.Check(q.stoppedSeconds, qt.Equals, 0.0)
	q.c.Check(q.p.View("gang").Steps[0].Waits, qt.Matches, "for the quota of workspace ws: .*")
	q.setGrants(yuccapaddle.WorkspaceGrant{Name: "ws", Quota: quarter})
	q.playWithin(8 * time.Second)
	q.c.Check(q.done(""), qt.Equals, 4)
}

// TestQuotaAfterTakeover guards against a new active host that counts only what it has
// started itself: the former one was lost right after it had placed up to the quota, and one
// of the workers is silent.
func TestQuotaAfterTakeover(t *testing.T) {
	q := newQuotaCluster(t, 8, yuccapaddle.WorkspaceGrant{Name: "ws", Quota: quarter})
	long := smallTask
	long.Estimate = 20000
	for i := range 4 {
		q.submitFor("ws", fmt.Sprintf("j%d", i), queueBatch, long)
	}
	q.playWithin(stepTime)
	q.c.Assert(q.running("ws").GPU, qt.Equals, 16)
	q.crash(q.startedOn[yuccapaddle.TaskID{Job: "j0"}][0], backNever)
	silent := 16 - q.running("ws").GPU
	q.c.Assert(silent > 0, qt.IsTrue)
	q.takeOver()
	q.before["ws"] = q.running("ws")
	for until := q.now.Add(leaseTime - time.Second); q.now.Before(until); {
		q.playWithin(100 * time.Millisecond)
		q.c.Assert(q.running("ws").GPU <= 16-silent, qt.IsTrue, qt.Commentf("the silent worker's runs may still be in progress"))
	}
	q.playWithin(9 * time.Second) // until the silent worker's leases are over and its loss is judged
	q.c.Check(q.running("ws").GPU, qt.Equals, 16)
}

// TestNeverAllowed checks that a job with a gang, or a task, above the whole quota is told
// so at once, and others are not.
func TestNeverAllowed(t *testing.T) {
	q := newQuotaCluster(t, 8, yuccapaddle.WorkspaceGrant{Name: "ws", Quota: yuccapaddle.Need{CPU: 80000}}, yuccapaddle.WorkspaceGrant{Name: "free"})
	reason := func(workspace string, s yuccapaddle.Step) string {
		return q.p.InfeasibleByQuota(&yuccapaddle.Job{ID: "x", Queue: queueBatch, Workspace: workspace, Steps: []yuccapaddle.Step{s}})
	}
	q.c.Check(reason("ws", wideGang), qt.Equals,
		"for the quota of workspace ws: 12 tasks of 8000 cpu, 16000 MB, 1 gpu; its quota allows 10 such tasks at once")
	q.c.Check(reason("ws", smallTask), qt.Equals, "")
	q.c.Check(reason("free", wideGang), qt.Equals, "")
	q.c.Check(reason("ws", yuccapaddle.Step{Count: 1, Need: yuccapaddle.Need{CPU: 80001}}) != "", qt.IsTrue)
}

// TestQuotaStatus checks what operators see of quotas.
func TestQuotaStatus(t *testing.T) {
	q := newQuotaCluster(t, 8, yuccapaddle.WorkspaceGrant{Name: "ws", Quota: quarter, Weight: 3}, yuccapaddle.WorkspaceGrant{Name: "free"})
	q.submitFor("ws", "a", queueBatch, smallTask)
	q.playWithin(time.Second)
	q.c.Check(q.p.Status().Workspaces, qt.DeepEquals, []yuccapaddle.WorkspaceStatus{
		{Name: "ws", Weight: 3, Quota: quarter, Used: smallTask.Need.Times(8)},
	})
}

// TestWeightedShares replays two workspaces that both send more than the cluster holds: they
// get room by weight, and not by how much they send.
func TestWeightedShares(t *testing.T) {
	q := newQuotaCluster(t, 8, yuccapaddle.WorkspaceGrant{Name: "a", Weight: 1}, yuccapaddle.WorkspaceGrant{Name: "b", Weight: 3})
	held := map[string]float64{}
	const rounds = 400
	for i := range rounds {
		if i%5 == 0 { // twice what the cluster can do in total, most of it from the lighter one
			for k := range 4 {
				q.submitFor("a", fmt.Sprintf("a-%03d-%d", i, k), queueBatch, smallTask)
			}
			for k := range 3 {
				q.submitFor("b", fmt.Sprintf("b-%03d-%d", i, k), queueBatch, smallTask)
			}
		}
		q.playWithin(100 * time.Millisecond)
		if i >= 40 {
			held["a"] += float64(q.running("a").GPU)
			held["b"] += float64(q.running("b").GPU)
		}
	}
	share := held["b"] / (held["a"] + held["b"])
	q.c.Check(math.Abs(share-0.75)/0.75 < 0.05, qt.IsTrue, qt.Commentf("the share of b is %.3f", share))
}

// TestOldestNotStarved guards against a wide gang of a workspace that holds more than its
// share, which would wait as long as the other sends.
func TestOldestNotStarved(t *testing.T) {
	q := newQuotaCluster(t, 2, yuccapaddle.WorkspaceGrant{Name: "a", Weight: 1}, yuccapaddle.WorkspaceGrant{Name: "b", Weight: 9})
	long := smallTask
	long.Estimate, long.Count = 120000, 4
	q.submitFor("a", "a-long", queueBatch, long)
	q.playWithin(time.Second)
	q.submitFor("a", "a-late", queueBatch, smallTask)
	for i := range 120 {
		q.submitFor("b", fmt.Sprintf("b-%03d", i), queueBatch, smallTask)
		q.playWithin(500 * time.Millisecond)
	}
	q.c.Check(q.report("a-late").State, qt.Equals, yuccapaddle.JobCompleted)
}

// TestNoQuotaNoWeight checks that rules without quotas and weights decide as before: by
// priority and time of acceptance.
func TestNoQuotaNoWeight(t *testing.T) {
	q := newQuotaCluster(t, 2, yuccapaddle.WorkspaceGrant{Name: "a"}, yuccapaddle.WorkspaceGrant{Name: "b"})
	var order []string
	for i, ws := range []string{"a", "a", "a", "b", "a", "b"} {
		id := fmt.Sprintf("j%d", i)
		q.submitFor(ws, id, queueBatch, smallTask)
		order = append(order, id)
		q.playWithin(40 * time.Millisecond)
	}
	q.playWithin(10 * time.Second)
	slices.SortStableFunc(order, func(a, b string) int {
		return q.startedAt[yuccapaddle.TaskID{Job: a}][0].Compare(q.startedAt[yuccapaddle.TaskID{Job: b}][0])
	})
	q.c.Check(order, qt.DeepEquals, []string{"j0", "j1", "j2", "j3", "j4", "j5"})
}

// TestOrphanOfNoStep guards against a worker that lists a run of a step which its job does not
// have: the planner ended with it, on one host after the other.
func TestOrphanOfNoStep(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.submit("b", queueBatch, yuccapaddle.Step{Count: 1, Need: oneGPUTask, Estimate: 1000})
	for _, step := range []int{-51, -1, 1, 99} {
		sim.p.HandlePollReply("w00", &yuccapaddle.HoldReply{
			Incarnation: 1, Running: []yuccapaddle.Run{{Task: yuccapaddle.TaskID{Job: "b", Step: step}, Run: 1}},
		}, sim.p.NextPoll())
		sim.advance(time.Second)
	}
	sim.p.HandlePollReply("w00", &yuccapaddle.HoldReply{Incarnation: 1}, sim.p.NextPoll())
	sim.advance(3 * time.Second)
	report, _, _ := sim.p.Report("b")
	sim.c.Check(report.State, qt.Equals, yuccapaddle.JobCompleted)
}
