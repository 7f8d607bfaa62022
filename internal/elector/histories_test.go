package elector_test

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
)

var (
	historyCount = flag.Int("histories", 20, "how many histories TestHistories draws")
	historySeed  = flag.Uint64("history-seed", 1, "the seed of the first one; the others follow it")
	historyOnly  = flag.String("history-without", "", "kinds of steps that are left out, separated by commas")
)

// storeMode is how the store treats one host.
type storeMode int32

const (
	storeAnswers storeMode = iota
	storeSilent
	storeRefuses
	// storeLosesReplies carries half of the calls out without an answer.
	storeLosesReplies
	// storeIsLate carries half of the calls out up to maxLateCall after they have failed.
	storeIsLate
	storeModes
)

// settledTime is for how long the cluster has to stay settled.
const settledTime = 5 * time.Second

// maxLateCall is how much later than its failure a call is carried out at most.
const maxLateCall = 1500 * time.Millisecond

// String implements fmt.Stringer.
func (m storeMode) String() string {
	return [...]string{"answers", "silent", "refuses", "lossy", "late"}[m]
}

// faultyLedger is a host's view of the ledger that loses replies, or carries calls out late.
type faultyLedger struct {
	*refusingLedger
	mode atomic.Int32
}

// set sets how the store treats the host.
func (l *faultyLedger) set(m storeMode) {
	l.mode.Store(int32(m))
	l.refusing.Store(m == storeRefuses)
	l.silent.Store(m == storeSilent)
}

// call makes a call, or carries it out without an answer, now or late.
func (l *faultyLedger) call(ctx context.Context, f func(ctx context.Context) error) error {
	mode := storeMode(l.mode.Load())
	if (mode != storeLosesReplies && mode != storeIsLate) || rand.IntN(2) == 0 {
		return f(ctx)
	}
	if mode == storeLosesReplies {
		_ = f(ctx)
	} else {
		time.AfterFunc(rand.N(maxLateCall), func() {
			lateCtx, cancel := context.WithTimeout(context.Background(), maxLateCall)
			defer cancel()
			_ = f(lateCtx)
		})
	}
	if rand.IntN(2) == 0 {
		<-ctx.Done()
	}
	return yuccapaddle.ErrUnknown
}

// Get implements yuccapaddle.Ledger.
func (l *faultyLedger) Get(ctx context.Context, key string) (yuccapaddle.Entry, error) {
	var e yuccapaddle.Entry
	err := l.call(ctx, func(ctx context.Context) error {
		found, err := l.refusingLedger.Get(ctx, key)
		if err == nil {
			e = found
		}
		return err
	})
	if err != nil {
		return yuccapaddle.Entry{}, err
	}
	return e, nil
}

// Commit implements yuccapaddle.Ledger.
func (l *faultyLedger) Commit(ctx context.Context, t yuccapaddle.Transaction) (uint64, error) {
	var rev atomic.Uint64
	err := l.call(ctx, func(ctx context.Context) error {
		r, err := l.refusingLedger.Commit(ctx, t)
		rev.Store(r)
		return err
	})
	return rev.Load(), err
}

// Grant implements yuccapaddle.Ledger.
func (l *faultyLedger) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	var id atomic.Uint64
	err := l.call(ctx, func(ctx context.Context) error {
		lease, err := l.refusingLedger.Grant(ctx, ttl)
		id.Store(lease)
		return err
	})
	return id.Load(), err
}

// Renew implements yuccapaddle.Ledger.
func (l *faultyLedger) Renew(ctx context.Context, lease uint64) error {
	return l.call(ctx, func(ctx context.Context) error { return l.refusingLedger.Renew(ctx, lease) })
}

// Release implements yuccapaddle.Ledger.
func (l *faultyLedger) Release(ctx context.Context, lease uint64) error {
	return l.call(ctx, func(ctx context.Context) error { return l.refusingLedger.Release(ctx, lease) })
}

// historyStep is a change of a virtual cluster, after which time passes.
type historyStep struct {
	description string
	apply       func(v *virtualCluster)
	length      time.Duration
}

// drawHistory returns the history of a seed, and the number of hosts that it begins with.
func drawHistory(seed uint64) (hosts int, steps []historyStep) {
	r := rand.New(rand.NewPCG(seed, 1))
	hosts = 2 + r.IntN(maxPartitionHosts-1)
	for range 2 + r.IntN(5) {
		s := drawStep(r)
		s.length = oneOf(r, 100*time.Millisecond, 400*time.Millisecond, time.Second, 1500*time.Millisecond, 3*time.Second, 8*time.Second, 33*time.Second, 45*time.Second)
		steps = append(steps, s)
	}
	return hosts, steps
}

