package yuccapaddle

import "time"

// Meter records metrics: Count adds to a counter, and Observe records a duration.
// Names and outcomes come from small fixed sets, so that the number of time series
// stays bounded.
type Meter interface {
	Count(name, outcome string, n int64)
	Observe(name, outcome string, took time.Duration)
}

// NoMeter is a Meter that discards everything.
type NoMeter struct{}

// Count implements Meter.
func (NoMeter) Count(string, string, int64) {}

// Observe implements Meter.
func (NoMeter) Observe(string, string, time.Duration) {}
