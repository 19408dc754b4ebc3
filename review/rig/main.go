// Command rig plays the cases of the review that are scripts: it starts the programs of
// the deploy file as processes on loopback addresses, with stand-ins of the store and of
// workers, and judges what these and the clients have seen.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit statuses.
const (
	held = iota
	broken
	couldNotRun
)

// cases are the scripts by name. Each returns the breaches of its rule.
var cases = map[string]func(trouble bool) (*environment, []string, error){
	"ends": endsCase, "kill": killCase, "orphan": orphanCase, "budget": budgetCase, "failed": failedCase, "count": countCase, "cancel": cancelCase,
}

// longest is how long a case may take.
const longest = 115 * time.Second

func main() { os.Exit(run()) }

// guard ends the case, with all processes that it has started, on a signal or after the
// longest time.
func guard() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	var group sync.WaitGroup
	group.Go(func() {
		select {
		case <-signals:
		case <-time.After(longest):
		}
		killStarted()
		if l := record.Load(); l != nil {
			_ = l.save(os.Args[2])
		}
		fmt.Println("the case was ended before it had finished")
		os.Exit(couldNotRun)
	})
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: rig CASE RECORD")
		return couldNotRun
	}
	guard()
	e, breaches, err := cases[os.Args[1]](os.Getenv("TROUBLE") != "0")
	if e != nil {
		e.close()
		for _, b := range breaches {
			e.ledger.write("%s", b)
		}
		if saveErr := e.ledger.save(os.Args[2]); saveErr != nil {
			err = errors.Join(err, saveErr)
		}
	}
	switch {
	case err != nil:
		fmt.Println(err)
		return couldNotRun
	case len(breaches) > 0:
		fmt.Printf("the rule was broken %d times; the first:\n%s\n", len(breaches), breaches[0])
		return broken
	}
	fmt.Println("the rule held")
	return held
}