// drawStep returns a step without a length. Which hosts it concerns is drawn when it is applied,
// from a seed of its own.
func drawStep(r *rand.Rand) historyStep {
	pick := r.Uint64()
	at := func() *rand.Rand { return rand.New(rand.NewPCG(pick, 2)) }
	kinds := []historyStep{
		{description: "cut", apply: func(v *virtualCluster) { v.drawCut(at()) }},
		{description: "cut", apply: func(v *virtualCluster) { v.drawCut(at()) }},
		{description: "isolate", apply: func(v *virtualCluster) { v.drawIsolation(at()) }},
		{description: "heal links", apply: (*virtualCluster).healLinks},
		{description: "store", apply: func(v *virtualCluster) { v.drawStore(at()) }},
		{description: "pair", apply: func(v *virtualCluster) { v.drawPair(at()) }},
		{description: "pair", apply: func(v *virtualCluster) { v.drawPair(at()) }},
		{description: "store of active", apply: func(v *virtualCluster) { v.drawStoreOfActive(at()) }},
		{description: "restart", apply: func(v *virtualCluster) { v.drawRestarts(at()) }},
		{description: "end", apply: func(v *virtualCluster) { v.drawEnd(at()) }},
		{description: "join", apply: func(v *virtualCluster) { v.drawJoin(at()) }},
	}
	for {
		if s := kinds[r.IntN(len(kinds))]; !slices.Contains(strings.Split(*historyOnly, ","), s.description) {
			return s
		}
	}
}

// drawCut replaces all cuts between present hosts.
func (v *virtualCluster) drawCut(r *rand.Rand) {
	if len(v.nodes) < 2 {
		return
	}
	v.healLinks()
	kind := oneOf(r, cutSilent, cutReset, cutRefused)
	for _, w := range drawWays(r, len(v.nodes)) {
		v.net.cut(kind, v.nodes[w.from].address, v.nodes[w.to].address)
	}
	v.note("cut %s", kind)
}

// drawPair cuts an active host off from another one, which the store answers, and from the store.
// The others may reach both, and the store answers them or does not.
func (v *virtualCluster) drawPair(r *rand.Rand) {
	i := slices.IndexFunc(v.nodes, func(x *node) bool { return x.Active() })
	if i < 0 || len(v.nodes) < 2 {
		return
	}
	v.healLinks()
	kind := oneOf(r, cutSilent, cutReset, cutRefused)
	j := (i + 1 + r.IntN(len(v.nodes)-1)) % len(v.nodes)
	a, b := v.nodes[i], v.nodes[j]
	v.cut(kind, []*node{a}, []*node{b})
	v.cut(kind, []*node{b}, []*node{a})
	for _, x := range v.nodes {
		x.faults.set(oneOf(r, storeSilent, storeSilent, storeAnswers, storeLosesReplies))
	}
	a.faults.set(oneOf(r, storeSilent, storeSilent, storeRefuses))
	b.faults.set(storeAnswers)
	v.note("pair %s %s %s", a.address, b.address, kind)
}

func (v *virtualCluster) drawIsolation(r *rand.Rand) {
	x := v.nodes[r.IntN(len(v.nodes))]
	kind := oneOf(r, cutSilent, cutReset, cutRefused)
	v.isolate(kind, x)
	v.note("isolate %s %s", x.address, kind)
}

func (v *virtualCluster) healLinks() {
	for _, x := range v.nodes {
		for _, y := range v.nodes {
			v.net.heal(x.address, y.address)
		}
	}
	v.note("heal links")
}

// drawStore draws how the store treats each host; a host in two it leaves as it is.
func (v *virtualCluster) drawStore(r *rand.Rand) {
	all := oneOf(r, storeModes, storeModes, storeAnswers, storeSilent, storeRefuses)
	for _, x := range v.nodes {
		m := all
		if m == storeModes {
			m = oneOf(r, storeAnswers, storeAnswers, storeSilent, storeSilent, storeRefuses, storeLosesReplies, storeIsLate)
		}
		if all != storeModes && r.IntN(4) == 0 {
			m = storeAnswers
		}
		x.faults.set(m)
		v.note("store %s %s", x.address, m)
	}
}

func (v *virtualCluster) drawStoreOfActive(r *rand.Rand) {
	m := storeMode(r.IntN(int(storeModes)))
	for _, x := range v.nodes {
		if x.Active() {
			x.faults.set(m)
			v.note("store %s %s", x.address, m)
		}
	}
}

func (v *virtualCluster) drawRestarts(r *rand.Rand) {
	for _, x := range slices.Clone(v.nodes) {
		if r.IntN(2) == 0 {
			continue
		}
		m := storeMode(x.faults.mode.Load())
		v.restartWith(x, m)
		v.note("restart %s", x.address)
	}
}

