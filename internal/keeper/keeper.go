// Package keeper keeps the scheduler's state: requests, placed gangs and
// quarantined workers. The state changes only by applying records, so that a
// host which replays the journal arrives at the same state.
package keeper

import (
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"yuccapaddle"
)

// Keeper is the state. It is not safe for concurrent use.
type Keeper struct {
	jobs       map[string]*job
	gangs      map[string]*yuccapaddle.Gang
	quarantine map[string]time.Time
	used       map[string]int
	waiting    map[string]int
	queue      map[string]bool
	unsettled  map[string]bool
}

// job is a request and what has become of it so far.
type job struct {
	Request  *yuccapaddle.Request  `json:"req"`
	Since    time.Time             `json:"since"`
	Attempt  int                   `json:"n"`
	Failures []yuccapaddle.Failure `json:"fail,omitempty"`
	Resume   bool                  `json:"resume,omitempty"`
	Ran      bool                  `json:"ran,omitempty"` // in an earlier attempt
	Blank    bool                  `json:"blank,omitempty"`
	Service  float64               `json:"svc,omitempty"`
	StartAt  time.Time             `json:"start,omitzero"`
	Outcome  *yuccapaddle.Outcome  `json:"out,omitempty"`
	// Parts are the answers of tasks that an interrupted attempt had finished,
	// by rank; the request goes on without them.
	Parts map[int]json.RawMessage `json:"parts,omitempty"`
	// Last is the gang of a request whose outcome is unknown: its upstreams are
	// asked until they tell.
	Last *yuccapaddle.Gang `json:"last,omitempty"`
}

// New returns an empty state.
func New() *Keeper {
	return &Keeper{
		jobs:       map[string]*job{},
		gangs:      map[string]*yuccapaddle.Gang{},
		quarantine: map[string]time.Time{},
		used:       map[string]int{},
		waiting:    map[string]int{},
		queue:      map[string]bool{},
		unsettled:  map[string]bool{},
	}
}

// Apply changes the state by one record. An error means that the record does
// not fit the state, which is a broken invariant.
func (k *Keeper) Apply(r Record) error {
	switch r.Kind {
	case kindAccept:
		return k.accept(r)
	case kindPlace:
		return k.place(r)
	case kindRelease:
		return k.release(r)
	case kindEvict, kindMove, kindStay:
		return k.evict(r)
	case kindRequeue:
		return k.requeue(r)
	case kindEnd:
		return k.end(r)
	case kindQuarantine:
		k.setQuarantine(r)
		return nil
	case kindPurge:
		delete(k.jobs, r.Key)
		return nil
	}
	return fmt.Errorf("journal record has unknown kind %q", r.Kind)
}

func (k *Keeper) accept(r Record) error {
	if r.Request == nil {
		return fmt.Errorf("accept record %q has no request", r.Key)
	}
	if _, ok := k.jobs[r.Key]; ok {
		return fmt.Errorf("request %q is accepted twice", r.Key)
	}
	k.jobs[r.Key] = &job{Request: r.Request, Since: r.At}
	k.waiting[r.Request.Workspace]++
	k.queue[r.Key] = true
	return nil
}

func (k *Keeper) place(r Record) error {
	j, ok := k.jobs[r.Key]
	if !ok || j.Outcome != nil || r.Gang == nil {
		return fmt.Errorf("place record %q has no waiting request", r.Key)
	}
	if k.gangs[r.Key] != nil {
		return fmt.Errorf("request %q is placed twice", r.Key)
	}
	g := *r.Gang
	j.Attempt = g.Attempt
	k.gangs[r.Key] = &g
	k.waiting[g.Workspace]--
	delete(k.queue, r.Key)
	if g.State != yuccapaddle.GangClaimed {
		k.hold(&g, 1)
	}
	if g.State == yuccapaddle.GangReleased && j.StartAt.IsZero() {
		j.StartAt = r.At
	}
	return nil
}

func (k *Keeper) release(r Record) error {
	g := k.gangs[r.Key]
	if g == nil {
		return fmt.Errorf("release record %q has no gang", r.Key)
	}
	if g.State == yuccapaddle.GangClaimed {
		k.hold(g, 1)
	}
	g.State = yuccapaddle.GangState(r.Why)
	j := k.jobs[r.Key]
	if g.State == yuccapaddle.GangReleased && j.StartAt.IsZero() {
		j.StartAt = r.At
	}
	return nil
}

func (k *Keeper) evict(r Record) error {
	g := k.gangs[r.Key]
	if g == nil {
		return fmt.Errorf("%s record %q has no gang", r.Kind, r.Key)
	}
	g.EvictBy, g.EvictFor, g.Moving = r.Until, r.Why, r.Kind == kindMove
	return nil
}

func (k *Keeper) requeue(r Record) error {
	j := k.jobs[r.Key]
	g := k.gangs[r.Key]
	if j == nil || g == nil {
		return fmt.Errorf("requeue record %q has no gang", r.Key)
	}
	k.drop(g)
	k.waiting[g.Workspace]++
	k.queue[r.Key] = true
	j.Resume = j.Resume || r.Resume
	if r.Resume {
		j.Parts = r.Parts
	}
	j.Ran = j.Ran || r.Ran
	j.Blank = j.Blank || r.Blank
	j.Service += r.Service
	if r.Failure != nil {
		j.Failures = append(j.Failures, *r.Failure)
	}
	return nil
}

func (k *Keeper) end(r Record) error {
	j := k.jobs[r.Key]
	if j == nil || r.Outcome == nil {
		return fmt.Errorf("end record %q has no request", r.Key)
	}
	if j.Outcome != nil && j.Outcome.Verdict.Final() {
		return fmt.Errorf("request %q is settled twice", r.Key)
	}
	wasWaiting := j.Outcome == nil
	j.Last = nil
	if g := k.gangs[r.Key]; g != nil {
		k.drop(g)
		wasWaiting = false
		if r.Outcome.Verdict == yuccapaddle.VerdictUnknown && r.Why != whySettled {
			j.Last = g
		}
	}
	delete(k.unsettled, r.Key)
	if j.Last != nil {
		k.unsettled[r.Key] = true
	}
	if wasWaiting {
		k.waiting[j.Request.Workspace]--
	}
	j.Outcome, j.Parts = r.Outcome, nil
	settled := *j.Request // the record may be shared with another state
	settled.Payload = nil
	j.Request = &settled
	delete(k.queue, r.Key)
	return nil
}

func (k *Keeper) setQuarantine(r Record) {
	if r.Until.IsZero() {
		delete(k.quarantine, r.Key)
		return
	}
	k.quarantine[r.Key] = r.Until
}

func (k *Keeper) drop(g *yuccapaddle.Gang) {
	if g.State != yuccapaddle.GangClaimed {
		k.hold(g, -1)
	}
	delete(k.gangs, g.Key)
}

func (k *Keeper) hold(g *yuccapaddle.Gang, sign int) {
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
