package rulekeeper_test

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"yuccapaddle"
	"yuccapaddle/internal/rulekeeper"
)

// numberedRules is a RuleSource whose data is the number of a version.
type numberedRules struct{ version int64 }

// Read implements yuccapaddle.RuleSource.
func (n *numberedRules) Read(context.Context) ([]byte, error) {
	return []byte(strconv.FormatInt(n.version, 10)), nil
}

// Decode implements yuccapaddle.RuleSource.
func (*numberedRules) Decode(data []byte) (*yuccapaddle.Rules, error) {
	v, err := strconv.ParseInt(string(data), 10, 64)
	if err != nil {
		return nil, err
	}
	return (&yuccapaddle.Rules{Version: v, Revision: uint64(v), Digest: uint64(v)}).Index(), nil
}

// TestStaleRead checks that a read that returns older rules than those in force neither
// replaces nor confirms them: a newer version may be in force elsewhere.
func TestStaleRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, source := qt.New(t), &numberedRules{version: 4}
		r := rulekeeper.New(source, 2500, yuccapaddle.SystemClock{}, zap.NewNop())
		c.Assert(r.Refresh(t.Context()), qt.IsNil)
		confirmed := r.ConfirmedAt()
		time.Sleep(time.Second)
		source.version = 3
		c.Check(r.Refresh(t.Context()), qt.ErrorMatches, "read version 3 of the rules, older than version 4 in force")
		c.Check(r.Current().Version, qt.Equals, int64(4))
		c.Check(r.ConfirmedAt().Equal(confirmed), qt.IsTrue)
		source.version = 5
		c.Assert(r.Refresh(t.Context()), qt.IsNil)
		c.Check(r.Current().Version, qt.Equals, int64(5))
		c.Check(r.ConfirmedAt().After(confirmed), qt.IsTrue)
	})
}

// TestUnconfirmedAfterRestart checks that a process that has just started does not judge
// callers by rules that another host passed on while the ledger was away: that host may
// not know that a key was withdrawn.
func TestUnconfirmedAfterRestart(t *testing.T) {
	c, source := qt.New(t), &numberedRules{version: 5}
	r := rulekeeper.New(source, 2500, yuccapaddle.SystemClock{}, zap.NewNop())
	c.Check(r.Confirmed(), qt.IsNil)
	c.Assert(r.Offer([]byte("4"), "host"), qt.IsNil)
	c.Check(r.Current().Version, qt.Equals, int64(4))
	c.Check(r.Confirmed(), qt.IsNil)
	c.Assert(r.Refresh(t.Context()), qt.IsNil)
	c.Check(r.Confirmed().Version, qt.Equals, int64(5))
}
