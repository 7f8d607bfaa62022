package claimer_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"yuccapaddle"
	"yuccapaddle/internal/claimer"
	"yuccapaddle/internal/executor"
	"yuccapaddle/internal/jobserver"
	"yuccapaddle/internal/linker"
	"yuccapaddle/internal/peer"
	"yuccapaddle/internal/recorder"
	"yuccapaddle/internal/ruler"
	"yuccapaddle/internal/standin/bookkeeper"
)

// door is one host's way to the store, which can be shut for it alone.
type door struct {
	*bookkeeper.Bookkeeper
	shut atomic.Bool
}

// Get implements yuccapaddle.Ledger.
func (d *door) Get(ctx context.Context, key string) (yuccapaddle.Entry, error) {
	if d.shut.Load() {
		return yuccapaddle.Entry{}, yuccapaddle.ErrNotTaken
	}
	return d.Bookkeeper.Get(ctx, key)
}

// Commit implements yuccapaddle.Ledger.
func (d *door) Commit(ctx context.Context, t yuccapaddle.Transaction) (uint64, error) {
	if d.shut.Load() {
		return 0, yuccapaddle.ErrNotApplied
	}
	return d.Bookkeeper.Commit(ctx, t)
}

// Grant implements yuccapaddle.Ledger.
func (d *door) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	if d.shut.Load() {
		return 0, yuccapaddle.ErrNotTaken
	}
	return d.Bookkeeper.Grant(ctx, ttl)
}

// Renew implements yuccapaddle.Ledger.
func (d *door) Renew(ctx context.Context, lease uint64) error {
	if d.shut.Load() {
		return yuccapaddle.ErrNotTaken
	}
	return d.Bookkeeper.Renew(ctx, lease)
}

// host is a claimer that others reach over the loopback.
type host struct {
	*claimer.Claimer
	door  *door
	stop  context.CancelFunc
	peers *grpc.Server
}

// book has rules that never change.
type book struct{}

// Read implements yuccapaddle.Rulebook.
func (book) Read(context.Context) ([]byte, error) { return []byte("r"), nil }

// Decode implements yuccapaddle.Rulebook.
func (book) Decode([]byte) (*yuccapaddle.Rules, error) {
	return (&yuccapaddle.Rules{Version: 1, Revision: 1, Digest: 1}).Index(), nil
}

// Workers implements yuccapaddle.Registry.
func (book) Workers(context.Context) ([]yuccapaddle.Worker, error) { return nil, nil }

func newHost(t *testing.T, c *qt.C, g *errgroup.Group, store *bookkeeper.Bookkeeper, i int, lease time.Duration) *host {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	h := &host{door: &door{Bookkeeper: store}, peers: grpc.NewServer()}
	name, address := fmt.Sprintf("h%d", i), l.Addr().String()
	clock := yuccapaddle.SystemClock{}
	rules := ruler.New(book{}, 2500, clock, zap.NewNop())
	c.Assert(rules.Refresh(t.Context()), qt.IsNil)
	build := func(rec *recorder.Recorder, _ time.Time) (*executor.Executor, func(context.Context) error) {
		e := executor.New(book{}, nil, rules, rec, executor.Bounds{HoldMax: 6000, LeaveWithin: 2500}, clock, zap.NewNop())
		return e, func(ctx context.Context) error {
			<-ctx.Done()
			return nil
		}
	}
	h.Claimer = claimer.New(h.door, rules, linker.New(), name, address, name, lease, build, clock, zap.NewNop())
	peer.RegisterJobsServer(h.peers, jobserver.New(h.Claimer, nil))
	ctx, cancel := context.WithCancel(t.Context())
	h.stop = cancel
	g.Go(func() error { return h.peers.Serve(l) })
	g.Go(func() error { return h.Run(ctx) })
	return h
}

const (
	limit = 30 * time.Second
	look  = 10 * time.Millisecond
)

func active(hosts []*host) *host {
	for _, h := range hosts {
		if h.Local() != nil {
			return h
		}
	}
	return nil
}

// eventually waits for a state; the limit only ends a test that hangs.
func eventually(c *qt.C, what string, f func() bool) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(look) {
		if f() {
			return
		}
	}
	c.Fatalf("%s: not within %v", what, limit)
}

func play(t *testing.T, lease time.Duration, f func(c *qt.C, hosts []*host)) {
	t.Helper()
	c, store := qt.New(t), bookkeeper.New()
	var g errgroup.Group
	var hosts []*host
	for i := range 3 {
		hosts = append(hosts, newHost(t, c, &g, store, i, lease))
	}
	defer func() {
		for _, h := range hosts {
			h.stop()
			h.peers.Stop()
		}
		c.Check(g.Wait(), qt.IsNil)
	}()
	eventually(c, "one host is active and the others follow", func() bool {
		first := active(hosts)
		if first == nil {
			return false
		}
		for _, h := range hosts {
			if _, ok := h.Leader(); !ok && h != first {
				return false
			}
		}
		return true
	})
	f(c, hosts)
}

// TestStoreRefusesOne: the store refuses the active host alone. Another takes
// over, although heartbeats still come, and the first learns of it from the
// others.
func TestStoreRefusesOne(t *testing.T) {
	play(t, 0, func(c *qt.C, hosts []*host) {
		first := active(hosts)
		first.door.shut.Store(true)
		eventually(c, "another host is active", func() bool {
			next := active(hosts)
			return next != nil && next != first
		})
		eventually(c, "the first follows it", func() bool {
			_, ok := first.Leader()
			return ok && first.Local() == nil
		})
	})
}

// TestYield: a planned stop moves the role, and not back.
func TestYield(t *testing.T) {
	play(t, 0, func(c *qt.C, hosts []*host) {
		first := active(hosts)
		first.Yield()
		eventually(c, "another host is active", func() bool {
			next := active(hosts)
			return next != nil && next != first
		})
		c.Check(first.Local(), qt.IsNil)
	})
}

// TestProcessGone: the active host's process ends without a word.
func TestProcessGone(t *testing.T) {
	play(t, 0, func(c *qt.C, hosts []*host) {
		first := active(hosts)
		first.door.shut.Store(true) // its lease cannot be given back
		first.peers.Stop()
		first.stop()
		eventually(c, "another host is active", func() bool {
			next := active(hosts)
			return next != nil && next != first
		})
	})
}

// TestCede: a host that the store refuses alone gives its role up to one that it
// answers, long before its lease ends.
func TestCede(t *testing.T) {
	play(t, time.Hour, func(c *qt.C, hosts []*host) {
		first := active(hosts)
		first.door.shut.Store(true)
		eventually(c, "another host is active", func() bool {
			next := active(hosts)
			return next != nil && next != first
		})
	})
}

// TestCutOff: a host whose store and peers are out of reach is not confirmed in its
// role any more; one whose store alone is out of reach is, for as long as the others
// know of no later writer.
func TestCutOff(t *testing.T) {
	play(t, 0, func(c *qt.C, hosts []*host) {
		first := active(hosts)
		c.Check(first.Confirmed(), qt.IsTrue)
		for _, h := range hosts {
			h.door.shut.Store(true)
		}
		for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(look) {
			c.Assert(first.Confirmed(), qt.IsTrue, qt.Commentf("the others answer"))
		}
		for _, h := range hosts {
			if h != first {
				h.stop()
				h.peers.Stop()
			}
		}
		eventually(c, "the host is not confirmed any more", func() bool { return !first.Confirmed() })
	})
}
