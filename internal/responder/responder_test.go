package responder

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle/internal/loader"
)

func FuzzParse(f *testing.F) {
	for _, s := range []string{
		`{"id":"x","tasks":1,"accelerators":1}`, `{"id":"x","tasks":-1,"accelerators":1e9}`, `{"id":"../x","tasks":1,"accelerators":1}`,
		`{"id":"x","tasks":1,"accelerators":1,"payload":{"a":[1,2,{"b":null}]}} trailing`, `[]`, `{`, "\x00",
	} {
		f.Add([]byte(s))
	}
	r := &Responder{limits: loader.DefaultHost().Limits}
	f.Fuzz(func(t *testing.T, body []byte) {
		req, err := r.parseRequest(body, "w", "c", time.Unix(1, 0))
		if err != nil {
			return
		}
		qt.Assert(t, req.Check(), qt.IsNil)
		qt.Assert(t, req.Workspace, qt.Equals, "w", qt.Commentf("a body never chooses the workspace"))
		again, err := r.parseRequest(body, "w", "c", time.Unix(2, 0))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, again.Content, qt.Equals, req.Content, qt.Commentf("the same body is the same request"))
	})
}
