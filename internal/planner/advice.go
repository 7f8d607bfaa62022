package planner

import (
	"cmp"
	"slices"
	"time"

	"yuccapaddle"
)

const (
	// askAtOnce is how many workers one question names: the service takes a time
	// for each of them.
	askAtOnce = 30
	// askAgain is how long after a question without an answer the next one is put.
	askAgain = 500 * time.Millisecond
	// ticketSlack is the life that a ticket must have left when a task is placed.
	ticketSlack = 700 * time.Millisecond
)

// advice is what is known of the workers for one step. Which workers may run it
// does not change; tickets end.
type advice struct {
	asked   map[string]bool // true: may run it
	tickets map[string]yuccapaddle.Ticket
	open    bool // a question is on its way
	again   time.Time
}

func (u *unit) stepID() yuccapaddle.StepID {
	return yuccapaddle.StepID{Job: u.job.in.ID, Occurrence: u.occurrence, Step: u.step}
}

// advised reports whether the unit's queue needs tickets.
func (p *Planner) advised(u *unit) bool {
	q := p.rules.Queue(u.job.in.Queue)
	return q != nil && q.Advised
}

// ticketed reports whether the unit may start on the worker now.
func (p *Planner) ticketed(u *unit, s *worker) bool {
	if !p.advised(u) {
		return true
	}
	a := p.advice[u.stepID()]
	if a == nil {
		return false
	}
	t, ok := a.tickets[s.ID]
	return ok && p.now.Add(ticketSlack).Before(t.Ends)
}

// ask puts a question about a unit that finds no room with a ticket: first about
// workers that are known to be good, then about those not asked of yet, those
// with the most room first.
func (p *Planner) ask(u *unit) {
	if !p.advised(u) {
		return
	}
	id := u.stepID()
	a := p.advice[id]
	if a == nil {
		a = &advice{asked: map[string]bool{}, tickets: map[string]yuccapaddle.Ticket{}}
		p.advice[id] = a
	}
	if a.open || p.now.Before(a.again) {
		return
	}
	var list []*worker
	for _, s := range p.workers {
		good, known := a.asked[s.ID]
		if p.usable(s) && p.fitsKind(u, s) && (good || !known) && !p.ticketed(u, s) {
			list = append(list, s)
		}
	}
	if len(list) == 0 {
		return
	}
	slices.SortFunc(list, func(x, y *worker) int {
		return cmp.Or(
			compareBool(!a.asked[x.ID], !a.asked[y.ID]),
			cmp.Compare(y.free().GPU, x.free().GPU),
			cmp.Compare(y.free().CPU, x.free().CPU),
			cmp.Compare(x.ID, y.ID),
		)
	})
	q := yuccapaddle.Question{Step: id}
	for _, s := range list[:min(len(list), askAtOnce)] {
		q.Workers = append(q.Workers, s.ID)
	}
	a.open = true
	p.batch.Questions = append(p.batch.Questions, q)
	p.note(yuccapaddle.Note{Event: "advice asked", Job: id.Job, Detail: itoa(len(q.Workers)) + " workers"})
}

// Advised takes in the answer to a question; err means that there is none.
func (p *Planner) Advised(q *yuccapaddle.Question, tickets []yuccapaddle.Ticket, err error) {
	a := p.advice[q.Step]
	if a == nil {
		return
	}
	a.open = false
	p.changed = true
	if err != nil {
		a.again = p.now.Add(askAgain)
		p.wakeBy(a.again)
		p.note(yuccapaddle.Note{Event: "no advice", Job: q.Step.Job, Detail: err.Error()})
		return
	}
	for _, id := range q.Workers {
		a.asked[id] = false
	}
	for _, t := range tickets {
		a.asked[t.Worker] = true
		a.tickets[t.Worker] = t
	}
	p.note(yuccapaddle.Note{Event: "advice", Job: q.Step.Job, Detail: itoa(len(tickets)) + " workers are good"})
}

// ticket is what a start of the unit on a worker carries.
func (p *Planner) ticket(u *unit, id string) string {
	if a := p.advice[u.stepID()]; a != nil {
		return a.tickets[id].Value
	}
	return ""
}

// rejectTicket forgets a ticket that a worker does not take.
func (p *Planner) rejectTicket(u *unit, id string) {
	if a := p.advice[u.stepID()]; a != nil {
		delete(a.tickets, id)
	}
}

// forgetAdvice drops what is known for the steps of a job.
func (p *Planner) forgetAdvice(job string) {
	for id := range p.advice {
		if id.Job == job {
			delete(p.advice, id)
		}
	}
}
