package elector_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"yuccapaddle"
	"yuccapaddle/internal/maintainer"
)

// busyFleet is a machine service that does not check fencing tokens, with one machine that is
// busy, so that its maintenance is ordered again and again.
type busyFleet struct {
	mu      sync.Mutex
	highest uint64
	raised  int // orders with a higher token than all before
	lowered int // orders with a lower token than one before
}

// Machines implements yuccapaddle.Fleet.
func (f *busyFleet) Machines(context.Context) ([]yuccapaddle.Machine, error) {
	return []yuccapaddle.Machine{{Name: "m0", State: yuccapaddle.MachineUp, Worker: "w0"}}, nil
}

// Maintain implements yuccapaddle.Fleet.
func (f *busyFleet) Maintain(_ context.Context, _ string, _ int64, _ string, token uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if token < f.highest {
		f.lowered++
	}
	if token > f.highest {
		f.raised++
	}
	f.highest = max(f.highest, token)
	return yuccapaddle.ErrBusy
}

// Completed implements yuccapaddle.Fleet.
func (f *busyFleet) Completed(context.Context, int64) (bool, error) { return false, nil }

// Report implements yuccapaddle.Fleet.
func (f *busyFleet) Report(context.Context, int64, bool) error { return nil }

// Drain implements yuccapaddle.Drainer: nothing runs anywhere.
func (f *busyFleet) Drain(context.Context, string, bool) (empty, mustStay bool) { return true, false }

// maintain is a backgroundFunc that works on a wave over the machine.
func (f *busyFleet) maintain(h *host, epoch uint64) func(context.Context) error {
	rules := &yuccapaddle.Rules{Waves: []yuccapaddle.Wave{{Number: 1, Machines: []string{"m0"}, DurationS: 100, MaxDown: 1}}}
	return maintainer.New(f, f, func() *yuccapaddle.Rules { return rules }, yuccapaddle.SystemClock{}, h.address, epoch, zap.NewNop(),
		maintainer.WithRole(h.Leased, h.PredecessorLeasedUntil)).Run
}

// waitForHost waits until so many hosts, each with a higher token, have ordered maintenance.
func (f *busyFleet) waitForHost(c *qt.C, n int) {
	eventually(c, fmt.Sprintf("host %d orders maintenance", n), func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.raised == n
	})
}

// TestMaintenanceByFormerHost guards against a former active host that goes on ordering
// maintenance after its successor has done so, where machines do not check fencing tokens. It
// is cut off from the ledger and from the other hosts, not from the machine service.
func TestMaintenanceByFormerHost(t *testing.T) {
	t.Parallel()
	cl, fleet := newCluster(t), &busyFleet{}
	withCutOff(cl.c, cl, hostSetup{background: fleet.maintain}, func(cutOff func() *host) {
		fleet.waitForHost(cl.c, 1)
		former := cutOff()
		cl.waitForSuccessor(former)
		fleet.waitForHost(cl.c, 2)
		time.Sleep(settleTime)
	})
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	cl.c.Check(fleet.lowered, qt.Equals, 0, qt.Commentf("orders with a lower token after a higher one"))
}
