package commander_test

import (
	"encoding/json"
	"net"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"yuccapaddle/internal/applier"
	"yuccapaddle/internal/commander"
)

// operatorStub is a host that answers reads of the configuration with a status, and accepts
// every change.
type operatorStub struct {
	readStatus int
	changes    atomic.Int64
}

func (o *operatorStub) handle(ctx *fasthttp.RequestCtx) {
	if ctx.IsGet() {
		ctx.SetStatusCode(o.readStatus)
		ctx.SetBodyString(`{"error":"stub"}`)
		return
	}
	o.changes.Add(1)
	data, _ := json.Marshal(applier.Result{Status: applier.Accepted, Revision: 1})
	ctx.SetBody(data)
}

// TestApplyNeedsRevision checks that config apply without --revision makes no change if the
// revision in force cannot be read, since it could undo another operator's change unseen,
// and makes the first change where there is no configuration yet.
func TestApplyNeedsRevision(t *testing.T) {
	for status, want := range map[int]struct {
		code    int
		changes int64
	}{
		fasthttp.StatusServiceUnavailable:  {10, 0},
		fasthttp.StatusInternalServerError: {1, 0},
		fasthttp.StatusNotFound:            {0, 1},
	} {
		c, stub := qt.New(t), &operatorStub{readStatus: status}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		srv := &fasthttp.Server{Handler: stub.handle}
		var g errgroup.Group
		g.Go(func() error { return srv.Serve(l) })
		code := commander.Run([]string{
			"--server", l.Addr().String(), "config", "apply", "--reason", "test",
			"--base", "../../deploy/base.json", "--overlay", "../../deploy/overlays/ardenvliet.json", "--overlay", "../../deploy/hosts/ard-1.json",
		})
		c.Check(code, qt.Equals, want.code, qt.Commentf("status %d", status))
		c.Check(stub.changes.Load(), qt.Equals, want.changes, qt.Commentf("status %d", status))
		c.Assert(srv.Shutdown(), qt.IsNil)
		c.Assert(g.Wait(), qt.IsNil)
	}
}
