package estimator_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle/internal/estimator"
)

// TestQuantile guards against estimates from too few runs, ranks that are off by one, and
// fractions outside of 0 to 1.
func TestQuantile(t *testing.T) {
	const none = time.Duration(-1)
	tests := []struct {
		name  string
		times []time.Duration
		q     float64
		want  time.Duration
	}{
		{"no runs", nil, 0.5, none},
		{"too few", []time.Duration{1, 2, 3, 4}, 0.5, none},
		{"just enough", []time.Duration{5, 1, 4, 2, 3}, 0.5, 3},
		{"lowest", []time.Duration{5, 1, 4, 2, 3}, 0, 1},
		{"highest", []time.Duration{5, 1, 4, 2, 3}, 1, 5},
		{"between ranks", []time.Duration{5, 1, 4, 2, 3}, 0.81, 5},
		{"on a rank", []time.Duration{5, 1, 4, 2, 3}, 0.8, 4},
		{"below 0", []time.Duration{5, 1, 4, 2, 3}, -3, 1},
		{"above 1", []time.Duration{5, 1, 4, 2, 3}, 7, 5},
		{"not a number", []time.Duration{5, 1, 4, 2, 3}, math.NaN(), none},
		{"invalid run times do not count", []time.Duration{5, 1, 4, 2, 0, -7}, 0.5, none},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, e := qt.New(t), estimator.New()
			for _, d := range tt.times {
				e.Note("q", 0, d)
			}
			took, ok := e.Quantile("q", 0, tt.q)
			c.Assert(ok, qt.Equals, tt.want != none)
			if ok {
				c.Check(took, qt.Equals, tt.want)
			}
		})
	}
}

// TestWindow guards against old run times that keep an estimate from following a change
// of the load.
func TestWindow(t *testing.T) {
	c, e := qt.New(t), estimator.New(estimator.WithWindow(8), estimator.WithMinimum(2))
	for range 100 {
		e.Note("q", 0, time.Hour)
	}
	for range 8 {
		e.Note("q", 0, time.Second)
	}
	took, ok := e.Quantile("q", 0, 1)
	c.Assert(ok, qt.IsTrue)
	c.Check(took, qt.Equals, time.Second)
}

// TestKeys guards against run times of one queue or step that count for another, and
// against keys that accumulate without bound.
func TestKeys(t *testing.T) {
	c, e := qt.New(t), estimator.New(estimator.WithMinimum(1))
	e.Note("a", 0, time.Second)
	e.Note("b", 0, time.Minute)
	e.Note("a", 1, time.Hour)
	took, _ := e.Quantile("a", 0, 1)
	c.Check(took, qt.Equals, time.Second)
	_, ok := e.Quantile("b", 1, 1)
	c.Check(ok, qt.IsFalse)
	const many = 3000
	for i := range many {
		e.Note("c", i, time.Second)
	}
	_, ok = e.Quantile("a", 0, 1)
	c.Check(ok, qt.IsFalse)
	known := 0
	for i := range many {
		if _, ok := e.Quantile("c", i, 1); ok {
			known++
		}
	}
	c.Check(known, qt.Equals, 1024)
}
