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

// vouchCounter is a client of an active host that counts the vouches for it.
type vouchCounter struct {
	peer.JobsClient
	vouches int
}

// Vouch implements peer.JobsClient.
func (v *vouchCounter) Vouch(context.Context, *peer.VouchRequest, ...grpc.CallOption) (*peer.VouchReply, error) {
	v.vouches++
	return &peer.VouchReply{}, nil
}

// TestVouchLooksFirst checks that a follower of any rank looks at the lock before it vouches
// for an active host whose lease is not renewed, and leaves it if another host holds the
// lock: the two may not reach one another, and only the followers can tell the former one.
func TestVouchLooksFirst(t *testing.T) {
	for _, rank := range []int64{1, firstRanks + 50} {
		c, store, client := qt.New(t), bookkeeper.New(), &vouchCounter{}
		e := &Elector{ledger: store, clock: yuccapaddle.SystemClock{}, log: zap.NewNop(), address: "self:1"}
		watch := &lockWatch{e: e, client: client, leader: "former:1"}
		beat := &peer.Beat{Epoch: 3, Rank: rank}
		c.Check(watch.observe(t.Context(), beat), qt.IsFalse, qt.Commentf("the lock is absent for a moment"))
		c.Check(client.vouches, qt.Equals, 1)
		store.Put(lockKey, []byte("next:1"))
		watch.nextVouchAt = time.Time{}
		c.Check(watch.observe(t.Context(), beat), qt.IsTrue, qt.Commentf("another host is active"))
		c.Check(client.vouches, qt.Equals, 1)
		store.Put(lockKey, []byte("former:1"))
		c.Check(watch.observe(t.Context(), beat), qt.IsFalse)
		c.Check(client.vouches, qt.Equals, 2)
	}
}
