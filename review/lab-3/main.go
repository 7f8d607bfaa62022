// Command lab-3 plays one case of the review: it serves stand-ins of the users' platform, starts
// the system's own programs, and judges what consumers, workers and the platform see.
//
// Usage, in the root of the repository: target/lab-3 CASE RECORD. With TROUBLE=0 in the
// environment it does the same without the disruption. It exits with 1 if the rule was broken, 0
// if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	ruleHeld   = 0
	ruleBroken = 1
	noResult   = 2
)

// maxTime is the longest that a case may take.
const maxTime = 115 * time.Second

var cases = map[string]func(l *lab, trouble bool) (broken bool, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab-3 CASE RECORD")
		os.Exit(noResult)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, record string) int {
	l, err := newLab(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return noResult
	}
	defer l.close()
	trouble := os.Getenv("TROUBLE") != "0"
	l.say("case %s, trouble %v", name, trouble)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[name](l, trouble)
		done <- result{broken, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-stop:
		l.say("no result: stopped by a signal")
		return noResult
	case r := <-done:
		switch {
		case r.err != nil:
			l.say("no result: %v", r.err)
			fmt.Println("no result:", r.err)
			return noResult
		case r.broken:
			l.say("the rule was broken")
			return ruleBroken
		}
		l.say("the rule held")
		return ruleHeld
	case <-time.After(maxTime):
		l.say("no result after %v", maxTime)
		return noResult
	}
}
