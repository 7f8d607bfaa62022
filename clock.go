package yuccapaddle

import "time"

// Clock provides the current time. Callers compute a deadline once and store it.
type Clock interface {
	Now() time.Time
}

// SystemClock is the Clock of the operating system.
type SystemClock struct{}

// Now implements Clock; the time carries a monotonic reading.
func (SystemClock) Now() time.Time {
	return time.Now()
}
