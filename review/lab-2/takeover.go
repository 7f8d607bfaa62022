package main

import (
	"fmt"
	"time"
)

func init() {
	cases["takeover"] = playTakeover
}

const (
	// restartDelay is how long a killed host is away.
	restartDelay = time.Second
	// watchTime is how long the task is watched.
	watchTime = 35 * time.Second
)

// playTakeover runs a job that lasts on one of ten workers. Shortly after its start the active
// host is killed, which starts again after a second, and the worker is lost for good.
func playTakeover(l *lab) ([]string, error) {
	const workers = 10
	zones := []string{"vl-gent", "wa-namur", "br-anderlecht"}
	err := l.setUp(func() error {
		for i := range workers {
			if err := l.addWorker(zones[i%3], "a", fmt.Sprintf("r1-%d", 1+i/4), 8, 0); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	time.Sleep(10 * time.Second)
	if err := l.submit("plain", lasting, taskSpec{Lasts: true}, step{Count: 1, CPU: 4000, MemoryMB: 8000, GPU: 1, Lasts: true}); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second)
	task := lasting + ".0.0.0"
	w := l.workerOf(task)
	active := l.activeHost()
	if w == nil || active < 0 {
		return nil, fmt.Errorf("the job does not run, or no host is active")
	}
	lostAt := int64(0)
	if l.trouble {
		lostAt = time.Now().UnixMilli()
		l.note("host %s is killed", l.hosts[active].name)
		l.kill(l.hosts[active].cmd)
		l.crashWorker(w)
		time.Sleep(restartDelay)
		if err := l.startHost(l.hosts[active]); err != nil {
			return nil, err
		}
	}
	time.Sleep(watchTime)
	return l.idleTimes(task, lostAt), nil
}
