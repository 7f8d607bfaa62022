package planner_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
)

// gang submits a gang of two tasks that may run once, and returns its starts.
func (w *world) gang(once bool, span yuccapaddle.Span) []yuccapaddle.RunStart {
	step := yuccapaddle.Step{Count: 2, Need: yuccapaddle.Need{GPU: 4}, Gang: true, Span: span}
	w.p.Submit(&yuccapaddle.Job{ID: "once", Queue: queueBatch, Service: "svc", Steps: []yuccapaddle.Step{step}, Once: once})
	return w.starts()
}

// starts are those that would be sent now.
func (w *world) starts() []yuccapaddle.RunStart {
	w.p.Plan()
	return slices.DeleteFunc(w.p.Take().Starts, func(s yuccapaddle.RunStart) bool { return !w.p.Startable(&s) })
}

// end reports the ends of runs on their workers.
func (w *world) end(cause yuccapaddle.EndCause, runs ...yuccapaddle.RunStart) {
	for _, s := range runs {
		w.run[s.Worker]++
		w.p.Heard(s.Worker, &yuccapaddle.HoldReply{Born: 1, Ended: []yuccapaddle.End{
			{Number: w.run[s.Worker], Task: s.Task, Run: s.Run, Cause: cause},
		}}, w.p.Ask())
	}
}

func (w *world) onceReport() yuccapaddle.JobReport {
	report, _, ok := w.p.Report("once")
	w.c.Assert(ok, qt.IsTrue)
	return report
}

// TestOnce: a job that may run once is placed again only if none of its tasks can
// have started.
func TestOnce(t *testing.T) {
	refusal := &yuccapaddle.RefusalError{Reason: yuccapaddle.RefusedRoom}
	tests := []struct {
		name  string
		play  func(w *world, starts []yuccapaddle.RunStart)
		state yuccapaddle.JobState
		ran   bool
	}{
		{"refused", func(w *world, starts []yuccapaddle.RunStart) {
			for _, s := range starts {
				w.p.Answered(s.Worker, s.Task, s.Run, refusal)
			}
		}, yuccapaddle.JobQueued, false},
		{"one refused", func(w *world, starts []yuccapaddle.RunStart) {
			w.p.Answered(starts[0].Worker, starts[0].Task, starts[0].Run, nil)
			w.p.Answered(starts[1].Worker, starts[1].Task, starts[1].Run, refusal)
			w.end(yuccapaddle.EndStopped, starts[0])
		}, yuccapaddle.JobFailed, true},
		{"failed", func(w *world, starts []yuccapaddle.RunStart) {
			w.end(yuccapaddle.EndFailed, starts...)
		}, yuccapaddle.JobFailed, true},
		{"no answer, stop confirmed", func(w *world, starts []yuccapaddle.RunStart) {
			for _, s := range starts {
				w.p.Answered(s.Worker, s.Task, s.Run, yuccapaddle.ErrNoAnswer)
			}
			w.c.Check(w.starts(), qt.HasLen, 0, qt.Commentf("a second start could meet the worker's next life"))
			for _, s := range starts {
				w.c.Check(w.p.Stopped(s.Worker, s.Task, s.Run), qt.IsTrue)
				w.p.Heard(s.Worker, &yuccapaddle.HoldReply{Born: 2}, w.p.Ask())
			}
		}, yuccapaddle.JobFailed, true},
		{"no answer, lease over", func(w *world, starts []yuccapaddle.RunStart) {
			for _, s := range starts {
				w.p.Answered(s.Worker, s.Task, s.Run, yuccapaddle.ErrNoAnswer)
				w.p.Lapsed(s.Worker)
			}
		}, yuccapaddle.JobFailed, true},
		{"done", func(w *world, starts []yuccapaddle.RunStart) {
			w.end(yuccapaddle.EndDone, starts...)
		}, yuccapaddle.JobCompleted, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t, 4)
			starts := w.gang(true, "")
			w.c.Assert(starts, qt.HasLen, 2)
			tt.play(w, starts)
			w.now = w.now.Add(time.Second)
			w.p.At(w.now, w.now)
			again := len(w.starts())
			report := w.onceReport()
			w.c.Check(report.State, qt.Equals, tt.state, qt.Commentf("%s", report.Why))
			w.c.Check(again > 0, qt.Equals, !tt.state.Final())
			if tt.state.Final() {
				w.c.Check(report.Ran, qt.Equals, tt.ran)
			}
		})
	}
}

