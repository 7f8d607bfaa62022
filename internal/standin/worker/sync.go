package worker

import (
	"context"
	"sort"
	"time"

	"yuccapaddle"
	"yuccapaddle/internal/digester"
	"yuccapaddle/internal/sleeper"
)

// usageLag is how old the usage in a report is.
const usageLag = 2 * time.Second

// Sync implements yuccapaddle.GangWorker.
func (w *Worker) Sync(ctx context.Context, r yuccapaddle.SyncRequest) (yuccapaddle.Report, error) {
	report, changed, err := w.renew(ctx, r)
	if err != nil || changed == nil {
		return report, err
	}
	timer := time.NewTimer(sleeper.Ahead(time.Until(r.WaitUntil)))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return yuccapaddle.Report{}, yuccapaddle.ErrNoAnswer
		case <-timer.C:
			return w.reportSince(ctx, r)
		case <-changed:
		}
		w.mu.Lock()
		u, err := w.find(ctx, r.Upstream)
		news := err != nil || u.seq > r.Seq || u.boot != r.Boot
		if err == nil {
			changed = u.changed
		}
		w.mu.Unlock()
		if news {
			return w.reportSince(ctx, r)
		}
	}
}

// renew extends the leases. It returns a nil channel when the report is to be
// sent at once.
func (w *Worker) renew(ctx context.Context, r yuccapaddle.SyncRequest) (yuccapaddle.Report, chan struct{}, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	u, err := w.find(ctx, r.Upstream)
	if err != nil {
		return yuccapaddle.Report{}, nil, err
	}
	if err := u.fence(r.Token, time.Time{}); err != nil {
		return yuccapaddle.Report{}, nil, err
	}
	if r.Explicit {
		missing := u.extend(r.Leases, r.Expiry)
		report := u.report(r)
		report.Missing = missing
		return report, nil, nil
	}
	if !r.Renew {
		return u.reportIfNews(r)
	}
	names := u.leaseNames()
	if r.Digest != digester.Digest(names) {
		report := u.report(r)
		report.Mismatch = true
		return report, nil, nil
	}
	u.extend(names, r.Expiry)
	return u.reportIfNews(r)
}

func (u *upstream) reportIfNews(r yuccapaddle.SyncRequest) (yuccapaddle.Report, chan struct{}, error) {
	if u.seq > r.Seq || u.boot != r.Boot {
		return u.report(r), nil, nil
	}
	return yuccapaddle.Report{}, u.changed, nil
}

func (u *upstream) extend(names []string, expiry time.Time) (missing []string) {
	for _, name := range names {
		l := u.leases[name]
		if l == nil {
			missing = append(missing, name)
			continue
		}
		if l.over || !expiry.After(l.Expiry) {
			continue
		}
		l.Expiry = expiry
		l.timer.Reset(u.until(expiry))
	}
	return missing
}

func (w *Worker) reportSince(ctx context.Context, r yuccapaddle.SyncRequest) (yuccapaddle.Report, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	u, err := w.find(ctx, r.Upstream)
	if err != nil {
		return yuccapaddle.Report{}, err
	}
	return u.report(r), nil
}

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
			if t := l.tasks[rank]; full || t.change > since {
				out.Tasks = append(out.Tasks, t.report)
			}
		}
	}
	for _, name := range sortedNames(u.capacity) {
		if !full && u.downs[name] <= since {
			continue
		}
		f := u.fault(name)
		out.Workers = append(out.Workers, yuccapaddle.WorkerCondition{
			Worker: name, Down: f.Dead, Leaving: f.Leaving, Used: u.used(name), UsageAt: time.Now().Add(-usageLag),
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
