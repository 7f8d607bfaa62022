package keeper

import (
	"encoding/json"
	"time"

	"yuccapaddle"
)

// kind is the kind of change that a record makes.
type kind string

const (
	kindAccept     kind = "accept"
	kindPlace      kind = "place"
	kindRelease    kind = "release"
	kindEvict      kind = "evict"
	kindMove       kind = "move"
	kindCancelMove kind = "stay"
	kindRequeue    kind = "requeue"
	kindEnd        kind = "end"
	kindQuarantine kind = "quarantine"
	kindPurge      kind = "purge"
)

// reasonSettled marks an end record after which the upstreams are not asked again,
// even if the outcome is unknown.
const reasonSettled = "settled"

// Record is one change of the state, as stored in the journal. Only the fields that
// its kind needs are set. Records are made by the functions of this package.
type Record struct {
	Kind    kind                 `json:"k"`
	Key     string               `json:"id,omitempty"` // of the request, or the worker's name in a quarantine record
	At      time.Time            `json:"at"`
	Request *yuccapaddle.Request `json:"req,omitempty"`
	Gang    *yuccapaddle.Gang    `json:"gang,omitempty"`
	Outcome *yuccapaddle.Outcome `json:"out,omitempty"`
	Failure *yuccapaddle.Failure `json:"fail,omitempty"`
	Until   time.Time            `json:"until,omitzero"`
	// Reason is the reason of an eviction, move or quarantine. In a release record it
	// is the new state of the gang, and in an end record reasonSettled or empty.
	Reason     string `json:"why,omitempty"`
	Resume     bool   `json:"resume,omitempty"`
	MayHaveRun bool   `json:"ran,omitempty"`
	// MaybeAnswered is true if the attempt's answer may have reached the caller.
	MaybeAnswered bool `json:"blank,omitempty"`
	// Attained is the service of the attempt, in accelerator-seconds.
	Attained float64 `json:"svc,omitempty"`
	// Parts are the answers of finished tasks, by rank.
	Parts map[int]json.RawMessage `json:"parts,omitempty"`
}

// Accept returns a record that adds a request to the queue.
func Accept(r *yuccapaddle.Request, at time.Time) Record {
	return Record{Kind: kindAccept, Key: r.Key(), At: at, Request: r}
}

// Place returns a record that places a waiting request on workers.
func Place(g *yuccapaddle.Gang, at time.Time) Record {
	return Record{Kind: kindPlace, Key: g.Key, At: at, Gang: g}
}

// Reserve returns a record that advances a claimed gang to reserving, once its
// victims have left the workers.
func Reserve(key string, at time.Time) Record {
	return Record{Kind: kindRelease, Key: key, At: at, Reason: string(yuccapaddle.GangReserving)}
}

// Release returns a record that advances a gang to released: once it is committed,
// starts may be sent.
func Release(key string, at time.Time) Record {
	return Record{Kind: kindRelease, Key: key, At: at, Reason: string(yuccapaddle.GangReleased)}
}

// Evict returns a record that tells a gang to leave its workers. by is the end of the
// grace period in which it may take a checkpoint.
func Evict(key, reason string, by, at time.Time) Record {
	return Record{Kind: kindEvict, Key: key, At: at, Until: by, Reason: reason}
}

// Move returns a record that asks a gang to take a checkpoint and to continue
// elsewhere. The gang stays if it has not taken one at the time by.
func Move(key, reason string, by, at time.Time) Record {
	return Record{Kind: kindMove, Key: key, At: at, Until: by, Reason: reason}
}

// CancelMove returns a record that withdraws a move: the gang stays where it is.
func CancelMove(key string, at time.Time) Record {
	return Record{Kind: kindCancelMove, Key: key, At: at}
}

// MarkMaybeAnswered marks a requeue record: the attempt's answer may have reached the
// caller while the journal was unavailable, and no upstream can tell any more.
func MarkMaybeAnswered(r Record) Record {
	r.MaybeAnswered = true
	return r
}

// Requeue returns a record that puts the request of a stopped gang, or of a claim
// that is given up, back into the queue. A non-nil failure counts as a failed
// attempt. mayHaveRun reports whether a task of the attempt may have run, and attained
// is the service that it received, in accelerator-seconds.
func Requeue(key string, f *yuccapaddle.Failure, mayHaveRun bool, attained float64, at time.Time) Record {
	return Record{Kind: kindRequeue, Key: key, At: at, Failure: f, MayHaveRun: mayHaveRun, Attained: attained}
}

// MarkResume marks a requeue record: the next attempt continues from a checkpoint,
// without the tasks whose answers are in parts.
func MarkResume(r Record, parts map[int]json.RawMessage) Record {
	r.Resume, r.Parts = true, parts
	return r
}

// End returns a record that sets the outcome of a request. If that is unknown, the
// upstreams of its last gang are asked until they say what became of it.
func End(o *yuccapaddle.Outcome, at time.Time) Record {
	return Record{Kind: kindEnd, Key: o.Workspace + "/" + o.ID, At: at, Outcome: o}
}

// EndSettled returns an end record after which the upstreams are not asked again. If the
// outcome is still unknown, it stays so.
func EndSettled(o *yuccapaddle.Outcome, at time.Time) Record {
	r := End(o, at)
	r.Reason = reasonSettled
	return r
}

// Quarantine returns a record that excludes a worker from placements until a time; a
// zero time ends the quarantine.
func Quarantine(worker, reason string, until, at time.Time) Record {
	return Record{Kind: kindQuarantine, Key: worker, At: at, Until: until, Reason: reason}
}

// Purge returns a record that deletes a request whose retention time has passed.
func Purge(key string, at time.Time) Record {
	return Record{Kind: kindPurge, Key: key, At: at}
}
