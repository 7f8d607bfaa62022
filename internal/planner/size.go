package planner

import "yuccapaddle"

// Sizes in bytes by which the memory of a job is reckoned, with what its record takes while
// it is committed.
const (
	jobBytes  = 1 << 10
	stepBytes = 256
	// unitBytes is for a unit that waits, and memberBytes for a task that is placed.
	unitBytes   = 512
	memberBytes = 384
)

// memoryOf returns about how much memory a job takes until it is removed, in bytes.
func memoryOf(spec *yuccapaddle.Job) int64 {
	n := jobBytes + int64(len(spec.Payload)+len(spec.Key))
	tasks := int64(0)
	for i := range spec.Steps {
		s := &spec.Steps[i]
		n += stepBytes + int64(len(s.Label)+len(s.DataRack)) + int64(len(s.After))*8
		if s.Gang {
			tasks += unitBytes + int64(s.Count)*memberBytes
			continue
		}
		tasks += int64(s.Count) * (unitBytes + memberBytes)
	}
	return n + tasks*int64(spec.Occurrences())
}

// HasRoom reports whether there is memory left for a job of its workspace. Jobs without one
// count together.
func (p *Planner) HasRoom(spec *yuccapaddle.Job) bool {
	return p.accepted.Accepts(spec.Workspace, memoryOf(spec))
}

// MemoryUsed returns about how much memory the accepted jobs take, in bytes.
func (p *Planner) MemoryUsed() int64 {
	return p.accepted.Total()
}

// addJob adds a job that was accepted, by this host or a former one.
func (p *Planner) addJob(j *job) {
	p.jobs[j.spec.ID] = j
	p.accepted.Add(j.spec.Workspace, memoryOf(j.spec))
}

// removeJob forgets a job.
func (p *Planner) removeJob(j *job) {
	delete(p.jobs, j.spec.ID)
	delete(p.dirtyJobs, j.spec.ID)
	p.accepted.Remove(j.spec.Workspace, memoryOf(j.spec))
}
