package executor_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
)

const (
	// stepTime is the time between two steps of a sequence. All steps together take less than
	// the shortest call.
	stepTime = 10 * time.Millisecond
	// sequenceSteps is the number of steps of a sequence, and sequenceRestarts how often the
	// worker restarts in it at most.
	sequenceSteps    = 8
	sequenceRestarts = 2
)

// enumerator enumerates all sequences of choices where the options depend on earlier choices.
type enumerator struct {
	t      *testing.T
	taken  []int
	counts []int // number of options of each choice
	next   int
}

// choose returns the next choice out of n options.
func (e *enumerator) choose(n int) int {
	if e.next == len(e.taken) {
		e.taken, e.counts = append(e.taken, 0), append(e.counts, n)
	}
	qt.Assert(e.t, n, qt.Equals, e.counts[e.next], qt.Commentf("options differ when a sequence is played again"))
	e.next++
	return e.taken[e.next-1]
}

// advance moves on to the next sequence and reports whether there is one.
func (e *enumerator) advance() bool {
	e.next = 0
	for last := len(e.taken) - 1; last >= 0; last-- {
		e.taken[last]++
		if e.taken[last] < e.counts[last] {
			return true
		}
		e.taken, e.counts = e.taken[:last], e.counts[:last]
	}
	return false
}

// steppedHold is a hold that the host has sent.
type steppedHold struct {
	name    string
	order   yuccapaddle.HoldOrder
	carried bool // carried out
	reply   yuccapaddle.HoldReply
	err     error
	done    chan struct{} // closed when the reply arrives
}

// steppedRunner is a Runner that leaves the first start without an answer. Once stepped is set,
// the holds to the worker of that start are carried out and answered one step at a time. The
// process that carries a hold out answers it.
type steppedRunner struct {
	*rig
	mu       sync.Mutex
	worker   string // of the first start
	late     yuccapaddle.StartOrder
	stepped  bool
	sent     int
	holds    []*steppedHold // that have not been answered yet
	answered map[int64]bool // incarnations of which an answer has arrived
	restarts int
	steps    []string
	finding  string
}

// Start implements yuccapaddle.Runner.
func (s *steppedRunner) Start(ctx context.Context, w *yuccapaddle.Worker, o yuccapaddle.StartOrder) (int64, error) {
	if s.keepBack(w, o) {
		<-ctx.Done()
		return 0, yuccapaddle.ErrNoAnswer
	}
	s.checkLate(ctx, w, o)
	return s.rig.Start(ctx, w, o)
}

// keepBack reports whether the start is the first one, which is carried out late or never.
func (s *steppedRunner) keepBack(w *yuccapaddle.Worker, o yuccapaddle.StartOrder) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.worker != "" {
		return false
	}
	s.worker, s.late = w.ID, o
	return true
}

// checkLate has the late start carried out when a later run begins, since the host takes the
// run for over then. The worker's present process must refuse it if the host has had an answer
// of that process.
func (s *steppedRunner) checkLate(ctx context.Context, w *yuccapaddle.Worker, o yuccapaddle.StartOrder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	worker := s.workers[s.worker]
	if o.Run <= s.late.Run || s.finding != "" || !s.answered[worker.Worker().Incarnation] {
		return
	}
	if _, err := worker.Start(ctx, s.late); err == nil {
		s.finding = fmt.Sprintf("run %d on %s beside run %d on %s: %s", o.Run, w.ID, s.late.Run, s.worker, strings.Join(s.steps, ", "))
	}
}

// Hold implements yuccapaddle.Runner.
func (s *steppedRunner) Hold(ctx context.Context, w *yuccapaddle.Worker, o yuccapaddle.HoldOrder) (yuccapaddle.HoldReply, error) {
	h := s.addHold(w, o)
	if h == nil {
		return s.rig.Hold(ctx, w, o)
	}
	select {
	case <-h.done:
		return h.reply, h.err
	case <-ctx.Done():
		return yuccapaddle.HoldReply{}, yuccapaddle.ErrNoAnswer
	}
}

// addHold returns a hold that is to be stepped, nil if it is not.
func (s *steppedRunner) addHold(w *yuccapaddle.Worker, o yuccapaddle.HoldOrder) *steppedHold {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stepped || w.ID != s.worker {
		return nil
	}
	h := &steppedHold{name: string(rune('A' + s.sent)), order: o, done: make(chan struct{})}
	h.order.WaitMS = 0
	s.sent++
	s.holds = append(s.holds, h)
	return h
}

