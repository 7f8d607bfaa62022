package recorder

import (
	"strconv"
	"strings"

	"yuccapaddle"
)

// cancellations returns the cancellations of jobs that were not known.
func cancellations(entries []yuccapaddle.Entry) []yuccapaddle.StoredJob {
	list := make([]yuccapaddle.StoredJob, 0, len(entries))
	for _, e := range entries {
		list = append(list, yuccapaddle.StoredJob{CancellationKey: strings.TrimPrefix(e.Key, cancelPrefix), Cancellation: e.Value})
	}
	return list
}

// join puts the records of each job together.
func join(jobs, states, parts []yuccapaddle.Entry) []yuccapaddle.StoredJob {
	stateByID := make(map[string][]byte, len(states))
	for _, s := range states {
		stateByID[strings.TrimPrefix(s.Key, statePrefix)] = s.Value
	}
	partsByID, revisionsByID := make(map[string][][]byte, len(states)), make(map[string][]uint64, len(states))
	for _, p := range parts {
		id, _, _ := strings.Cut(strings.TrimPrefix(p.Key, partPrefix), "/")
		partsByID[id] = append(partsByID[id], p.Value)
		revisionsByID[id] = append(revisionsByID[id], p.Revision)
	}
	list := make([]yuccapaddle.StoredJob, 0, len(states))
	for _, j := range jobs {
		id := strings.TrimPrefix(j.Key, jobPrefix)
		if state := stateByID[id]; state != nil {
			list = append(list, yuccapaddle.StoredJob{Job: j.Value, State: state, Parts: partsByID[id], PartRevisions: revisionsByID[id]})
		}
	}
	return list
}

// pack returns the changes of as many records as fit into one transaction, and the rest.
// A record is split only if it does not fit into a transaction of its own, so that a host
// that fails between two transactions leaves complete records.
func pack(groups [][]yuccapaddle.Change) (set []yuccapaddle.Change, rest [][]yuccapaddle.Change) {
	for len(groups) > 0 {
		room := MaxChanges - len(set)
		switch g := groups[0]; {
		case len(g) <= room:
			set, groups = append(set, g...), groups[1:]
		case len(set) == 0:
			set, groups[0] = g[:room:room], g[room:]
			return set, groups
		default:
			return set, groups
		}
	}
	return set, nil
}

// recordChanges returns the changes that save a record. The state comes after the job and
// its parts, so that a host that finds a state finds those too.
func recordChanges(rec *yuccapaddle.JobRecord) []yuccapaddle.Change {
	if rec.Cancellation != nil {
		return []yuccapaddle.Change{{Key: cancelPrefix + rec.ID, Value: rec.Cancellation}}
	}
	list := make([]yuccapaddle.Change, 0, len(rec.Parts)+2)
	if rec.Job != nil {
		list = append(list, yuccapaddle.Change{Key: jobPrefix + rec.ID, Value: rec.Job})
	}
	for n, data := range rec.Parts {
		list = append(list, yuccapaddle.Change{Key: partKey(rec.ID, n), Value: data})
	}
	return append(list, yuccapaddle.Change{Key: statePrefix + rec.ID, Value: rec.State})
}

// recordKeys returns the keys of removed records. The state of each comes first.
func recordKeys(removed []yuccapaddle.JobRecord) []string {
	var list []string
	for i := range removed {
		rec := &removed[i]
		if rec.Cancellation != nil {
			list = append(list, cancelPrefix+rec.ID)
			continue
		}
		list = append(list, statePrefix+rec.ID, jobPrefix+rec.ID)
		for n := range rec.PartCount {
			list = append(list, partKey(rec.ID, n))
		}
	}
	return list
}

func partKey(id string, n int) string {
	return partPrefix + id + "/" + strconv.Itoa(n)
}
