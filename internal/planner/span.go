package planner

import "yuccapaddle"

// place names the piece of hardware around a worker that a gang with the span may
// not leave.
func (s *worker) place(span yuccapaddle.Span) string {
	switch span {
	case yuccapaddle.SpanWorker:
		return s.ID
	case yuccapaddle.SpanRack:
		return s.Domain + "/" + s.Rack
	case yuccapaddle.SpanDomain:
		return s.Domain
	}
	return ""
}

// inSpan fills the piece of hardware that is left with the least room, nil if none
// holds n tasks.
func inSpan(rooms []room, span yuccapaddle.Span, n int) []string {
	within := group(rooms, func(s *worker) string { return s.place(span) })
	return fewestRacks(tightest(within, n), n)
}
