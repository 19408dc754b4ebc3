// Command crocus-report reports how fast the error budgets of service levels
// are used up.
package main

import (
	"os"

	"crocusseam/pkg/cmds"
)

func main() { os.Exit(cmds.Report(os.Args[1:])) }
