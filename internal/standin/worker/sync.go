package worker

import (
	"context"
	"sort"
	"time"

	"yuccapaddle"
	"yuccapaddle/internal/digester"
	"yuccapaddle/internal/sleeper"
)

// usageAge is the age of the usage in a report.
const usageAge = 2 * time.Second

// Sync implements yuccapaddle.GangWorker.
func (w *Worker) Sync(ctx context.Context, r yuccapaddle.SyncRequest) (yuccapaddle.Report, error) {
	report, changed, err := w.renew(ctx, r)
	if err != nil || changed == nil {
		return report, err
	}
	timer := time.NewTimer(sleeper.TimerDuration(time.Until(r.WaitUntil)))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return yuccapaddle.Report{}, yuccapaddle.ErrNoAnswer
		case <-timer.C:
			return w.reportChanges(ctx, r)
		case <-changed:
		}
		w.mu.Lock()
		u, err := w.findUpstream(ctx, r.Upstream)
		hasChanges := err != nil || u.seq > r.Seq || u.boot != r.Boot
		if err == nil {
			changed = u.changed
		}
		w.mu.Unlock()
		if hasChanges {
			return w.reportChanges(ctx, r)
		}
	}
}

// renew extends the leases. It returns a nil channel if the report is to be sent at
// once, and otherwise the channel that the next change of the upstream closes.
func (w *Worker) renew(ctx context.Context, r yuccapaddle.SyncRequest) (yuccapaddle.Report, chan struct{}, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	u, err := w.findUpstream(ctx, r.Upstream)
	if err != nil {
		return yuccapaddle.Report{}, nil, err
	}
	if err := u.checkToken(r.Token, time.Time{}); err != nil {
		return yuccapaddle.Report{}, nil, err
	}
	if r.Explicit {
		missing := u.extendLeases(r.Leases, r.Expiry)
		report := u.report(r)
		report.Missing = missing
		return report, nil, nil
	}
	if !r.Renew {
		return u.reportIfChanged(r)
	}
	names := u.activeLeases()
	if r.Digest != digester.Digest(names) {
		report := u.report(r)
		report.Mismatch = true
		return report, nil, nil
	}
	u.extendLeases(names, r.Expiry)
	return u.reportIfChanged(r)
}

// reportIfChanged returns a report if the upstream has changed since the request's
// Seq and Boot, and otherwise the channel that the next change closes.
func (u *upstream) reportIfChanged(r yuccapaddle.SyncRequest) (yuccapaddle.Report, chan struct{}, error) {
	if u.seq > r.Seq || u.boot != r.Boot {
		return u.report(r), nil, nil
	}
	return yuccapaddle.Report{}, u.changed, nil
}

// extendLeases extends the named leases until expiry, and returns those that the
// upstream does not know.
func (u *upstream) extendLeases(names []string, expiry time.Time) (missing []string) {
	for _, name := range names {
		l := u.leases[name]
		if l == nil {
			missing = append(missing, name)
			continue
		}
		if l.ended || !expiry.After(l.Expiry) {
			continue
		}
		l.Expiry = expiry
		l.timer.Reset(u.timeUntil(expiry))
	}
	return missing
}

func (w *Worker) reportChanges(ctx context.Context, r yuccapaddle.SyncRequest) (yuccapaddle.Report, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	u, err := w.findUpstream(ctx, r.Upstream)
	if err != nil {
		return yuccapaddle.Report{}, err
	}
	return u.report(r), nil
}

// report returns the tasks and workers that changed after the request's Seq, or all
// of them for another incarnation or a Seq of 0.
func (u *upstream) report(r yuccapaddle.SyncRequest) yuccapaddle.Report {
	since := r.Seq
	full := r.Boot != u.boot || r.Seq == 0
	if full {
		since = 0
	}
	out := yuccapaddle.Report{Upstream: u.name, Boot: u.boot, Seq: u.seq, Full: full, Leaving: u.leaving}
	names := make([]string, 0, len(u.leases))
	for name := range u.leases {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		l := u.leases[name]
		for _, rank := range sortedRanks(l.tasks) {
			if t := l.tasks[rank]; full || t.changeSeq > since {
				out.Tasks = append(out.Tasks, t.report)
			}
		}
	}
	for _, name := range sortedNames(u.capacity) {
		if !full && u.workerSeqs[name] <= since {
			continue
		}
		f := u.faultsOf(name)
		out.Workers = append(out.Workers, yuccapaddle.WorkerCondition{
			Worker: name, Down: f.Down, Leaving: f.Leaving, Used: u.usedAccelerators(name), UsageAt: time.Now().Add(-usageAge),
		})
	}
	return out
}

func sortedNames(m map[string]int) []string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}
