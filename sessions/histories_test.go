package sessions

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
)

var (
	seed      = flag.Uint64("seed", 1, "seed of the first random history")
	histories = flag.Int("histories", 12, "number of random histories")
)

// regressionSeeds are seeds whose histories have failed before; they always run.
var regressionSeeds = []uint64{4, 7, 10, 21, 25, 29, 10184, 11390, 20267}

// extendedFaultsSeed is the first seed whose history includes the faults and
// longer tasks that were added later. Lower seeds keep the histories that they
// had before.
const extendedFaultsSeed = 1_000_000

const (
	historySteps   = 60
	settleTime     = 150 * time.Second
	longSettleTime = 600 * time.Second // for histories with tasks of up to a minute
)

// TestHistories runs seeded random histories: requests, faults and operators'
// changes in any order. The hosts check the invariants of their state every
// second; the guarantees of the whole history are checked at the end.
func TestHistories(t *testing.T) {
	steps := 0
	seeds := append([]uint64(nil), regressionSeeds...)
	for i := range *histories {
		seeds = append(seeds, *seed+uint64(i))
	}
	for i := range *histories / 2 {
		seeds = append(seeds, extendedFaultsSeed+*seed+uint64(i))
	}
	for _, n := range seeds {
		t.Run(fmt.Sprintf("seed=%d", n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				steps += runHistory(t, n)
			})
		})
	}
	t.Logf("%d histories, %d steps", len(seeds), steps)
}

// generator generates and runs the commands of one history, and tracks the state
// of the hosts and failure domains.
type generator struct {
	rng          *rand.Rand
	seed         uint64
	sim          *simulation
	keys         []string
	alive        map[string]bool
	paused       map[string]bool
	disconnected map[string]bool
	domainsOut   map[string]bool
	trace        []string
}

func runHistory(t *testing.T, seed uint64) int {
	sim := newSimulation(t, smallSite())
	g := &generator{
		rng: rand.New(rand.NewPCG(seed, 7)), seed: seed, sim: sim, alive: map[string]bool{}, paused: map[string]bool{},
		disconnected: map[string]bool{}, domainsOut: map[string]bool{},
	}
	g.run("start h1 h2 h3")
	for _, n := range hostNames {
		g.alive[n] = true
	}
	g.run("apply h1")
	g.run("advance 2s")
	for range historySteps {
		g.run(g.nextCommand())
		if g.rng.IntN(3) > 0 {
			g.run(fmt.Sprintf("advance %dms", 50+g.rng.IntN(2500)))
		}
	}
	g.heal()
	errs := append(sim.check(), g.unsettled()...)
	sim.killAll()
	if len(errs) > 0 {
		name := fmt.Sprintf("%s/history-%d.txt", os.TempDir(), seed)
		_ = os.WriteFile(name, []byte(strings.Join(g.trace, "\n")+"\n\n"+sim.output.String()), 0o644)
		t.Logf("trace in %s", name)
	}
	for _, err := range errs {
		qt.Check(t, err, qt.IsNil)
	}
	return len(g.trace)
}

func (g *generator) run(line string) {
	g.trace = append(g.trace, line)
	fmt.Fprintf(&g.sim.output, "> %s\n", line)
	g.sim.runLine(strings.Fields(line))
	synctest.Wait()
	g.sim.flushOutput()
}

// pickHost returns a random host that runs and is not paused.
func (g *generator) pickHost() string {
	var up []string
	for _, n := range hostNames {
		if g.alive[n] && !g.paused[n] {
			up = append(up, n)
		}
	}
	return up[g.rng.IntN(len(up))]
}

func (g *generator) nextCommand() string {
	switch n := g.rng.IntN(100); {
	case n < 45:
		return g.submit()
	case n < 52 && len(g.keys) > 0:
		return fmt.Sprintf("cancel %s %s wait=3s &", g.pickHost(), g.keys[g.rng.IntN(len(g.keys))])
	case n < 60 && len(g.keys) > 0:
		return fmt.Sprintf("await %s %s 5s &", g.pickHost(), g.keys[g.rng.IntN(len(g.keys))])
	case n < 68:
		return g.toggleDomain()
	case n < 78:
		return g.workerFault()
	case n < 86:
		return g.storeFault()
	}
	return g.hostFault()
}

