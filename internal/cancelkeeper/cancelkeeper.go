// Package cancelkeeper keeps cancellations of jobs that no host knows. A submission of such a job
// may still be on its way, in a host that stands still; it must not run once its caller has been
// told that there is no such job.
package cancelkeeper

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"yuccapaddle"
)

// maxPerOwner bounds the cancellations that are kept for a workspace, or for a queue that needs
// no key.
const maxPerOwner = 1000

// digestBytes is the length of the digest of a caller in a key, before it is encoded.
const digestBytes = 8

// CancelKeeper holds the cancellations. It is not safe for concurrent use.
type CancelKeeper struct {
	byJob    map[string][]cancellation
	count    map[string]int // by owner
	expireAt time.Time      // no cancellation is kept for less long, zero if there is none
}

// cancellation is kept until a time.
type cancellation struct {
	key    string
	caller yuccapaddle.Caller
	until  time.Time
}

// New returns a CancelKeeper that holds nothing.
func New() *CancelKeeper {
	return &CancelKeeper{byJob: map[string][]cancellation{}, count: map[string]int{}}
}

// Add keeps a caller's cancellation of a job until a time. It returns the record to store, and
// false if too many are kept for the caller's workspace. A cancellation that is repeated is kept
// once, for longer.
func (k *CancelKeeper) Add(job string, c yuccapaddle.Caller, until time.Time) (yuccapaddle.JobRecord, bool) {
	c.Version = 0 // the caller is the same by any version of the rules
	value, err := json.Marshal(&c)
	if err != nil {
		panic(fmt.Sprintf("a caller cannot be encoded: %v", err)) // it holds only strings and numbers
	}
	digest := sha256.Sum256(value)
	added := cancellation{key: job + "/" + hex.EncodeToString(digest[:digestBytes]), caller: c, until: until}
	if !k.keep(job, added) {
		return yuccapaddle.JobRecord{}, false
	}
	return yuccapaddle.JobRecord{ID: added.key, Cancellation: value}, true
}

// Restore keeps a cancellation from its record until a time, whatever the bound: a former host
// has answered it.
func (k *CancelKeeper) Restore(stored *yuccapaddle.StoredJob, until time.Time) error {
	job, _, ok := strings.Cut(stored.CancellationKey, "/")
	if !ok || job == "" {
		return errors.New("a cancellation names no job")
	}
	var c yuccapaddle.Caller
	if err := json.Unmarshal(stored.Cancellation, &c); err != nil {
		return fmt.Errorf("decode a cancellation of job %q: %w", job, err)
	}
	k.byJob[job] = append(k.byJob[job], cancellation{key: stored.CancellationKey, caller: c, until: until})
	k.count[owner(&c)]++
	k.expireBy(until)
	return nil
}

// keep adds a cancellation, or replaces the same one.
func (k *CancelKeeper) keep(job string, added cancellation) bool {
	for i := range k.byJob[job] {
		if k.byJob[job][i].key == added.key {
			k.byJob[job][i] = added
			return true
		}
	}
	o := owner(&added.caller)
	if k.count[o] >= maxPerOwner {
		return false
	}
	k.count[o]++
	k.byJob[job] = append(k.byJob[job], added)
	k.expireBy(added.until)
	return true
}

// expireBy makes expireAt no later than t.
func (k *CancelKeeper) expireBy(t time.Time) {
	if k.expireAt.IsZero() || t.Before(k.expireAt) {
		k.expireAt = t
	}
}

// Cancels reports whether one of the cancellations is that of a job: its caller may see the job by
// rules r.
func (k *CancelKeeper) Cancels(j *yuccapaddle.Job, r *yuccapaddle.Rules) bool {
	return slices.ContainsFunc(k.byJob[j.ID], func(c cancellation) bool { return c.caller.MaySee(j, r) })
}

// Expire removes the cancellations that are kept until now, and returns their records.
func (k *CancelKeeper) Expire(now time.Time) []yuccapaddle.JobRecord {
	if k.expireAt.IsZero() || now.Before(k.expireAt) {
		return nil
	}
	k.expireAt = time.Time{}
	var removed []yuccapaddle.JobRecord
	for job, list := range k.byJob {
		left := slices.DeleteFunc(list, func(c cancellation) bool {
			if now.Before(c.until) {
				k.expireBy(c.until)
				return false
			}
			removed = append(removed, yuccapaddle.JobRecord{ID: c.key, Cancellation: []byte{}})
			k.release(owner(&c.caller))
			return true
		})
		if len(left) == 0 {
			delete(k.byJob, job)
			continue
		}
		k.byJob[job] = left
	}
	return removed
}

func (k *CancelKeeper) release(owner string) {
	k.count[owner]--
	if k.count[owner] == 0 {
		delete(k.count, owner)
	}
}

// owner returns for whom a caller's cancellations are counted.
func owner(c *yuccapaddle.Caller) string {
	if c.Workspace != "" {
		return "workspace " + c.Workspace
	}
	return "queue " + c.Queue
}
