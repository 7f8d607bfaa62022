// Package bodyreader reads the bodies of HTTP requests within a bound on the memory of all
// that are under way in a process.
package bodyreader

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"yuccapaddle"
	"yuccapaddle/internal/writer"
)

const (
	// workFactor is how many times its size a body takes while its request is handled: decoded,
	// checked, and encoded again.
	workFactor = 8
	// unreadBytes is the largest rest of a body that a connection is kept for.
	unreadBytes = 64 << 10
	// minRetryDelay is the shortest time that a refused client is asked to wait. Up to
	// retryJitter is added at random, so that clients refused together do not come back together.
	minRetryDelay = time.Second
	retryJitter   = 2 * time.Second
)

// requestKey is the key of the user value that holds the *request of a call.
type requestKey struct{}

// request is a call to a handler that was given to Wrap.
type request struct {
	reader *BodyReader
	lease  *lease // nil until the body is read
}

var (
	errTooLarge = errors.New("the body is too large")
	errFull     = errors.New("this host has no memory left for the body")
	errCut      = errors.New("the body came too slowly while memory was short")
)

// connection is what a BodyReader tells to connections that want to know.
type connection interface {
	Await()
	Work()
	Touch()
	NoteRequest()
	GivesWay() bool
	Linger()
}

// BodyReader bounds the memory of bodies. It is safe for concurrent use.
type BodyReader struct {
	maxBytes int
	budget   *budget
	meter    yuccapaddle.Meter
}

// New returns a BodyReader for bodies of up to maxBytes bytes each. All bodies under way, and
// what becomes of them until their requests are answered, take up to memoryBytes in all, but
// as much as one largest body needs in any case.
func New(maxBytes int, memoryBytes int64, meter yuccapaddle.Meter) *BodyReader {
	return &BodyReader{maxBytes: maxBytes, budget: newBudget(memoryBytes, int64(maxBytes)*workFactor), meter: meter}
}

// Wrap returns a handler that lets next read bodies with Read, gives back their memory once
// next has returned, and closes the connection if much of a body was not read.
func (r *BodyReader) Wrap(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		req := &request{reader: r}
		ctx.SetUserValue(requestKey{}, req)
		conn, tracked := ctx.Conn().(connection)
		if tracked {
			conn.Work()
			defer conn.Await()
		}
		defer r.end(ctx, req)
		next(ctx)
	}
}

// end gives back what a request has taken, and closes its connection after the response if
// much of the body was not read or if others wait for the connection's place.
func (r *BodyReader) end(ctx *fasthttp.RequestCtx, req *request) {
	conn, tracked := ctx.Conn().(connection)
	if tracked && conn.GivesWay() {
		ctx.SetConnectionClose()
	}
	if req.lease != nil {
		r.budget.release(req.lease)
		return
	}
	if tracked {
		conn.NoteRequest()
	}
	if ctx.RequestBodyStream() != nil && isLong(ctx) {
		closeAfter(ctx)
	}
}

// isLong reports whether the unread body of a request is not worth reading.
func isLong(ctx *fasthttp.RequestCtx) bool {
	n := ctx.Request.Header.ContentLength()
	return n < 0 || n > unreadBytes
}

// closeAfter closes the connection after the response. What the client still sends is read
// for a moment, so that it gets the response.
func closeAfter(ctx *fasthttp.RequestCtx) {
	ctx.SetConnectionClose()
	if conn, ok := ctx.Conn().(connection); ok {
		conn.Linger()
	}
}

// Read returns the body of a request, which is valid until the handler returns. If it cannot be
// read, ok is false and the request has been answered: it was not carried out. For a call that
// has not come through Wrap it returns the body as it is.
func Read(ctx *fasthttp.RequestCtx) (body []byte, ok bool) {
	req, wrapped := ctx.UserValue(requestKey{}).(*request)
	stream := ctx.RequestBodyStream()
	if !wrapped || stream == nil {
		return ctx.PostBody(), true
	}
	req.lease = req.reader.budget.open(func() { _ = ctx.Conn().SetReadDeadline(time.Unix(1, 0)) }) // an error means that it is closed
	return req.reader.read(ctx, stream, req.lease)
}

func (r *BodyReader) read(ctx *fasthttp.RequestCtx, stream io.Reader, l *lease) (body []byte, ok bool) {
	conn, tracked := ctx.Conn().(connection)
	if tracked {
		conn.Await()
		defer conn.Work()
	}
	var p pieces
	defer p.free()
	progressed := func() {}
	if tracked {
		progressed = conn.Touch
	}
	err := r.readAll(stream, &p, l, ctx.Request.Header.ContentLength(), progressed)
	if err == nil {
		err = r.budget.finish(l, p.size*workFactor)
	}
	if err != nil {
		r.refuse(ctx, err, l)
		return nil, false
	}
	if tracked {
		conn.NoteRequest()
	}
	return p.join(), true
}

// readAll reads a body as its bytes arrive, and calls progressed for each progressBytes.
// announced is its size, below 0 if that is not known.
func (r *BodyReader) readAll(stream io.Reader, p *pieces, l *lease, announced int, progressed func()) error {
	if announced > r.maxBytes {
		return errTooLarge
	}
	for {
		if p.full() {
			if err := r.budget.hold(l, p.size+pieceBytes); err != nil {
				return err
			}
			p.grow()
		}
		n, err := stream.Read(p.room())
		p.size += n
		switch {
		case p.size > r.maxBytes:
			return errTooLarge
		case errors.Is(err, io.EOF) && p.size < announced:
			return io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
		if r.budget.note(l, n) {
			progressed()
		}
	}
}

// refuse answers a request whose body was not read.
func (r *BodyReader) refuse(ctx *fasthttp.RequestCtx, err error, l *lease) {
	closeAfter(ctx)
	var netErr net.Error
	switch {
	case errors.Is(err, errTooLarge):
		r.meter.Count("bodies", "large", 1)
		writer.Error(ctx, fasthttp.StatusRequestEntityTooLarge, fmt.Sprintf("a body has up to %d bytes", r.maxBytes))
	case errors.Is(err, errFull), r.budget.wasCut(l):
		if errors.Is(err, errFull) {
			r.meter.Count("bodies", "refused", 1)
		} else {
			r.meter.Count("bodies", "cut", 1)
			err = errCut
		}
		writer.RetryAfter(ctx, time.Now().Add(minRetryDelay+rand.N(retryJitter)))
		writer.Error(ctx, fasthttp.StatusServiceUnavailable, "the request was not taken: "+err.Error())
	case errors.As(err, &netErr) && netErr.Timeout():
		r.meter.Count("bodies", "late", 1)
		writer.Error(ctx, fasthttp.StatusRequestTimeout, "the request was not taken: its body did not arrive in time")
	default:
		r.meter.Count("bodies", "broken", 1)
		writer.Error(ctx, fasthttp.StatusBadRequest, "the request was not taken: its body cannot be read")
	}
}