// TestOnceTakenUp: the host dies when the end of the only run is committed and the
// end of the job is not. The next host does not run it again.
func TestOnceTakenUp(t *testing.T) {
	w := newWorld(t, 4)
	job, state := []byte(`{"id":"once","q":"batch","v":"svc","once":true,"t":[{"n":1,"d":{"g":1}}]}`), []byte(`{"s":"running","o":1}`)
	w.c.Assert(w.p.Restore(job, state, [][]byte{[]byte(`[{"r":1,"b":true}]`)}), qt.IsNil)
	w.c.Check(w.starts(), qt.HasLen, 0)
	w.c.Check(w.onceReport().State, qt.Equals, yuccapaddle.JobFailed)
}

// TestSpan: a gang stays within the span that its caller gives, also when room is
// freed for it, and waits if there is none.
func TestSpan(t *testing.T) {
	place := map[yuccapaddle.Span]func(s *yuccapaddle.Worker) string{
		yuccapaddle.SpanWorker: func(s *yuccapaddle.Worker) string { return s.ID },
		yuccapaddle.SpanRack:   func(s *yuccapaddle.Worker) string { return s.Rack },
	}
	for span, of := range place {
		t.Run(string(span), func(t *testing.T) {
			w := newWorld(t, 2*perRack)
			// Single tasks leave five accelerators on each worker.
			for i := range 2 * perRack {
				w.submit(string(rune('a'+i)), queueBatch, yuccapaddle.Step{Count: 1, Need: yuccapaddle.Need{CPU: 40000, GPU: 3}, Estimate: 60000})
			}
			w.advance(100 * time.Millisecond)
			step := yuccapaddle.Step{Count: 2, Need: yuccapaddle.Need{GPU: 4}, Gang: true, Span: span, Estimate: 5000}
			w.submit("gang", queueQuick, step)
			w.advance(time.Second)
			places := map[string]bool{}
			for task, e := range w.ends {
				if task.Job == "gang" {
					s, _ := w.p.Worker(e.worker)
					places[of(&s)] = true
				}
			}
			w.c.Check(places, qt.HasLen, 1)
		})
	}
	w := newWorld(t, 2)
	w.submit("wide", queueBatch, yuccapaddle.Step{Count: 3, Need: yuccapaddle.Need{GPU: 4}, Gang: true, Span: yuccapaddle.SpanWorker})
	w.advance(time.Second)
	report, _, _ := w.p.Report("wide")
	w.c.Check(report.State, qt.Equals, yuccapaddle.JobQueued)
	view := w.p.View("wide")
	w.c.Check(view.Steps[0].Waits, qt.Equals, "for room on one worker: 3 tasks of 0 cpu, 0 MB, 4 gpu: 2 of 2 suited workers get new work")
}

// TestHopeless: a job that the empty cluster could not hold is told apart from one
// that has to wait.
func TestHopeless(t *testing.T) {
	w := newWorld(t, 2)
	ask := func(count int, span yuccapaddle.Span, need yuccapaddle.Need) string {
		step := yuccapaddle.Step{Count: count, Need: need, Gang: true, Span: span}
		return w.p.Hopeless(&yuccapaddle.Job{ID: "j", Queue: queueBatch, Steps: []yuccapaddle.Step{step}})
	}
	w.submit("full", queueBatch, yuccapaddle.Step{Count: 2, Need: yuccapaddle.Need{GPU: 8}, Estimate: 60000})
	w.advance(time.Second)
	w.c.Check(ask(2, "", yuccapaddle.Need{GPU: 8}), qt.Equals, "")
	w.c.Check(ask(2, yuccapaddle.SpanWorker, yuccapaddle.Need{GPU: 8}), qt.Equals,
		"for room on one worker: 2 tasks of 0 cpu, 0 MB, 8 gpu; the registered workers hold 1 such tasks")
	w.c.Check(ask(3, "", yuccapaddle.Need{GPU: 8}), qt.Not(qt.Equals), "")
	w.c.Check(ask(1, "", yuccapaddle.Need{GPU: 9}), qt.Not(qt.Equals), "")
	empty := newWorld(t, 0)
	w.c.Check(empty.p.Hopeless(&yuccapaddle.Job{ID: "j", Steps: []yuccapaddle.Step{{Count: 1}}}), qt.Equals, "", qt.Commentf("no worker is known yet"))
}

// TestOvertakenList: two lists are asked for; the later one, which has the run,
// arrives first, and then the earlier one, made before the start was carried out.
// It is no evidence that the run has vanished.
func TestOvertakenList(t *testing.T) {
	w := newWorld(t, 2)
	starts := w.gang(false, "")
	w.c.Assert(starts, qt.HasLen, 2)
	early, later := w.p.Ask(), w.p.Ask()
	var running []yuccapaddle.Run
	for _, s := range starts {
		running = append(running, yuccapaddle.Run{Task: s.Task, Run: s.Run})
	}
	w.p.Heard(starts[0].Worker, &yuccapaddle.HoldReply{Born: 1, Running: running}, later)
	w.p.Heard(starts[0].Worker, &yuccapaddle.HoldReply{Born: 1}, early)
	w.c.Check(w.starts(), qt.HasLen, 0, qt.Commentf("the runs are taken to be over"))
}

