package keeper

import (
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
)

var at = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// sampleKeeper returns a state with one placed gang and one quarantined worker.
func sampleKeeper() *Keeper {
	k := New()
	r := &yuccapaddle.Request{ID: "x", Workspace: "w", Tasks: 2, Accelerators: 4}
	g := &yuccapaddle.Gang{Key: "w/x", Attempt: 1, Workspace: "w", Accelerators: 4, State: yuccapaddle.GangReserving, Members: []yuccapaddle.Member{{Worker: "a", Count: 2}}}
	for _, rec := range []Record{Accept(r, at), Place(g, at), Quarantine("b", "test", at.Add(time.Hour), at)} {
		_ = k.Apply(rec)
	}
	return k
}

// TestSnapshot: a state restored from a snapshot equals the original, including the
// derived fields.
func TestSnapshot(t *testing.T) {
	k := sampleKeeper()
	data, err := k.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	restored := New()
	qt.Assert(t, restored.Restore(data), qt.IsNil)
	again, err := restored.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(again), qt.Equals, string(data))
	qt.Assert(t, restored.Used("a"), qt.Equals, 8)
	qt.Assert(t, restored.WaitingIn("w"), qt.Equals, 0)
}

// TestMismatchedRecords: Apply returns an error for records that contradict the state.
func TestMismatchedRecords(t *testing.T) {
	r := &yuccapaddle.Request{ID: "x", Workspace: "w", Tasks: 1, Accelerators: 1}
	g := &yuccapaddle.Gang{Key: "w/x", Workspace: "w"}
	for _, rec := range []Record{
		Accept(r, at), Place(g, at), Release("w/none", at), Evict("w/none", "", at, at),
		Requeue("w/none", nil, false, 0, at), End(&yuccapaddle.Outcome{ID: "none", Workspace: "w"}, at),
		{Kind: "odd"},
		{Kind: kindAccept},
	} {
		qt.Check(t, sampleKeeper().Apply(rec), qt.IsNotNil, qt.Commentf("%s", rec.Kind))
	}
}

// FuzzRestore: any snapshot that can be restored can be encoded again.
func FuzzRestore(f *testing.F) {
	data, _ := sampleKeeper().Snapshot()
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

// FuzzApply: no record makes Apply panic or leaves a state that cannot be encoded.
func FuzzApply(f *testing.F) {
	rec, _ := json.Marshal(Accept(&yuccapaddle.Request{ID: "y", Workspace: "w"}, at))
	f.Add(rec)
	f.Fuzz(func(t *testing.T, data []byte) {
		var r Record
		if json.Unmarshal(data, &r) != nil {
			return
		}
		k := sampleKeeper()
		_ = k.Apply(r)
		_, err := k.Snapshot()
		qt.Assert(t, err, qt.IsNil)
	})
}
