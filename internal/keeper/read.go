package keeper

import (
	"encoding/json"
	"sort"
	"time"

	"yuccapaddle"
)

// Unsettled returns the last gangs of the requests whose outcome is unknown.
func (k *Keeper) Unsettled() []*yuccapaddle.Gang {
	out := make([]*yuccapaddle.Gang, 0, len(k.unsettled))
	for _, key := range sortedKeys(k.unsettled) {
		out = append(out, k.jobs[key].Last)
	}
	return out
}

// Gang returns the gang of a request, nil if none is placed.
func (k *Keeper) Gang(key string) *yuccapaddle.Gang {
	return k.gangs[key]
}

// Gangs returns all placed gangs by request key. The map is not to be changed.
func (k *Keeper) Gangs() map[string]*yuccapaddle.Gang {
	return k.gangs
}

// GangKeys returns the keys of all placed gangs in order.
func (k *Keeper) GangKeys() []string {
	return sortedKeys(k.gangs)
}

// Used is the number of accelerators held on a worker.
func (k *Keeper) Used(worker string) int {
	return k.used[worker]
}

// WaitingIn counts the waiting requests of a workspace.
func (k *Keeper) WaitingIn(workspace string) int {
	return k.waiting[workspace]
}

// Quarantined returns the end of a worker's quarantine, zero if there is none.
func (k *Keeper) Quarantined(worker string) time.Time {
	return k.quarantine[worker]
}

// QuarantineList returns the quarantined workers in order.
func (k *Keeper) QuarantineList() []string {
	return sortedKeys(k.quarantine)
}

// Request returns an accepted request, nil if it is not known.
func (k *Keeper) Request(key string) *yuccapaddle.Request {
	if j := k.jobs[key]; j != nil {
		return j.Request
	}
	return nil
}

// Attempt is the number of the latest placement of a request.
func (k *Keeper) Attempt(key string) int {
	if j := k.jobs[key]; j != nil {
		return j.Attempt
	}
	return 0
}

// Resumes reports whether a request goes on from a checkpoint.
func (k *Keeper) Resumes(key string) bool {
	j := k.jobs[key]
	return j != nil && j.Resume
}

// Parts returns the answers that earlier attempts have finished, by rank. The
// map is not to be changed.
func (k *Keeper) Parts(key string) map[int]json.RawMessage {
	if j := k.jobs[key]; j != nil {
		return j.Parts
	}
	return nil
}

// Ran reports whether a task of an earlier attempt may have run.
func (k *Keeper) Ran(key string) bool {
	j := k.jobs[key]
	return j != nil && j.Ran
}

// Blank reports whether an earlier attempt left no evidence, so that its answer
// may have been given out.
func (k *Keeper) Blank(key string) bool {
	j := k.jobs[key]
	return j != nil && j.Blank
}

// Failures returns the failed attempts of a request.
func (k *Keeper) Failures(key string) []yuccapaddle.Failure {
	if j := k.jobs[key]; j != nil {
		return j.Failures
	}
	return nil
}

// Waiting returns the waiting requests, oldest first.
func (k *Keeper) Waiting() []yuccapaddle.Waiting {
	keys := sortedKeys(k.queue)
	out := make([]yuccapaddle.Waiting, 0, len(keys))
	for _, key := range keys {
		j := k.jobs[key]
		w := yuccapaddle.Waiting{Request: j.Request, Attempt: j.Attempt, Since: j.Since, Attained: j.Service}
		for _, f := range j.Failures {
			if f.Worker == "" {
				continue
			}
			if w.Avoid == nil {
				w.Avoid = map[string]bool{}
			}
			w.Avoid[f.Worker] = true
		}
		out = append(out, w)
	}
	sort.SliceStable(out, func(a, b int) bool { return out[a].Since.Before(out[b].Since) })
	return out
}

// Outcome tells what is known of a request.
func (k *Keeper) Outcome(key string) yuccapaddle.Outcome {
	j := k.jobs[key]
	if j == nil {
		return yuccapaddle.Outcome{Verdict: yuccapaddle.VerdictNotFound}
	}
	if j.Outcome != nil {
		return *j.Outcome
	}
	o := yuccapaddle.Outcome{
		ID:        j.Request.ID,
		Workspace: j.Request.Workspace,
		Verdict:   yuccapaddle.VerdictWaiting,
		Attempts:  j.Attempt,
		Failures:  j.Failures,
		SubmitAt:  j.Since,
		StartAt:   j.StartAt,
		Ran:       j.Ran,
	}
	if g := k.gangs[key]; g != nil && g.State == yuccapaddle.GangReleased {
		o.Verdict, o.Ran = yuccapaddle.VerdictRunning, true
	}
	return o
}

// Expired returns the settled requests that ended before a time, in order.
func (k *Keeper) Expired(before time.Time) []string {
	var out []string
	for key, j := range k.jobs {
		if j.Outcome != nil && j.Outcome.Verdict.Final() && j.Outcome.EndAt.Before(before) {
			out = append(out, key)
		}
	}
	sort.Strings(out)
	return out
}

// Len returns the numbers of known requests and of placed gangs.
func (k *Keeper) Len() (jobs, gangs int) {
	return len(k.jobs), len(k.gangs)
}

// HasWaiting reports whether any request waits.
func (k *Keeper) HasWaiting() bool {
	return len(k.queue) > 0
}
