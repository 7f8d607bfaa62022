package rulechecker

import (
	"fmt"
	"strings"

	"yuccapaddle"
)

// address is what a caller's request is matched by.
type address struct{ authority, prefix string }

func (c *RuleChecker) checkQueues(out *collector, queues []yuccapaddle.Queue) {
	names := map[string]bool{}
	firstAt := map[address]string{}
	for i := range queues {
		q := &queues[i]
		path := fmt.Sprintf("queues[%d]", i)
		out.checkName(path+".name", "queue", q.Name, names)
		checkAddress(out, path, q)
		if first, ok := firstAt[address{q.Authority, q.Prefix}]; ok {
			out.warnf(path+".prefix", "no request matches this queue: queue %q has the same host %q and prefix %q, and comes first", first, q.Authority, q.Prefix)
		} else {
			firstAt[address{q.Authority, q.Prefix}] = q.Name
		}
		if c.services != nil && !c.services[q.Service] {
			out.errorf(path+".service", "service %q does not exist, so no worker can run the jobs of queue %q", q.Service, q.Name)
		}
		checkQueueLimits(out, path, q)
	}
}

// checkAddress warns of a queue that no request can match: every path begins with a
// slash, and the ID of a job follows the prefix.
func checkAddress(out *collector, path string, q *yuccapaddle.Queue) {
	if q.Authority == "" {
		out.warnf(path+".authority", "no request matches this queue: it has no host")
	}
	if !strings.HasPrefix(q.Prefix, "/") {
		out.warnf(path+".prefix", "no job can be submitted to this queue: prefix %q does not begin with a slash", q.Prefix)
	}
}

func checkQueueLimits(out *collector, path string, q *yuccapaddle.Queue) {
	out.checkNotNegative(path+".timeout", q.TimeoutMS)
	out.checkNotNegative(path+".objective", q.ObjectiveMS)
	switch {
	case q.Attempts < 0:
		out.checkNotNegative(path+".attempts", q.Attempts)
	case q.Attempts < 1:
		out.warnf(path+".attempts", "%d is less than 1, which sets no limit on the failures of a task", q.Attempts)
	}
	switch {
	case q.Stretch < 0:
		out.errorf(path+".stretch", "%v is negative", q.Stretch)
	case q.Stretch < 1:
		out.warnf(path+".stretch", "%v is less than 1: jobs get less time than their work takes, apart from the objective of %d ms", q.Stretch, q.ObjectiveMS)
	}
	if q.TimeoutMS > 0 && q.TimeoutMS < q.ObjectiveMS {
		out.warnf(path+".timeout", "the timeout of %d ms is less than the objective of %d ms", q.TimeoutMS, q.ObjectiveMS)
	}
}
