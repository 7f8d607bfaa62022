package elector

import "time"

const (
	// delayWindow is the number of heartbeats of which the minimum delay is taken. It is
	// short enough to make the drift between the clocks of two hosts negligible.
	delayWindow = 64
)

// delayMeter estimates the age of heartbeats on receipt. The clocks of two hosts share only
// their rate, so the delay of a heartbeat is compared with the smallest of the latest ones.
// A heartbeat that is read after a pause of this process is as old as the pause.
type delayMeter struct {
	openedAt time.Time // before the stream of heartbeats was opened
	delays   []time.Duration
	next     int // index in delays to replace, once there are delayWindow
}

// sentAt returns a time, on the clock of this host, at which a heartbeat that was received
// just now had not been sent yet or was being sent. sentNS is its time on the clock of the
// other host, and 0 if that is not known.
func (d *delayMeter) sentAt(now time.Time, sentNS int64) time.Time {
	if sentNS == 0 {
		return now
	}
	if len(d.delays) == 0 {
		// The stream was opened before the first heartbeat was sent.
		d.delays = append(d.delays, d.openedAt.Sub(time.Unix(0, sentNS)))
		return d.openedAt
	}
	delay := now.Sub(time.Unix(0, sentNS))
	if len(d.delays) < delayWindow {
		d.delays = append(d.delays, delay)
	} else {
		d.delays[d.next] = delay
		d.next = (d.next + 1) % delayWindow
	}
	return now.Add(d.minDelay() - delay)
}

func (d *delayMeter) minDelay() time.Duration {
	shortest := d.delays[0]
	for _, x := range d.delays {
		shortest = min(shortest, x)
	}
	return shortest
}
