package administrator

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
)

// TestCountValues checks that commas in texts do not count.
func TestCountValues(t *testing.T) {
	for text, want := range map[string]int{"": 1, `{"a":1}`: 1, `[1,2,[3,4]]`: 4, `["a,b","\",",","]`: 3} {
		qt.Check(t, countValues([]byte(text)), qt.Equals, want, qt.Commentf("%s", text))
	}
}

// TestTooManyValues checks that a body with too many values is refused before it is decoded.
func TestTooManyValues(t *testing.T) {
	c := qt.New(t)
	for n, want := range map[int]bool{maxValues: true, maxValues + 1: false} {
		var ctx fasthttp.RequestCtx
		ctx.Request.SetBodyString("[" + strings.TrimSuffix(strings.Repeat("1,", n), ",") + "]")
		var list []int
		c.Check(readStrict(&ctx, &list), qt.Equals, want)
		c.Check(ctx.Response.StatusCode() == fasthttp.StatusOK, qt.Equals, want)
	}
}
