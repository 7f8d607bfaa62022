package taskrunner

import (
	"context"
	"slices"
	"time"

	"yuccapaddle"
)

// maxListedEnds is how many ends a worker lists at a time.
const maxListedEnds = 500

// Hold renews the lease and returns the runs and ends. It waits up to o.WaitMS
// milliseconds for an end if there is none.
func (tr *TaskRunner) Hold(ctx context.Context, o yuccapaddle.HoldOrder) (reply yuccapaddle.HoldReply, err error) {
	waitUntil := time.Now().Add(time.Duration(o.WaitMS) * time.Millisecond)
	crashCount := 0
	err = tr.deliver(ctx, func() error {
		if o.Token < tr.token {
			return tr.refuse(yuccapaddle.RefusedOutdated)
		}
		tr.token = o.Token
		tr.acknowledge(o.AckedEnd)
		if o.Deadline != 0 {
			tr.extendLease(o.Deadline)
		}
		crashCount = tr.crashCount
		return nil
	})
	for err == nil && tr.noEnds(crashCount) && time.Now().Before(waitUntil) && ctx.Err() == nil {
		time.Sleep(pollInterval)
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.endDueRuns()
	if err == nil && tr.crashCount != crashCount {
		return yuccapaddle.HoldReply{}, yuccapaddle.ErrNoAnswer
	}
	return tr.holdReply(), err
}

// noEnds reports whether no run has ended and the worker has not crashed again since it
// had crashed crashCount times.
func (tr *TaskRunner) noEnds(crashCount int) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.endDueRuns()
	return tr.crashCount == crashCount && len(tr.ends) == 0
}

func (tr *TaskRunner) holdReply() yuccapaddle.HoldReply {
	reply := yuccapaddle.HoldReply{Incarnation: tr.registration.Incarnation, Clock: tr.clock(), Ended: slices.Clone(tr.ends)}
	if len(reply.Ended) >= maxListedEnds {
		reply.Ended, reply.Truncated = reply.Ended[:maxListedEnds], true
	}
	for t, r := range tr.runs {
		percent := 0
		if r.duration > 0 {
			percent = int(100 * time.Since(r.startedAt) / r.duration)
		}
		reply.Running = append(reply.Running, yuccapaddle.Run{Task: t, Run: r.order.Run, Percent: min(percent, 99), Gauge: tr.gauge})
	}
	return reply
}
