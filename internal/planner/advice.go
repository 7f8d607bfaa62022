package planner

import (
	"cmp"
	"slices"
	"time"

	"yuccapaddle"
)

const (
	// maxWorkersPerRequest limits the workers in one request, since the advice service
	// takes time for each of them.
	maxWorkersPerRequest = 30
	// adviceRetryDelay is the time from an unanswered request to the next one about the
	// same step.
	adviceRetryDelay = 500 * time.Millisecond
	// minTicketLife is how much longer a ticket must be valid when a task is placed.
	minTicketLife = 700 * time.Millisecond
)

// advice is what the advice service has answered about a step. Whether a worker may run it
// does not change, but tickets expire.
type advice struct {
	allowed map[string]bool               // by worker: whether it may run the step; absent if not asked
	tickets map[string]yuccapaddle.Ticket // by worker
	pending bool                          // a request has been made and not answered
	retryAt time.Time
}

func (u *unit) stepID() yuccapaddle.StepID {
	return yuccapaddle.StepID{Job: u.job.spec.ID, Occurrence: u.occurrence, Step: u.stepIndex}
}

// needsTicket reports whether the unit's queue requires tickets.
func (p *Planner) needsTicket(u *unit) bool {
	terms, _ := p.rules.TermsOf(u.job.spec)
	return terms.Advised
}

// hasTicket reports whether the unit has a valid ticket for the worker, or needs none.
func (p *Planner) hasTicket(u *unit, w *worker) bool {
	if !p.needsTicket(u) {
		return true
	}
	a := p.advice[u.stepID()]
	if a == nil {
		return false
	}
	t, ok := a.tickets[w.ID]
	return ok && p.now.Add(minTicketLife).Before(t.ExpiresAt)
}

// requestAdvice asks the advice service about workers for a unit that found no room on
// workers with a ticket: first those known to be allowed, whose tickets are missing or
// about to expire, then those not asked about yet. Of each, those with the most free
// room come first.
func (p *Planner) requestAdvice(u *unit) {
	if !p.needsTicket(u) {
		return
	}
	id := u.stepID()
	a := p.advice[id]
	if a == nil {
		a = &advice{allowed: map[string]bool{}, tickets: map[string]yuccapaddle.Ticket{}}
		p.advice[id] = a
	}
	if a.pending || p.now.Before(a.retryAt) {
		return
	}
	var list []*worker
	for _, w := range p.workers {
		good, known := a.allowed[w.ID]
		if p.usable(w) && p.compatible(u, w) && (good || !known) && !p.hasTicket(u, w) {
			list = append(list, w)
		}
	}
	if len(list) == 0 {
		return
	}
	slices.SortFunc(list, func(x, y *worker) int {
		return cmp.Or(
			compareBool(!a.allowed[x.ID], !a.allowed[y.ID]),
			cmp.Compare(y.free().GPU, x.free().GPU),
			cmp.Compare(y.free().CPU, x.free().CPU),
			cmp.Compare(x.ID, y.ID),
		)
	})
	r := yuccapaddle.AdviceRequest{Step: id}
	for _, w := range list[:min(len(list), maxWorkersPerRequest)] {
		r.Workers = append(r.Workers, w.ID)
	}
	a.pending = true
	p.batch.AdviceRequests = append(p.batch.AdviceRequests, r)
	p.addDecision(yuccapaddle.Decision{Event: "advice asked", Job: id.Job, Detail: itoa(len(r.Workers)) + " workers"})
}

// HandleAdvice handles the answer to a request. An error means that there is no answer;
// the next request about the step is then delayed.
func (p *Planner) HandleAdvice(r *yuccapaddle.AdviceRequest, tickets []yuccapaddle.Ticket, err error) {
	a := p.advice[r.Step]
	if a == nil {
		return
	}
	a.pending = false
	p.changed = true
	if err != nil {
		a.retryAt = p.now.Add(adviceRetryDelay)
		p.wakeBy(a.retryAt)
		p.addDecision(yuccapaddle.Decision{Event: "no advice", Job: r.Step.Job, Detail: err.Error()})
		return
	}
	for _, id := range r.Workers {
		a.allowed[id] = false
	}
	for _, t := range tickets {
		a.allowed[t.Worker] = true
		a.tickets[t.Worker] = t
	}
	p.addDecision(yuccapaddle.Decision{Event: "advice", Job: r.Step.Job, Detail: itoa(len(tickets)) + " workers are good"})
}

// ticketValue returns the ticket to send with a start of the unit on a worker, "" if there
// is none.
func (p *Planner) ticketValue(u *unit, id string) string {
	if a := p.advice[u.stepID()]; a != nil {
		return a.tickets[id].Value
	}
	return ""
}

// dropTicket removes a ticket that a worker has refused.
func (p *Planner) dropTicket(u *unit, id string) {
	if a := p.advice[u.stepID()]; a != nil {
		delete(a.tickets, id)
	}
}

// dropAdvice removes the advice for all steps of a job.
func (p *Planner) dropAdvice(job string) {
	for id := range p.advice {
		if id.Job == job {
			delete(p.advice, id)
		}
	}
}
