package planner

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"yuccapaddle"
)

// stateRecord is the committed form of a job's own state. The state of its units is
// committed in parts.
type stateRecord struct {
	State             yuccapaddle.JobState `json:"s"`
	OpenedOccurrences int                  `json:"o,omitempty"`
	Reason            string               `json:"y,omitempty"`
}

// unitRecord is the committed form of a unit that has been placed at least once.
type unitRecord struct {
	Occurrence           int            `json:"k,omitempty"`
	Step                 int            `json:"t,omitempty"`
	Index                int            `json:"i,omitempty"`
	State                unitState      `json:"s,omitempty"`
	Run                  int            `json:"r"`
	Failures             int            `json:"f,omitempty"`
	Checkpoint           string         `json:"c,omitempty"`
	Succeeded            bool           `json:"d,omitempty"`
	Stopping             bool           `json:"x,omitempty"`
	MayHaveStartedBefore bool           `json:"b,omitempty"`
	Members              []memberRecord `json:"m,omitempty"`
	Crashes              []crashRecord  `json:"n,omitempty"`
	Suspect              bool           `json:"q,omitempty"`
	PlacedAlone          bool           `json:"qa,omitempty"`
	Losses               []lossRecord   `json:"l,omitempty"`
	PlacedAt             int64          `json:"at,omitempty"`
	PlacedRevision       uint64         `json:"v,omitempty"`
	// Late means that a start of a member that has ended may be carried out late, and Counted
	// that the current run is among the Failures.
	Late    bool `json:"lu,omitempty"`
	Counted bool `json:"fc,omitempty"`
}

// memberRecord is the committed form of a member.
type memberRecord struct {
	Worker      string `json:"w"`
	Ended       bool   `json:"o,omitempty"`
	Incarnation int64  `json:"b,omitempty"`
	Address     string `json:"a,omitempty"`
	Leaving     bool   `json:"l,omitempty"`
	// Capacity is the one of the worker that counted when the member was placed there.
	Capacity   yuccapaddle.Need `json:"c,omitzero"`
	Resent     bool             `json:"r,omitempty"`
	Unanswered bool             `json:"u,omitempty"` // when it was stopped
	Settled    bool             `json:"s,omitempty"` // see member.startSettled
}

// crashRecord is the committed form of the crashes under a member.
type crashRecord struct {
	Member   int    `json:"i,omitempty"`
	Runs     int    `json:"r"`
	Strong   int    `json:"c,omitempty"`
	Unproven int    `json:"u,omitempty"`
	Alone    bool   `json:"a,omitempty"`
	Address  string `json:"w,omitempty"`
}

// lossRecord is the committed form of a pending loss.
type lossRecord struct {
	Run         int      `json:"r"`
	Member      int      `json:"i,omitempty"`
	Worker      string   `json:"w"`
	Address     string   `json:"a,omitempty"`
	Rack        string   `json:"k,omitempty"`
	Domain      string   `json:"z,omitempty"`
	Incarnation int64    `json:"b"`
	Others      int      `json:"n,omitempty"`
	Unanswered  bool     `json:"u,omitempty"`
	Soon        bool     `json:"s,omitempty"`
	Recent      bool     `json:"c,omitempty"`
	Unseen      bool     `json:"h,omitempty"`
	Long        bool     `json:"g,omitempty"`
	Away        bool     `json:"y,omitempty"`
	LostAt      int64    `json:"at,omitempty"`
	PlacedAt    int64    `json:"pt,omitempty"`
	Outcome     verdict  `json:"v,omitempty"`
	Counted     evidence `json:"e,omitempty"`
}

// unitsPerPart is the number of units in one part, so that the end of a run rewrites one
// part and not the whole state of a wide job.
const unitsPerPart = 16

// record returns what has changed of a job since the last commit.
func (j *job) record() yuccapaddle.JobRecord {
	r := yuccapaddle.JobRecord{ID: j.spec.ID, Spec: j.spec, Report: j.report(), PartCount: j.partCount()}
	if j.specChanged {
		r.Job = encode(j.spec)
	}
	r.State = encode(&stateRecord{State: j.state, OpenedOccurrences: j.openedOccurrences, Reason: j.reason})
	if len(j.dirtyParts) > 0 {
		r.Parts = make(map[int][]byte, len(j.dirtyParts))
	}
	for n := range j.dirtyParts {
		r.Parts[n] = j.encodePart(n)
	}
	return r
}

// keysOfPlacement is how many keys of the ledger a job takes of which a unit is placed: its
// state and a part.
const keysOfPlacement = 2

