package recorder_test

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
	"yuccapaddle/internal/sleeper"
	"yuccapaddle/internal/standin/bookkeeper"
)

// slowCommits is a ledger that is reached over a link of 300 kB/s: a commit whose context
// ends before it was sent has no effect and no reply.
type slowCommits struct{ *bookkeeper.Bookkeeper }

// Commit implements yuccapaddle.Ledger.
func (s slowCommits) Commit(ctx context.Context, t yuccapaddle.Transaction) (uint64, error) {
	n := 0
	for _, x := range t.Set {
		n += len(x.Value)
	}
	if sleeper.Sleep(ctx, time.Duration(n)*time.Second/300_000) != nil {
		return 0, yuccapaddle.ErrUnknown
	}
	return s.Bookkeeper.Commit(ctx, t)
}

// TestLargeCommit checks that a commit that takes longer to be sent than the time after
// which a silent ledger is given up is applied.
func TestLargeCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, ledger := qt.New(t), slowCommits{bookkeeper.New()}
		r := claim(t, c, ledger, "a")
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		large := bytes.Repeat([]byte("x"), 600_000)
		c.Assert(r.Save(ctx, []yuccapaddle.JobRecord{{ID: "j", Job: large, State: []byte("1")}}, nil), qt.IsNil)
		c.Check(load(t, c, r), qt.DeepEquals, map[string]string{string(large): "1"})
	})
}
