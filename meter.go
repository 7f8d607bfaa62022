package yuccapaddle

import "time"

// Meter records metrics: Count adds to a counter, Observe records a duration, and Set
// sets a workspace's gauge. Names and outcomes come from small fixed sets, so that the
// number of time series stays bounded.
type Meter interface {
	Count(name, outcome string, n int64)
	Observe(name, outcome string, took time.Duration)
	Set(name, workspace string, v float64)
}

// NoMeter is a Meter that discards everything.
type NoMeter struct{}

// Count implements Meter.
func (NoMeter) Count(string, string, int64) {}

// Observe implements Meter.
func (NoMeter) Observe(string, string, time.Duration) {}

// Set implements Meter.
func (NoMeter) Set(string, string, float64) {}
