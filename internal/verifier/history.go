package verifier

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"

	"yuccapaddle"
)

// Run is one period in which a task ran on a worker, as the workers recorded.
type Run struct {
	Key, Lease, Worker, Domain string
	Rank                       int
	Resumed, Done              bool
	StartAt, EndAt             time.Time
}

// Exit is a period in which no task may start at a place: a failure domain or
// an upstream's workers, from the acceptance of the order to the return.
type Exit struct {
	Place    func(r *Run) bool
	Name     string
	From, To time.Time
}

// History is what happened in a session.
type History struct {
	Runs     []Run
	Requests map[string]*yuccapaddle.Request
	// Told are all outcomes that any caller was told, in order.
	Told map[string][]yuccapaddle.Outcome
	// Whole returns the answer that a rank of a request gives.
	Whole func(key string, rank int) string
	Exits []Exit
	// ExitWithin is how long after an order a start may still happen.
	ExitWithin time.Duration
	// PartialWithin is how long members of a gang may run without the others.
	PartialWithin time.Duration
	Now           time.Time
}

// Check returns every broken promise.
func (h *History) Check() []error {
	var out []error
	out = append(out, h.atMostOnce()...)
	out = append(out, h.wholeGangs()...)
	out = append(out, h.truth()...)
	out = append(out, h.exits()...)
	return out
}

// atMostOnce: a request that is not repeatable runs once. Going on from a
// checkpoint is the same run, but only after the former run of the task has
// ended, and not if that came to its end.
func (h *History) atMostOnce() []error {
	byTask := map[string][]Run{}
	for _, r := range h.Runs {
		if req := h.Requests[r.Key]; req != nil && !req.Repeatable {
			task := fmt.Sprintf("%s#%d", r.Key, r.Rank)
			byTask[task] = append(byTask[task], r)
		}
	}
	var out []error
	for _, task := range slices.Sorted(maps.Keys(byTask)) {
		if err := h.oneRun(task, byTask[task]); err != nil {
			out = append(out, err)
		}
	}
	return out
}

func (h *History) oneRun(task string, runs []Run) error {
	sort.SliceStable(runs, func(a, b int) bool { return runs[a].StartAt.Before(runs[b].StartAt) })
	for i, r := range runs[1:] {
		former := runs[i]
		switch {
		case !r.Resumed:
			return fmt.Errorf("task %s is not repeatable and ran twice", task)
		case former.Done:
			return fmt.Errorf("task %s is not repeatable and went on after it was done", task)
		case h.end(former).After(r.StartAt):
			return fmt.Errorf("task %s is not repeatable and ran at two places at once", task)
		}
	}
	return nil
}

// wholeGangs: while any task of an attempt runs, the others run or are done, in
// it or in an attempt that it goes on from, but for a short time at its start and
// at its end.
func (h *History) wholeGangs() []error {
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
		if alone := h.alone(runs, req.Tasks-h.doneBefore(runs[0])); alone > h.PartialWithin {
			out = append(out, fmt.Errorf("gang %s ran in part for %v", lease, alone))
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Error() < out[b].Error() })
	return out
}

// doneBefore counts the tasks of a resumed run's request that came to their end
// before it in another attempt.
func (h *History) doneBefore(resumed Run) int {
	if !resumed.Resumed {
		return 0
	}
	ranks := map[int]bool{}
	for _, r := range h.Runs {
		if r.Key == resumed.Key && r.Lease != resumed.Lease && r.Done && !r.EndAt.After(resumed.StartAt) {
			ranks[r.Rank] = true
		}
	}
	return len(ranks)
}

// alone is the longest time from the moment at which a member was missing, not
// started or stopped before its end, until the last other member stopped.
func (h *History) alone(runs []Run, tasks int) time.Duration {
	last, first := runs[0].StartAt, runs[0].StartAt
	latestStart := runs[0].StartAt
	broken := time.Time{}
	for _, r := range runs {
		end := h.end(r)
		if end.After(last) {
			last = end
		}
		if r.StartAt.Before(first) {
			first = r.StartAt
		}
		if r.StartAt.After(latestStart) {
			latestStart = r.StartAt
		}
		stopped := !r.Done && !r.EndAt.IsZero()
		if stopped && (broken.IsZero() || r.EndAt.Before(broken)) {
			broken = r.EndAt
		}
	}
	if len(runs) < tasks {
		broken = first
	}
	alone := latestStart.Sub(first)
	if !broken.IsZero() {
		alone = max(alone, last.Sub(broken))
	}
	return alone
}

func (h *History) end(r Run) time.Time {
	if r.EndAt.IsZero() {
		return h.Now
	}
	return r.EndAt
}

// truth: what callers were told agrees with what ran, and stays so.
func (h *History) truth() []error {
	ran := map[string]bool{}
	for _, r := range h.Runs {
		ran[r.Key] = true
	}
	var out []error
	for key, told := range h.Told {
		final := yuccapaddle.Verdict("")
		for _, o := range told {
			if err := h.outcome(key, o, ran[key]); err != nil {
				out = append(out, err)
			}
			if !o.Verdict.Final() || o.Verdict == yuccapaddle.VerdictRefused {
				continue
			}
			if final != "" && final != o.Verdict {
				out = append(out, fmt.Errorf("request %s was first told %s, then %s", key, final, o.Verdict))
			}
			final = o.Verdict
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Error() < out[b].Error() })
	return out
}

func (h *History) outcome(key string, o yuccapaddle.Outcome, ran bool) error {
	notRun := o.Verdict == yuccapaddle.VerdictRefused || (o.Verdict.Final() && !o.Ran)
	accepted := false
	for _, other := range h.Told[key] {
		accepted = accepted || (other.Verdict != yuccapaddle.VerdictRefused && other.Verdict != yuccapaddle.VerdictNotFound && other.Verdict != yuccapaddle.VerdictUnknown)
	}
	if notRun && ran && !accepted {
		return fmt.Errorf("request %s was told %s (not run), but it ran", key, o.Verdict)
	}
	if o.Verdict == yuccapaddle.VerdictCancelled && !o.Ran && ran {
		return fmt.Errorf("request %s was told that it was cancelled before its start, but it ran", key)
	}
	if o.Verdict != yuccapaddle.VerdictDone || h.Requests[key] == nil {
		return nil
	}
	if len(o.Parts) != h.Requests[key].Tasks {
		return fmt.Errorf("request %s got %d parts of %d", key, len(o.Parts), h.Requests[key].Tasks)
	}
	for rank, p := range o.Parts {
		if want := h.Whole(key, rank); string(p) != want {
			return fmt.Errorf("request %s got part %d %s, its own is %s", key, rank, p, want)
		}
	}
	return nil
}

func (h *History) exits() []error {
	var out []error
	for _, e := range h.Exits {
		for i := range h.Runs {
			r := &h.Runs[i]
			late := r.StartAt.After(e.From.Add(h.ExitWithin)) && (e.To.IsZero() || r.StartAt.Before(e.To))
			if late && e.Place(r) {
				out = append(out, fmt.Errorf("task %s#%d started at %s %v after it was taken out", r.Key, r.Rank, e.Name, r.StartAt.Sub(e.From)))
			}
		}
	}
	return out
}
