// Package jobserver serves the gRPC calls of the other hosts, for a host of package
// assembler. Package receiver does so for a host of package server.
package jobserver

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"yuccapaddle"
	"yuccapaddle/internal/converter"
	"yuccapaddle/internal/elector"
	"yuccapaddle/internal/executor"
	"yuccapaddle/internal/peer"
)

// JobServer implements peer.JobsServer.
type JobServer struct {
	peer.UnimplementedJobsServer
	elector    *elector.Elector
	hostStatus func(ctx context.Context) (yuccapaddle.HostStatus, error)
}

// maxWait is how long Show waits at most for the end of a job.
const maxWait = 10 * time.Second

// New returns a JobServer. hostStatus returns the status of this host.
func New(e *elector.Elector, hostStatus func(ctx context.Context) (yuccapaddle.HostStatus, error)) *JobServer {
	return &JobServer{elector: e, hostStatus: hostStatus}
}

// Submit implements peer.JobsServer.
func (s *JobServer) Submit(ctx context.Context, req *peer.JobSubmit) (*peer.JobAnswer, error) {
	job := &yuccapaddle.Job{}
	if err := json.Unmarshal(req.GetJob(), job); err != nil {
		return nil, status.Errorf(codes.InvalidArgument, "the job cannot be read: %v", err)
	}
	if err := job.Check(); err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return s.withExecutor(req.GetEpoch(), func(e *executor.Executor) (*peer.JobAnswer, error) {
		return &peer.JobAnswer{Found: true}, e.Submit(ctx, job)
	})
}

// Cancel implements peer.JobsServer.
func (s *JobServer) Cancel(ctx context.Context, req *peer.JobKey) (*peer.JobAnswer, error) {
	caller, err := converter.Caller(req)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return s.withExecutor(req.GetEpoch(), func(e *executor.Executor) (*peer.JobAnswer, error) {
		found, err := e.Cancel(ctx, req.GetId(), caller)
		return &peer.JobAnswer{Found: found}, err
	})
}

// Show implements peer.JobsServer.
func (s *JobServer) Show(ctx context.Context, req *peer.JobKey) (*peer.JobAnswer, error) {
	caller, err := converter.Caller(req)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	until := time.Now().Add(min(time.Duration(max(req.GetWaitMs(), 0))*time.Millisecond, maxWait))
	return s.withExecutor(req.GetEpoch(), func(e *executor.Executor) (*peer.JobAnswer, error) {
		report, found, err := e.Show(ctx, req.GetId(), caller, until)
		return converter.JobAnswer(report, found), err
	})
}

// Inspect implements peer.JobsServer.
func (s *JobServer) Inspect(ctx context.Context, req *peer.InspectRequest) (*peer.InspectReply, error) {
	e := s.elector.LocalExecutor()
	if e == nil {
		return &peer.InspectReply{Inactive: true}, nil
	}
	view, err := s.marshalView(ctx, e, req.GetJob())
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &peer.InspectReply{View: view}, nil
}

// marshalView returns a job in JSON, or the status of this host if jobID is empty. It
// returns nil if there is no such job.
func (s *JobServer) marshalView(ctx context.Context, e *executor.Executor, jobID string) ([]byte, error) {
	if jobID == "" {
		st, err := s.hostStatus(ctx)
		if err != nil {
			return nil, err
		}
		return json.Marshal(&st)
	}
	view, err := e.View(ctx, jobID)
	if err != nil || view == nil {
		return nil, err
	}
	return json.Marshal(view)
}

// Follow implements peer.JobsServer.
func (s *JobServer) Follow(req *peer.FollowRequest, stream grpc.ServerStreamingServer[peer.Beat]) error {
	return s.elector.Follow(req, stream)
}

// Who implements peer.JobsServer.
func (s *JobServer) Who(_ context.Context, req *peer.WhoRequest) (*peer.WhoReply, error) {
	return s.elector.Who(req), nil
}

// Rules implements peer.JobsServer.
func (s *JobServer) Rules(_ context.Context, req *peer.RulesRequest) (*peer.RulesPart, error) {
	return s.elector.RulesPart(req)
}

// Vouch implements peer.JobsServer.
func (s *JobServer) Vouch(_ context.Context, req *peer.VouchRequest) (*peer.VouchReply, error) {
	s.elector.HandleConfirmation(req)
	return &peer.VouchReply{}, nil
}

// Reach implements peer.JobsServer.
func (s *JobServer) Reach(ctx context.Context, _ *peer.ReachRequest) (*peer.ReachReply, error) {
	return &peer.ReachReply{Reached: s.elector.ReachesLedger(ctx)}, nil
}

// withExecutor runs f with the executor, if this host is active in the epoch wanted, 0 for
// any. The answer has Inactive set only if nothing was done, so that the caller may safely
// retry elsewhere.
func (s *JobServer) withExecutor(wanted uint64, f func(*executor.Executor) (*peer.JobAnswer, error)) (*peer.JobAnswer, error) {
	e := s.elector.LocalExecutor()
	if e == nil || (wanted != 0 && wanted != e.Epoch()) {
		return &peer.JobAnswer{Inactive: true}, nil
	}
	// Read before the call: a host that has not loaded all jobs yet may refuse one that it
	// does not know of.
	epoch := e.LoadedEpoch()
	answer, err := f(e)
	var infeasible *yuccapaddle.InfeasibleError
	switch {
	case errors.As(err, &infeasible):
		return &peer.JobAnswer{Refused: true, Why: infeasible.Reason, Epoch: epoch}, nil
	case errors.Is(err, yuccapaddle.ErrIDTaken):
		return &peer.JobAnswer{Refused: true, Taken: true, Epoch: epoch}, nil
	case errors.Is(err, yuccapaddle.ErrTooMuchWork):
		return nil, status.Error(codes.ResourceExhausted, err.Error())
	case errors.Is(err, executor.ErrLedgerUnavailable):
		return &peer.JobAnswer{Refused: true, Epoch: epoch}, nil
	case errors.Is(err, yuccapaddle.ErrNotAccepted):
		return &peer.JobAnswer{Inactive: true}, nil
	case err != nil:
		return nil, status.Error(codes.Unknown, err.Error())
	}
	return answer, nil
}
