package journaler

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
	"yuccapaddle/internal/keeper"
	"yuccapaddle/internal/standin/storer"
)

// accept returns one accept record, for request w/r<n>.
func accept(n int) []keeper.Record {
	r := &yuccapaddle.Request{ID: fmt.Sprintf("r%d", n), Workspace: "w", Tasks: 1, Accelerators: 1}
	return []keeper.Record{keeper.Accept(r, time.Unix(1, 0).UTC())}
}

func open(t *testing.T, s yuccapaddle.Store, name string) (*Journaler, *keeper.Keeper) {
	j := New(s, name)
	state, err := j.Open(t.Context())
	qt.Assert(t, err, qt.IsNil)
	return j, state
}

// TestFence: opening the journal makes the former writer's next append fail with
// ErrDeposed; committed entries are kept.
func TestFence(t *testing.T) {
	s := storer.New()
	a, _ := open(t, s, "a")
	_, err := a.Append(t.Context(), accept(1))
	qt.Assert(t, err, qt.IsNil)
	b, state := open(t, s, "b")
	qt.Assert(t, state.Request("w/r1"), qt.IsNotNil)
	_, err = a.Append(t.Context(), accept(2))
	qt.Assert(t, errors.Is(err, ErrDeposed), qt.IsTrue)
	_, err = b.Append(t.Context(), accept(3))
	qt.Assert(t, err, qt.IsNil)
	_, state = open(t, s, "c")
	qt.Assert(t, state.Request("w/r2"), qt.IsNil)
	qt.Assert(t, state.Request("w/r3"), qt.IsNotNil)
}

// TestAppendOnce: every append is applied exactly once, although writes or their
// answers are lost.
func TestAppendOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := storer.New()
		a, _ := open(t, s, "a")
		for n := range 40 {
			switch n % 4 {
			case 1:
				s.SetFaults(storer.Faults{LoseAnswers: 2})
			case 2:
				s.SetFaults(storer.Faults{LoseWrites: 2})
			}
			_, err := a.Append(t.Context(), accept(n))
			qt.Assert(t, err, qt.IsNil)
			s.SetFaults(storer.Faults{})
		}
		_, state := open(t, s, "b")
		requests, _ := state.Counts()
		qt.Assert(t, requests, qt.Equals, 40)
	})
}

// TestRing: after the slots have been reused several times, a host that opens the
// journal still loads every request.
func TestRing(t *testing.T) {
	s := storer.New()
	a, state := open(t, s, "a")
	for n := range 3*ringSlots + 7 {
		records := accept(n)
		_, err := a.Append(t.Context(), records)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, state.Apply(records[0]), qt.IsNil)
		if a.SnapshotDue() {
			data, err := state.Snapshot()
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, a.Snapshot(t.Context(), data), qt.IsNil)
		}
	}
	_, reopened := open(t, s, "b")
	requests, _ := reopened.Counts()
	qt.Assert(t, requests, qt.Equals, 3*ringSlots+7)
	parts, err := s.List(context.Background(), partPrefix)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(parts) <= 2, qt.IsTrue, qt.Commentf("old snapshots are deleted"))
}

// TestDamage: Open returns an error for a damaged entry instead of an empty state.
func TestDamage(t *testing.T) {
	for _, value := range []string{"", "{", `{"seq":5}`, `{"seq":1,"records":[{"k":"odd"}]}`, `{"seq":1,"records":[{"k":"place","id":"w/x"}]}`} {
		s := storer.New()
		_, err := s.Put(t.Context(), yuccapaddle.Write{Key: slotKey(1), Value: []byte(value)})
		qt.Assert(t, err, qt.IsNil)
		_, err = New(s, "a").Open(t.Context())
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%s", value))
	}
}
