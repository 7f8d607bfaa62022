package yuccapaddle

import "time"

// Meter counts what happens and how long it takes. Names and outcomes come from
// small fixed sets, so that the number of series stays bounded.
type Meter interface {
	Tally(name, outcome string, n int64)
	Time(name, outcome string, took time.Duration)
}

// NoMeter is a Meter that measures nothing.
type NoMeter struct{}

// Tally implements Meter.
func (NoMeter) Tally(string, string, int64) {}

// Time implements Meter.
func (NoMeter) Time(string, string, time.Duration) {}
