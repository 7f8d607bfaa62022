package elector

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"yuccapaddle"
	"yuccapaddle/internal/peer"
	"yuccapaddle/internal/standin/bookkeeper"
)

// confirmCounter is a client of an active host that counts the confirmations for it.
type confirmCounter struct {
	peer.JobsClient
	confirmations int
}

// Vouch implements peer.JobsClient.
func (v *confirmCounter) Vouch(context.Context, *peer.VouchRequest, ...grpc.CallOption) (*peer.VouchReply, error) {
	v.confirmations++
	return &peer.VouchReply{}, nil
}

// TestLockReadBeforeConfirm checks that a follower of any rank reads the lock before it
// confirms an active host whose lease is not renewed, and stops following it if another host
// holds the lock: the two hosts may be partitioned from each other, and a confirmation would
// let the former one go on renewing the leases of workers.
func TestLockReadBeforeConfirm(t *testing.T) {
	for _, rank := range []int64{1, firstRanks + 50} {
		c, store, client := qt.New(t), bookkeeper.New(), &confirmCounter{}
		e := &Elector{ledger: store, clock: yuccapaddle.SystemClock{}, log: zap.NewNop(), address: "self:1"}
		watch := &lockWatch{e: e, client: client, leader: "former:1"}
		beat := &peer.Beat{Epoch: 3, Rank: rank}
		c.Check(watch.observe(t.Context(), beat), qt.IsFalse, qt.Commentf("the lock is absent for a moment"))
		c.Check(client.confirmations, qt.Equals, 1)
		store.Put(lockKey, []byte("next:1"))
		watch.nextConfirmAt = time.Time{}
		c.Check(watch.observe(t.Context(), beat), qt.IsTrue, qt.Commentf("another host is active"))
		c.Check(client.confirmations, qt.Equals, 1)
		store.Put(lockKey, []byte("former:1"))
		c.Check(watch.observe(t.Context(), beat), qt.IsFalse)
		c.Check(client.confirmations, qt.Equals, 2)
	}
}
