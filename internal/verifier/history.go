package verifier

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"

	"yuccapaddle"
)

// Run is one period in which a task ran on a worker, as the workers recorded it.
// Lease names the attempt. Resumed runs continue from a checkpoint, and Done ones
// completed. EndAt is zero while the task runs.
type Run struct {
	Key, Lease, Worker, Domain string
	Rank                       int
	Resumed, Done              bool
	StartAt, EndAt             time.Time
}

// Exclusion is a period in which a failure domain, an upstream or a worker is out of
// service, so that no task may start there. It lasts from the acceptance of the
// order that takes it out until the order that brings it back; To is zero if there
// has been none.
type Exclusion struct {
	// Covers reports whether the exclusion includes the worker of the run.
	Covers   func(r *Run) bool
	Name     string
	From, To time.Time
}

// History is what happened in a test session, up to Now.
type History struct {
	Runs     []Run
	Requests map[string]*yuccapaddle.Request // by request key
	// Outcomes lists, by request key, the outcomes reported to any caller, in order.
	Outcomes map[string][]yuccapaddle.Outcome
	// ExpectedPart returns the expected part of the answer for a rank of a request.
	ExpectedPart func(key string, rank int) string
	Exclusions   []Exclusion
	// ExclusionGrace is how long after From of an Exclusion a task may still start there.
	ExclusionGrace time.Duration
	// MaxPartialTime is how long members of a gang may run without the others.
	MaxPartialTime time.Duration
	Now            time.Time
}

// Check returns an error for every violation that it finds.
func (h *History) Check() []error {
	var out []error
	out = append(out, h.checkAtMostOnce()...)
	out = append(out, h.checkGangs()...)
	out = append(out, h.checkOutcomes()...)
	out = append(out, h.checkExclusions()...)
	return out
}

// checkAtMostOnce checks that no task of a request that is not repeatable runs
// twice. It may resume from a checkpoint once its previous run has ended, unless
// that run completed.
func (h *History) checkAtMostOnce() []error {
	byTask := map[string][]Run{}
	for _, r := range h.Runs {
		if req := h.Requests[r.Key]; req != nil && !req.Repeatable {
			task := fmt.Sprintf("%s#%d", r.Key, r.Rank)
			byTask[task] = append(byTask[task], r)
		}
	}
	var out []error
	for _, task := range slices.Sorted(maps.Keys(byTask)) {
		if err := h.checkTaskRuns(task, byTask[task]); err != nil {
			out = append(out, err)
		}
	}
	return out
}

func (h *History) checkTaskRuns(task string, runs []Run) error {
	sort.SliceStable(runs, func(a, b int) bool { return runs[a].StartAt.Before(runs[b].StartAt) })
	for i, r := range runs[1:] {
		prev := runs[i]
		switch {
		case !r.Resumed:
			return fmt.Errorf("task %s is not repeatable and ran twice", task)
		case prev.Done:
			return fmt.Errorf("task %s is not repeatable and was resumed after it was done", task)
		case h.endTime(prev).After(r.StartAt):
			return fmt.Errorf("task %s is not repeatable and was resumed before its previous run ended", task)
		}
	}
	return nil
}

// checkGangs checks that while a task of an attempt runs, the other tasks run too
// or are done, in this attempt or an earlier one that it resumes. At the start and
// end of an attempt, tasks may run without the others for up to MaxPartialTime.
func (h *History) checkGangs() []error {
	byLease := map[string][]Run{}
	for _, r := range h.Runs {
		byLease[r.Lease] = append(byLease[r.Lease], r)
	}
	var out []error
	for lease, runs := range byLease {
		req := h.Requests[runs[0].Key]
		if req == nil {
			continue
		}
		if partial := h.partialRunTime(runs, req.Tasks-h.countDoneBefore(runs[0])); partial > h.MaxPartialTime {
			out = append(out, fmt.Errorf("gang %s ran incompletely for %v", lease, partial))
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Error() < out[b].Error() })
	return out
}

// countDoneBefore returns how many tasks of the run's request were done in other
// attempts by the time the run started; 0 if the run was not resumed.
func (h *History) countDoneBefore(run Run) int {
	if !run.Resumed {
		return 0
	}
	done := map[int]bool{}
	for _, r := range h.Runs {
		if r.Key == run.Key && r.Lease != run.Lease && r.Done && !r.EndAt.After(run.StartAt) {
			done[r.Rank] = true
		}
	}
	return len(done)
}

