package rulekeeper_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"yuccapaddle"
	"yuccapaddle/internal/rulekeeper"
)

// readRules is a RuleSource whose data holds version, revision and digest of the rules.
type readRules struct{ data string }

// Read implements yuccapaddle.RuleSource.
func (r *readRules) Read(context.Context) ([]byte, error) { return []byte(r.data), nil }

// Decode implements yuccapaddle.RuleSource.
func (*readRules) Decode(data []byte) (*yuccapaddle.Rules, error) {
	rules := &yuccapaddle.Rules{}
	if _, err := fmt.Sscan(string(data), &rules.Version, &rules.Revision, &rules.Digest); err != nil {
		return nil, err
	}
	return rules.Index(), nil
}

// isClosed reports whether a channel is closed.
func isClosed(changed <-chan struct{}) bool {
	select {
	case <-changed:
		return true
	default:
		return false
	}
}

// TestSameContentReadLater checks that a later read of the same rules counts: rules that were
// read before it do not replace them, and rules that were read after it do. It is no change,
// and the bytes that other hosts fetch in parts stay the same.
func TestSameContentReadLater(t *testing.T) {
	for name, readAgain := range map[string]func(c *qt.C, r *rulekeeper.RuleKeeper, source *readRules){
		"read here": func(c *qt.C, r *rulekeeper.RuleKeeper, source *readRules) {
			source.data = "1 30 1"
			c.Assert(r.Refresh(context.Background()), qt.IsNil)
		},
		"received": func(c *qt.C, r *rulekeeper.RuleKeeper, _ *readRules) {
			c.Assert(r.Offer([]byte("1 30 1"), "host"), qt.IsNil)
		},
		"told": func(_ *qt.C, r *rulekeeper.RuleKeeper, _ *readRules) { r.NoteRead(30, 1) },
		"told of a fetch": func(c *qt.C, r *rulekeeper.RuleKeeper, _ *readRules) {
			c.Assert(r.OfferReadAt([]byte("1 10 1"), 30, 1, "host"), qt.IsNil)
		},
		"told, then stale": func(_ *qt.C, r *rulekeeper.RuleKeeper, _ *readRules) {
			r.NoteRead(30, 1)
			r.NoteRead(20, 1)
			r.NoteRead(40, 2)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c, source := qt.New(t), &readRules{"1 10 1"}
			r := rulekeeper.New(source, 2500, yuccapaddle.SystemClock{}, zap.NewNop())
			c.Assert(r.Refresh(t.Context()), qt.IsNil)
			changed := r.Changed()
			readAgain(c, r, source)
			c.Check(isClosed(changed), qt.IsFalse)
			revision, digest := r.LatestRead()
			c.Check(revision, qt.Equals, uint64(30))
			c.Check(digest, qt.Equals, uint64(1))
			data, revision, _ := r.Data()
			c.Check(string(data), qt.Equals, "1 10 1")
			c.Check(revision, qt.Equals, uint64(10))
			c.Assert(r.Offer([]byte("1 20 2"), "host"), qt.IsNil)
			c.Check(r.Current().Digest, qt.Equals, uint64(1), qt.Commentf("rules that were read before"))
			c.Assert(r.Offer([]byte("1 31 2"), "host"), qt.IsNil)
			c.Check(r.Current().Digest, qt.Equals, uint64(2), qt.Commentf("rules that were read after"))
			c.Check(isClosed(changed), qt.IsTrue)
		})
	}
}

// TestOfferReadAt checks that rules which another host has read again count as read then,
// and that this holds only for the rules that it read.
func TestOfferReadAt(t *testing.T) {
	c, source := qt.New(t), &readRules{"1 20 2"}
	r := rulekeeper.New(source, 2500, yuccapaddle.SystemClock{}, zap.NewNop())
	c.Assert(r.Refresh(t.Context()), qt.IsNil)
	c.Assert(r.OfferReadAt([]byte("1 10 1"), 30, 3, "host"), qt.IsNil)
	c.Check(r.Current().Digest, qt.Equals, uint64(2), qt.Commentf("other rules were read at revision 30"))
	c.Assert(r.OfferReadAt([]byte("1 10 1"), 20, 1, "host"), qt.IsNil)
	c.Check(r.Current().Digest, qt.Equals, uint64(2), qt.Commentf("read at the same revision"))
	c.Assert(r.OfferReadAt([]byte("1 10 1"), 30, 1, "host"), qt.IsNil)
	c.Check(r.Current().Digest, qt.Equals, uint64(1))
	c.Assert(r.Offer([]byte("1 20 2"), "host"), qt.IsNil)
	c.Check(r.Current().Digest, qt.Equals, uint64(1), qt.Commentf("a stale read does not win"))
	c.Check(r.OfferReadAt([]byte("0 10 3"), 40, 3, "host"), qt.ErrorMatches, "the rules have a lower version than those in force")
	c.Check(r.Current().Digest, qt.Equals, uint64(1))
}

// TestStaleReadOfSameRules checks that a read from before the latest known one confirms
// nothing, although its content is the same: other rules may have been in force between, and
// again since.
func TestStaleReadOfSameRules(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, source := qt.New(t), &readRules{"1 10 1"}
		r := rulekeeper.New(source, 2500, yuccapaddle.SystemClock{}, zap.NewNop())
		c.Assert(r.Refresh(t.Context()), qt.IsNil)
		confirmed := r.ConfirmedAt()
		time.Sleep(time.Second)
		r.NoteRead(30, 1)
		c.Check(r.Refresh(t.Context()), qt.ErrorMatches, "read the rules at revision 10 of the store, before revision 30")
		c.Check(r.ConfirmedAt().Equal(confirmed), qt.IsTrue)
		source.data = "1 30 1"
		c.Assert(r.Refresh(t.Context()), qt.IsNil)
		c.Check(r.ConfirmedAt().After(confirmed), qt.IsTrue)
	})
}
