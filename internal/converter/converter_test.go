package converter

import (
	"encoding/json"
	"testing"
	"time"
	"unicode/utf8"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"yuccapaddle"
	"yuccapaddle/internal/peer"
)

// TestRoundTrip checks that requests and outcomes are unchanged after conversion to
// a message and back.
func TestRoundTrip(t *testing.T) {
	at := time.UnixMilli(1_900_000_000_000).UTC()
	r := &yuccapaddle.Request{
		ID: "x", Workspace: "w", Team: "t", Caller: "c", Class: yuccapaddle.ClassQuick, Tasks: 2, Accelerators: 3,
		Span: yuccapaddle.SpanRack, Repeatable: true, Region: "r", Payload: json.RawMessage(`{"a":1}`), Content: 9, AcceptBy: at,
	}
	got, err := Request(SubmitMessage(r))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.DeepEquals, r)
	o := yuccapaddle.Outcome{
		ID: "x", Workspace: "w", Verdict: yuccapaddle.VerdictDone, Reason: "why", MayHaveRun: true, Attempts: 2,
		Parts: []json.RawMessage{[]byte("1"), []byte("2")}, RetryAfter: at, SubmitAt: at, StartAt: at, EndAt: at,
		Failures: []yuccapaddle.Failure{{Attempt: 1, Worker: "k", Reason: "bad", At: at}},
	}
	qt.Assert(t, Outcome(OutcomeMessage(o)), qt.DeepEquals, o)
}

// FuzzRequest checks that a message is either rejected or yields a valid request.
func FuzzRequest(f *testing.F) {
	valid, _ := proto.Marshal(SubmitMessage(&yuccapaddle.Request{ID: "x", Workspace: "w", Class: "quick", Tasks: 1, Accelerators: 1, Span: "rack"}))
	f.Add(valid)
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

// FuzzCaller: any bytes in place of a caller are decoded or fail with an error.
func FuzzCaller(f *testing.F) {
	f.Add("q", []byte(`{"queue":"q","workspace":"w","host":"h","prefix":"/q/","public":true,"key":"k","version":3}`))
	f.Add("q", []byte(`{`))
	f.Add("", []byte(``))
	f.Fuzz(func(t *testing.T, queue string, data []byte) {
		c, err := Caller(&peer.JobKey{Id: "j", Queue: queue, Caller: data})
		if err != nil {
			return
		}
		again, err := Caller(JobKey("j", &c))
		qt.Assert(t, err, qt.IsNil)
		if utf8.Valid(data) && utf8.ValidString(queue) {
			qt.Check(t, again, qt.Equals, c)
		}
	})
}
