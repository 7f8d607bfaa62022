package planner

import (
	"encoding/json"
	"fmt"

	"yuccapaddle"
)

// stateRecord is the part of a job that changes.
type stateRecord struct {
	State  yuccapaddle.JobState `json:"s"`
	Opened int                  `json:"o,omitempty"`
	Why    string               `json:"y,omitempty"`
}

// unitRecord is a unit that has been placed at least once.
type unitRecord struct {
	Occurrence int            `json:"k,omitempty"`
	Step       int            `json:"t,omitempty"`
	Index      int            `json:"i,omitempty"`
	State      unitState      `json:"s,omitempty"`
	Run        int            `json:"r"`
	Fails      int            `json:"f,omitempty"`
	Saved      string         `json:"c,omitempty"`
	Done       bool           `json:"d,omitempty"`
	Stopping   bool           `json:"x,omitempty"`
	Began      bool           `json:"b,omitempty"`
	Members    []memberRecord `json:"m,omitempty"`
}

type memberRecord struct {
	Worker string `json:"w"`
	Over   bool   `json:"o,omitempty"`
}

// partSize is how many units share a part: an end changes one part, not the whole
// of a wide job.
const partSize = 16

func (j *job) record() yuccapaddle.JobRecord {
	r := yuccapaddle.JobRecord{ID: j.in.ID, Queue: j.in.Queue, Shown: j.report(), PartCount: j.partCount()}
	if j.fresh {
		r.Job = encode(j.in)
	}
	r.State = encode(&stateRecord{State: j.state, Opened: j.opened, Why: j.why})
	if len(j.touched) > 0 {
		r.Parts = make(map[int][]byte, len(j.touched))
	}
	for n := range j.touched {
		r.Parts[n] = j.part(n)
	}
	return r
}

// part is the committed form of the units of a part that were ever placed.
func (j *job) part(n int) []byte {
	var list []unitRecord
	for _, u := range j.units[n*partSize : min((n+1)*partSize, len(j.units))] {
		if u.run > 0 {
			list = append(list, u.record())
		}
	}
	return encode(list)
}

func (j *job) partCount() int {
	return (len(j.units) + partSize - 1) / partSize
}

func (u *unit) record() unitRecord {
	r := unitRecord{
		Occurrence: u.occurrence, Step: u.step, Index: u.index, State: u.state,
		Run: u.run, Fails: u.fails, Saved: u.saved, Done: u.done, Stopping: u.stopping, Began: u.began,
	}
	if !u.live() {
		return r
	}
	for i := range u.members {
		m := &u.members[i]
		r.Members = append(r.Members, memberRecord{Worker: m.worker, Over: m.over})
	}
	return r
}

// encode cannot fail: the records hold only strings, numbers and lists.
func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("a record cannot be encoded: %v", err))
	}
	return data
}

// Restore takes a committed job in.
func (p *Planner) Restore(jobData, stateData []byte, parts [][]byte) error {
	in := &yuccapaddle.Job{}
	if err := json.Unmarshal(jobData, in); err != nil {
		return fmt.Errorf("decode a job: %w", err)
	}
	if err := in.Check(); err != nil {
		return fmt.Errorf("job %q: %w", in.ID, err)
	}
	var s stateRecord
	if err := json.Unmarshal(stateData, &s); err != nil {
		return fmt.Errorf("decode the state of job %q: %w", in.ID, err)
	}
	j := newJob(in)
	j.state, j.why = s.State, s.Why
	if j.state.Final() {
		j.endedAt = p.now
	}
	for range min(s.Opened, in.Occurrences()) {
		j.openNext(p.now)
	}
	for _, data := range parts {
		if err := p.restorePart(j, data); err != nil {
			return fmt.Errorf("job %q: %w", in.ID, err)
		}
	}
	p.jobs[in.ID] = j
	p.changed = true
	p.open(j)
	// The former writer may have been lost between the parts and the state.
	p.settle(j)
	return nil
}

func (p *Planner) restorePart(j *job, data []byte) error {
	var list []unitRecord
	if err := json.Unmarshal(data, &list); err != nil {
		return fmt.Errorf("decode a part: %w", err)
	}
	for i := range list {
		if err := p.restoreUnit(j, &list[i]); err != nil {
			return err
		}
	}
	return nil
}

func (p *Planner) restoreUnit(j *job, r *unitRecord) error {
	// The state of the job may not have been committed after this part was.
	for r.Occurrence >= j.opened && j.opened < j.in.Occurrences() {
		j.openNext(p.now)
	}
	u := j.unit(r)
	if u == nil {
		return fmt.Errorf("a unit of step %d is unknown", r.Step)
	}
	u.state, u.run, u.fails, u.saved, u.stopping, u.began = r.State, r.Run, r.Fails, r.Saved, r.Stopping, r.Began
	if r.Done {
		u.finished()
	}
	u.placedAt = p.now
	for _, m := range r.Members {
		u.members = append(u.members, member{worker: m.Worker, over: m.Over, movedAt: p.now, pace: fullPace, adopted: true})
		if !m.Over {
			p.worker(m.Worker).add(u, len(u.members)-1)
		}
	}
	if u.state == unitPlaced && !u.live() {
		u.began = true
		u.state, u.members = unitWaiting, nil
	}
	return nil
}

func (j *job) unit(r *unitRecord) *unit {
	for _, u := range j.units {
		if u.occurrence == r.Occurrence && u.step == r.Step && u.index == r.Index {
			return u
		}
	}
	return nil
}
