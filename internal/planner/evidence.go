package planner

// evidence is what a crash says about the task that ran on the worker. A task that crashes its
// workers does so right after its start. A crash some time later, or in a crowd, is more likely
// to have another cause, and a start without an answer may never have reached the worker.
type evidence int

const (
	// evidenceWeak is that of a crash some time after the start, or in a crowd.
	evidenceWeak evidence = iota
	// evidenceNone is that of a crash in a crowd of a worker that had not answered for the
	// start.
	evidenceNone
	// evidenceStrong is that of a crash which the start may well have caused.
	evidenceStrong
	// evidenceProof is that of a crash right after the start of a task beside which nothing
	// ran.
	evidenceProof
)

// evidence returns what the crash of the worker says about the task. crowd means that many
// other workers were lost at the same time, and beforeStart that the worker seems to have
// restarted before the start.
func (l *loss) evidence(crowd, beforeStart bool) evidence {
	prompt := l.soon || l.unseen && l.recent
	switch {
	case crowd && l.unanswered:
		return evidenceNone
	case crowd && !l.soon:
		return evidenceWeak
	case prompt && l.alone() && !l.away && (!l.unseen || !beforeStart):
		return evidenceProof
	case prompt, l.recent && l.alone():
		return evidenceStrong
	}
	return evidenceWeak
}

// incriminates reports whether a crash speaks against the task rather than for another cause.
func (e evidence) incriminates() bool {
	return e == evidenceStrong || e == evidenceProof
}