func (s *steppedRunner) setStepped(stepped bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stepped = stepped
}

// pending returns the holds that have not been answered yet.
func (s *steppedRunner) pending() []*steppedHold {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.holds)
}

// awaitHolds waits until n holds are under way.
func (s *steppedRunner) awaitHolds(n int) {
	for len(s.pending()) < n {
		time.Sleep(stepTime)
		synctest.Wait()
	}
}

// step restarts the worker, or has a hold carried out or answered, as the enumerator chooses.
func (s *steppedRunner) step(e *enumerator) {
	holds := s.pending()
	options := len(holds)
	if s.restarts < sequenceRestarts {
		options++
	}
	if options == 0 {
		return
	}
	switch n := e.choose(options); {
	case n == len(holds):
		s.restart()
	case !holds[n].carried:
		s.carryOut(holds[n])
	default:
		s.answer(holds[n])
	}
	time.Sleep(stepTime)
	synctest.Wait()
}

func (s *steppedRunner) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restarts++
	s.workers[s.worker].Restart()
	s.steps = append(s.steps, "restart")
}

func (s *steppedRunner) carryOut(h *steppedHold) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h.carried = true
	h.reply, h.err = s.workers[s.worker].Hold(s.t.Context(), h.order)
	s.steps = append(s.steps, fmt.Sprintf("%s (token %x) carried out", h.name, h.order.Token))
}

// answer lets the reply to a hold arrive.
func (s *steppedRunner) answer(h *steppedHold) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holds = slices.DeleteFunc(s.holds, func(other *steppedHold) bool { return other == h })
	s.answered[h.reply.Incarnation] = h.err == nil
	s.steps = append(s.steps, h.name+" answered")
	close(h.done)
}

// finish leaves the remaining holds without an answer.
func (s *steppedRunner) finish() {
	s.setStepped(false)
	for _, h := range s.pending() {
		h.err = yuccapaddle.ErrNoAnswer
		close(h.done)
	}
}

// TestOrderOfHoldReplies guards against two runs of a task at once: while two holds and a copy
// of its start are under way the worker restarts, also twice. In no order of what happens may
// the run count as over while the worker's process, of which the host has had an answer, can
// begin it.
func TestOrderOfHoldReplies(t *testing.T) {
	for _, takeOver := range []bool{false, true} {
		t.Run(map[bool]string{false: "same host", true: "at a takeover"}[takeOver], func(t *testing.T) {
			findings, sequences := []string{}, 0
			for e, more := (&enumerator{t: t}), true; more; more = e.advance() {
				sequences++
				if finding := playHoldReplies(t, e, takeOver); finding != "" {
					findings = append(findings, finding)
				}
			}
			t.Logf("%d sequences", sequences)
			qt.Check(t, findings, qt.HasLen, 0)
		})
	}
}

// playHoldReplies plays one sequence and returns what was found, the empty string for nothing.
// If takeOver is set, the host has not had an answer of the worker before.
func playHoldReplies(t *testing.T, e *enumerator, takeOver bool) (finding string) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 2)
		r.leaveWithinMS = 1500 // the registrations are read soon enough for the second hold
		s := &steppedRunner{rig: r, answered: map[int64]bool{}}
		r.runner = s
		r.takeOver()
		defer func() { r.close() }()
		r.taskTime.Store(int64(20 * time.Second))
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 20000})
		time.Sleep(2 * time.Second)
		r.c.Assert(r.running("a"), qt.Equals, 1)
		r.workers[s.worker].Drain() // the task goes elsewhere
		if takeOver {
			r.stop()
			synctest.Wait()
			// The host polls a worker at once if its registered clock is low.
			r.odd.Store(change(s.worker, func(w *yuccapaddle.Worker) { w.Clock = 60_000 }))
		}
		s.setStepped(true)
		if takeOver {
			r.takeOver()
		}
		s.awaitHolds(1)
		r.odd.Store(change(s.worker, func(w *yuccapaddle.Worker) { w.Incarnation, w.Clock = w.Incarnation+3_600_000, 0 }))
		s.awaitHolds(2)
		for range sequenceSteps {
			s.step(e)
		}
		s.finish()
		finding = s.finding
	})
	return finding
}
