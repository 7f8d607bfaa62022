package evacuator_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle/internal/evacuator"
)

var now = time.Unix(1000, 0)

func in(d time.Duration) time.Time { return now.Add(d) }

// leaves returns a member that has been at percent since its start, and whose worker
// leaves after left.
func leaves(left time.Duration, percent int) evacuator.Member {
	return evacuator.Member{LeavesAt: in(left), Percent: percent, At: now}
}

func stays(percent int) evacuator.Member {
	return evacuator.Member{Percent: percent, At: now}
}

// history returns a run of single members that started elapsed ago and whose kind takes
// between shortest and longest.
func history(elapsed, shortest, longest time.Duration, members ...evacuator.Member) evacuator.Run {
	return evacuator.Run{Members: members, StartedAt: in(-elapsed), Shortest: shortest, Longest: longest, Cores: 8}
}

func checkpoints(r evacuator.Run) evacuator.Run {
	r.Checkpoints = true
	return r
}

func room(r evacuator.Run) evacuator.Run {
	r.Room = true
	return r
}

func endless(r evacuator.Run) evacuator.Run {
	r.Endless = true
	return r
}

func resumed(r evacuator.Run) evacuator.Run {
	r.Resumed = true
	return r
}

const s = time.Second

// TestDecide guards against runs that are stopped though they end in time, that are kept
// though they lose their work, and that are stopped where nothing is gained.
func TestDecide(t *testing.T) {
	late := 2 * s // less than a stop needs
	first := func(m evacuator.Member, percent int, ago time.Duration) evacuator.Member {
		m.FirstPercent, m.FirstAt = percent, in(-ago)
		return m
	}
	tests := []struct {
		name string
		run  evacuator.Run
		want evacuator.Action
	}{
		{"no members", checkpoints(evacuator.Run{}), evacuator.Keep},
		{"no worker leaves", room(checkpoints(history(s, 0, 0, stays(5)))), evacuator.Keep},

		{"ends in time by its progress", room(checkpoints(history(8*s, 0, 0, leaves(5*s, 80)))), evacuator.Keep},
		{"progress counts before history", room(checkpoints(history(8*s, 60*s, 90*s, leaves(5*s, 80)))), evacuator.Keep},
		{"ends in time by history", room(checkpoints(history(8*s, 9*s, 10*s, leaves(5*s, 0)))), evacuator.Keep},
		{"ends in time even shortly before", checkpoints(history(8*s, 0, 0, leaves(late, 91))), evacuator.Keep},
		{"ends without a margin", checkpoints(history(8*s, 0, 0, leaves(2100*time.Millisecond, 80))), evacuator.Stop},

		{"cannot end, room", room(checkpoints(history(8*s, 0, 0, leaves(5*s, 20)))), evacuator.Stop},
		{"cannot end, no room yet", checkpoints(history(8*s, 0, 0, leaves(5*s, 20))), evacuator.Wait},
		{"cannot end, no room, last moment", checkpoints(history(8*s, 0, 0, leaves(late, 20))), evacuator.Stop},
		{"worker overdue", checkpoints(history(8*s, 0, 0, leaves(-s, 20))), evacuator.Stop},
		{"may end, room", room(checkpoints(history(10*s, 0, 0, leaves(5*s, 67)))), evacuator.Wait},
		{"may end by history, room", room(checkpoints(history(s, 3*s, 30*s, leaves(5*s, 0)))), evacuator.Wait},
		{"unknown, room", room(checkpoints(history(s, 0, 0, leaves(5*s, 0)))), evacuator.Wait},
		{"unknown, last moment", checkpoints(history(s, 0, 0, leaves(late, 0))), evacuator.Stop},
		{"longer than its kind", room(checkpoints(history(20*s, 3*s, 10*s, leaves(5*s, 0)))), evacuator.Wait},

		{"gang ends with its slowest member", room(checkpoints(history(8*s, 0, 0, leaves(5*s, 90), stays(20)))), evacuator.Stop},
		{"gang leaves with its first worker", checkpoints(history(8*s, 0, 0, leaves(60*s, 20), leaves(late, 20), stays(20))), evacuator.Stop},
		{"gang of which a member is unknown", room(checkpoints(history(8*s, 0, 0, leaves(5*s, 90), stays(0)))), evacuator.Wait},

		{"resumed, progress in this run", room(resumed(checkpoints(history(4*s, 0, 0, first(leaves(5*s, 70), 60, s))))), evacuator.Keep},
		{"resumed, slow", room(resumed(checkpoints(history(4*s, 0, 0, first(leaves(5*s, 70), 60, 4*s))))), evacuator.Stop},
		{"resumed, progress before this run does not count", room(resumed(checkpoints(history(s, 0, 0, first(leaves(5*s, 90), 90, s))))), evacuator.Wait},
		{"resumed, history does not count", room(resumed(checkpoints(history(s, 3*s, 4*s, leaves(5*s, 0))))), evacuator.Wait},

		{"endless, room", room(endless(history(s, 0, 0, leaves(5*s, 100)))), evacuator.Stop},
		{"endless, no room", endless(history(s, 0, 0, leaves(5*s, 100))), evacuator.Wait},
		{"endless, last moment", endless(history(s, 0, 0, leaves(late, 100))), evacuator.Stop},

		{"loses little, room", room(history(s, 0, 0, leaves(5*s, 5))), evacuator.Stop},
		{"loses little, no room", history(s, 0, 0, leaves(5*s, 5)), evacuator.Keep},
		{"gang loses little, frees room", history(s, 0, 0, leaves(5*s, 5), stays(5)), evacuator.Stop},
		{"gang loses much", room(history(6*s, 0, 0, leaves(5*s, 30), stays(30))), evacuator.Keep},
		{"loses its work, may end", room(history(s, 3*s, 30*s, leaves(5*s, 0))), evacuator.Keep},
		{"loses its work, unknown", room(history(s, 0, 0, leaves(5*s, 0))), evacuator.Keep},
		{"loses its work, last moment", room(history(s, 0, 0, leaves(late, 0))), evacuator.Keep},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			qt.Assert(t, evacuator.New().Decide(now, &tt.run), qt.Equals, tt.want)
		})
	}
}

