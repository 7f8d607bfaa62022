// Package writer writes JSON replies and errors to HTTP clients.
package writer

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// ErrorBody is the body of every error reply.
type ErrorBody struct {
	Error string `json:"error"`
}

// JSON replies with v as JSON, or with status 500 if it cannot be encoded.
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

// Error replies with an ErrorBody that holds text.
func Error(ctx *fasthttp.RequestCtx, status int, text string) {
	JSON(ctx, status, ErrorBody{Error: text})
}

// RetryAfter sets the Retry-After header to the seconds until at, at least 1, unless at
// is zero.
func RetryAfter(ctx *fasthttp.RequestCtx, at time.Time) {
	if at.IsZero() {
		return
	}
	seconds := int(time.Until(at)/time.Second) + 1
	ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(max(seconds, 1)))
}
