package main

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"
)

// ledger records what clients, workers and the platform have seen.
type ledger struct {
	mu     sync.Mutex
	began  time.Time
	out    io.Writer
	starts []start
	ends   []ending
}

type start struct {
	at           time.Time
	worker, task string
	run          int
}

type ending struct {
	start
	how string
}

func (l *ledger) note(what, who, detail string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.write(what, who, detail)
}

func (l *ledger) write(what, who, detail string) {
	fmt.Fprintf(l.out, "%8.3f  %-14s %-12s %s\n", time.Since(l.began).Seconds(), what, who, detail)
}

func (l *ledger) started(w *worker, task string, run int, spec string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts = append(l.starts, start{time.Now(), w.id, task, run})
	l.write("run started", w.id, fmt.Sprintf("%s run %d, spec %.20q, %d bytes", task, run, spec, len(spec)))
}

func (l *ledger) ended(w *worker, task string, run int, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ends = append(l.ends, ending{start{time.Now(), w.id, task, run}, how})
	l.write("run ended", w.id, fmt.Sprintf("%s run %d: %s", task, run, how))
}

// startsOf returns the starts of tasks whose names begin with a prefix, after a time.
func (l *ledger) startsOf(prefix string, after time.Time) []start {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []start
	for _, s := range l.starts {
		if strings.HasPrefix(s.task, prefix) && s.at.After(after) {
			list = append(list, s)
		}
	}
	return list
}

// endsOf counts the ends of a kind of tasks whose names begin with a prefix.
func (l *ledger) endsOf(prefix, how string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, e := range l.ends {
		if strings.HasPrefix(e.task, prefix) && e.how == how {
			n++
		}
	}
	return n
}
