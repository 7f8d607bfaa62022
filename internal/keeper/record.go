package keeper

import (
	"encoding/json"
	"time"

	"yuccapaddle"
)

// kind names what a record does.
type kind string

const (
	kindAccept     kind = "accept"
	kindPlace      kind = "place"
	kindRelease    kind = "release"
	kindEvict      kind = "evict"
	kindMove       kind = "move"
	kindStay       kind = "stay"
	kindRequeue    kind = "requeue"
	kindEnd        kind = "end"
	kindQuarantine kind = "quarantine"
	kindPurge      kind = "purge"
)

// whySettled marks an end after which nothing more will be learnt.
const whySettled = "settled"

// Record is one committed change of the state. Only the fields of its kind are
// set. Records are made by the functions of this package.
type Record struct {
	Kind    kind                 `json:"k"`
	Key     string               `json:"id,omitempty"`
	At      time.Time            `json:"at"`
	Request *yuccapaddle.Request `json:"req,omitempty"`
	Gang    *yuccapaddle.Gang    `json:"gang,omitempty"`
	Outcome *yuccapaddle.Outcome `json:"out,omitempty"`
	Failure *yuccapaddle.Failure `json:"fail,omitempty"`
	Until   time.Time            `json:"until,omitzero"`
	Why     string               `json:"why,omitempty"`
	Resume  bool                 `json:"resume,omitempty"`
	Ran     bool                 `json:"ran,omitempty"`
	Blank   bool                 `json:"blank,omitempty"`
	Service float64              `json:"svc,omitempty"`
	// Parts are by rank.
	Parts map[int]json.RawMessage `json:"parts,omitempty"`
}

// Accept takes a request in.
func Accept(r *yuccapaddle.Request, at time.Time) Record {
	return Record{Kind: kindAccept, Key: r.Key(), At: at, Request: r}
}

// Place puts a waiting request on workers.
func Place(g *yuccapaddle.Gang, at time.Time) Record {
	return Record{Kind: kindPlace, Key: g.Key, At: at, Gang: g}
}

// Reserve moves a claimed gang on once its victims have gone.
func Reserve(key string, at time.Time) Record {
	return Record{Kind: kindRelease, Key: key, At: at, Why: string(yuccapaddle.GangReserving)}
}

// Release commits that starts may be sent from now on.
func Release(key string, at time.Time) Record {
	return Record{Kind: kindRelease, Key: key, At: at, Why: string(yuccapaddle.GangReleased)}
}

// Evict tells a gang to go until the deadline.
func Evict(key, why string, by, at time.Time) Record {
	return Record{Kind: kindEvict, Key: key, At: at, Until: by, Why: why}
}

// Move asks a gang to save its work until the deadline and to go on elsewhere.
func Move(key, why string, by, at time.Time) Record {
	return Record{Kind: kindMove, Key: key, At: at, Until: by, Why: why}
}

// Stay ends the wish to move a gang.
func Stay(key string, at time.Time) Record {
	return Record{Kind: kindStay, Key: key, At: at}
}

// Blank marks a requeue of an attempt of which no evidence is left: its answer
// may have been given out while the journal was out of reach.
func Blank(r Record) Record {
	r.Blank = true
	return r
}

// Requeue returns a stopped gang's request to the queue. A non-nil failure
// counts as a failed attempt; ran tells whether a task of the attempt may have
// run, and service is what it attained.
func Requeue(key string, f *yuccapaddle.Failure, ran bool, service float64, at time.Time) Record {
	return Record{Kind: kindRequeue, Key: key, At: at, Failure: f, Ran: ran, Service: service}
}

// Resume marks a requeue as one that goes on from a checkpoint, without the
// tasks whose parts are there already.
func Resume(r Record, parts map[int]json.RawMessage) Record {
	r.Resume, r.Parts = true, parts
	return r
}

// End settles a request.
func End(o *yuccapaddle.Outcome, at time.Time) Record {
	return Record{Kind: kindEnd, Key: o.Workspace + "/" + o.ID, At: at, Outcome: o}
}

// Settle ends the questions about an outcome that was unknown. If it stays
// unknown, nobody can tell any more.
func Settle(o *yuccapaddle.Outcome, at time.Time) Record {
	r := End(o, at)
	r.Why = whySettled
	return r
}

// Quarantine keeps a worker out of placements until a time; a zero time ends
// the quarantine.
func Quarantine(worker, why string, until, at time.Time) Record {
	return Record{Kind: kindQuarantine, Key: worker, At: at, Until: until, Why: why}
}

// Purge drops a settled request whose retention has ended.
func Purge(key string, at time.Time) Record {
	return Record{Kind: kindPurge, Key: key, At: at}
}
