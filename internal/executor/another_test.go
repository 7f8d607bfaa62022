package executor_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"yuccapaddle"
	"yuccapaddle/internal/standin/taskrunner"
)

// startTypes are the start times in registrations of another writer under the ID of a worker.
var startTypes = []struct {
	name    string
	laterMS int64
}{
	{"own start", 0},
	{"later start", laterByMS},
}

// newPairRig returns a slot rig with two workers that have answered, the first one without
// room.
func newPairRig(t *testing.T) *rig {
	r := newSlotRig(t, 2)
	r.taskTime.Store(int64(time.Second))
	r.takeOver()
	r.submit("first", "batch", yuccapaddle.Step{Count: 2 * slots, Need: oneGPU, Estimate: 1000})
	r.waitForState("first", "batch", yuccapaddle.JobCompleted, 5*time.Second)
	r.resize("w0", 0)
	time.Sleep(time.Second)
	return r
}

// withAddressOfAnother has another writer register the address of w0 under the ID of w1 for a
// second, while w1 carries out late what it gets, and has a job placed at w1 before.
func (r *rig) withAddressOfAnother(job string, taskTime time.Duration, laterMS int64) {
	r.taskTime.Store(int64(taskTime))
	r.workers["w1"].SetFault(taskrunner.FaultDelayed)
	r.submit(job, "batch", yuccapaddle.Step{Count: slots, Need: oneGPU, Estimate: int(taskTime.Milliseconds())})
	r.odd.Store(change("w1", func(w *yuccapaddle.Worker) {
		w.Address = "w0:1"
		w.Incarnation += laterMS
	}))
	time.Sleep(time.Second)
	r.odd.Store(nil)
}

// registryOffsets are times from a read of the registrations to the start of a scene.
func registryOffsets() []time.Duration {
	var list []time.Duration
	for at := time.Duration(0); at < 700*time.Millisecond; at += 50 * time.Millisecond {
		list = append(list, at)
	}
	return list
}

// TestRefusalOfAnother guards against a refusal by the worker at a registered address that is
// not its own, taken as proof that earlier copies of the start will not be carried out: the
// tasks run twice, or, where there is room at their worker alone, that is over its capacity.
func TestRefusalOfAnother(t *testing.T) {
	const taskTime = 6 * time.Second
	for _, tt := range startTypes {
		for _, elsewhere := range []bool{true, false} {
			for _, offset := range registryOffsets() {
				t.Run(fmt.Sprintf("%s, room elsewhere %t, %v", tt.name, elsewhere, offset), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						r := newPairRig(t)
						defer func() { r.close() }()
						time.Sleep(offset)
						r.withAddressOfAnother("a", taskTime, tt.laterMS)
						var events []event
						if elsewhere {
							r.resize("w0", slots)
							events = append(events, event{time.Now().Add(10 * time.Second), func() { r.workers["w1"].SetFault(taskrunner.FaultNone) }})
						} else {
							time.Sleep(200 * time.Millisecond)
							r.workers["w1"].SetFault(taskrunner.FaultNone)
							r.submit("urgent", "quick", yuccapaddle.Step{Count: slots, Need: oneGPU, Estimate: int(taskTime.Milliseconds())})
						}
						r.play(events, time.Minute, "a")
						r.checkStarts()
					})
				})
			}
		}
	}
}

// TestClockOfAnother guards against the clock in a refusal by the worker at a registered
// address that is not its own: deadlines by it lie far ahead, so that a renewal which is
// carried out late keeps a lease that counts as over, and its tasks run twice.
func TestClockOfAnother(t *testing.T) {
	const taskTime = 20 * time.Second
	for _, tt := range startTypes {
		for _, offset := range registryOffsets() {
			t.Run(fmt.Sprintf("%s, %v", tt.name, offset), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := newPairRig(t)
					defer func() { r.close() }()
					time.Sleep(offset)
					r.withAddressOfAnother("a", taskTime, tt.laterMS)
					r.workers["w1"].SetFault(taskrunner.FaultNone)
					time.Sleep(8 * time.Second) // until the tasks run
					r.cutAfterLateOrders("a")
				})
			})
		}
	}
}

// cutAfterLateOrders has w1 carry orders out late for a while, and cuts it off then. It checks
// that no task of the job, which goes on at w0, runs twice.
func (r *rig) cutAfterLateOrders(job string) {
	r.resize("w0", slots)
	r.workers["w1"].SetFault(taskrunner.FaultDelayed)
	time.Sleep(2500 * time.Millisecond)
	r.workers["w1"].SetFault(taskrunner.FaultUnreachable)
	r.play(nil, 90*time.Second, job)
	r.checkStarts()
}

// TestClockAtTakeover guards against a clock far ahead that another writer has registered when
// a host takes over: a first renewal that is carried out late keeps a lease that counts as
// over, and its tasks run twice.
func TestClockAtTakeover(t *testing.T) {
	const taskTime = 20 * time.Second
	for _, tt := range startTypes {
		for _, offset := range registryOffsets() {
			t.Run(fmt.Sprintf("%s, %v", tt.name, offset), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := newPairRig(t)
					defer func() { r.close() }()
					time.Sleep(offset)
					r.taskTime.Store(int64(taskTime))
					r.submit("a", "batch", yuccapaddle.Step{Count: slots, Need: oneGPU, Estimate: int(taskTime.Milliseconds())})
					time.Sleep(2 * time.Second)
					r.odd.Store(change("w1", func(w *yuccapaddle.Worker) {
						w.Clock = 1 << 52
						w.Incarnation += tt.laterMS
					}))
					time.Sleep(time.Second)
					r.workers["w1"].SetFault(taskrunner.FaultDelayed)
					r.takeOver()
					time.Sleep(time.Second)
					r.odd.Store(nil)
					r.cutAfterLateOrders("a")
				})
			})
		}
	}
}
