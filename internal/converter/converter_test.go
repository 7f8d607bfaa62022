package converter

import (
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"yuccapaddle"
	"yuccapaddle/internal/peer"
)

// TestRoundTrip: records come back as they were sent.
func TestRoundTrip(t *testing.T) {
	at := time.UnixMilli(1_900_000_000_000).UTC()
	r := &yuccapaddle.Request{
		ID: "x", Workspace: "w", Team: "t", Caller: "c", Class: yuccapaddle.ClassQuick, Tasks: 2, Accelerators: 3,
		Span: yuccapaddle.SpanRack, Repeatable: true, Region: "r", Payload: json.RawMessage(`{"a":1}`), Content: 9, AcceptBy: at,
	}
	back, err := Request(Submit(r))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, back, qt.DeepEquals, r)
	o := yuccapaddle.Outcome{
		ID: "x", Workspace: "w", Verdict: yuccapaddle.VerdictDone, Reason: "why", Ran: true, Attempts: 2,
		Parts: []json.RawMessage{[]byte("1"), []byte("2")}, RetryAfter: at, SubmitAt: at, StartAt: at, EndAt: at,
		Failures: []yuccapaddle.Failure{{Attempt: 1, Worker: "k", Reason: "bad", At: at}},
	}
	qt.Assert(t, Outcome(Reply(o)), qt.DeepEquals, o)
}

// FuzzRequest: no message of a peer makes a request that callers could not.
func FuzzRequest(f *testing.F) {
	good, _ := proto.Marshal(Submit(&yuccapaddle.Request{ID: "x", Workspace: "w", Class: "quick", Tasks: 1, Accelerators: 1, Span: "rack"}))
	f.Add(good)
	f.Fuzz(func(t *testing.T, data []byte) {
		var m peer.SubmitRequest
		if proto.Unmarshal(data, &m) != nil {
			return
		}
		if r, err := Request(&m); err == nil {
			qt.Assert(t, r.Check(), qt.IsNil)
		}
	})
}
