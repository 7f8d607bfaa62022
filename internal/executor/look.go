package executor

import "time"

// lookSlack is how long after a look is due the reply to a pending hold may arrive for the
// look to be omitted.
const lookSlack = 50 * time.Millisecond

// holdWait returns how long a worker may delay its reply to a hold, in milliseconds: until
// the planner needs a report of it, if it does.
func (e *Executor) holdWait(id string) int64 {
	look := e.plan.LookAt(id)
	if look.IsZero() {
		return holdWaitMS
	}
	wait := look.Sub(e.now) + time.Millisecond - 1
	return min(max(wait.Milliseconds(), 0), holdWaitMS)
}

// sendProofPolls polls the workers that have to prove that their registration is theirs.
func (e *Executor) sendProofPolls() {
	for _, id := range e.plan.TakeProofRequests() {
		e.poll(id, e.link(id))
	}
}

// sendLooks polls the workers of which the planner needs a report now, unless the reply to
// a pending hold is about to arrive.
func (e *Executor) sendLooks() {
	due, _ := e.plan.DueLooks()
	for _, id := range due {
		l := e.link(id)
		if l.holdPending && !l.holdUntil.After(e.now.Add(lookSlack)) {
			continue
		}
		e.plan.ClearLook(id)
		e.poll(id, l)
	}
}
