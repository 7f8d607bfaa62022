package planner_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
)

// rebornSeeds is how many random histories of workers that are reborn are played.
var rebornSeeds = flag.Int("rebornseeds", 8, "random histories of reborn workers")

const (
	rebornWorkers = 6 * perRack
	// cutInterval is the time between two cuts, and cutTime that until the workers behind one
	// are back.
	cutInterval = 1500 * time.Millisecond
	cutTime     = 1500 * time.Millisecond
	// maxNoticeTime is how long a worker is behind a cut at most before the host finds it
	// silent.
	maxNoticeTime = time.Second
	// startTimeout is how long the host waits for the answer to a start.
	startTimeout = 300 * time.Millisecond
	// crashLimit is how many workers have to crash under a sound task for it to be given up.
	crashLimit = 6
	// promptTime is how soon after a start a worker has to be found silent for the start to be
	// the likely cause, and promptLimit how often that has to happen.
	promptTime  = 500 * time.Millisecond
	promptLimit = 2
	// maxBadStarts is how many workers a task may take with it that crashes them.
	maxBadStarts = 5
	// sameCourseSeeds is how many of the histories are played twice.
	sameCourseSeeds = 3
	// badInterval is the number of jobs of which one crashes its workers.
	badInterval = 25
)

// rebornHistory is a random history in which some workers are cut off again and again, and
// crash and start again behind the cut.
type rebornHistory struct {
	*cluster
	rng    *rand.Rand
	dead   map[string]bool             // workers behind a cut
	lost   map[yuccapaddle.TaskID]int  // runs of each task that were lost with their worker
	prompt map[yuccapaddle.TaskID]int  // of these the runs that had just been started
	jobs   map[string]yuccapaddle.Step // by ID
}

func newRebornHistory(t testing.TB, seed uint64) *rebornHistory {
	h := &rebornHistory{
		cluster: newCluster(t, rebornWorkers), rng: rand.New(rand.NewPCG(seed, 7)),
		dead: map[string]bool{}, lost: map[yuccapaddle.TaskID]int{}, prompt: map[yuccapaddle.TaskID]int{},
		jobs: map[string]yuccapaddle.Step{},
	}
	h.crashes = h.crashUnder
	return h
}

// cut cuts off one worker in cutShare.
func (h *rebornHistory) cut() {
	for _, id := range h.sortedWorkers() {
		if !h.dead[id] && h.rng.IntN(cutShare) == 0 {
			h.cutOff(id)
		}
	}
}

// cutOff cuts off a worker, which crashes at once and is back under another ID later.
func (h *rebornHistory) cutOff(id string) {
	old := h.registered[id]
	h.dead[id] = true
	notice := time.Duration(h.rng.Int64N(int64(maxNoticeTime)))
	h.noteLost(id, notice)
	for _, task := range h.tasksOn(id) {
		delete(h.runs, task)
	}
	h.after(notice, func() {
		h.p.SetResponsive(id, false)
		delete(h.registered, id)
		h.register()
	})
	h.after(cutTime, func() { h.comeBack(old, id+"x") })
	h.after(leaseTime, func() { h.expire(id) })
}

// crashUnder makes a worker crash under a task.
func (h *rebornHistory) crashUnder(id string) {
	if h.dead[id] {
		return
	}
	h.dead[id] = true
	h.noteLost(id, 0)
	h.crash(id, backAsOther)
}

// noteLost counts the runs on a worker that is lost, which the host notices so much later.
func (h *rebornHistory) noteLost(id string, notice time.Duration) {
	for _, task := range h.tasksOn(id) {
		h.lost[task]++
		if h.now.Add(notice).Sub(h.runs[task].startedAt) <= promptTime {
			h.prompt[task]++
		}
	}
}

// step moves the time forward by stepTime.
func (h *rebornHistory) step() {
	h.p.SetTime(h.now, h.now)
	h.doDue()
	h.reportEnds()
	h.p.Plan()
	b := h.p.TakeBatch()
	starts := b.Starts
	b.Starts = nil
	for _, s := range starts {
		if !h.dead[s.Worker] {
			b.Starts = append(b.Starts, s)
		} else if h.p.Startable(&s) {
			h.p.NoteStartSent(&s)
			h.after(startTimeout, func() { h.p.HandleStartReply(s.Worker, s.Task, s.Run, yuccapaddle.ErrNoAnswer) })
		}
	}
	h.carryOut(b)
	h.now = h.now.Add(stepTime)
}

