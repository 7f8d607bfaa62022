package executor_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
)

// TestRegistrationsAfterRecords checks that a host that takes over does not wait for
// registrations that take long, since its records let it keep what runs, and that it
// places tasks once they have come.
func TestRegistrationsAfterRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 4)
		r.takeOver()
		defer r.close()
		r.submit("0000000000000001", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 2000})
		r.registryDelay = 1200 * time.Millisecond
		r.takeOver()
		time.Sleep(700 * time.Millisecond)
		r.c.Check(r.logged("jobs loaded"), qt.Equals, 2)
		r.submit("0000000000000002", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 2000})
		r.waitForState("0000000000000001", "batch", yuccapaddle.JobCompleted, 10*time.Second)
		r.waitForState("0000000000000002", "batch", yuccapaddle.JobCompleted, 10*time.Second)
	})
}

// logged returns how many lines of the hosts' logs have a message.
func (r *rig) logged(message string) int {
	r.logs.mu.Lock()
	defer r.logs.mu.Unlock()
	return strings.Count(r.logs.buf.String(), `"msg":"`+message+`"`)
}
