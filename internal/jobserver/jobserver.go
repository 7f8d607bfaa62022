// Package jobserver answers the other hosts of the system.
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
	"yuccapaddle/internal/claimer"
	"yuccapaddle/internal/converter"
	"yuccapaddle/internal/executor"
	"yuccapaddle/internal/peer"
)

// Jobserver implements peer.JobsServer.
type Jobserver struct {
	peer.UnimplementedJobsServer
	claimer *claimer.Claimer
	self    func(ctx context.Context) (yuccapaddle.HostStatus, error)
}

// mostWait is the longest that a call waits for the end of a job.
const mostWait = 10 * time.Second

// New returns a Jobserver; self describes this host.
func New(c *claimer.Claimer, self func(ctx context.Context) (yuccapaddle.HostStatus, error)) *Jobserver {
	return &Jobserver{claimer: c, self: self}
}

// Submit implements peer.JobsServer.
func (s *Jobserver) Submit(ctx context.Context, req *peer.JobSubmit) (*peer.JobAnswer, error) {
	j := &yuccapaddle.Job{}
	if err := json.Unmarshal(req.GetJob(), j); err != nil {
		return nil, status.Errorf(codes.InvalidArgument, "the job cannot be read: %v", err)
	}
	if err := j.Check(); err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return s.with(func(e *executor.Executor) (*peer.JobAnswer, error) {
		return &peer.JobAnswer{Found: true}, e.Submit(ctx, j)
	})
}

// Cancel implements peer.JobsServer.
func (s *Jobserver) Cancel(ctx context.Context, req *peer.JobKey) (*peer.JobAnswer, error) {
	return s.with(func(e *executor.Executor) (*peer.JobAnswer, error) {
		found, err := e.Cancel(ctx, req.GetId(), req.GetQueue())
		return &peer.JobAnswer{Found: found}, err
	})
}

// Show implements peer.JobsServer.
func (s *Jobserver) Show(ctx context.Context, req *peer.JobKey) (*peer.JobAnswer, error) {
	until := time.Now().Add(min(time.Duration(max(req.GetWaitMs(), 0))*time.Millisecond, mostWait))
	return s.with(func(e *executor.Executor) (*peer.JobAnswer, error) {
		report, found, err := e.Show(ctx, req.GetId(), req.GetQueue(), until)
		return converter.JobAnswer(report, found), err
	})
}

// Inspect implements peer.JobsServer.
func (s *Jobserver) Inspect(ctx context.Context, req *peer.InspectRequest) (*peer.InspectReply, error) {
	e := s.claimer.Local()
	if e == nil {
		return &peer.InspectReply{Inactive: true}, nil
	}
	view, err := s.view(ctx, e, req.GetJob())
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &peer.InspectReply{View: view}, nil
}

func (s *Jobserver) view(ctx context.Context, e *executor.Executor, job string) ([]byte, error) {
	if job == "" {
		st, err := s.self(ctx)
		if err != nil {
			return nil, err
		}
		return json.Marshal(&st)
	}
	view, err := e.View(ctx, job)
	if err != nil || view == nil {
		return nil, err
	}
	return json.Marshal(view)
}

// Follow implements peer.JobsServer.
func (s *Jobserver) Follow(req *peer.FollowRequest, stream grpc.ServerStreamingServer[peer.Beat]) error {
	return s.claimer.Follow(req, stream)
}

// Who implements peer.JobsServer.
func (s *Jobserver) Who(context.Context, *peer.WhoRequest) (*peer.WhoReply, error) {
	return s.claimer.Who(), nil
}

// Reach implements peer.JobsServer.
func (s *Jobserver) Reach(ctx context.Context, _ *peer.ReachRequest) (*peer.ReachReply, error) {
	return &peer.ReachReply{Reached: s.claimer.Reaches(ctx)}, nil
}

// with runs f on the executor, if this host is active. An answer is inactive
// only if nothing was done.
func (s *Jobserver) with(f func(*executor.Executor) (*peer.JobAnswer, error)) (*peer.JobAnswer, error) {
	e := s.claimer.Local()
	if e == nil {
		return &peer.JobAnswer{Inactive: true}, nil
	}
	answer, err := f(e)
	var hopeless *yuccapaddle.HopelessError
	switch {
	case errors.As(err, &hopeless):
		return &peer.JobAnswer{Refused: true, Why: hopeless.Why}, nil
	case errors.Is(err, executor.ErrRefused):
		return &peer.JobAnswer{Refused: true}, nil
	case errors.Is(err, yuccapaddle.ErrNotTaken):
		return &peer.JobAnswer{Inactive: true}, nil
	case err != nil:
		return nil, status.Error(codes.Unknown, err.Error())
	}
	return answer, nil
}
