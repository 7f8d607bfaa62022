package recorder_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
	"yuccapaddle/internal/recorder"
	"yuccapaddle/internal/standin/bookkeeper"
)

// relock sets a lock that does not exist, with one attempt that may time out.
func relock(t *testing.T, r *recorder.Recorder, host string) error {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	return r.Relock(ctx, yuccapaddle.Lock{Key: "lost-lock", Address: host})
}

// TestRelock checks that the writer can set a lock that has expired, and that a host that
// is no longer the writer cannot.
func TestRelock(t *testing.T) {
	c, ledger := qt.New(t), bookkeeper.New()
	first := claim(t, c, ledger, "a")
	c.Assert(relock(t, first, "a"), qt.IsNil)
	lock, err := ledger.Get(t.Context(), "lost-lock")
	c.Assert(err, qt.IsNil)
	c.Check(string(lock.Value), qt.Equals, "a")
	c.Check(relock(t, first, "a"), qt.ErrorIs, yuccapaddle.ErrConflict, qt.Commentf("the lock exists"))
	c.Assert(first.Save(t.Context(), record("j", "1"), nil), qt.IsNil, qt.Commentf("the conflict concerns the lock only"))
	ledger.Delete("lost-lock")
	claim(t, c, ledger, "b")
	c.Check(relock(t, first, "a"), qt.ErrorIs, recorder.ErrReplaced)
	lock, err = ledger.Get(t.Context(), "lost-lock")
	c.Assert(err, qt.IsNil)
	c.Check(lock.Revision, qt.Equals, uint64(0))
}

// TestRelockReplyLost checks that a commit after a Relock without a reply is applied
// itself, and not taken for applied because the Relock was.
func TestRelockReplyLost(t *testing.T) {
	for _, fault := range []bookkeeper.Fault{bookkeeper.FaultLostReply, bookkeeper.FaultTimeout} {
		synctest.Test(t, func(t *testing.T) {
			c, ledger := qt.New(t), bookkeeper.New()
			r := claim(t, c, ledger, "a")
			c.Assert(r.Save(t.Context(), record("j", "1"), nil), qt.IsNil)
			ledger.SetFault(fault)
			c.Assert(relock(t, r, "a"), qt.ErrorIs, yuccapaddle.ErrUnknown)
			ledger.SetFault(bookkeeper.FaultNone)
			c.Assert(r.Save(t.Context(), record("j", "2"), nil), qt.IsNil)
			c.Check(load(t, c, r), qt.DeepEquals, map[string]string{"job j": "2"})
		})
	}
}
