package executor_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
)

// TestMoveLeaving guards against a time left that is lost between the registration and the
// decision: a task that writes checkpoints is moved before its worker leaves, and only if
// the worker tells the time left and the setting is on.
func TestMoveLeaving(t *testing.T) {
	tests := []struct {
		name       string
		move, tell bool
		starts     int
	}{
		{"told", true, true, 2},
		{"not told", true, false, 1},
		{"off", false, true, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 2)
				r.moveLeaving = tt.move
				r.taskTime.Store(int64(20 * time.Second))
				r.takeOver()
				defer r.close()
				task := yuccapaddle.Step{Count: 1, Need: yuccapaddle.Need{GPU: 1}, WritesCheckpoints: true}
				r.submit("job", "batch", task)
				time.Sleep(3 * time.Second)
				from := ""
				for id, w := range r.workers {
					if len(w.Running()) > 0 {
						from = id
					}
				}
				until := time.Time{}
				if tt.tell {
					until = time.Now().Add(5500 * time.Millisecond)
				}
				r.workers[from].DrainUntil(until)
				time.Sleep(5 * time.Second)
				r.c.Check(len(r.workers["w0"].Starts())+len(r.workers["w1"].Starts()), qt.Equals, tt.starts)
				r.c.Check(len(r.workers[from].Running()) == 0, qt.Equals, tt.starts == 2)
				if tt.starts == 2 {
					time.Sleep(30 * time.Second)
					r.c.Check(r.explainedCause("job"), qt.Matches, `.*1 x stopped before its worker left.*`)
				}
			})
		})
	}
}
