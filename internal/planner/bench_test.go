package planner_test

import (
	"fmt"
	"testing"
	"time"

	"yuccapaddle"
)

// BenchmarkSecond plays seconds of a loaded cluster: urgent gangs and sweeps come
// at a rate in proportion to the workers, and tasks end.
func BenchmarkSecond(b *testing.B) {
	for _, n := range []int{48, 350, 1100, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			w := newWorld(b, n)
			second := func(i int) {
				for k := range max(n/40, 1) {
					w.submit(fmt.Sprintf("u%d-%d", i, k), queueQuick, yuccapaddle.Step{
						Count: 4, Need: yuccapaddle.Need{CPU: 7500, Memory: 11000, GPU: 4}, Estimate: 2500, Gang: true, OneRack: true,
					})
				}
				for k := range max(n/150, 1) {
					s := sweep
					s.Count = 39
					w.submit(fmt.Sprintf("b%d-%d", i, k), queueBatch, s)
				}
				w.advance(time.Second)
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
