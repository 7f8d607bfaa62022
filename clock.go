package yuccapaddle

import "time"

// Clock tells the time. Deadlines are computed once from it and stored.
type Clock interface {
	Now() time.Time
}

// SystemClock reads the clock of the machine.
type SystemClock struct{}

// Now returns the machine's wall clock with its monotonic reading.
func (SystemClock) Now() time.Time {
	return time.Now()
}
