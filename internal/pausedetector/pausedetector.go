// Package pausedetector detects that the process has stood still, from gaps between the ticks of
// its clock. What it reads right after such a pause may have been sent before it.
package pausedetector

import (
	"context"
	"sync"
	"time"

	"yuccapaddle"
	"yuccapaddle/internal/sleeper"
)

const (
	tickInterval = 5 * time.Second
	// longestPause is the longest gap that counts as no pause. What was sent before a shorter one
	// is covered by the time for which cancellations of unknown jobs are kept.
	longestPause = 30 * time.Second
	// backlogTime is how long after a pause the process may read what was sent during it.
	backlogTime = 10 * time.Second
)

// PauseDetector detects pauses while Run runs. Its methods are safe for concurrent use.
type PauseDetector struct {
	clock yuccapaddle.Clock

	mu        sync.Mutex
	tickedAt  time.Time
	backlogBy time.Time // until then what was sent during a pause may be read
}

// New returns a PauseDetector.
func New(clock yuccapaddle.Clock) *PauseDetector {
	return &PauseDetector{clock: clock, tickedAt: clock.Now()}
}

// Run ticks until the context ends, which is no error.
func (d *PauseDetector) Run(ctx context.Context) error {
	for {
		d.tick()
		if sleeper.Sleep(ctx, tickInterval) != nil {
			return nil
		}
	}
}

func (d *PauseDetector) tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	d.notePause(now)
	d.tickedAt = now
}

// notePause notes a pause since the latest tick. The caller holds d.mu.
func (d *PauseDetector) notePause(now time.Time) {
	if now.Sub(d.tickedAt) > longestPause {
		d.backlogBy = now.Add(backlogTime)
	}
}

// Paused reports whether what the process reads now may have been sent before or during a pause.
func (d *PauseDetector) Paused() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	d.notePause(now)
	return now.Before(d.backlogBy)
}
