package scheduler

import (
	"fmt"
	"time"

	"yuccapaddle"
	"yuccapaddle/internal/keeper"
)

const (
	retryAfterQueueFull        = 2 * time.Second
	retryAfterOutage           = 3 * time.Second
	defaultWaitingPerWorkspace = 5000
)

func (s *Scheduler) submit(e yuccapaddle.Submitted) {
	r := e.Request
	key := r.Key()
	if known := s.state.Request(key); known != nil {
		s.answerDuplicate(e, known)
		return
	}
	if reason, retryAfter := s.checkAdmission(r); reason != "" {
		s.rememberRefusal(r)
		s.emit(yuccapaddle.Reply{Ticket: e.Ticket, Outcome: refusedOutcome(r, reason, retryAfter)})
		return
	}
	s.propose(keeper.Accept(r, s.now))
	s.needsPlan = true
	s.replyOnCommit(e.Ticket, key)
}

// answerDuplicate answers a submission whose id is already used: with the outcome
// of the known request if the content is the same, with a refusal otherwise.
func (s *Scheduler) answerDuplicate(e yuccapaddle.Submitted, known *yuccapaddle.Request) {
	if known.Content != e.Request.Content {
		reason := fmt.Sprintf("id %q was already used for another request", e.Request.ID)
		s.emit(yuccapaddle.Reply{Ticket: e.Ticket, Outcome: refusedOutcome(e.Request, reason, time.Time{})})
		return
	}
	s.replyOnCommit(e.Ticket, known.Key())
}

// replyOnCommit replies with the outcome of a request once the records proposed so
// far are committed.
func (s *Scheduler) replyOnCommit(ticket uint64, key string) {
	s.onCommit(func() { s.emit(yuccapaddle.Reply{Ticket: ticket, Outcome: s.state.Outcome(key)}) })
}

func refusedOutcome(r *yuccapaddle.Request, reason string, retryAfter time.Time) yuccapaddle.Outcome {
	return yuccapaddle.Outcome{
		ID: r.ID, Workspace: r.Workspace, Verdict: yuccapaddle.VerdictRefused, Reason: reason, RetryAfter: retryAfter,
	}
}

// checkAdmission returns why a request is refused, "" if it is accepted, and when
// to submit it again; a zero time means that trying again will not help.
func (s *Scheduler) checkAdmission(r *yuccapaddle.Request) (string, time.Time) {
	switch {
	case s.cfg == nil:
		return "no configuration has been applied yet", s.now.Add(retryAfterOutage)
	case s.stalled:
		return "the platform's key-value service does not answer", s.now.Add(retryAfterOutage)
	case s.now.After(r.AcceptBy):
		return "the submission came too late to this host", s.now
	case !r.AcceptBy.After(s.refusedUntil[r.Key()]):
		return "a later copy of the submission was refused before", s.now
	}
	ws := findWorkspace(&s.cfg.Site, r.Workspace)
	if ws == nil {
		return fmt.Sprintf("workspace %q does not exist", r.Workspace), time.Time{}
	}
	if reason := s.infeasibleReason(r, ws); reason != "" {
		return reason, time.Time{}
	}
	maxWaiting := s.cfg.Site.Limits.WaitingPerWorkspace
	if maxWaiting <= 0 {
		maxWaiting = defaultWaitingPerWorkspace
	}
	if n := s.state.WaitingIn(r.Workspace); n >= maxWaiting {
		return fmt.Sprintf("workspace %q already has %d waiting requests", r.Workspace, n), s.now.Add(retryAfterQueueFull)
	}
	return "", time.Time{}
}

// rememberRefusal records a refusal for as long as copies of the submission that
// were sent earlier may still arrive: they have to be refused as well.
func (s *Scheduler) rememberRefusal(r *yuccapaddle.Request) {
	if r.AcceptBy.After(s.now) && r.AcceptBy.After(s.refusedUntil[r.Key()]) {
		s.refusedUntil[r.Key()] = r.AcceptBy
	}
}

// infeasibleReason returns why a request can never run under the configured quotas
// and capacity, "" if it can.
func (s *Scheduler) infeasibleReason(r *yuccapaddle.Request, ws *yuccapaddle.Workspace) string {
	need := r.Need()
	if ws.Quota > 0 && need > ws.Quota {
		return fmt.Sprintf("request needs %d accelerators, the quota of workspace %q is %d", need, ws.Name, ws.Quota)
	}
	if r.Team != "" {
		team := findTeam(ws, r.Team)
		if team == nil {
			return fmt.Sprintf("team %q does not exist in workspace %q", r.Team, ws.Name)
		}
		if team.Quota > 0 && need > team.Quota {
			return fmt.Sprintf("request needs %d accelerators, the quota of team %q is %d", need, team.Name, team.Quota)
		}
	}
	if maxTasks := s.topo.MaxTasks(r.Span, r.Accelerators); maxTasks < r.Tasks {
		return fmt.Sprintf("no %s has room for %d tasks of %d accelerators, the most is %d tasks", r.Span, r.Tasks, r.Accelerators, maxTasks)
	}
	return ""
}

func (s *Scheduler) cancel(e yuccapaddle.Cancelled) {
	o := s.state.Outcome(e.Key)
	if o.Verdict == yuccapaddle.VerdictNotFound || o.Verdict.Final() || o.Verdict == yuccapaddle.VerdictUnknown {
		s.replyOnCommit(e.Ticket, e.Key)
		return
	}
	g := s.state.Gang(e.Key)
	if g == nil || g.State == yuccapaddle.GangClaimed {
		s.settleCancelled(e.Key, o.MayHaveRun)
	} else if tg := s.gangs[e.Key]; tg != nil {
		s.propose(keeper.Evict(e.Key, evictReasonCancelled, s.now, s.now))
		s.beginStop(tg, stopCause{kind: stopCancelled})
	}
	s.needsPlan = true
	s.replyOnCommit(e.Ticket, e.Key)
}

// settleCancelled settles a request as cancelled that is waiting or only claims
// workers.
func (s *Scheduler) settleCancelled(key string, mayHaveRun bool) {
	o := s.state.Outcome(key)
	o.Verdict, o.MayHaveRun, o.EndAt = yuccapaddle.VerdictCancelled, mayHaveRun, s.now
	o.Reason = "cancelled before it started"
	if mayHaveRun {
		o.Reason = "cancelled after it had started"
	}
	s.untrack(key)
	if s.state.MaybeAnswered(key) {
		s.propose(maybeAnsweredRecord(&o, s.now))
		return
	}
	s.propose(keeper.End(&o, s.now))
}

func findWorkspace(site *yuccapaddle.Site, name string) *yuccapaddle.Workspace {
	for i := range site.Workspaces {
		if site.Workspaces[i].Name == name {
			return &site.Workspaces[i]
		}
	}
	return nil
}

func findTeam(ws *yuccapaddle.Workspace, name string) *yuccapaddle.Team {
	for i := range ws.Teams {
		if ws.Teams[i].Name == name {
			return &ws.Teams[i]
		}
	}
	return nil
}
