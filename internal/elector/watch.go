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
	// confirmInterval is the minimum time between two calls of Vouch.
	confirmInterval = 600 * time.Millisecond
	// lockReadTimeout and confirmTimeout together are shorter than minHeartbeatTimeout, since no
	// heartbeat is received meanwhile.
	lockReadTimeout = 200 * time.Millisecond
	confirmTimeout  = 200 * time.Millisecond
)

// lockWatch confirms the active host: once as soon as it is followed, and for as long as its
// heartbeats say that its lease has not been renewed. Meanwhile it watches the lock.
type lockWatch struct {
	e             *Elector
	client        peer.JobsClient
	leader        string
	absentAt      time.Time // since when each read found no lock, zero if the last one found it
	nextConfirmAt time.Time
	confirmed     bool // this host has confirmed the active one at least once
	lockUnknown   bool // the last read of the lock has failed
	logged        bool // a confirmation without a renewed lease has been logged
}

// observe handles a heartbeat, and reports whether this host should look for another active
// host: the lock is held by another one, or has been absent for so long that the active
// host will not set it again. Until then this host confirms the active one.
func (l *lockWatch) observe(ctx context.Context, beat *peer.Beat) bool {
	now := l.e.clock.Now()
	confirm := !now.Before(l.nextConfirmAt)
	if beat.GetLeased() {
		l.absentAt = time.Time{}
		return confirm && !l.confirmed && l.confirmFirst(ctx, beat, now)
	}
	if beat.GetRank() > firstRanks && !confirm {
		return false
	}
	if l.checkLock(ctx, beat, now) {
		return true
	}
	if confirm {
		l.logConfirmation(beat)
		l.confirm(ctx, beat, now)
	}
	return false
}

// confirmFirst confirms a host that this one has begun to follow, after a read of the lock if
// this process has not learned from the ledger yet which host is active. It reports whether
// another host is.
func (l *lockWatch) confirmFirst(ctx context.Context, beat *peer.Beat, now time.Time) bool {
	if !l.e.voter.MayConfirm(beat.GetEpoch()) && l.checkLock(ctx, beat, now) {
		return true
	}
	l.confirm(ctx, beat, now)
	return false
}

// confirm tells the active host that this one knows of no later one, if that is so.
func (l *lockWatch) confirm(ctx context.Context, beat *peer.Beat, now time.Time) {
	l.nextConfirmAt = now.Add(confirmInterval)
	if !l.e.voter.MayConfirm(beat.GetEpoch()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	_, err := l.client.Vouch(ctx, &peer.VouchRequest{Address: l.e.address, Epoch: beat.GetEpoch(), SentNs: beat.GetSentNs()})
	switch {
	case err == nil:
		l.confirmed = true
	case status.Code(err) == codes.Unimplemented: // hosts of an earlier version ask for it
		l.confirmed = true
	default:
		l.e.log.Info("cannot confirm the active host", zap.String("address", l.leader), zap.Error(err))
	}
}

// logConfirmation logs, once, that this host confirms one whose lease is not renewed.
func (l *lockWatch) logConfirmation(beat *peer.Beat) {
	if l.logged {
		return
	}
	l.logged = true
	l.e.log.Info("confirms the active host, whose lease is not renewed", zap.String("address", l.leader), zap.Uint64("epoch", beat.GetEpoch()),
		zap.Bool("lock_unknown", l.lockUnknown), zap.Bool("permitted", l.e.voter.MayConfirm(beat.GetEpoch())))
}

// checkLock reads the lock once, and reports whether the role is free or another host's.
func (l *lockWatch) checkLock(ctx context.Context, beat *peer.Beat, now time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, lockReadTimeout)
	defer cancel()
	lock, err := l.e.ledger.Get(ctx, lockKey)
	l.lockUnknown = err != nil
	switch {
	case err != nil:
		return false // the state of the lock is unknown, so absentAt is kept
	case lock.Revision != 0:
		l.absentAt = time.Time{}
		if string(lock.Value) != l.leader {
			return true
		}
		l.e.voter.NoteLatest(beat.GetEpoch())
		return false
	case l.absentAt.IsZero():
		l.absentAt = now
	}
	return now.Sub(l.absentAt) > maxLockAbsence
}
