// Package keeper holds the scheduler's state: requests, placed gangs and
// quarantined workers. The state changes only by applying records, so that a host
// that replays the journal reaches the same state.
package keeper

import (
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"yuccapaddle"
)

// Keeper holds the state. It is not safe for concurrent use.
type Keeper struct {
	requests         map[string]*requestState     // by request key
	gangs            map[string]*yuccapaddle.Gang // by request key
	quarantinedUntil map[string]time.Time         // by worker
	used             map[string]int               // accelerators held on each worker
	waitingIn        map[string]int               // waiting requests of each workspace
	queue            map[string]bool              // keys of the waiting requests
	unsettled        map[string]bool              // keys of the requests with an UnsettledGang
}

// requestState is an accepted request and its progress.
type requestState struct {
	Request    *yuccapaddle.Request  `json:"req"`
	AcceptedAt time.Time             `json:"since"`
	Attempt    int                   `json:"n"`
	Failures   []yuccapaddle.Failure `json:"fail,omitempty"`
	// Resume is true if the next attempt continues from a checkpoint.
	Resume bool `json:"resume,omitempty"`
	// MayHaveRun is true if a task of an earlier attempt may have run.
	MayHaveRun bool `json:"ran,omitempty"`
	// MaybeAnswered is true if an earlier attempt may have finished and its answer
	// may have reached the caller without being committed.
	MaybeAnswered bool `json:"blank,omitempty"`
	// Attained is the service received so far, in accelerator-seconds.
	Attained float64              `json:"svc,omitempty"`
	StartAt  time.Time            `json:"start,omitzero"`
	Outcome  *yuccapaddle.Outcome `json:"out,omitempty"`
	// Parts are the answers of the tasks that interrupted attempts finished, by
	// rank. Those tasks are not run again.
	Parts map[int]json.RawMessage `json:"parts,omitempty"`
	// UnsettledGang is the last gang of a request whose outcome is unknown. Its
	// upstreams are asked until they say what became of it.
	UnsettledGang *yuccapaddle.Gang `json:"last,omitempty"`
}

// New returns a Keeper with an empty state.
func New() *Keeper {
	return &Keeper{
		requests:         map[string]*requestState{},
		gangs:            map[string]*yuccapaddle.Gang{},
		quarantinedUntil: map[string]time.Time{},
		used:             map[string]int{},
		waitingIn:        map[string]int{},
		queue:            map[string]bool{},
		unsettled:        map[string]bool{},
	}
}

// Apply applies a record to the state. It returns an error if the record contradicts
// the state, which is a broken invariant.
func (k *Keeper) Apply(r Record) error {
	switch r.Kind {
	case kindAccept:
		return k.accept(r)
	case kindPlace:
		return k.place(r)
	case kindRelease:
		return k.release(r)
	case kindEvict, kindMove, kindCancelMove:
		return k.evict(r)
	case kindRequeue:
		return k.requeue(r)
	case kindEnd:
		return k.end(r)
	case kindQuarantine:
		k.setQuarantine(r)
		return nil
	case kindPurge:
		delete(k.requests, r.Key)
		return nil
	}
	return fmt.Errorf("journal record has unknown kind %q", r.Kind)
}

func (k *Keeper) accept(r Record) error {
	if r.Request == nil {
		return fmt.Errorf("accept record %q has no request", r.Key)
	}
	if _, ok := k.requests[r.Key]; ok {
		return fmt.Errorf("request %q is accepted twice", r.Key)
	}
	k.requests[r.Key] = &requestState{Request: r.Request, AcceptedAt: r.At}
	k.waitingIn[r.Request.Workspace]++
	k.queue[r.Key] = true
	return nil
}

func (k *Keeper) place(r Record) error {
	rs, ok := k.requests[r.Key]
	if !ok || rs.Outcome != nil || r.Gang == nil {
		return fmt.Errorf("place record %q has no waiting request", r.Key)
	}
	if k.gangs[r.Key] != nil {
		return fmt.Errorf("request %q is placed twice", r.Key)
	}
	g := *r.Gang
	rs.Attempt = g.Attempt
	k.gangs[r.Key] = &g
	k.waitingIn[g.Workspace]--
	delete(k.queue, r.Key)
	if g.State != yuccapaddle.GangClaimed {
		k.addUsed(&g, 1)
	}
	if g.State == yuccapaddle.GangReleased && rs.StartAt.IsZero() {
		rs.StartAt = r.At
	}
	return nil
}

