// Command review-rig2 plays the cases of the second review: gates as processes, with stand-ins
// of the store, the workers and the clients.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	statusHeld      = 0
	statusBroken    = 1
	statusCannotRun = 2
)

var cases = map[string]func(*environment) (verdict, error){
	"fails-everywhere":        failsEverywhere,
	"foreign-entry":           foreignEntry,
	"dark-worker":             darkWorker,
	"backlog":                 backlog,
	"unestimated":             unestimated,
	"worker-returns":          workerReturns,
	"cancel-at-waiting-gate":  cancelAtWaitingGate,
	"cancel-beside-a-silence": cancelBesideSilence,
}

// withoutEntry reports whether the disruption of the case foreign-entry is the kill alone.
func withoutEntry() bool { return os.Getenv("TROUBLE") == "kill" }

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: review-rig2 CASE RECORD")
		return statusCannotRun
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return statusCannotRun
	}
	defer func() { _ = record.Close() }()
	l := &ledger{began: time.Now(), out: io.MultiWriter(record, os.Stdout)}
	trouble := os.Getenv("TROUBLE") != "0"
	l.note("case", os.Args[1], fmt.Sprintf("with the disruption: %v", trouble))
	e, err := newEnvironment(l, trouble)
	if err != nil {
		l.note("cannot run", "", err.Error())
		return statusCannotRun
	}
	defer e.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		e.close()
		os.Exit(statusCannotRun)
	}()
	broken, err := cases[os.Args[1]](e)
	switch {
	case err != nil && errors.Is(err, errCannotRun):
		l.note("cannot run", "", err.Error())
		return statusCannotRun
	case err != nil:
		l.note("cannot run", "", "an error of the rig: "+err.Error())
		return statusCannotRun
	case broken != held:
		l.note("broken", "", string(broken))
		return statusBroken
	}
	l.note("held", "", "the rule held")
	return statusHeld
}
