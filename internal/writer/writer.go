// Package writer writes JSON answers and errors to HTTP callers.
package writer

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// Problem is the body of every error answer.
type Problem struct {
	Error string `json:"error"`
}

// JSON answers with a value.
func JSON(ctx *fasthttp.RequestCtx, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		ctx.Error(`{"error":"the answer cannot be encoded"}`, fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

// Error answers with one plain line.
func Error(ctx *fasthttp.RequestCtx, status int, text string) {
	JSON(ctx, status, Problem{Error: text})
}

// RetryAfter sets the header by which callers learn when to come back.
func RetryAfter(ctx *fasthttp.RequestCtx, at time.Time) {
	if at.IsZero() {
		return
	}
	seconds := int(time.Until(at)/time.Second) + 1
	ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(max(seconds, 1)))
}