// NextKeys returns about how many keys of the ledger the next commit changes without further
// jobs: those of the jobs that have changed, and of those that have a place in prospect.
func (p *Planner) NextKeys() int {
	keys := len(p.newCancellations)
	for _, j := range p.dirtyJobs {
		keys += 1 + len(j.dirtyParts)
		if j.specChanged {
			keys++
		}
	}
	placed := map[*job]bool{}
	for u := range p.claims {
		if u.claim != nil && p.dirtyJobs[u.job.spec.ID] == nil && !placed[u.job] {
			placed[u.job] = true
			keys += keysOfPlacement
		}
	}
	return keys
}

// encodePart encodes the units of part n that have been placed at least once.
func (j *job) encodePart(n int) []byte {
	var list []unitRecord
	for _, u := range j.units[n*unitsPerPart : min((n+1)*unitsPerPart, len(j.units))] {
		if u.run > 0 {
			list = append(list, u.record())
		}
	}
	return encode(list)
}

func (j *job) partCount() int {
	return (len(j.units) + unitsPerPart - 1) / unitsPerPart
}

func (u *unit) record() unitRecord {
	r := unitRecord{
		Occurrence: u.occurrence, Step: u.stepIndex, Index: u.taskIndex, State: u.state,
		Run: u.run, Failures: u.failures, Checkpoint: u.checkpoint, Succeeded: u.succeeded, Stopping: u.stopping, MayHaveStartedBefore: u.mayHaveStartedBefore,
		Suspect: u.suspect, PlacedAlone: u.placedAlone, Late: !u.lateUntil.IsZero() || u.formerLate,
	}
	for _, member := range slices.Sorted(maps.Keys(u.crashes)) {
		c := u.crashes[member]
		r.Crashes = append(r.Crashes, crashRecord{Member: member, Runs: c.runs, Strong: c.strong, Unproven: c.unproven, Alone: c.alone, Address: c.address})
	}
	for i := range u.losses {
		l := &u.losses[i]
		r.Losses = append(r.Losses, lossRecord{
			Run: l.run, Member: l.member, Worker: l.worker, Address: l.address, Rack: l.rack, Domain: l.domain, Incarnation: l.incarnation,
			Others: l.others, Unanswered: l.unanswered, Soon: l.soon, Recent: l.recent, Unseen: l.unseen, Long: l.long, Away: l.away, LostAt: l.lostAt, PlacedAt: l.placedAt, Outcome: l.outcome, Counted: l.counted,
		})
	}
	if !u.live() {
		return r
	}
	r.PlacedAt, r.PlacedRevision, r.Counted = u.placedAtMS, u.placedRevision, u.failureCounted
	for i := range u.members {
		m := &u.members[i]
		m.settled = m.startSettled()
		r.Members = append(r.Members, memberRecord{
			Worker: m.worker, Ended: m.ended, Incarnation: m.incarnation, Address: m.address, Leaving: m.leaving, Capacity: m.capacity,
			Resent: m.resends > 0, Unanswered: u.stopping && !m.mayHaveAnswered(), Settled: m.settled,
		})
	}
	return r
}

// encode encodes a record as JSON. It panics on an error, which cannot occur: the records
// hold only strings, numbers, booleans and lists of these.
func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("a record cannot be encoded: %v", err))
	}
	return data
}

// Restore adds a job from its committed records: the job itself, its state and its parts.
// It returns an error, and does not add the job, if a record cannot be decoded or does
// not match the job.
func (p *Planner) Restore(stored *yuccapaddle.StoredJob) error {
	spec := &yuccapaddle.Job{}
	if err := json.Unmarshal(stored.Job, spec); err != nil {
		return fmt.Errorf("decode job: %w", err)
	}
	if err := spec.Check(); err != nil {
		return fmt.Errorf("check job %q: %w", spec.ID, err)
	}
	var s stateRecord
	if err := json.Unmarshal(stored.State, &s); err != nil {
		return fmt.Errorf("decode state of job %q: %w", spec.ID, err)
	}
	j := newJob(spec)
	j.state, j.reason = s.State, s.Reason
	if j.state.Final() {
		j.endedAt = p.now
	}
	for range min(s.OpenedOccurrences, spec.Occurrences()) {
		j.openNextOccurrence(p.now)
	}
	for i, data := range stored.Parts {
		var revision uint64
		if i < len(stored.PartRevisions) {
			revision = stored.PartRevisions[i]
		}
		if err := p.restorePart(j, data, revision); err != nil {
			p.dropRuns(j)
			return fmt.Errorf("restore units of job %q: %w", spec.ID, err)
		}
	}
	p.addJob(j)
	p.changed = true
	p.openOccurrences(j)
	// The former host may have failed after it committed the parts and before the state.
	p.completeIfDone(j)
	for _, u := range j.units {
		p.failIfCrashing(u)
	}
	return nil
}