// partialRunTime returns how long members of an attempt ran while others had not
// started yet, never started or had stopped before they were done. tasks is the
// number of members that the attempt should have.
func (h *History) partialRunTime(runs []Run, tasks int) time.Duration {
	lastEnd, firstStart := runs[0].StartAt, runs[0].StartAt
	lastStart := runs[0].StartAt
	missingSince := time.Time{}
	for _, r := range runs {
		end := h.endTime(r)
		if end.After(lastEnd) {
			lastEnd = end
		}
		if r.StartAt.Before(firstStart) {
			firstStart = r.StartAt
		}
		if r.StartAt.After(lastStart) {
			lastStart = r.StartAt
		}
		stopped := !r.Done && !r.EndAt.IsZero()
		if stopped && (missingSince.IsZero() || r.EndAt.Before(missingSince)) {
			missingSince = r.EndAt
		}
	}
	if len(runs) < tasks {
		missingSince = firstStart
	}
	partial := lastStart.Sub(firstStart)
	if !missingSince.IsZero() {
		partial = max(partial, lastEnd.Sub(missingSince))
	}
	return partial
}

// endTime returns the end of a run, or Now if it is still running.
func (h *History) endTime(r Run) time.Time {
	if r.EndAt.IsZero() {
		return h.Now
	}
	return r.EndAt
}

// checkOutcomes checks that the outcomes reported to callers agree with what ran,
// and that the final verdict of a request does not change.
func (h *History) checkOutcomes() []error {
	ran := map[string]bool{}
	for _, r := range h.Runs {
		ran[r.Key] = true
	}
	var out []error
	for key, outcomes := range h.Outcomes {
		finalVerdict := yuccapaddle.Verdict("")
		for _, o := range outcomes {
			if err := h.checkOutcome(key, o, ran[key]); err != nil {
				out = append(out, err)
			}
			if !o.Verdict.Final() || o.Verdict == yuccapaddle.VerdictRefused {
				continue
			}
			if finalVerdict != "" && finalVerdict != o.Verdict {
				out = append(out, fmt.Errorf("request %s: final verdict changed from %s to %s", key, finalVerdict, o.Verdict))
			}
			finalVerdict = o.Verdict
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Error() < out[b].Error() })
	return out
}

// checkOutcome checks one reported outcome; ran tells whether any task of the
// request ran. An outcome without a run is an error then only if no report to a
// caller shows that the request was accepted, or if it is a cancellation. A done
// request must have the expected parts.
func (h *History) checkOutcome(key string, o yuccapaddle.Outcome, ran bool) error {
	notRun := o.Verdict == yuccapaddle.VerdictRefused || (o.Verdict.Final() && !o.MayHaveRun)
	accepted := false
	for _, other := range h.Outcomes[key] {
		accepted = accepted || (other.Verdict != yuccapaddle.VerdictRefused && other.Verdict != yuccapaddle.VerdictNotFound && other.Verdict != yuccapaddle.VerdictUnknown)
	}
	if notRun && ran && !accepted {
		return fmt.Errorf("request %s was reported as %s without having run, but it ran", key, o.Verdict)
	}
	if o.Verdict == yuccapaddle.VerdictCancelled && !o.MayHaveRun && ran {
		return fmt.Errorf("request %s was reported as cancelled before its start, but it ran", key)
	}
	if o.Verdict != yuccapaddle.VerdictDone || h.Requests[key] == nil {
		return nil
	}
	if len(o.Parts) != h.Requests[key].Tasks {
		return fmt.Errorf("request %s got %d parts of %d", key, len(o.Parts), h.Requests[key].Tasks)
	}
	for rank, p := range o.Parts {
		if want := h.ExpectedPart(key, rank); string(p) != want {
			return fmt.Errorf("request %s got part %d %s, want %s", key, rank, p, want)
		}
	}
	return nil
}

// checkExclusions checks that no task started on a worker that was out of service.
func (h *History) checkExclusions() []error {
	var out []error
	for _, e := range h.Exclusions {
		for i := range h.Runs {
			r := &h.Runs[i]
			late := r.StartAt.After(e.From.Add(h.ExclusionGrace)) && (e.To.IsZero() || r.StartAt.Before(e.To))
			if late && e.Covers(r) {
				out = append(out, fmt.Errorf("task %s#%d started at %s %v after it was taken out of service", r.Key, r.Rank, e.Name, r.StartAt.Sub(e.From)))
			}
		}
	}
	return out
}
