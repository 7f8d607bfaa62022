package voter_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"yuccapaddle/internal/voter"
)

// TestNoConfirmationAfterLaterEpoch guards against the confirmation of a host that has been
// replaced, by a host that has known its successor.
func TestNoConfirmationAfterLaterEpoch(t *testing.T) {
	c, v := qt.New(t), voter.New()
	v.NoteLatest(3)
	c.Check(v.MayConfirm(3), qt.IsTrue)
	c.Check(v.MayConfirm(4), qt.IsTrue, qt.Commentf("a later one"))
	v.Note(5)
	v.Note(4)
	v.NoteLatest(3)
	c.Check(v.MayConfirm(4), qt.IsFalse)
	c.Check(v.MayConfirm(5), qt.IsTrue)
	c.Check(v.Highest(), qt.Equals, uint64(5))
}

// TestNoConfirmationAfterRestart guards against the confirmation of a former host by a process
// whose predecessor at the same address has known the successor.
func TestNoConfirmationAfterRestart(t *testing.T) {
	c, v := qt.New(t), voter.New()
	v.Note(3)
	c.Check(v.MayConfirm(3), qt.IsFalse, qt.Commentf("another host has told it, not the ledger"))
	v.NoteLatest(3)
	c.Check(v.MayConfirm(3), qt.IsTrue)
}