// release changes the state of a placed gang. A claimed gang holds its accelerators
// from then on.
func (k *Keeper) release(r Record) error {
	g := k.gangs[r.Key]
	if g == nil {
		return fmt.Errorf("release record %q has no gang", r.Key)
	}
	if g.State == yuccapaddle.GangClaimed {
		k.addUsed(g, 1)
	}
	g.State = yuccapaddle.GangState(r.Reason)
	rs := k.requests[r.Key]
	if g.State == yuccapaddle.GangReleased && rs.StartAt.IsZero() {
		rs.StartAt = r.At
	}
	return nil
}

// evict records that a gang must leave or should move, or with a cancel-move record that
// it need not.
func (k *Keeper) evict(r Record) error {
	g := k.gangs[r.Key]
	if g == nil {
		return fmt.Errorf("%s record %q has no gang", r.Kind, r.Key)
	}
	g.EvictBy, g.EvictReason, g.Moving = r.Until, r.Reason, r.Kind == kindMove
	return nil
}

func (k *Keeper) requeue(r Record) error {
	rs := k.requests[r.Key]
	g := k.gangs[r.Key]
	if rs == nil || g == nil {
		return fmt.Errorf("requeue record %q has no gang", r.Key)
	}
	k.removeGang(g)
	k.waitingIn[g.Workspace]++
	k.queue[r.Key] = true
	rs.Resume = rs.Resume || r.Resume
	if r.Resume {
		rs.Parts = r.Parts
	}
	rs.MayHaveRun = rs.MayHaveRun || r.MayHaveRun
	rs.MaybeAnswered = rs.MaybeAnswered || r.MaybeAnswered
	rs.Attained += r.Attained
	if r.Failure != nil {
		rs.Failures = append(rs.Failures, *r.Failure)
	}
	return nil
}

// end sets the outcome of a request. An outcome that was unknown may be replaced.
func (k *Keeper) end(r Record) error {
	rs := k.requests[r.Key]
	if rs == nil || r.Outcome == nil {
		return fmt.Errorf("end record %q has no request", r.Key)
	}
	if rs.Outcome != nil && rs.Outcome.Verdict.Final() {
		return fmt.Errorf("request %q is ended twice", r.Key)
	}
	wasWaiting := rs.Outcome == nil
	rs.UnsettledGang = nil
	if g := k.gangs[r.Key]; g != nil {
		k.removeGang(g)
		wasWaiting = false
		if r.Outcome.Verdict == yuccapaddle.VerdictUnknown && r.Reason != reasonSettled {
			rs.UnsettledGang = g
		}
	}
	delete(k.unsettled, r.Key)
	if rs.UnsettledGang != nil {
		k.unsettled[r.Key] = true
	}
	if wasWaiting {
		k.waitingIn[rs.Request.Workspace]--
	}
	rs.Outcome, rs.Parts = r.Outcome, nil
	settled := *rs.Request // a copy: the request may be shared with another Keeper
	settled.Payload = nil
	rs.Request = &settled
	delete(k.queue, r.Key)
	return nil
}

func (k *Keeper) setQuarantine(r Record) {
	if r.Until.IsZero() {
		delete(k.quarantinedUntil, r.Key)
		return
	}
	k.quarantinedUntil[r.Key] = r.Until
}

// removeGang removes a gang and frees what it holds.
func (k *Keeper) removeGang(g *yuccapaddle.Gang) {
	if g.State != yuccapaddle.GangClaimed {
		k.addUsed(g, -1)
	}
	delete(k.gangs, g.Key)
}

// addUsed adds what a gang holds to used, or subtracts it with sign -1.
func (k *Keeper) addUsed(g *yuccapaddle.Gang, sign int) {
	for _, m := range g.Members {
		k.used[m.Worker] += sign * m.Count * g.Accelerators
		if k.used[m.Worker] == 0 {
			delete(k.used, m.Worker)
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
