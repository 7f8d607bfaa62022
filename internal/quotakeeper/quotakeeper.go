// Package quotakeeper keeps workspaces within their quotas. It counts what each workspace
// may have running, and tells how much more it may start.
package quotakeeper

import (
	"math"

	"yuccapaddle"
)

// QuotaKeeper holds the quotas of the workspaces and what they use. The zero Need as a
// quota, and 0 in one resource, mean no limit. It is not safe for concurrent use.
type QuotaKeeper struct {
	quotas   map[string]yuccapaddle.Need
	used     map[string]yuccapaddle.Need
	reserved map[string]yuccapaddle.Need
}

// New returns a QuotaKeeper without quotas and use.
func New() *QuotaKeeper {
	return &QuotaKeeper{
		quotas: map[string]yuccapaddle.Need{}, used: map[string]yuccapaddle.Need{}, reserved: map[string]yuccapaddle.Need{},
	}
}

// SetQuotas replaces the quotas by those of the workspaces in the rules. Workspaces that
// are not listed have none.
func (k *QuotaKeeper) SetQuotas(list []yuccapaddle.WorkspaceGrant) {
	clear(k.quotas)
	for i := range list {
		if list[i].Quota != (yuccapaddle.Need{}) {
			k.quotas[list[i].Name] = list[i].Quota
		}
	}
}

// Add counts a run that may be in progress.
func (k *QuotaKeeper) Add(workspace string, n yuccapaddle.Need) {
	k.used[workspace] = k.used[workspace].Add(n)
}

// Remove takes back one Add.
func (k *QuotaKeeper) Remove(workspace string, n yuccapaddle.Need) {
	k.used[workspace] = k.used[workspace].Sub(n)
	if k.used[workspace] == (yuccapaddle.Need{}) {
		delete(k.used, workspace)
	}
}

// Used returns what the runs of a workspace hold.
func (k *QuotaKeeper) Used(workspace string) yuccapaddle.Need {
	return k.used[workspace]
}

// Reserve keeps part of a workspace's quota for work that comes before the work asked
// about later, until ReleaseReserved.
func (k *QuotaKeeper) Reserve(workspace string, n yuccapaddle.Need) {
	k.reserved[workspace] = k.reserved[workspace].Add(n)
}

// ReleaseReserved gives up all that is reserved.
func (k *QuotaKeeper) ReleaseReserved() {
	clear(k.reserved)
}

// Fitting returns how many tasks that need n each the workspace may start now, beside its
// runs and what is reserved; math.MaxInt if no quota limits them.
func (k *QuotaKeeper) Fitting(workspace string, n yuccapaddle.Need) int {
	return k.fitting(workspace, n, k.used[workspace].Add(k.reserved[workspace]))
}

// FittingWithout is like Fitting once runs that hold freed have ended.
func (k *QuotaKeeper) FittingWithout(workspace string, n, freed yuccapaddle.Need) int {
	return k.fitting(workspace, n, k.used[workspace].Add(k.reserved[workspace]).Sub(freed))
}

// FittingBeside returns how many such tasks the workspace may have running if nothing else
// of it does but runs that hold taken.
func (k *QuotaKeeper) FittingBeside(workspace string, n, taken yuccapaddle.Need) int {
	return k.fitting(workspace, n, taken)
}

// Exceeded reports whether the runs of the workspace hold more than its quota of a resource
// that n contains.
func (k *QuotaKeeper) Exceeded(workspace string, n yuccapaddle.Need) bool {
	quota, used := k.quotas[workspace], k.used[workspace]
	return exceeded(quota.CPU, used.CPU, n.CPU) || exceeded(quota.Memory, used.Memory, n.Memory) || exceeded(quota.GPU, used.GPU, n.GPU)
}

func exceeded(limit, used, each int) bool {
	return limit > 0 && each > 0 && used > limit
}

func (k *QuotaKeeper) fitting(workspace string, n, taken yuccapaddle.Need) int {
	quota, limited := k.quotas[workspace]
	if !limited {
		return math.MaxInt
	}
	return min(
		fitting(quota.CPU, taken.CPU, n.CPU),
		fitting(quota.Memory, taken.Memory, n.Memory),
		fitting(quota.GPU, taken.GPU, n.GPU),
	)
}

// fitting returns how often an amount fits into what a limit leaves, 0 being no limit. A
// task that needs none of a resource is not held up by it.
func fitting(limit, taken, each int) int {
	if limit == 0 || each <= 0 {
		return math.MaxInt
	}
	return max(limit-taken, 0) / each
}

// Short names the resources of which the workspace may have too little for count tasks
// that need n each: "cpu", "memory", "gpu". It is empty if the quota allows them.
func (k *QuotaKeeper) Short(workspace string, n yuccapaddle.Need, count int) []string {
	quota, limited := k.quotas[workspace]
	if !limited {
		return nil
	}
	taken := k.used[workspace].Add(k.reserved[workspace])
	var list []string
	for _, r := range []struct {
		name               string
		limit, taken, each int
	}{
		{"cpu", quota.CPU, taken.CPU, n.CPU},
		{"memory", quota.Memory, taken.Memory, n.Memory},
		{"gpu", quota.GPU, taken.GPU, n.GPU},
	} {
		if fitting(r.limit, r.taken, r.each) < count {
			list = append(list, r.name)
		}
	}
	return list
}
