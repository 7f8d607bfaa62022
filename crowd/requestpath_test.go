package crowd_test

import (
	"context"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"yuccapaddle/internal/authenticator"
	"yuccapaddle/internal/loader"
	"yuccapaddle/platform/simulator"
)

// operators is a listener that only hosts of the request path have.
const operators listener = "operators"

var requestPathListeners = []listener{callers, operators, metrics, peers}

// newRequestPathHost starts a host of the request path, whose store does not answer.
func newRequestPathHost(t *testing.T, limited bool) *testbed {
	b := &testbed{c: qt.New(t), dir: t.TempDir(), platform: simulator.New(), cancel: func() {}}
	t.Cleanup(b.stop)
	h := b.newHost("entry", requestPathListeners)
	settings := loader.DefaultHost()
	settings.Name, settings.Domain, settings.Region = h.name, "z0", "r"
	settings.Listen = loader.Listen{Callers: h.addresses[callers], Operators: h.addresses[operators], Peers: h.addresses[peers], Metrics: h.addresses[metrics]}
	settings.Platform = loader.Platform{Store: "127.0.0.1:1", HostList: "127.0.0.1:1"}
	settings.Limits.BodyBytes, settings.Limits.CallerRate = requestPathBody, 1e5
	settings.Limits.MemoryMB, settings.Limits.Descriptors = memoryMB, descriptors
	settings.Tokens.Callers = []loader.CallerToken{{Workspace: "w", Caller: "c", Hash: authenticator.Hash(key)}, {Workspace: "v", Caller: "c", Hash: authenticator.Hash(ordinaryKey)}}
	settings.Tokens.Operators = []loader.OperatorToken{{Name: "op", Hash: authenticator.Hash(key)}}
	b.writeSettings(h.name, map[string]any{"host": settings})
	b.startProcess(h, limited, "--base", "../deploy/base.json", "--overlay", "../deploy/overlays/ardenvliet.json", "--overlay", b.settingsPath(h.name))
	b.waitFor("the host lives", func() bool { return h.answersAll() })
	return b
}

// answersAll reports whether the host answers requests at the listeners for HTTP.
func (h *host) answersAll() bool {
	for _, l := range []listener{callers, operators, metrics} {
		if _, err := (target{h, l}).call("/", ""); err != nil {
			return false
		}
	}
	return true
}

// requestPathBody is the largest body that can be set, in bytes.
const requestPathBody = 512 << 10

// manyRequestFields submits requests with a payload of as many objects as the body holds.
func manyRequestFields(ctx context.Context, conn net.Conn, _ target) {
	repeat(ctx, conn, requestsPath, filled(`{"id":"x","tasks":1,"accelerators":1,"payload":[{}`, ",{}", "]}", requestPathBody))
}

// manyDomains hands in configurations with as many failure domains as the body holds.
func manyDomains(ctx context.Context, conn net.Conn, _ target) {
	repeat(ctx, conn, "/v1/check", filled(`{"name":"x","domains":[{}`, ",{}", "]}", requestPathBody))
}

// TestRequestPath checks the crowds at a host of the request path.
func TestRequestPath(t *testing.T) {
	for name, test := range map[string]struct {
		group    group
		listener listener
		limited  bool
	}{
		"many_fields_callers":    {group{clients: smallCrowd, behaviour: manyRequestFields}, callers, false},
		"many_domains_operators": {group{clients: smallCrowd, behaviour: manyDomains}, operators, false},
		"silent_callers":         {group{clients: silentCrowd, behaviour: silent}, callers, true},
		"silent_operators":       {group{clients: silentCrowd, behaviour: silent}, operators, true},
		"silent_metrics":         {group{clients: silentCrowd, behaviour: silent}, metrics, true},
		"silent_peers":           {group{clients: silentCrowd, behaviour: silent}, peers, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newRequestPathHost(t, test.limited)
			test.group.targets = b.at(test.listener)
			b.meetRequestPath(test.group)
		})
	}
}

// meetRequestPath is meet for a host of the request path.
func (b *testbed) meetRequestPath(g group) {
	h := b.hosts[0]
	ctx, cancel := context.WithTimeout(context.Background(), crowdTime)
	defer cancel()
	var crowd errgroup.Group
	crowd.Go(func() error { return g.run(ctx) })
	pause(ctx, crowdTime/2)
	b.c.Check(!h.lives() || h.answersAll(), qt.IsTrue, qt.Commentf("while the crowd stays"))
	b.c.Assert(crowd.Wait(), qt.IsNil)
	b.checkHosts()
	b.c.Check(!h.lives() || h.answersAll(), qt.IsTrue, qt.Commentf("once the crowd has gone"))
}
