package recoverer_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"yuccapaddle/internal/recoverer"
)

// TestPanics checks that a panic of a handler is answered, and does not reach the caller
// of the handler, where it would end the process.
func TestPanics(t *testing.T) {
	c, r := qt.New(t), recoverer.New(zap.NewNop())
	var ctx fasthttp.RequestCtx
	r.HTTP(func(*fasthttp.RequestCtx) { panic("malformed") })(&ctx)
	c.Check(ctx.Response.StatusCode(), qt.Equals, fasthttp.StatusInternalServerError)
	_, err := r.Unary(t.Context(), nil, &grpc.UnaryServerInfo{}, func(context.Context, any) (any, error) { panic("malformed") })
	c.Check(status.Code(err), qt.Equals, codes.Internal)
	err = r.Stream(nil, nil, &grpc.StreamServerInfo{}, func(any, grpc.ServerStream) error { panic("malformed") })
	c.Check(status.Code(err), qt.Equals, codes.Internal)
}
