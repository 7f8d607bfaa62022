package prioritizer_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle/internal/prioritizer"
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// TestCompare guards against jobs that are late already and keep others waiting until those
// are late too.
func TestCompare(t *testing.T) {
	job := func(since, objective, work, room float64) *prioritizer.Waiting {
		return &prioritizer.Waiting{Since: at(since), Objective: at(objective), LatestStart: at(objective - work), Cost: work * room}
	}
	endless := job(9, 9, 0, 1)
	endless.AlwaysFirst = true
	for _, test := range []struct {
		name          string
		first, second *prioritizer.Waiting
	}{
		{"in time before late", job(8, 14, 3, 10), job(6, 12, 3, 1)},
		{"the least time to spare first", job(9, 15, 4, 1), job(5, 14, 2, 1)},
		{"of late ones the one with the least work", job(8, 11, 2, 1), job(7, 11, 2, 9)},
		{"of late ones the shorter", job(8, 11, 2, 4), job(7, 11, 5, 4)},
		{"one that has waited long before one in time", job(-90, -80, 9, 90), job(9, 15, 5, 1)},
		{"endless work before one in time", endless, job(9, 15, 5, 1)},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			c.Check(prioritizer.Compare(test.first, test.second, at(10)) < 0, qt.IsTrue)
			c.Check(prioritizer.Compare(test.second, test.first, at(10)) > 0, qt.IsTrue)
		})
	}
	qt.Check(t, prioritizer.Compare(job(1, 20, 2, 1), job(2, 20, 2, 9), at(10)), qt.Equals, 0)
}

// load is a job of a replay; it takes its room for its true time, whatever is expected.
type load struct {
	prioritizer.Waiting
	room    float64
	runTime time.Duration
	doneAt  time.Time
}

// replay runs jobs in a cluster with so much room, in the order that compare gives, and
// returns how many are done by their objective, and the longest wait.
func replay(jobs []load, room float64, compare func(a, b *prioritizer.Waiting, now time.Time) int) (inTime int, longest time.Duration) {
	const step = 20 * time.Millisecond
	var waiting, running []*load
	next := 0
	for now := start; next < len(jobs) || len(waiting) > 0; now = now.Add(step) {
		for next < len(jobs) && !jobs[next].Since.After(now) {
			waiting = append(waiting, &jobs[next])
			next++
		}
		running = slices.DeleteFunc(running, func(j *load) bool {
			if j.doneAt.After(now) {
				return false
			}
			room += j.room
			return true
		})
		slices.SortStableFunc(waiting, func(a, b *load) int { return compare(&a.Waiting, &b.Waiting, now) })
		waiting = slices.DeleteFunc(waiting, func(j *load) bool {
			if j.room > room {
				return false
			}
			room -= j.room
			j.doneAt = now.Add(j.runTime)
			longest = max(longest, now.Sub(j.Since))
			if !j.doneAt.After(j.Objective) {
				inTime++
			}
			running = append(running, j)
			return true
		})
	}
	return inTime, longest
}

func fifo(_, _ *prioritizer.Waiting, _ time.Time) int { return 0 }

// arrivals makes n jobs that arrive evenly from the given second on. The run times of a kind
// spread by half to both sides; what is expected is what three of four take.
func arrivals(rng *rand.Rand, n int, from, length, work, stretch, slack, room float64) []load {
	var list []load
	for i := range n {
		since := from + length*float64(i)/float64(n)
		run := work * (0.5 + rng.Float64())
		list = append(list, load{
			Waiting: prioritizer.Waiting{
				Since: at(since), Objective: at(since + stretch*work + slack), LatestStart: at(since + (stretch-1.25)*work + slack), Cost: 1.25 * work * room,
			},
			room: room, runTime: seconds(run),
		})
	}
	return list
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func merge(lists ...[]load) []load {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b load) int { return a.Since.Compare(b.Since) })
	return all
}

// TestReplays replays loads that are too much for the cluster for a while: more jobs are in
// time than first-in first-out has, and nobody waits for longer than the bound.
func TestReplays(t *testing.T) {
	for _, test := range []struct {
		name  string
		jobs  func(rng *rand.Rand) []load
		gain  float64 // jobs in time, at least so many times those of first-in first-out
		bound time.Duration
	}{
		{"a burst of urgent jobs", func(rng *rand.Rand) []load {
			return merge(arrivals(rng, 60, 0, 12, 2.5, 1.5, 0.4, 30), arrivals(rng, 120, 2, 6, 2.5, 1.5, 0.4, 30))
		}, 1.5, 40 * time.Second},
		{"one wide job among many small ones", func(rng *rand.Rand) []load {
			return merge(arrivals(rng, 1, 1, 1, 10, 3, 1, 320), arrivals(rng, 300, 0, 30, 2, 3, 1, 24))
		}, 1, 140 * time.Second},
		{"long and short jobs of one queue", func(rng *rand.Rand) []load {
			return merge(arrivals(rng, 40, 0, 20, 9, 3, 1, 60), arrivals(rng, 200, 0, 20, 1, 3, 1, 20))
		}, 1.2, 200 * time.Second},
		{"more than the cluster holds all the time", func(rng *rand.Rand) []load {
			return arrivals(rng, 1500, 0, 200, 2.5, 1.5, 0.4, 30)
		}, 3, 120 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			const room = 400
			before, _ := replay(test.jobs(rand.New(rand.NewPCG(1, 1))), room, fifo)
			jobs := test.jobs(rand.New(rand.NewPCG(1, 1)))
			inTime, longest := replay(jobs, room, prioritizer.Compare)
			t.Logf("%d of %d jobs in time, first-in first-out %d; longest wait %v", inTime, len(jobs), before, longest)
			c.Check(float64(inTime) >= test.gain*float64(before), qt.IsTrue)
			c.Check(longest <= test.bound, qt.IsTrue)
		})
	}
}