// drawEnd ends a host without a sign to the others, or starts one at the address of one that
// has ended.
func (v *virtualCluster) drawEnd(r *rand.Rand) {
	if len(v.ended) > 0 && r.IntN(2) == 0 {
		v.note("back %s", v.ended[0])
		v.startWith(v.ended[0], oneOf(r, storeAnswers, storeSilent))
		v.ended = v.ended[1:]
		return
	}
	if len(v.nodes) < 2 {
		return
	}
	x := v.nodes[r.IntN(len(v.nodes))]
	v.note("end %s", x.address)
	if r.IntN(2) == 0 {
		v.isolate(cutSilent, x)
	}
	v.kill(x)
	v.ended = append(v.ended, x.address)
}

// drawJoin starts a host with the links of another one, which the store may answer.
func (v *virtualCluster) drawJoin(r *rand.Rand) {
	if v.joined > 2 {
		return
	}
	v.joined++
	address := fmt.Sprintf("joined-%d:1", v.joined)
	beside := v.nodes[r.IntN(len(v.nodes))]
	v.net.copyCuts(beside.address, address)
	m := storeAnswers
	if r.IntN(2) == 0 {
		m = storeMode(beside.faults.mode.Load())
	}
	v.startWith(address, m)
	v.note("join %s beside %s", address, beside.address)
}

// note adds to the description of what has happened.
func (v *virtualCluster) note(format string, args ...any) {
	v.notes = append(v.notes, fmt.Sprintf("%.1fs ", time.Since(v.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// listed reports whether the recorded list of hosts has an address.
func (v *virtualCluster) listed(address string) bool {
	e, err := v.store.Get(v.t.Context(), "yp/hosts")
	var record struct {
		Addresses []string `json:"a"`
	}
	if err != nil || e.Revision == 0 || json.Unmarshal(e.Value, &record) != nil {
		return false
	}
	return slices.Contains(record.Addresses, address)
}

// acceptedHole reports whether a host that was not in the recorded list has claimed after an
// epoch, which may be while all that are in it are cut off.
func (v *virtualCluster) acceptedHole(former uint64) bool {
	for _, cl := range v.claims {
		if cl.epoch > former && !cl.listed {
			return true
		}
	}
	return false
}

// playHistory returns what is wrong in a history.
func playHistory(t *testing.T, seed uint64) (notes string, err error) {
	hosts, steps := drawHistory(seed)
	withVirtualCluster(t, hosts, func(v *virtualCluster) {
		v.startedAt = time.Now()
		for _, s := range steps {
			s.apply(v)
			v.run(s.length)
		}
		for _, x := range v.nodes {
			x.faults.set(storeAnswers)
		}
		v.note("heal all")
		v.heal()
		v.run(settledTime) // the role may move only now
		settled := v.runUntil(recoveryTime, v.settledAndConfirmed)
		if settled == nil {
			settled = v.keepsSettled()
		}
		err = errors.Join(v.check(), settled)
		if v.accepted {
			t.Logf("seed %d: only the hole that is accepted", seed)
		}
		notes = fmt.Sprintf("%d hosts; active at first %s; %s", hosts, v.nodes[0].address, strings.Join(v.notes, "; "))
	})
	return notes, err
}

// settledAndConfirmed is settled, and returns an error also if the active host is not confirmed.
func (v *virtualCluster) settledAndConfirmed() error {
	for _, x := range v.nodes {
		if x.Active() && !x.Confirmed() {
			return fmt.Errorf("%s is active and not confirmed", x.address)
		}
	}
	return v.settled()
}

// keepsSettled returns an error unless the cluster stays settled and its active host confirmed.
func (v *virtualCluster) keepsSettled() error {
	for end := time.Now().Add(settledTime); time.Now().Before(end); {
		v.step()
		if err := v.settledAndConfirmed(); err != nil {
			return fmt.Errorf("%v before the end: %w", time.Until(end), err)
		}
	}
	return nil
}

// TestHistories checks in generated histories of several faults that no former host is confirmed
// once its successor counts on no renewals of it, and that the cluster settles in the end.
func TestHistories(t *testing.T) {
	for i := range *historyCount {
		seed := *historySeed + uint64(i)
		t.Run(fmt.Sprintf("-histories 1 -history-seed %d", seed), func(t *testing.T) {
			t.Parallel()
			if notes, err := playHistory(t, seed); err != nil {
				qt.Check(t, err, qt.IsNil, qt.Commentf("seed %d: %s", seed, notes))
			}
		})
	}
}
