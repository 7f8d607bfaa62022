// Command lab shows the cases of the second review: it runs the system's hosts as separate
// processes among stand-ins for the platform, its workers and consumers.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitCouldNot = 2
)

// cases are the scripts by name. Each returns what broke the rule, nothing if it held.
var cases = map[string]func(l *lab) ([]string, error){}

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: lab CASE FOLDER | lab worker CONFIG")
		os.Exit(exitCouldNot)
	}
	if os.Args[1] == "worker" {
		if err := runWorker(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitCouldNot)
		}
		return
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, folder string) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "there is no such case")
		return exitCouldNot
	}
	l, err := newLab(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNot
	}
	defer l.close()
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
		<-signals
		l.close()
		os.Exit(exitCouldNot)
	}()
	broken, err := play(l)
	l.recordEvents()
	if err != nil {
		l.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNot
	}
	for _, b := range broken {
		l.note("BROKEN: %s", b)
		fmt.Println(b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	l.note("the rule held")
	return exitHeld
}

// setUp starts a small deployment: three hosts and the workers.
func (l *lab) setUp(addWorkers func() error) error {
	if err := l.configure(); err != nil {
		return err
	}
	if err := addWorkers(); err != nil {
		return err
	}
	for _, zone := range []string{"vl-gent", "wa-namur", "br-anderlecht"} {
		if err := l.addHost(zone); err != nil {
			return err
		}
	}
	return l.waitReady()
}
