package planner_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
)

// unansweredTime is how long a start may be sent again without an answer, until its run is
// stopped, and for the stop to be committed.
const unansweredTime = 2 * time.Second

// restartLead is how long before a start a worker restarts of which the host has not learned.
const restartLead = 1500 * time.Millisecond

// crashAtStart waits for the nth answered start of the only task, after which its worker
// crashes at once.
func (h *rebornHistory) crashAtStart(task yuccapaddle.TaskID, n int) {
	h.stepUntil(func() bool { return len(h.startedOn[task]) == n })
	h.crash(h.startedOn[task][n-1], backAsOther)
}

// placeOnly cuts all workers off until the only task is placed on another one than before, and
// returns that one.
func (h *rebornHistory) placeOnly() string {
	for id := range h.registered {
		h.dead[id] = true
	}
	former := h.p.BusyWorkers()
	h.stepUntil(func() bool { return len(h.p.BusyWorkers()) == 1 && !slices.Equal(h.p.BusyWorkers(), former) })
	return h.p.BusyWorkers()[0]
}

// stopUnanswered cuts all workers off until a start of the only task has had no answer and its
// run is being stopped, and returns its worker.
func (h *rebornHistory) stopUnanswered() string {
	id := h.placeOnly()
	for until := h.now.Add(unansweredTime); h.now.Before(until); {
		h.step()
	}
	clear(h.dead)
	return id
}

// stepUntil moves the time forward until the condition holds.
func (h *rebornHistory) stepUntil(condition func() bool) {
	for until := h.now.Add(time.Minute); !condition(); {
		h.c.Assert(h.now.Before(until), qt.IsTrue, qt.Commentf("%s", h.report("a").Reason))
		h.step()
	}
}

// TestUnansweredOverTakeover checks that a sound task is not given up after two crashes, the
// second of a worker that had left its start without an answer until the run was stopped, when
// another host takes over before it learns of the crash.
func TestUnansweredOverTakeover(t *testing.T) {
	h := newRebornHistory(t, 0)
	h.submit("a", queueBatch, longTask)
	task := yuccapaddle.TaskID{Job: "a"}
	h.crashAtStart(task, 1)
	id := h.stopUnanswered()
	h.crash(id, backAsOther)
	h.takeOver()
	h.stepUntil(func() bool { return len(h.startedOn[task]) == 2 })
	h.c.Check(h.p.View("a").Steps[0].Crashes, qt.Equals, 2)
}

// TestAnsweredAfterTakeover checks that a sound task is not given up for the crash of a worker
// that a former host had started it on if the worker has answered the present one long after
// the start.
func TestAnsweredAfterTakeover(t *testing.T) {
	h := newRebornHistory(t, 0)
	h.submit("a", queueBatch, longTask)
	task := yuccapaddle.TaskID{Job: "a"}
	h.crashAtStart(task, 1)
	for range 2 {
		id := h.stopUnanswered()
		h.takeOver()
		h.step()
		h.crash(id, backAsOther)
	}
	h.stepUntil(func() bool { return len(h.startedOn[task]) == 2 })
	h.c.Check(h.p.View("a").Steps[0].Crashes, qt.Equals, 3)
}

// TestReplacedBeforeStart checks that a sound task is not given up after two crashes if the
// second worker had restarted before the task was placed on it, and another host takes over.
func TestReplacedBeforeStart(t *testing.T) {
	h := newRebornHistory(t, 0)
	h.submit("a", queueBatch, longTask)
	task := yuccapaddle.TaskID{Job: "a"}
	h.crashAtStart(task, 1)
	id := h.placeOnly()
	restarted := h.registered[id]
	delete(h.registered, id)
	restarted.ID, restarted.Incarnation = id+"x", h.now.Add(-restartLead).UnixMilli()
	h.registered[restarted.ID] = restarted
	clear(h.dead)
	h.takeOver()
	h.stepUntil(func() bool { return len(h.startedOn[task]) == 2 })
	h.c.Check(h.p.View("a").Steps[0].Crashes, qt.Equals, 2)
}
