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
	"yuccapaddle/internal/voter"
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
		e := &Elector{ledger: store, clock: yuccapaddle.SystemClock{}, log: zap.NewNop(), address: "self:1", voter: voter.New()}
		e.voter.NoteLatest(3)
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

// TestNoConfirmationByNewProcess guards against the confirmation of a former host by a process
// that has not learned from the ledger which host is active: an earlier process at its address
// may have known the successor.
func TestNoConfirmationByNewProcess(t *testing.T) {
	c, store, client := qt.New(t), bookkeeper.New(), &confirmCounter{}
	e := &Elector{ledger: store, clock: yuccapaddle.SystemClock{}, log: zap.NewNop(), address: "self:1", voter: voter.New()}
	watch := &lockWatch{e: e, client: client, leader: "former:1"}
	observe := func(beat *peer.Beat) bool {
		watch.nextConfirmAt = time.Time{}
		return watch.observe(t.Context(), beat)
	}
	store.SetFault(bookkeeper.FaultRefused)
	c.Check(observe(&peer.Beat{Epoch: 3}), qt.IsFalse)
	c.Check(observe(&peer.Beat{Epoch: 3, Leased: true}), qt.IsFalse)
	c.Check(client.confirmations, qt.Equals, 0, qt.Commentf("the ledger does not answer"))
	store.SetFault(bookkeeper.FaultNone)
	c.Check(observe(&peer.Beat{Epoch: 3}), qt.IsFalse)
	c.Check(client.confirmations, qt.Equals, 0, qt.Commentf("the ledger names no host"))
	store.Put(lockKey, []byte("next:1"))
	c.Check(observe(&peer.Beat{Epoch: 3, Leased: true}), qt.IsTrue)
	c.Check(client.confirmations, qt.Equals, 0, qt.Commentf("another host is active"))
	store.Put(lockKey, []byte("former:1"))
	c.Check(observe(&peer.Beat{Epoch: 3, Leased: true}), qt.IsFalse)
	c.Check(client.confirmations, qt.Equals, 1)
	e.voter.Note(4)
	c.Check(observe(&peer.Beat{Epoch: 3}), qt.IsFalse)
	c.Check(client.confirmations, qt.Equals, 1, qt.Commentf("a later host was active"))
}
