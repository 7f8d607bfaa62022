// Package recoverer keeps a panic in the handling of one request from ending the process.
package recoverer

import (
	"context"
	"runtime/debug"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"yuccapaddle/internal/writer"
)

// Recoverer wraps handlers. It logs their panics and answers that the outcome is not
// known.
type Recoverer struct {
	log *zap.Logger
}

// New returns a Recoverer.
func New(log *zap.Logger) *Recoverer {
	return &Recoverer{log: log}
}

func (r *Recoverer) logPanic(name string, reason any) {
	r.log.Error("a request handler panicked", zap.String("name", name), zap.Any("panic", reason), zap.ByteString("stack", debug.Stack()))
}

// HTTP wraps a handler of HTTP requests. After a panic the status is 500.
func (r *Recoverer) HTTP(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		defer func() {
			if reason := recover(); reason != nil {
				r.logPanic(string(ctx.Path()), reason)
				ctx.Response.Reset()
				writer.Error(ctx, fasthttp.StatusInternalServerError, "the request could not be handled; it is not known whether it was carried out")
			}
		}()
		next(ctx)
	}
}

// Unary is a grpc.UnaryServerInterceptor. After a panic the status is Internal.
func (r *Recoverer) Unary(ctx context.Context, req any, info *grpc.UnaryServerInfo, next grpc.UnaryHandler) (resp any, err error) {
	defer func() {
		if reason := recover(); reason != nil {
			r.logPanic(info.FullMethod, reason)
			resp, err = nil, status.Errorf(codes.Internal, "the handler panicked: %v", reason)
		}
	}()
	return next(ctx, req)
}

// Stream is a grpc.StreamServerInterceptor. After a panic the status is Internal.
func (r *Recoverer) Stream(srv any, stream grpc.ServerStream, info *grpc.StreamServerInfo, next grpc.StreamHandler) (err error) {
	defer func() {
		if reason := recover(); reason != nil {
			r.logPanic(info.FullMethod, reason)
			err = status.Errorf(codes.Internal, "the handler panicked: %v", reason)
		}
	}()
	return next(srv, stream)
}
