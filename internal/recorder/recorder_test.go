package recorder_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"yuccapaddle"
	"yuccapaddle/internal/recorder"
	"yuccapaddle/internal/standin/bookkeeper"
)

func claim(t *testing.T, c *qt.C, ledger yuccapaddle.Ledger, host string) *recorder.Recorder {
	t.Helper()
	r, err := recorder.Claim(t.Context(), ledger, host, host, host, yuccapaddle.Lock{Key: "lock-" + host, Address: host})
	c.Assert(err, qt.IsNil)
	return r
}

func record(id, state string) []yuccapaddle.JobRecord {
	return []yuccapaddle.JobRecord{{ID: id, Job: []byte("job " + id), State: []byte(state)}}
}

func load(t *testing.T, c *qt.C, r *recorder.Recorder) map[string]string {
	t.Helper()
	found := map[string]string{}
	records, err := r.Load(t.Context())
	c.Assert(err, qt.IsNil)
	for i := range records {
		found[string(records[i].Job)] = string(records[i].State)
	}
	return found
}

// TestReplaced checks that a writer that has been replaced cannot commit any more.
func TestReplaced(t *testing.T) {
	c, ledger := qt.New(t), bookkeeper.New()
	first := claim(t, c, ledger, "a")
	c.Assert(first.Save(t.Context(), record("j", "1"), nil), qt.IsNil)
	second := claim(t, c, ledger, "b")
	c.Check(second.Epoch() > first.Epoch(), qt.IsTrue)
	c.Check(first.Save(t.Context(), record("j", "2"), nil), qt.ErrorIs, recorder.ErrReplaced)
	c.Check(load(t, c, second), qt.DeepEquals, map[string]string{"job j": "1"})
}

// TestAnswerLost checks that a commit that was applied without a reply is recognized when
// it is retried, and not applied twice.
func TestAnswerLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, ledger := qt.New(t), bookkeeper.New()
		r := claim(t, c, ledger, "a")
		before := ledger.Commits()
		ledger.SetFault(bookkeeper.FaultLostReply)
		var g errgroup.Group
		g.Go(func() error { return r.Save(t.Context(), record("j", "1"), nil) })
		time.Sleep(2 * time.Second)
		ledger.SetFault(bookkeeper.FaultNone)
		c.Assert(g.Wait(), qt.IsNil)
		c.Check(ledger.Commits()-before, qt.Equals, 1)
		c.Check(load(t, c, r), qt.DeepEquals, map[string]string{"job j": "1"})
	})
}

// commitCopier is a Ledger that keeps a copy of each commit.
type commitCopier struct {
	*bookkeeper.Bookkeeper
	copies []yuccapaddle.Transaction
}

// Commit implements yuccapaddle.Ledger.
func (c *commitCopier) Commit(ctx context.Context, t yuccapaddle.Transaction) (uint64, error) {
	c.copies = append(c.copies, t)
	return c.Bookkeeper.Commit(ctx, t)
}

// TestLateCopies checks that delayed copies of earlier commits and claims have no effect.
func TestLateCopies(t *testing.T) {
	c, ledger := qt.New(t), &commitCopier{Bookkeeper: bookkeeper.New()}
	r := claim(t, c, ledger, "a")
	for i := range 5 {
		c.Assert(r.Save(t.Context(), record("j", fmt.Sprint(i)), nil), qt.IsNil)
	}
	for _, copied := range ledger.copies {
		_, err := ledger.Bookkeeper.Commit(t.Context(), copied)
		c.Check(err, qt.ErrorIs, yuccapaddle.ErrConflict)
	}
	c.Check(load(t, c, r), qt.DeepEquals, map[string]string{"job j": "4"})
}

// TestManyRecords checks that more records than fit into one commit are all saved and
// removed, in transactions within the limit of the ledger.
func TestManyRecords(t *testing.T) {
	c, ledger := qt.New(t), &commitCopier{Bookkeeper: bookkeeper.New()}
	r := claim(t, c, ledger, "a")
	var all []yuccapaddle.JobRecord
	var gone []yuccapaddle.JobRecord
	for i := range 100 {
		id := fmt.Sprintf("j%03d", i)
		all, gone = append(all, record(id, "1")...), append(gone, yuccapaddle.JobRecord{ID: id, PartCount: 1})
	}
	c.Assert(r.Save(t.Context(), all, nil), qt.IsNil)
	c.Check(load(t, c, r), qt.HasLen, 100)
	c.Assert(r.Save(t.Context(), nil, gone), qt.IsNil)
	c.Check(load(t, c, r), qt.HasLen, 0)
	for _, x := range ledger.copies {
		c.Check(len(x.If)+len(x.Set)+len(x.Remove) <= 32, qt.IsTrue)
	}
}

// TestRecordsWhole checks that one transaction sets all keys of a record, unless the
// record alone is too large for one.
func TestRecordsWhole(t *testing.T) {
	c, ledger := qt.New(t), &commitCopier{Bookkeeper: bookkeeper.New()}
	r := claim(t, c, ledger, "a")
	first := len(ledger.copies)
	var all []yuccapaddle.JobRecord
	for i := range 20 {
		x := record(fmt.Sprintf("j%03d", i), "1")[0]
		x.Parts = map[int][]byte{0: []byte("p"), 1: []byte("p")}
		all = append(all, x)
	}
	wide := record("wide", "1")[0]
	wide.Parts = map[int][]byte{}
	for n := range 40 {
		wide.Parts[n] = []byte("p")
	}
	all = append(all, wide)
	c.Assert(r.Save(t.Context(), all, nil), qt.IsNil)
	for _, x := range ledger.copies[first:] {
		keys := map[string]int{}
		for _, s := range x.Set {
			for i := range 20 {
				if id := fmt.Sprintf("j%03d", i); strings.Contains(s.Key, id) {
					keys[id]++
				}
			}
		}
		for id, n := range keys {
			c.Check(n, qt.Equals, 4, qt.Commentf("job %s", id))
		}
		c.Check(len(x.If)+len(x.Set) <= 32, qt.IsTrue)
	}
	c.Check(load(t, c, r), qt.HasLen, 21)
}
