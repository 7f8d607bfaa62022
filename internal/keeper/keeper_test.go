package keeper

import (
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
)

var at = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func sample() *Keeper {
	k := New()
	r := &yuccapaddle.Request{ID: "x", Workspace: "w", Tasks: 2, Accelerators: 4}
	g := &yuccapaddle.Gang{Key: "w/x", Attempt: 1, Workspace: "w", Accelerators: 4, State: yuccapaddle.GangReserving, Members: []yuccapaddle.Member{{Worker: "a", Count: 2}}}
	for _, rec := range []Record{Accept(r, at), Place(g, at), Quarantine("b", "test", at.Add(time.Hour), at)} {
		_ = k.Apply(rec)
	}
	return k
}

// TestSnapshot: a state that is stored and read back is the same state.
func TestSnapshot(t *testing.T) {
	k := sample()
	data, err := k.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	back := New()
	qt.Assert(t, back.Restore(data), qt.IsNil)
	again, err := back.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(again), qt.Equals, string(data))
	qt.Assert(t, back.Used("a"), qt.Equals, 8)
	qt.Assert(t, back.WaitingIn("w"), qt.Equals, 0)
}

// TestMisfits: a record that does not fit the state is refused.
func TestMisfits(t *testing.T) {
	r := &yuccapaddle.Request{ID: "x", Workspace: "w", Tasks: 1, Accelerators: 1}
	g := &yuccapaddle.Gang{Key: "w/x", Workspace: "w"}
	for _, rec := range []Record{
		Accept(r, at), Place(g, at), Release("w/none", at), Evict("w/none", "", at, at),
		Requeue("w/none", nil, false, 0, at), End(&yuccapaddle.Outcome{ID: "none", Workspace: "w"}, at),
		{Kind: "odd"},
		{Kind: kindAccept},
	} {
		qt.Check(t, sample().Apply(rec), qt.IsNotNil, qt.Commentf("%s", rec.Kind))
	}
}

func FuzzRestore(f *testing.F) {
	data, _ := sample().Snapshot()
	f.Add(data)
	f.Add([]byte(`{"jobs":{"a":null},"gangs":{"b":{}}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		k := New()
		if err := k.Restore(data); err != nil {
			return
		}
		_, err := k.Snapshot()
		qt.Assert(t, err, qt.IsNil)
	})
}

func FuzzApply(f *testing.F) {
	rec, _ := json.Marshal(Accept(&yuccapaddle.Request{ID: "y", Workspace: "w"}, at))
	f.Add(rec)
	f.Fuzz(func(t *testing.T, data []byte) {
		var r Record
		if json.Unmarshal(data, &r) != nil {
			return
		}
		k := sample()
		_ = k.Apply(r)
		_, err := k.Snapshot()
		qt.Assert(t, err, qt.IsNil)
	})
}
