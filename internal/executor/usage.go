package executor

import "time"

// usageInterval is the time between two updates of the gauges of workspaces.
const usageInterval = time.Second

// reportUsage updates the gauges of the workspaces that have a quota or a weight.
func (e *Executor) reportUsage() {
	if e.now.Before(e.usageReportAt) {
		return
	}
	e.usageReportAt = e.now.Add(usageInterval)
	list := e.plan.Workspaces()
	for i := range list {
		ws := &list[i]
		e.meter.Set("workspace_cpu", ws.Name, float64(ws.Used.CPU))
		e.meter.Set("workspace_memory_mb", ws.Name, float64(ws.Used.Memory))
		e.meter.Set("workspace_gpu", ws.Name, float64(ws.Used.GPU))
		e.meter.Set("workspace_quota_cpu", ws.Name, float64(ws.Quota.CPU))
		e.meter.Set("workspace_quota_memory_mb", ws.Name, float64(ws.Quota.Memory))
		e.meter.Set("workspace_quota_gpu", ws.Name, float64(ws.Quota.GPU))
		e.meter.Set("workspace_weight", ws.Name, float64(ws.Weight))
	}
}