// dropRuns removes the runs of a job that cannot be restored from their workers.
func (p *Planner) dropRuns(j *job) {
	for _, u := range j.units {
		for i := range u.members {
			if !u.members[i].ended {
				p.worker(u.members[i].worker).removeRun(u, i)
			}
		}
		delete(p.suspects, u)
		delete(p.unsettled, u)
	}
}

// restorePart restores the units of a part that was last changed at a revision of the ledger, 0
// if that is unknown.
func (p *Planner) restorePart(j *job, data []byte, revision uint64) error {
	var list []unitRecord
	if err := json.Unmarshal(data, &list); err != nil {
		return fmt.Errorf("decode part: %w", err)
	}
	for i := range list {
		if list[i].PlacedRevision == 0 {
			list[i].PlacedRevision = revision
		}
		if err := p.restoreUnit(j, &list[i]); err != nil {
			return err
		}
	}
	return nil
}

func (p *Planner) restoreUnit(j *job, r *unitRecord) error {
	// The former host may have failed after it committed this part and before the job's
	// state with the opened occurrence.
	for r.Occurrence >= j.openedOccurrences && j.openedOccurrences < j.spec.Occurrences() {
		j.openNextOccurrence(p.now)
	}
	u := j.findUnit(r)
	if u == nil {
		return fmt.Errorf("unit record of step %d matches no unit", r.Step)
	}
	u.state, u.run, u.failures, u.checkpoint, u.stopping, u.mayHaveStartedBefore = r.State, r.Run, r.Failures, r.Checkpoint, r.Stopping, r.MayHaveStartedBefore
	if r.Succeeded {
		u.markDone()
	}
	p.restoreCrashes(u, r)
	if r.Suspect {
		u.suspect, u.placedAlone, p.suspects[u], p.suspectHosts = true, r.PlacedAlone, true, nil
	}
	u.formerLate, u.failureCounted = r.Late, r.Counted
	u.placedAt = p.now
	if r.PlacedAt != 0 {
		u.placedAtMS, u.placedAtKnown = r.PlacedAt, true
		u.placedAt = p.now.Add(-max(p.wall.Sub(time.UnixMilli(r.PlacedAt)), 0))
	}
	if r.PlacedRevision != 0 {
		u.placedRevision, u.committedBy = r.PlacedRevision, p.committedBy(r.PlacedRevision)
	}
	u.startedAt, u.resumed = u.placedAt, u.checkpoint != "" || !u.placedAtKnown
	for _, m := range r.Members {
		u.members = append(u.members, member{
			worker: m.Worker, incarnation: m.Incarnation, address: m.Address, leaving: m.Leaving, ended: m.Ended, progressAt: p.now, pace: fullPace, adopted: true,
			leftUnanswered: m.Unanswered, startScattered: true, capacity: m.Capacity, formerCopies: !m.Settled, settled: m.Settled,
		})
		if m.Resent {
			u.members[len(u.members)-1].resends = 1
		}
		if !m.Ended {
			w := p.worker(m.Worker)
			w.addRun(u, len(u.members)-1)
			w.former.note(m.Incarnation, m.Capacity)
		}
	}
	if u.state == unitPlaced && !u.live() {
		u.mayHaveStartedBefore = true
		u.state, u.members, u.failureCounted = unitWaiting, nil, false
	}
	return nil
}

// restoreCrashes restores the crashes and the losses of a unit. This host has learned of
// them now. Members that the unit cannot have are passed over.
func (p *Planner) restoreCrashes(u *unit, record *unitRecord) {
	for _, c := range record.Crashes {
		if c.Member < 0 || c.Member >= u.width() {
			continue
		}
		if u.crashes == nil {
			u.crashes = map[int]crashCount{}
		}
		u.crashes[c.Member] = crashCount{runs: c.Runs, strong: c.Strong, unproven: c.Unproven, alone: c.Alone, address: c.Address}
	}
	for i := range record.Losses {
		r := &record.Losses[i]
		if r.Member < 0 || r.Member >= u.width() {
			continue
		}
		u.losses = append(u.losses, loss{
			run: r.Run, member: r.Member, worker: r.Worker, address: r.Address, rack: r.Rack, domain: r.Domain, incarnation: r.Incarnation,
			others: r.Others, unanswered: r.Unanswered, soon: r.Soon, recent: r.Recent, unseen: r.Unseen, long: r.Long, away: r.Away, lostAt: r.LostAt, placedAt: r.PlacedAt, outcome: r.Outcome, counted: r.Counted, since: p.now,
		})
	}
	if len(u.losses) > 0 {
		p.trackLosses(u)
	}
}

// findUnit returns the unit that a record belongs to, nil if there is none.
func (j *job) findUnit(r *unitRecord) *unit {
	for _, u := range j.units {
		if u.occurrence == r.Occurrence && u.stepIndex == r.Step && u.taskIndex == r.Index {
			return u
		}
	}
	return nil
}
