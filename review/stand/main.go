// Command stand plays one case of the review: it starts three hosts with the command of the
// deploy file, plays the platform, the workers and the consumers, and says whether a rule was
// broken. Usage: stand CASE FOLDER.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longest bounds a whole case.
const longest = 115 * time.Second

// cases are the scripts by name. Each returns what it has found, "" if the rule held.
// trouble is false for the run without the disruption.
var cases = map[string]func(b *bed, trouble bool) (string, error){
	"crash": crashes, "rename": rename, "stale": staleCancel, "cancel": cancelPending, "budget": budget, "wave": waveAgain, "lasting": lastingTask, "upkeep": upkeepWave,
}

func main() {
	if len(os.Args) > 2 && os.Args[1] == "worker" {
		fmt.Fprintln(os.Stderr, runWorker(os.Args[2:]))
		os.Exit(exitNotRun)
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	b, err := newBed(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer b.stop()
	results := make(chan int, 1)
	go func() { results <- b.run(name) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case code := <-results:
		return code
	case <-signals:
	case <-time.After(longest):
		fmt.Fprintln(os.Stderr, "the case took too long")
	}
	return exitNotRun
}

func (b *bed) run(name string) int {
	trouble := os.Getenv("TROUBLE") != "0"
	b.note("case %s, trouble: %t", name, trouble)
	b.apply(route{"proofs", "/proofs/", 1, 3}, route{"other", "/other/", 2, 3})
	err := b.start()
	found := ""
	if err == nil {
		found, err = cases[name](b, trouble)
	}
	switch {
	case err != nil:
		b.note("the case could not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case found != "":
		b.note("broken: %s", found)
		fmt.Println("broken:", found)
		return exitBroken
	}
	b.note("the rule held")
	fmt.Println("held")
	return exitHeld
}
