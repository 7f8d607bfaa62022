package elector

import (
	"context"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"yuccapaddle/internal/peer"
)

const (
	// maxLockAbsence is how long the lock may be absent, while heartbeats arrive and the
	// ledger answers followers, before they claim the role. The active host sets the lock
	// again, or hands the role over, well within it.
	maxLockAbsence = 1500 * time.Millisecond
	// confirmInterval is the minimum time between two calls of Vouch. With lockReadTimeout it
	// is part of the time that predecessorRenewPeriod allows for.
	confirmInterval = 600 * time.Millisecond
	// lockReadTimeout and confirmTimeout together are shorter than minHeartbeatTimeout, since no
	// heartbeat is received meanwhile.
	lockReadTimeout = 200 * time.Millisecond
	confirmTimeout  = 200 * time.Millisecond
)

// lockWatch watches the lock while the heartbeats of the active host say that its lease
// has not been renewed.
type lockWatch struct {
	e             *Elector
	client        peer.JobsClient
	leader        string
	absentAt      time.Time // since when each read found no lock, zero if the last one found it
	nextConfirmAt time.Time
	confirmed     bool // this host has confirmed the active one at least once
	lockUnknown   bool // the last read of the lock has failed
}

// observe handles a heartbeat, and reports whether this host should look for another active
// host: the lock is held by another one, or has been absent for so long that the active
// host will not set it again. Until then this host confirms the active one.
func (l *lockWatch) observe(ctx context.Context, beat *peer.Beat) bool {
	if beat.GetLeased() {
		l.absentAt = time.Time{}
		return false
	}
	now := l.e.clock.Now()
	confirm := !now.Before(l.nextConfirmAt)
	if beat.GetRank() > firstRanks && !confirm {
		return false
	}
	if l.checkLock(ctx, now) {
		return true
	}
	if confirm {
		l.nextConfirmAt = now.Add(confirmInterval)
		l.confirm(ctx, beat)
	}
	return false
}

// confirm tells the active host that this one knows of no later one.
func (l *lockWatch) confirm(ctx context.Context, beat *peer.Beat) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	_, err := l.client.Vouch(ctx, &peer.VouchRequest{Address: l.e.address, Epoch: beat.GetEpoch(), SentNs: beat.GetSentNs()})
	if !l.confirmed {
		l.confirmed = true
		l.e.log.Info("confirms the active host, whose lease is not renewed", zap.String("address", l.leader), zap.Uint64("epoch", beat.GetEpoch()),
			zap.Bool("lock_unknown", l.lockUnknown))
	}
	if err != nil && status.Code(err) != codes.Unimplemented { // hosts of an earlier version ask for it
		l.e.log.Info("cannot confirm the active host", zap.String("address", l.leader), zap.Error(err))
	}
}

// checkLock reads the lock once, and reports whether the role is free.
func (l *lockWatch) checkLock(ctx context.Context, now time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, lockReadTimeout)
	defer cancel()
	lock, err := l.e.ledger.Get(ctx, lockKey)
	l.lockUnknown = err != nil
	switch {
	case err != nil:
		return false // the state of the lock is unknown, so absentAt is kept
	case lock.Revision != 0:
		l.absentAt = time.Time{}
		return string(lock.Value) != l.leader
	case l.absentAt.IsZero():
		l.absentAt = now
	}
	return now.Sub(l.absentAt) > maxLockAbsence
}
