// Package timekeeper reads a steady clock that goes on while the machine is
// suspended, which the runtime's own steady clock does not.
package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// Timekeeper tells the time since the machine's start as a time.
type Timekeeper struct{}

// Now returns the steady time. It falls back to the time of day where the
// machine has no such clock.
func (Timekeeper) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now().Round(0)
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
