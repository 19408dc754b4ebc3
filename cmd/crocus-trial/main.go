// Command crocus-trial runs a whole environment in one process, with a load and
// faults, and checks the answers against the endpoints' ledger of task starts.
package main

import (
	"os"

	"crocusseam/pkg/cmds"
)

func main() { os.Exit(cmds.Trial(os.Args[1:])) }