// TestOverfullTakeOver: a host is lost between the transactions of one batch. The
// records give the room of a worker to the run of one job, and do not tell yet that
// that of another is over. The next host starts only one of them there.
func TestOverfullTakeOver(t *testing.T) {
	w := newWorld(t, 1)
	for _, id := range []string{"old", "new"} {
		job := []byte(`{"id":"` + id + `","q":"batch","v":"svc","t":[{"n":1,"d":{"g":8}}],"ac":` + map[string]string{"old": "1", "new": "2"}[id] + `}`)
		part := []byte(`[{"r":1,"s":1,"m":[{"w":"w00"}]}]`)
		w.c.Assert(w.p.Restore(job, []byte(`{"s":"queued","o":1}`), [][]byte{part}), qt.IsNil)
	}
	w.p.Heard("w00", &yuccapaddle.HoldReply{Born: 1}, w.p.Ask())
	starts := w.starts()
	w.c.Assert(starts, qt.HasLen, 1)
	w.c.Check(starts[0].Task.Job, qt.Equals, "new")
}

// TestOpenedLater: a host is lost between the transactions of one batch. The
// records have a run of an occurrence that the state of the job does not tell of
// yet. The next host takes the job up with both.
func TestOpenedLater(t *testing.T) {
	w := newWorld(t, 1)
	job := []byte(`{"id":"timed","q":"batch","v":"svc","t":[{"n":1,"d":{"g":1}}],"f":1,"ev":1000,"x":3}`)
	part := []byte(`[{"r":1,"s":2,"d":true},{"k":1,"r":1,"s":1,"m":[{"w":"w00"}]}]`)
	w.c.Assert(w.p.Restore(job, []byte(`{"s":"running","o":1}`), [][]byte{part}), qt.IsNil)
	view := w.p.View("timed")
	w.c.Assert(view, qt.IsNotNil)
	w.c.Check(view.Steps[0].Done, qt.Equals, 1)
	w.c.Check(view.Steps[1].Placed, qt.Equals, 1)
}

// TestOrphanKeepsRoom: what a worker runs and nobody here wants takes room until it
// has ended there, and a list that was made before says nothing of that.
func TestOrphanKeepsRoom(t *testing.T) {
	w := newWorld(t, 1)
	early := w.p.Ask()
	stray := yuccapaddle.Run{Task: yuccapaddle.TaskID{Job: "stray"}, Run: 1}
	w.p.Heard("w00", &yuccapaddle.HoldReply{Born: 1, Running: []yuccapaddle.Run{stray}}, w.p.Ask())
	w.p.Submit(&yuccapaddle.Job{ID: "j", Queue: queueBatch, Service: "svc", Steps: []yuccapaddle.Step{{Count: 1, Need: yuccapaddle.Need{GPU: 8}}}})
	w.c.Check(w.starts(), qt.HasLen, 0)
	w.p.Heard("w00", &yuccapaddle.HoldReply{Born: 1}, early)
	w.c.Check(w.starts(), qt.HasLen, 0)
	w.p.Heard("w00", &yuccapaddle.HoldReply{Born: 1}, w.p.Ask())
	w.c.Check(w.starts(), qt.HasLen, 1)
}

// TestOnceAdopted: a host dies after it has committed a placement; the worker has
// started anew since and lists nothing. What may run once is not started by the next
// host: the former one may have started it in the worker's former life.
func TestOnceAdopted(t *testing.T) {
	w := newWorld(t, 1)
	job := []byte(`{"id":"once","q":"batch","v":"svc","once":true,"t":[{"n":1,"d":{"g":1}}]}`)
	w.c.Assert(w.p.Restore(job, []byte(`{"s":"queued","o":1}`), [][]byte{[]byte(`[{"r":1,"s":1,"m":[{"w":"w00"}]}]`)}), qt.IsNil)
	w.p.Heard("w00", &yuccapaddle.HoldReply{Born: 2}, w.p.Ask())
	w.c.Check(w.starts(), qt.HasLen, 0)
	w.p.Stopped("w00", yuccapaddle.TaskID{Job: "once"}, 1)
	w.p.Heard("w00", &yuccapaddle.HoldReply{Born: 2}, w.p.Ask())
	w.c.Check(w.starts(), qt.HasLen, 0)
	report := w.onceReport()
	w.c.Check(report.State, qt.Equals, yuccapaddle.JobFailed)
	w.c.Check(report.Ran, qt.IsTrue)
}