// TestAbsurdValues guards against panics and overflow in progress or times that a worker
// reports wrongly.
func TestAbsurdValues(t *testing.T) {
	e := evacuator.New()
	for _, percent := range []int{math.MinInt, -1, 0, 99, 100, 101, math.MaxInt} {
		for _, left := range []time.Duration{math.MinInt64, -s, 0, s, math.MaxInt64} {
			for _, at := range []time.Time{{}, in(-s), now, in(s)} {
				m := evacuator.Member{LeavesAt: in(left), Percent: percent, At: at, FirstPercent: percent / 2, FirstAt: at}
				for _, r := range []evacuator.Run{{}, checkpoints(evacuator.Run{}), resumed(evacuator.Run{})} {
					r.Members, r.StartedAt, r.Longest = []evacuator.Member{m}, at, math.MaxInt64
					e.Decide(now, &r)
					qt.Assert(t, r.AtRisk() >= 0, qt.IsTrue)
				}
			}
		}
	}
}

// TestAtRisk guards against a loss that counts without accelerators' weight or only until
// now.
func TestAtRisk(t *testing.T) {
	r := history(3*s, 0, 0, leaves(5*s, 0), stays(0))
	r.Cores = 16
	qt.Assert(t, r.AtRisk(), qt.Equals, 128.0)
}

// TestStopTime guards against a stop that is ordered later than the given time before the
// worker leaves.
func TestStopTime(t *testing.T) {
	e := evacuator.New(evacuator.WithStopTime(s))
	for left, want := range map[time.Duration]evacuator.Action{1100 * time.Millisecond: evacuator.Wait, s: evacuator.Stop} {
		r := checkpoints(history(s, 0, 0, leaves(left, 0)))
		qt.Check(t, e.Decide(now, &r), qt.Equals, want)
	}
}
