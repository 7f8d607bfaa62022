// Package timekeeper reads a monotonic clock that advances while the machine is
// suspended, unlike the monotonic clock of the Go runtime.
package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// Timekeeper implements yuccapaddle.Clock with the time since the machine was booted.
type Timekeeper struct{}

// Now returns the time since boot, added to the Unix epoch. It falls back to the wall
// clock if the machine has no such clock.
func (Timekeeper) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now().Round(0)
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
