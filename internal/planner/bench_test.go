package planner_test

import (
	"fmt"
	"testing"
	"time"

	"yuccapaddle"
)

// BenchmarkSecond simulates one second of a loaded cluster in each iteration: urgent gangs
// and sweeps arrive at a rate proportional to the number of workers, and tasks end.
func BenchmarkSecond(b *testing.B) {
	for _, n := range []int{48, 350, 1100, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			sim := newSimulation(b, n)
			second := func(i int) {
				for k := range max(n/40, 1) {
					sim.submit(fmt.Sprintf("u%d-%d", i, k), queueQuick, yuccapaddle.Step{
						Count: 4, Need: yuccapaddle.Need{CPU: 7500, Memory: 11000, GPU: 4}, Estimate: 2500, Gang: true, OneRack: true,
					})
				}
				for k := range max(n/150, 1) {
					s := sweep
					s.Count = 39
					sim.submit(fmt.Sprintf("b%d-%d", i, k), queueBatch, s)
				}
				sim.advance(time.Second)
			}
			for i := range 10 {
				second(-i - 1)
			}
			b.ResetTimer()
			for i := range b.N {
				second(i)
			}
		})
	}
}
