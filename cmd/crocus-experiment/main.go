// Command crocus-experiment plays patterns of load and faults in virtual time and
// compares the decisions with an earlier version's and with a central scheduler.
package main

import (
	"os"

	"crocusseam/pkg/cmds"
)

func main() { os.Exit(cmds.Experiment(os.Args[1:])) }