func (g *generator) submit() string {
	ws := []string{"a", "a", "b", "c"}[g.rng.IntN(4)]
	key := fmt.Sprintf("%s/n%d", ws, len(g.keys))
	if len(g.keys) > 0 && g.rng.IntN(8) == 0 {
		key = g.keys[g.rng.IntN(len(g.keys))] // a caller's retry, maybe at another host
		for _, line := range g.trace {
			f := strings.Fields(line)
			if f[0] == "submit" && f[2] == key {
				f[1] = g.pickHost()
				return strings.Join(f, " ")
			}
		}
	}
	g.keys = append(g.keys, key)
	shapes := []string{"tasks=1 acc=1 class=quick", "tasks=1 acc=4 class=quick", "tasks=4 acc=2", "tasks=8 acc=4", "tasks=2 acc=8", "tasks=4 acc=8"}
	maxMS := 8000
	if g.seed >= extendedFaultsSeed && g.rng.IntN(3) == 0 {
		maxMS = 60_000 // long enough for a gang to be moved
	}
	line := fmt.Sprintf("submit %s %s %s span=domain ms=%d wait=20s", g.pickHost(), key, shapes[g.rng.IntN(len(shapes))], 100+g.rng.IntN(maxMS))
	if g.rng.IntN(2) == 0 {
		line += " repeatable"
	}
	return line + " &"
}

func (g *generator) toggleDomain() string {
	d := []string{"d1", "d2"}[g.rng.IntN(2)]
	g.domainsOut[d] = !g.domainsOut[d]
	if g.domainsOut[d] {
		return fmt.Sprintf("change %s domain-out %s &", g.pickHost(), d)
	}
	return fmt.Sprintf("change %s domain-back %s &", g.pickHost(), d)
}

func (g *generator) workerFault() string {
	upstream := []string{"d1u1", "d1u2", "d2u1", "d2u2"}[g.rng.IntN(4)]
	if g.rng.IntN(4) == 0 {
		return "restart " + upstream
	}
	faults := []string{
		"refuse-starts=1", "lose-starts=1", "lose-start-answers=2", "refuse-reserves=1", "ignore-checkpoint",
		"dead", "leaving", "ok", "ok", "ok", "ok",
	}
	if g.seed >= extendedFaultsSeed {
		faults = append(faults, "lose-stops=4", "late=4000", "ok", "ok")
	}
	return "worker " + upstream + " " + faults[g.rng.IntN(len(faults))]
}

func (g *generator) storeFault() string {
	faults := []string{"lose-answers=1", "lose-answers=3", "lose-writes=2", "slow=200", "stale", "hang", "down", "up", "up", "up", "up"}
	return "store " + faults[g.rng.IntN(len(faults))]
}

func (g *generator) hostFault() string {
	name := hostNames[g.rng.IntN(len(hostNames))]
	up := 0
	for _, n := range hostNames {
		if g.alive[n] && !g.paused[n] {
			up++
		}
	}
	switch {
	case !g.alive[name]:
		g.alive[name] = true
		return "start " + name
	case g.paused[name]:
		g.paused[name] = false
		return "resume " + name
	case g.disconnected[name]:
		g.disconnected[name] = false
		return fmt.Sprintf("cut %s workers off", name)
	case up < 2:
		return "advance 100ms"
	}
	switch g.rng.IntN(4) {
	case 0:
		g.alive[name] = false
		return "kill " + name
	case 1:
		g.alive[name] = false
		return "stop " + name
	case 2:
		g.disconnected[name] = true
		return fmt.Sprintf("cut %s workers on", name)
	}
	g.paused[name] = true
	return "pause " + name
}

// heal ends all faults, returns the failure domains to service, and gives the
// system time to settle all requests.
func (g *generator) heal() {
	g.run("store up")
	for _, u := range []string{"d1u1", "d1u2", "d2u1", "d2u2"} {
		g.run("worker " + u + " ok")
	}
	for _, n := range hostNames {
		switch {
		case !g.alive[n]:
			g.run("start " + n)
			g.alive[n] = true
		case g.paused[n]:
			g.run("resume " + n)
			g.paused[n] = false
		case g.disconnected[n]:
			g.run(fmt.Sprintf("cut %s workers off", n))
		}
	}
	g.run("advance 20s") // lets pending orders arrive before the next ones
	g.run("change h1 domain-back d1")
	g.run("change h1 domain-back d2")
	settle := settleTime
	if g.seed >= extendedFaultsSeed {
		settle = longSettleTime
	}
	g.run("advance " + settle.String())
	for _, key := range g.keys {
		g.run("show h1 " + key)
	}
}

// unsettled returns an error for each accepted request without a final outcome at
// the end, unless an upstream restarted and no longer knows it.
func (g *generator) unsettled() []error {
	var out []error
	for _, key := range g.keys {
		outcomes := g.sim.history.Outcomes[key]
		if len(outcomes) == 0 {
			continue
		}
		accepted := false
		for _, o := range outcomes {
			accepted = accepted || o.Verdict == yuccapaddle.VerdictWaiting || o.Verdict == yuccapaddle.VerdictRunning
		}
		last := outcomes[len(outcomes)-1]
		forgotten := last.Verdict == yuccapaddle.VerdictUnknown && strings.Contains(last.Reason, "no longer knows")
		if accepted && !last.Verdict.Final() && !forgotten {
			out = append(out, fmt.Errorf("request %s was accepted but is still %s at the end: %s", key, last.Verdict, last.Reason))
		}
	}
	return out
}
