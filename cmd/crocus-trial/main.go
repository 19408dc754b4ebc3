// Command crocus-trial runs a whole environment in one process, with a load and
// faults, and judges it by the endpoints' own ledger.
package main

import (
	"os"

	"crocusseam/pkg/cmds"
)

func main() { os.Exit(cmds.Trial(os.Args[1:])) }
