package keeper

import (
	"encoding/json"
	"sort"
	"time"

	"yuccapaddle"
)

// Unsettled returns the last gangs of the requests whose outcome is unknown and whose
// upstreams may still tell, in key order.
func (k *Keeper) Unsettled() []*yuccapaddle.Gang {
	out := make([]*yuccapaddle.Gang, 0, len(k.unsettled))
	for _, key := range sortedKeys(k.unsettled) {
		out = append(out, k.requests[key].UnsettledGang)
	}
	return out
}

// Gang returns the placed gang of a request, nil if there is none.
func (k *Keeper) Gang(key string) *yuccapaddle.Gang {
	return k.gangs[key]
}

// Gangs returns all placed gangs by request key. The map must not be modified.
func (k *Keeper) Gangs() map[string]*yuccapaddle.Gang {
	return k.gangs
}

// GangKeys returns the request keys of all placed gangs, sorted.
func (k *Keeper) GangKeys() []string {
	return sortedKeys(k.gangs)
}

// Used returns the number of accelerators that gangs hold on a worker, without those
// that are only claimed.
func (k *Keeper) Used(worker string) int {
	return k.used[worker]
}

// WaitingIn returns the number of waiting requests of a workspace.
func (k *Keeper) WaitingIn(workspace string) int {
	return k.waitingIn[workspace]
}

// QuarantinedUntil returns the time at which a worker's quarantine ends, zero if it has
// none.
func (k *Keeper) QuarantinedUntil(worker string) time.Time {
	return k.quarantinedUntil[worker]
}

// QuarantinedWorkers returns the names of the quarantined workers, sorted.
func (k *Keeper) QuarantinedWorkers() []string {
	return sortedKeys(k.quarantinedUntil)
}

// Request returns an accepted request, nil if it is not known.
func (k *Keeper) Request(key string) *yuccapaddle.Request {
	if rs := k.requests[key]; rs != nil {
		return rs.Request
	}
	return nil
}

// Attempt returns the number of the latest attempt of a request, 0 if it has never
// been placed.
func (k *Keeper) Attempt(key string) int {
	if rs := k.requests[key]; rs != nil {
		return rs.Attempt
	}
	return 0
}

// Resumes reports whether the next attempt of a request continues from a checkpoint.
func (k *Keeper) Resumes(key string) bool {
	rs := k.requests[key]
	return rs != nil && rs.Resume
}

// Parts returns the answers of tasks that earlier attempts finished, by rank. The map
// must not be modified.
func (k *Keeper) Parts(key string) map[int]json.RawMessage {
	if rs := k.requests[key]; rs != nil {
		return rs.Parts
	}
	return nil
}

// MayHaveRun reports whether a task of an earlier attempt may have run.
func (k *Keeper) MayHaveRun(key string) bool {
	rs := k.requests[key]
	return rs != nil && rs.MayHaveRun
}

// MaybeAnswered reports whether the answer of an earlier attempt may have reached the
// caller without being committed.
func (k *Keeper) MaybeAnswered(key string) bool {
	rs := k.requests[key]
	return rs != nil && rs.MaybeAnswered
}

// Failures returns the failures of a request's attempts, oldest first.
func (k *Keeper) Failures(key string) []yuccapaddle.Failure {
	if rs := k.requests[key]; rs != nil {
		return rs.Failures
	}
	return nil
}

// Waiting returns the waiting requests, oldest first. Avoid holds the workers on
// which a request has failed.
func (k *Keeper) Waiting() []yuccapaddle.Waiting {
	keys := sortedKeys(k.queue)
	out := make([]yuccapaddle.Waiting, 0, len(keys))
	for _, key := range keys {
		rs := k.requests[key]
		w := yuccapaddle.Waiting{Request: rs.Request, Attempt: rs.Attempt, Since: rs.AcceptedAt, Attained: rs.Attained}
		for _, f := range rs.Failures {
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

// Outcome returns the outcome of a request, or its progress if it has none yet.
func (k *Keeper) Outcome(key string) yuccapaddle.Outcome {
	rs := k.requests[key]
	if rs == nil {
		return yuccapaddle.Outcome{Verdict: yuccapaddle.VerdictNotFound}
	}
	if rs.Outcome != nil {
		return *rs.Outcome
	}
	o := yuccapaddle.Outcome{
		ID:         rs.Request.ID,
		Workspace:  rs.Request.Workspace,
		Verdict:    yuccapaddle.VerdictWaiting,
		Attempts:   rs.Attempt,
		Failures:   rs.Failures,
		SubmitAt:   rs.AcceptedAt,
		StartAt:    rs.StartAt,
		MayHaveRun: rs.MayHaveRun,
	}
	if g := k.gangs[key]; g != nil && g.State == yuccapaddle.GangReleased {
		o.Verdict, o.MayHaveRun = yuccapaddle.VerdictRunning, true
	}
	return o
}

// Expired returns the keys of the requests with a final outcome that ended before a
// time, sorted.
func (k *Keeper) Expired(before time.Time) []string {
	var out []string
	for key, rs := range k.requests {
		if rs.Outcome != nil && rs.Outcome.Verdict.Final() && rs.Outcome.EndAt.Before(before) {
			out = append(out, key)
		}
	}
	sort.Strings(out)
	return out
}

// Counts returns the number of known requests and the number of placed gangs.
func (k *Keeper) Counts() (requests, gangs int) {
	return len(k.requests), len(k.gangs)
}

// HasWaiting reports whether any request is waiting.
func (k *Keeper) HasWaiting() bool {
	return len(k.queue) > 0
}
