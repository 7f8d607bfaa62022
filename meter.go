package yuccapaddle

import "time"

// Meter records metrics: Tally adds to a counter, and Time records a duration.
// Names and outcomes come from small fixed sets, so that the number of time series
// stays bounded.
type Meter interface {
	Tally(name, outcome string, n int64)
	Time(name, outcome string, took time.Duration)
}

// NoMeter is a Meter that discards everything.
type NoMeter struct{}

// Tally implements Meter.
func (NoMeter) Tally(string, string, int64) {}

// Time implements Meter.
func (NoMeter) Time(string, string, time.Duration) {}
