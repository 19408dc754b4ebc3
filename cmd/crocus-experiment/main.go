// Command crocus-experiment runs patterns of load and faults in virtual time and
// compares the results with an earlier version's and with a central scheduler's.
package main

import (
	"os"

	"crocusseam/pkg/cmds"
)

func main() { os.Exit(cmds.Experiment(os.Args[1:])) }
