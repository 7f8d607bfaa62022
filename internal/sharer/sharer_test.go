package sharer_test

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
	"yuccapaddle/internal/sharer"
)

var total = yuccapaddle.Need{CPU: 1000, Memory: 1000, GPU: 100}

func claims(workspaces ...string) []sharer.Claim {
	var list []sharer.Claim
	for _, w := range workspaces {
		list = append(list, sharer.Claim{Workspace: w, Need: yuccapaddle.Need{CPU: 10, GPU: 1}})
	}
	return list
}

// TestOrder guards against the order of acceptance, in which the workspace that sends the
// most gets the most.
func TestOrder(t *testing.T) {
	weights := map[string]int{"a": 1, "b": 3}
	busy := map[string]yuccapaddle.Need{"a": {CPU: 100}}
	for _, test := range []struct {
		name   string
		claims []sharer.Claim
		used   map[string]yuccapaddle.Need
		want   []int
	}{
		{"nothing waits", nil, nil, []int{}},
		{"equal use: the first claim goes first", claims("a", "a", "b"), nil, []int{0, 2, 1}},
		{"three to one", claims("a", "a", "b", "b", "b", "b"), nil, []int{0, 2, 3, 4, 1, 5}},
		{"the one that holds more waits", claims("a", "a", "b", "b"), busy, []int{2, 3, 0, 1}},
		{"what others leave goes to the one that holds more", claims("a", "a"), busy, []int{0, 1}},
		{"an unknown workspace has weight 1", claims("a", "c", "c"), busy, []int{1, 2, 0}},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Check(t, sharer.Order(test.claims, test.used, weights, total), qt.DeepEquals, test.want)
		})
	}
}

// TestAgedFirst guards against a wide job that waits for ever since its workspace holds
// much.
func TestAgedFirst(t *testing.T) {
	list := claims("b", "a", "b")
	list[1].Aged = true
	busy := map[string]yuccapaddle.Need{"a": {CPU: 900}}
	qt.Check(t, sharer.Order(list, busy, nil, total), qt.DeepEquals, []int{1, 0, 2})
}

// TestSaturatedShares replays workspaces that always have work waiting, of different sizes
// and resources, on a full cluster: over a long time each holds its weight's share within
// 5%. An idle one that begins to send takes its share and no more.
func TestSaturatedShares(t *testing.T) {
	c := qt.New(t)
	weights := map[string]int{"a": 1, "b": 2, "c": 5, "late": 2}
	needs := map[string]yuccapaddle.Need{"a": {CPU: 7, GPU: 1}, "b": {CPU: 11, GPU: 1}, "c": {CPU: 13, GPU: 1}, "late": {CPU: 5}}
	runTimes := map[string]int{"a": 17, "b": 5, "c": 9, "late": 13}
	const cpus, steps, lateFrom = 4000, 6000, 3000
	cluster := yuccapaddle.Need{CPU: cpus, GPU: 10000}
	used := map[string]yuccapaddle.Need{}
	ends := map[int][]string{}
	free := cpus
	held := map[string]float64{}
	for step := range steps {
		for _, w := range ends[step] {
			used[w] = used[w].Sub(needs[w])
			free += needs[w].CPU
		}
		delete(ends, step)
		var waiting []sharer.Claim
		for _, w := range []string{"a", "b", "c", "late"} {
			if w == "late" && step < lateFrom {
				continue
			}
			for range 200 {
				waiting = append(waiting, sharer.Claim{Workspace: w, Need: needs[w]})
			}
		}
		for _, i := range sharer.Order(waiting, used, weights, cluster) {
			w := waiting[i].Workspace
			if needs[w].CPU > free {
				break
			}
			free -= needs[w].CPU
			used[w] = used[w].Add(needs[w])
			ends[step+runTimes[w]] = append(ends[step+runTimes[w]], w)
		}
		if step >= lateFrom+100 { // once what ran before has ended
			for w := range weights {
				held[w] += float64(used[w].CPU) / (steps - lateFrom - 100)
			}
		}
	}
	for w, weight := range weights {
		share := held[w] / cpus
		want := float64(weight) / 10
		c.Check(math.Abs(share-want)/want < 0.05, qt.IsTrue, qt.Commentf("%s holds %.3f, its share is %.3f", w, share, want))
	}
}