// submitRandom submits a job of single tasks or of a gang.
func (h *rebornHistory) submitRandom(n int) {
	id := fmt.Sprintf("j%03d", n)
	s := yuccapaddle.Step{Count: 1 + h.rng.IntN(4), Need: oneGPUTask, Estimate: 200 + h.rng.IntN(4000), Gang: h.rng.IntN(3) == 0}
	h.jobs[id] = s
	h.crashing[id] = n%badInterval == 0
	h.submit(id, []string{queueQuick, queueBatch}[h.rng.IntN(2)], s)
}

// play plays a minute of cuts, and a time without them.
func (h *rebornHistory) play() {
	const cuts = 40
	next, jobs := h.now, 0
	for n := 0; n < cuts; {
		if !h.now.Before(next) {
			next = h.now.Add(cutInterval)
			h.cut()
			n++
		}
		if h.rng.IntN(20) == 0 {
			h.submitRandom(jobs)
			jobs++
		}
		h.step()
	}
	for until := h.now.Add(time.Minute); h.now.Before(until); {
		h.step()
	}
}

// most returns the highest count of a job's tasks.
func (h *rebornHistory) most(id string, counts map[yuccapaddle.TaskID]int) int {
	most := 0
	for i := range h.jobs[id].Count {
		most = max(most, counts[yuccapaddle.TaskID{Job: id, Index: i}])
	}
	return most
}

// checkBad checks a job whose tasks crash their workers.
func (h *rebornHistory) checkBad(id string) {
	h.c.Check(h.report(id).State, qt.Equals, yuccapaddle.JobFailed, qt.Commentf("%s, whose tasks crash their workers", id))
	lost := h.most(id, h.lost)
	h.c.Check(lost <= maxBadStarts, qt.IsTrue, qt.Commentf("a task of %s has crashed %d workers", id, lost))
}

// checkSound checks another job, and reports whether it was given up.
func (h *rebornHistory) checkSound(id string) bool {
	report := h.report(id)
	if report.State != yuccapaddle.JobFailed {
		h.c.Check(report.State, qt.Equals, yuccapaddle.JobCompleted, qt.Commentf("%s", id))
		return false
	}
	lost, prompt := h.most(id, h.lost), h.most(id, h.prompt)
	h.c.Check(lost >= crashLimit || prompt >= promptLimit, qt.IsTrue, qt.Commentf("%s: %s, after %d crashes, %d of them prompt", id, report.Reason, lost, prompt))
	return true
}

// TestRebornHistories checks on random histories of workers that are cut off, crash and start
// again that no sound job is given up before so many workers have crashed under one of its
// tasks that chance is no likely cause, and that jobs whose tasks crash their workers are.
func TestRebornHistories(t *testing.T) {
	for seed := range *rebornSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			h := newRebornHistory(t, uint64(seed))
			h.play()
			failed, bad := 0, 0
			for id := range h.jobs {
				if h.crashing[id] {
					bad++
					h.checkBad(id)
				} else if h.checkSound(id) {
					failed++
				}
			}
			t.Logf("%d jobs, %d sound ones given up, %d crash their workers", len(h.jobs), failed, bad)
		})
	}
}

// TestUnprovenTakeover checks that a change of the active host neither forgets nor repeats
// crashes that say nothing about a task. The run under way at the change counts apart.
func TestUnprovenTakeover(t *testing.T) {
	const change = 6
	h := newRebornHistory(t, 0)
	h.submit("a", queueBatch, longTask)
	starts, latest := 0, ""
	for starts < 2*maxUnprovenStarts && !h.report("a").State.Final() {
		for id := range h.registered {
			h.dead[id] = true
		}
		h.step()
		busy := h.p.BusyWorkers()
		if len(busy) == 0 || busy[0] == latest {
			continue
		}
		latest = busy[0]
		starts++
		h.crashBehindCut(latest)
		if starts == change {
			h.takeOver()
		}
	}
	h.c.Check(starts, qt.Equals, maxUnprovenStarts+1)
}

// TestSameCourseOfCrashes checks that a random history takes the same course each time.
func TestSameCourseOfCrashes(t *testing.T) {
	for seed := range uint64(sameCourseSeeds) {
		first, again := newRebornHistory(t, seed), newRebornHistory(t, seed)
		first.play()
		again.play()
		checkSameCourse(first.c, again.decisions, first.decisions)
	}
}
