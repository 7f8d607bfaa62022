package rulechecker

import (
	"fmt"
	"slices"

	"yuccapaddle"
)

func checkWorkspaces(out *collector, rules *yuccapaddle.Rules) {
	names := map[string]bool{}
	holder := map[string]int{}
	public := slices.ContainsFunc(rules.Queues, func(q yuccapaddle.Queue) bool { return q.Public })
	for i := range rules.Workspaces {
		w := &rules.Workspaces[i]
		path := fmt.Sprintf("workspaces[%d]", i)
		out.checkName(path+".name", "workspace", w.Name, names)
		if len(w.Keys) == 0 && !public {
			out.warnf(path+".keys", "workspace %q has no key and no queue is public, so nobody can submit to it", w.Name)
		}
		for n, key := range w.Keys {
			checkKey(out, fmt.Sprintf("%s.keys[%d]", path, n), key, i, holder, rules.Workspaces)
		}
		checkLimits(out, path, w)
	}
}

// checkKey records the workspace, given by its position, that holds the key first. The
// findings do not contain the key, which is a secret.
func checkKey(out *collector, path, key string, workspace int, holder map[string]int, workspaces []yuccapaddle.WorkspaceGrant) {
	if key == "" {
		out.errorf(path, "the key is empty, so callers without a key are taken for workspace %q", workspaces[workspace].Name)
		return
	}
	first, held := holder[key]
	switch {
	case !held:
		holder[key] = workspace
	case first == workspace:
		out.warnf(path, "the key is listed twice")
	default:
		out.errorf(path, "the key is held by workspace %q as well, whose callers would be taken for workspace %q", workspaces[first].Name, workspaces[workspace].Name)
	}
}

func checkLimits(out *collector, path string, w *yuccapaddle.WorkspaceGrant) {
	out.checkNotNegative(path+".guaranteed", w.Guaranteed)
	out.checkNotNegative(path+".weight", w.Weight)
	out.checkNotNegative(path+".quota.cpu", w.Quota.CPU)
	out.checkNotNegative(path+".quota.memory", w.Quota.Memory)
	out.checkNotNegative(path+".quota.gpu", w.Quota.GPU)
	if w.Quota.GPU > 0 && w.Guaranteed > w.Quota.GPU {
		out.warnf(path+".guaranteed", "%d accelerators are guaranteed, and the quota is %d", w.Guaranteed, w.Quota.GPU)
	}
}
