package executor

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"yuccapaddle"
	"yuccapaddle/internal/holder"
	"yuccapaddle/internal/recorder"
)

const (
	// refusalMargin is how long before its caller's deadline a held submission is refused.
	// The refusal has to reach the caller through another host before the deadline, or the
	// outcome is unknown to it.
	refusalMargin = 200 * time.Millisecond
	// defaultHoldTime is the deadline of a submission whose caller has given none. It is
	// what callers usually allow.
	defaultHoldTime = 3 * time.Second
	// maxHeldBytes bounds the memory of all held submissions.
	maxHeldBytes = 8 << 20
	// stepBytes is what a step of a held job takes of maxHeldBytes, and a job beside its
	// steps and texts.
	stepBytes = 256
	// maxOutageRatio is how many times the time that a caller has left an outage may have
	// lasted for its call to be held.
	maxOutageRatio = 2
	// keysPerJob is how many keys of the ledger a new job of up to 16 units takes.
	keysPerJob = 3
)

// heldMetric counts what became of submissions that were held, by outcome.
const heldMetric = "held_submissions"

// WithHeldCalls makes the executor hold up to n submissions while the ledger does not
// answer, each until shortly before its caller's deadline. Without it, or if n is 0, they
// are refused.
func WithHeldCalls(n int) Option {
	return func(e *Executor) {
		if n > 0 {
			e.held = holder.New[submission](n, maxHeldBytes, refusalMargin)
		}
	}
}

// holdSubmission holds a submission, or refuses it if there is no room, its deadline is near
// or the outage has lasted for long. It refuses an earlier call for the same job: of the two
// only this one can be admitted.
func (e *Executor) holdSubmission(s submission) {
	if s.state.Load() == submissionWithdrawn {
		return // its caller has hung up
	}
	if !e.mayCommitInTime(&s) {
		if earlier, ok := e.held.Get(s.job.ID); ok && e.held.Withdraw(s.job.ID, earlier) {
			e.refuseHeld(earlier, "replaced", "a later call for the job replaces it")
		}
		e.refuseHeld(s, "refused", "the ledger has not answered for long")
		return
	}
	replaced, held := e.held.Add(s.job.ID, s, s.deadline, e.priority(s.job), heldBytes(s.job), e.now)
	for _, earlier := range replaced {
		e.refuseHeld(earlier, "replaced", "a later call for the job replaces it")
	}
	if !held {
		e.refuseHeld(s, "refused", "the ledger does not answer, and the call cannot be held")
		return
	}
	e.meter.Count(heldMetric, "held", 1)
	e.log.Info("held", zap.String("job", s.job.ID), zap.Int64("until_ms", s.deadline.Sub(e.now).Milliseconds()), zap.Int("held", e.held.Len()))
}

func (e *Executor) refuseHeld(s submission, outcome, detail string) {
	e.meter.Count(heldMetric, outcome, 1)
	e.refuse(s, detail, zap.Int64("received_ms_ago", e.now.Sub(s.receivedAt).Milliseconds()))
}

// refuseDue refuses the held submissions whose deadlines are near.
func (e *Executor) refuseDue() {
	if e.held == nil {
		return
	}
	for _, s := range e.held.TakeDue(e.now) {
		e.refuseHeld(s, "refused", "the ledger does not answer until shortly before the deadline")
	}
}

// admitHeld admits the held submissions if no commit is in progress, so that the next
// commit contains them, and refuses those whose deadlines are near otherwise. A submission
// that is admitted too late to be committed by its deadline would leave its caller with an
// unknown outcome; refused, it can be sent again.
func (e *Executor) admitHeld() {
	if e.held == nil {
		return
	}
	if e.committing {
		e.refuseDue()
		return
	}
	held := e.held.TakeAll()
	late := e.lateAmong(held)
	for _, s := range held {
		if late[s.job.ID] {
			e.refuseHeld(s, "refused", "the commit would end after the deadline")
			continue
		}
		if e.admit(s) {
			e.heldAdmitted = true
			e.meter.Count(heldMetric, "admitted", 1)
			e.log.Info("admitted after it was held", zap.String("job", s.job.ID), zap.Int64("received_ms_ago", e.now.Sub(s.receivedAt).Milliseconds()))
		}
	}
}

// lateAmong returns the IDs of the jobs whose submissions the next commit would not contain by
// their deadlines. Those with the earliest deadlines are left out one by one, since each makes
// the commit longer for the others.
func (e *Executor) lateAmong(held []submission) map[string]bool {
	added := slices.DeleteFunc(slices.Clone(held), func(s submission) bool { return e.known(s.job.ID) })
	slices.SortFunc(added, func(a, b submission) int { return a.deadline.Compare(b.deadline) })
	late := map[string]bool{}
	for i, s := range added {
		commitEnd := e.now.Add(e.nextCommitTime(len(added) - i))
		if !s.deadline.Add(-refusalMargin).Before(commitEnd) {
			break
		}
		late[s.job.ID] = true
	}
	return late
}

// nextCommitTime returns how long a commit with n new jobs is expected to take, by the
// ledger's latency: the transactions of a commit follow one another, and those of the jobs
// that have changed come first.
func (e *Executor) nextCommitTime(n int) time.Duration {
	return e.rec.Latency() * time.Duration(1+(e.plan.NextKeys()+n*keysPerJob)/recorder.MaxChanges)
}

// mayCommitInTime reports whether a submission may be committed before its deadline: an outage
// that has lasted for some time will likely last about as long again.
func (e *Executor) mayCommitInTime(s *submission) bool {
	since := e.startedAt
	if e.committing {
		since = e.commitStartedAt
	}
	return s.deadline.Sub(e.now) >= e.now.Sub(since)/maxOutageRatio
}

// withdrawHeld removes a submission that its caller has taken back.
func (e *Executor) withdrawHeld(s submission) {
	if e.held.Withdraw(s.job.ID, s) {
		e.meter.Count(heldMetric, "withdrawn", 1)
		e.log.Info("withdrawn while it was held", zap.String("job", s.job.ID))
	}
}

// cancelHeld refuses a held submission whose job is canceled.
func (e *Executor) cancelHeld(id string, c *yuccapaddle.Caller) {
	if e.held == nil {
		return
	}
	if s, ok := e.held.Get(id); ok && c.MaySee(s.job, e.plan.Rules()) && e.held.Withdraw(id, s) {
		e.refuseHeld(s, "canceled", "the job was canceled while its submission was held")
	}
}

// orderHeld sorts the records of a batch with jobs that were held: those of earlier jobs
// come first, then the new jobs, urgent ones first. A large batch takes several
// transactions, of which the last ones may fail.
func (e *Executor) orderHeld(b *yuccapaddle.Batch) {
	if !e.heldAdmitted {
		return
	}
	e.heldAdmitted = false
	rank := func(r *yuccapaddle.JobRecord) int {
		if r.Job == nil {
			return -1
		}
		return e.priority(r.Spec)
	}
	slices.SortStableFunc(b.Records, func(x, y yuccapaddle.JobRecord) int { return cmp.Compare(rank(&x), rank(&y)) })
}

// priority returns the priority of a job, 0 for the most urgent ones.
func (e *Executor) priority(j *yuccapaddle.Job) int {
	if rules := e.rules.Current(); rules != nil {
		terms, _ := rules.TermsOf(j)
		return terms.Priority
	}
	return yuccapaddle.LowestPriority
}

// heldBytes returns about how much memory a job takes.
func heldBytes(j *yuccapaddle.Job) int {
	return len(j.Payload) + len(j.Key) + stepBytes*(len(j.Steps)+1)
}
