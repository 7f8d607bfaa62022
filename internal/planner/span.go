package planner

import "yuccapaddle"

// location names the worker, the rack or the failure domain around w that a gang with the
// span may not leave, "" if the span does not limit it.
func (w *worker) location(span yuccapaddle.Span) string {
	switch span {
	case yuccapaddle.SpanWorker:
		return w.ID
	case yuccapaddle.SpanRack:
		return w.Domain + "/" + w.Rack
	case yuccapaddle.SpanDomain:
		return w.Domain
	}
	return ""
}

// fillInSpan places n tasks in the fullest location of the span that can hold them all,
// nil if none can.
func fillInSpan(candidates []candidate, span yuccapaddle.Span, n int) []string {
	within := groupBy(candidates, func(w *worker) string { return w.location(span) })
	return fillFewestRacks(tightestGroup(within, n), n)
}
